package server

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/keeper"
	"magnoliahill.example/magnoliahill/internal/recorder"
	"magnoliahill.example/magnoliahill/internal/watcher"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	watchDuty    = "watch"
	watchersZone = 2 // hosts of a zone that wait on the store
	firstRetry   = 200 * time.Millisecond
	longestRetry = 5 * time.Second
	probeEvery   = 500 * time.Millisecond
	probeTimeout = time.Second
	idleCheck    = time.Second // between two looks at whether the duty came to this host
)

// startWorkers starts what waits on the platform and on timers. The workers
// touch no control state; they send messages to the loop.
func (s *Server) startWorkers(ctx context.Context) {
	go s.watchStore(ctx)
	go s.pollHosts(ctx)
	go s.every(ctx, s.settings.Shares().Rebalance(), s.borrower.rebalance)
	go s.every(ctx, movePoll, newMoveWorker(s).poll)
	go s.every(ctx, probeEvery, func() { s.probeEjected(ctx) })
}

func (s *Server) every(ctx context.Context, period time.Duration, f func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.loop.stopped:
			return
		case <-ticker.C:
			f()
		}
	}
}

// pause waits, and reports false when the daemon ends meanwhile.
func (s *Server) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-s.loop.stopped:
		return false
	case <-timer.C:
		return true
	}
}

// backoff returns the wait after a failure: doubled each time, and spread by
// chance, so that hosts do not come back together when the store does.
func backoff(failures int) time.Duration {
	wait := min(firstRetry<<min(failures, 10), longestRetry)
	return wait/2 + rand.N(wait)
}

// watchStore waits for new configurations while this host holds the duty, or
// has no configuration at all.
func (s *Server) watchStore(ctx context.Context) {
	version := int64(0)
	failures := 0
	for {
		if !s.watches() {
			if !s.pause(ctx, idleCheck) {
				return
			}
			continue
		}
		sent := s.clock.Now()
		object, err := s.store.Watch(ctx, watcher.HeadKey, version)
		switch {
		case err == nil:
			failures = 0
			version = object.Version()
			s.sendHead(object, sent)
			continue
		case errors.Is(err, keeper.ErrUnchanged):
			failures = 0
			s.loop.send(&headUnchanged{sent: sent})
			continue
		}
		s.loop.send(&storeFailed{err: err})
		if !s.pause(ctx, backoff(failures)) {
			return
		}
		failures++
	}
}

func (s *Server) sendHead(object keeper.Object, sent time.Duration) {
	head, err := watcher.DecodeHead(object.Value())
	if err != nil {
		s.loop.send(&storeFailed{err: err})
		return
	}
	s.loop.send(&headSeen{head: head, sent: sent})
}

// watches reports whether this host is to wait on the store.
func (s *Server) watches() bool {
	if s.snapshot.Load().catalog == nil {
		return true
	}
	m := &dutyAsked{base: base{done: make(chan struct{})}, duty: watchDuty, hosts: watchersZone}
	return s.loop.ask(m, m.done) && m.holds
}

// dutyAsked asks whether the host holds a duty in its zone.
type dutyAsked struct {
	base
	duty  string
	hosts int
	fleet bool // among all hosts, not only those of the zone
	holds bool
}

func (m *dutyAsked) apply(l *loop, now time.Duration) {
	live := l.tracker.Live(now)
	if m.fleet {
		m.holds = tracker.Holds(m.duty, live, l.server.id.Name, m.hosts)
		return
	}
	zone := l.server.settings.Host().Zone()
	var near []tracker.Host
	for _, host := range live {
		if host.Zone == zone {
			near = append(near, host)
		}
	}
	m.holds = tracker.Holds(m.duty+"/"+zone, near, l.server.id.Name, m.hosts)
}

// pollHosts reads the platform's host list, for addresses only.
func (s *Server) pollHosts(ctx context.Context) {
	for {
		hosts, err := s.store.Hosts(ctx)
		if err != nil {
			s.loop.send(&storeFailed{err: err})
		} else {
			s.loop.send(&listed{hosts: hosts})
		}
		period := s.settings.Platform().HostsPoll()
		if !s.pause(ctx, period/2+rand.N(period)) {
			return
		}
	}
}

// listed is the platform's host list.
type listed struct {
	hosts []keeper.Listing
}

func (m *listed) apply(l *loop, now time.Duration) {
	l.storeAnswered(now, nil)
	addresses := append([]string(nil), l.server.settings.Membership().Peers()...)
	for _, host := range m.hosts {
		addresses = append(addresses, host.Address())
	}
	l.listed = addresses
}

// probeEjected checks the backend servers that were ejected.
func (s *Server) probeEjected(ctx context.Context) {
	for _, p := range s.snapshot.Load().pools {
		for _, server := range p.router.Ejected() {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			passed := s.forwarder.Probe(ctx, server.Address())
			cancel()
			if passed && p.router.Passed(s.clock.Now(), server.Address()) {
				s.recorder.TimeLine().Record(recorder.BackendState, server.Name(), "probe passed")
				p.kick()
			}
		}
	}
}
