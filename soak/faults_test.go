package soak_test

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"magnoliahill.example/magnoliahill/internal/standin/target"
)

// injectFaults starts faults at random intervals for faultDuration. Faults may
// overlap. It returns when the last one has ended.
func (s *soak) injectFaults() {
	var pending sync.WaitGroup
	for deadline := time.Now().Add(*faultDuration); time.Now().Before(deadline); {
		endFault := s.startFault()
		duration := time.Duration(100+s.rng.IntN(1500)) * time.Millisecond
		pending.Add(1)
		go func() {
			defer pending.Done()
			time.Sleep(duration)
			endFault()
		}()
		time.Sleep(time.Duration(50+s.rng.IntN(500)) * time.Millisecond)
	}
	pending.Wait()
}

// unprovenRefusals are responses to executed requests by which callers would conclude that
// these were not executed.
var unprovenRefusals = []target.Fault{target.Unavailable, "status 408", "status 421", "status 429"}

// startFault starts a random fault and returns the function that ends it.
func (s *soak) startFault() func() {
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	i := s.rng.IntN(len(s.targets))
	// Each fault has its own generator, so that the functions that end faults, which
	// run in other goroutines, draw nothing from s.rng.
	rng := rand.New(rand.NewPCG(s.rng.Uint64(), 1))
	proxies := [][]*proxy{s.targetProxies, s.storeProxies, s.hostProxies}[s.rng.IntN(3)]
	p := proxies[s.rng.IntN(len(proxies))]
	switch s.rng.IntN(12) {
	case 0, 1, 2, 3:
		p.setMode(mode(1+rng.IntN(4)), rng)
		return func() { p.setMode(modePass, rng) }
	case 4:
		h.signal(syscall.SIGTERM)
		return func() { s.restart(h) }
	case 5:
		h.signal(syscall.SIGKILL)
		return func() { s.restart(h) }
	case 6:
		h.signal(syscall.SIGSTOP)
		return func() { h.signal(syscall.SIGCONT) }
	case 7:
		status := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[rng.IntN(2)]
		s.store.SetStatus(status)
		return func() { s.store.SetStatus(0) }
	case 8:
		s.store.SetUnresponsive(true)
		return func() { s.store.SetUnresponsive(false) }
	case 9:
		s.store.SetWatchesStalled(true)
		s.configure()
		s.store.DropHistory()
		return func() { s.store.SetWatchesStalled(false) }
	case 10:
		faults := []target.Fault{
			target.Shed, target.NoResponse, target.Reset, target.CutShort, target.ForeignResponse, target.DuplicateResponse, target.Garbage,
			target.Unsigned, target.NoContentLength, target.ServerError, target.Unavailable, target.Hang, target.UnannouncedClose, target.Misdirected,
		}
		for n := range 5 {
			fault := faults[rng.IntN(len(faults))]
			if fault == target.Unavailable {
				fault = unprovenRefusals[(n+i)%len(unprovenRefusals)]
			}
			s.targets[i].QueueFaults(fault)
		}
		return func() {}
	default:
		s.register(i, "draining")
		return func() { s.register(i, "ready") }
	}
}

// restart waits until a process that received a signal to stop has exited, kills it
// after the grace time, and starts the host again. Overlapping faults on one host
// restart it once, because a second process would outlive the seed.
func (s *soak) restart(h *process) {
	exited := h.exitChannel()
	select {
	case <-exited:
	case <-time.After(grace):
		h.signal(syscall.SIGCONT) // in case another fault has paused it
		h.signal(syscall.SIGKILL)
		<-exited
	}
	s.startAfter(h, exited)
}

// startAfter starts a host unless it was already started again after the process
// with the given exit channel.
func (s *soak) startAfter(h *process, exited chan struct{}) {
	h.startMu.Lock()
	defer h.startMu.Unlock()
	if h.exitChannel() == exited {
		s.start(h)
	}
}

// clearFaults ends all faults and starts the hosts that have exited.
func (s *soak) clearFaults() {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, proxies := range [][]*proxy{s.targetProxies, s.storeProxies, s.hostProxies} {
		for _, p := range proxies {
			p.setMode(modePass, rng)
		}
	}
	for _, h := range s.hosts {
		h.signal(syscall.SIGCONT)
		exited := h.exitChannel()
		select {
		case <-exited: // overlapping faults left the host stopped
			s.startAfter(h, exited)
		default:
		}
	}
	s.store.SetStatus(0)
	s.store.SetUnresponsive(false)
	s.store.SetWatchesStalled(false)
}
