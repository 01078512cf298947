package server

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/activator"
	"magnoliahill.example/magnoliahill/internal/recorder"
	"magnoliahill.example/magnoliahill/internal/storer"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	watchRole         = "watch"
	watchersPerZone   = 2                      // hosts of a zone that watch the store
	firstRetryDelay   = 200 * time.Millisecond // before jitter
	maxRetryDelay     = 5 * time.Second        // before jitter
	probeInterval     = 500 * time.Millisecond
	probeTimeout      = time.Second
	roleCheckInterval = time.Second // between two checks for being elected to watch
)

// startWorkers starts the goroutines that wait for the platform and for timers.
// They do not access control state; they send messages to the loop.
func (s *Server) startWorkers(ctx context.Context) {
	go s.watchStore(ctx)
	go s.pollHosts(ctx)
	go s.runEvery(ctx, s.settings.Shares().RebalanceInterval(), s.borrower.rebalance)
	go s.runEvery(ctx, movePollInterval, newMoveWorker(s).poll)
	go s.runEvery(ctx, probeInterval, func() { s.probeEjected(ctx) })
}

// runEvery calls f once per period until the context is done or the loop has
// stopped.
func (s *Server) runEvery(ctx context.Context, period time.Duration, f func()) {
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

// sleep waits for a duration. It returns false at once when the context is done
// or the loop has stopped.
func (s *Server) sleep(ctx context.Context, d time.Duration) bool {
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

// backoff returns the delay before the next retry. It doubles with each failure
// and has random jitter, so that hosts do not all retry at the same time when
// the store recovers.
func backoff(failures int) time.Duration {
	wait := min(firstRetryDelay<<min(failures, 10), maxRetryDelay)
	return wait/2 + rand.N(wait)
}

// watchStore watches the store for new configurations while this host is
// elected to do so or has no configuration at all.
func (s *Server) watchStore(ctx context.Context) {
	version := int64(0)
	failures := 0
	for {
		if !s.isWatcher() {
			if !s.sleep(ctx, roleCheckInterval) {
				return
			}
			continue
		}
		sent := s.clock.Now()
		object, err := s.store.Watch(ctx, activator.HeadKey, version)
		switch {
		case err == nil:
			failures = 0
			version = object.Version()
			s.sendHead(object, sent)
			continue
		case errors.Is(err, storer.ErrUnchanged):
			failures = 0
			s.loop.send(&headUnchanged{sent: sent})
			continue
		}
		s.loop.send(&storeFailed{err: err})
		if !s.sleep(ctx, backoff(failures)) {
			return
		}
		failures++
	}
}

// sendHead decodes a configuration head and sends it to the loop.
func (s *Server) sendHead(object storer.Object, sent time.Duration) {
	head, err := activator.DecodeHead(object.Value())
	if err != nil {
		s.loop.send(&storeFailed{err: err})
		return
	}
	s.loop.send(&headRead{head: head, sent: sent})
}

// isWatcher reports whether this host should watch the store.
func (s *Server) isWatcher() bool {
	if s.snapshot.Load().catalog == nil {
		return true
	}
	m := &electionQuery{completion: completion{done: make(chan struct{})}, role: watchRole, count: watchersPerZone}
	return s.loop.sendAndWait(m, m.done) && m.elected
}

// electionQuery asks whether rendezvous hashing elects this host as one of the
// count hosts that hold a role in its zone.
type electionQuery struct {
	completion
	role     string
	count    int
	allZones bool // among all hosts instead of those of the zone
	elected  bool
}

func (m *electionQuery) apply(l *loop, now time.Duration) {
	live := l.tracker.Live(now)
	if m.allZones {
		m.elected = tracker.Elected(m.role, live, l.server.id.Name, m.count)
		return
	}
	zone := l.server.settings.Host().Zone()
	var zoneHosts []tracker.Host
	for _, host := range live {
		if host.Zone == zone {
			zoneHosts = append(zoneHosts, host)
		}
	}
	m.elected = tracker.Elected(m.role+"/"+zone, zoneHosts, l.server.id.Name, m.count)
}

// pollHosts polls the platform's host list, which is used for addresses only.
func (s *Server) pollHosts(ctx context.Context) {
	for {
		hosts, err := s.store.Hosts(ctx)
		if err != nil {
			s.loop.send(&storeFailed{err: err})
		} else {
			s.loop.send(&hostsListed{hosts: hosts})
		}
		period := s.settings.Platform().HostsPollInterval()
		if !s.sleep(ctx, period/2+rand.N(period)) {
			return
		}
	}
}

// hostsListed is the message that the platform's host list was read.
type hostsListed struct {
	hosts []storer.ListedHost
}

func (m *hostsListed) apply(l *loop, now time.Duration) {
	l.recordStoreResult(now, nil)
	addresses := append([]string(nil), l.server.settings.Membership().Peers()...)
	for _, host := range m.hosts {
		addresses = append(addresses, host.Address())
	}
	l.listedAddresses = addresses
}

// probeEjected probes the ejected backend servers and reports successes to
// their router.
func (s *Server) probeEjected(ctx context.Context) {
	for _, p := range s.snapshot.Load().pools {
		for _, server := range p.router.Ejected() {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			passed := s.forwarder.Probe(ctx, server.Address())
			cancel()
			if passed && p.router.RecordProbeSuccess(s.clock.Now(), server.Address()) {
				s.recorder.TimeLine().Record(recorder.BackendState, server.Name(), "probe passed")
				p.wakeWaiters()
			}
		}
	}
}
