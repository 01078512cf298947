package sharer

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// DefaultLease is how long a host may use more than its floor after its last
// contact.
const DefaultLease = 20 * time.Second

// Sharer holds one host's shares of all limits. Take, Release and Wait may be
// called by many goroutines; calls for different limits share no lock.
type Sharer struct {
	self       tracker.HostID
	lease      time.Duration
	entries    atomic.Pointer[map[string]*entry]
	leaseEnd   atomic.Int64           // monotonic time at which the lease expires; from then on only the floors may be used
	lastTick   atomic.Int64           // monotonic time at which the host's control loop last ran
	reductions atomic.Int64           // number of times that a share was taken away, such as when the lease expired
	me         atomic.Pointer[Member] // the host's own entry in the roster; zero when it is not a member

	mu            sync.Mutex // guards the fields below
	roster        Roster
	generation    int64
	report        Report                           // holdings when the host entered the present epoch
	confirmed     bool                             // the epoch's collector has counted this host; until then nothing is transferred and the lease is not renewed
	contacts      map[tracker.HostID]time.Duration // send time of the latest message that each member answered
	pending       map[askKey]pendingAsk            // unanswered asks of the present epoch
	hints         map[askKey]hint                  // last reported state of other hosts, of the present epoch
	lastAnswered  map[askKey]uint64                // highest ID of an answered ask, by asking host and limit, of the present epoch
	lastAskID     uint64                           // ID of the last ask made
	retired       bool                             // everything has been given up permanently
	lostTransfers int64                            // received transfers that had no effect
}

// Option configures a Sharer.
type Option func(*Sharer)

// WithLease sets how long a host may use more than its floor after its last
// contact.
func WithLease(d time.Duration) Option {
	return func(s *Sharer) { s.lease = d }
}

// New returns a sharer without limits or shares.
func New(self tracker.HostID, options ...Option) *Sharer {
	s := &Sharer{self: self, lease: DefaultLease, contacts: map[tracker.HostID]time.Duration{}, pending: map[askKey]pendingAsk{}, hints: map[askKey]hint{}, lastAnswered: map[askKey]uint64{}}
	for _, option := range options {
		option(s)
	}
	s.entries.Store(&map[string]*entry{})
	s.me.Store(&Member{})
	return s
}

// Self returns the ID of the sharer's host.
func (s *Sharer) Self() tracker.HostID { return s.self }

// Lease returns how long the host may use more than its floor after its last
// contact.
func (s *Sharer) Lease() time.Duration { return s.lease }

// Roster returns the roster of the present epoch.
func (s *Sharer) Roster() Roster {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster
}

// LossCount returns the number of losses that the next collection recovers:
// received transfers that had no effect, because their epoch or total differed
// or the lease had expired, and shares that were taken away, such as when the
// lease expired or the host was paused.
func (s *Sharer) LossCount() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lostTransfers + s.reductions.Load()
}

func (s *Sharer) entry(name string) *entry { return (*s.entries.Load())[name] }

// SetLimits applies the limits of a configuration. Limits that are not listed
// are dropped with their shares.
func (s *Sharer) SetLimits(now time.Duration, generation int64, limits []Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := *s.entries.Load()
	next := make(map[string]*entry, len(limits))
	for _, limit := range limits {
		e := old[limit.name]
		if e == nil {
			e = newEntry(limit, now)
		}
		e.mu.Lock()
		e.resize(now, limit)
		e.mu.Unlock()
		next[limit.name] = e
	}
	s.generation = generation
	s.entries.Store(&next)
}

// Take uses n units of a limit and reports whether the host's share had them.
// It returns false for an unknown limit.
func (s *Sharer) Take(now time.Duration, limit string, n int64) bool {
	e := s.entry(limit)
	if e == nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.checkLease(now, e)
	return e.take(now, n*limiter.Unit)
}

// Release ends the use of n units of a concurrency limit.
func (s *Sharer) Release(now time.Duration, limit string, n int64) {
	e := s.entry(limit)
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.checkLease(now, e)
	e.release(now, n*limiter.Unit)
}

// Wait returns how long the host's present share of a rate limit takes to admit
// one unit. It returns false when the share can never admit one.
func (s *Sharer) Wait(now time.Duration, limit string) (time.Duration, bool) {
	e := s.entry(limit)
	if e == nil {
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bucket.Wait(now, limiter.Unit)
}

// Share returns the host's present share of a limit and the tokens in it.
func (s *Sharer) Share(now time.Duration, limit string) (limiter.Amount, int64) {
	e := s.entry(limit)
	if e == nil {
		return limiter.Amount{}, 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.checkLease(now, e)
	return e.bucket.Amount(), e.bucket.Tokens(now)
}

// Limits returns all limits, sorted by name.
func (s *Sharer) Limits() []Limit {
	var limits []Limit
	for _, e := range *s.entries.Load() {
		e.mu.Lock()
		limits = append(limits, e.limit)
		e.mu.Unlock()
	}
	sort.Slice(limits, func(i, j int) bool { return limits[i].name < limits[j].name })
	return limits
}

// Member reports whether the host is a member and may hold shares of limits.
func (s *Sharer) Member() bool { return s.me.Load().ID == s.self }

// Generation returns the generation of the configuration that the limits come
// from.
func (s *Sharer) Generation() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation
}
