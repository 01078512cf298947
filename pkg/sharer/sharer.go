package sharer

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// DefaultLease is how long a host uses more than its floor without contact.
const DefaultLease = 20 * time.Second

// Sharer holds one host's parts of all limits. Take, Release and Borrow may be
// called by many goroutines; requests for different limits share no lock.
type Sharer struct {
	self     tracker.HostID
	lease    time.Duration
	entries  atomic.Pointer[map[string]*entry]
	lapses   atomic.Int64           // monotonic time at which all but the floors lapses
	ticked   atomic.Int64           // monotonic time at which the host's control loop last ran
	forfeits atomic.Int64           // cuts by a lapsed lease that took anything
	me       atomic.Pointer[Member] // the host's own entry in the roster; zero when it is no member

	mu         sync.Mutex // guards what follows
	roster     Roster
	generation int64
	snapshot   Report // of the present epoch
	confirmed  bool   // the epoch's census knows what is held; before, nothing moves and the lease is not renewed
	contacts   map[tracker.HostID]time.Duration
	debts      map[debt]request // asks of the present epoch without an answer
	hints      map[debt]hint    // of the present epoch
	answered   map[debt]uint64  // highest ask answered, by who asked, of the present epoch
	asked      uint64           // id of the last ask
	retired    bool             // holds nothing any more, for good
	lost       int64            // messages that had no effect because of their epoch or total
}

// Option sets one property of a sharer.
type Option func(*Sharer)

// WithLease sets how long a host uses more than its floor without contact.
func WithLease(d time.Duration) Option {
	return func(s *Sharer) { s.lease = d }
}

// New returns a sharer that holds nothing.
func New(self tracker.HostID, options ...Option) *Sharer {
	s := &Sharer{self: self, lease: DefaultLease, contacts: map[tracker.HostID]time.Duration{}, debts: map[debt]request{}, hints: map[debt]hint{}, answered: map[debt]uint64{}}
	for _, option := range options {
		option(s)
	}
	s.entries.Store(&map[string]*entry{})
	s.me.Store(&Member{})
	return s
}

// Self returns the id of the sharer's host.
func (s *Sharer) Self() tracker.HostID { return s.self }

// Lease returns how long the sharer uses more than its floor without contact.
func (s *Sharer) Lease() time.Duration { return s.lease }

// Roster returns the roster of the present epoch.
func (s *Sharer) Roster() Roster {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster
}

// Lost returns how often something was lost that the next census brings back:
// messages that had no effect because their epoch or total was another, and
// parts that a lapsed lease took.
func (s *Sharer) Lost() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost + s.forfeits.Load()
}

func (s *Sharer) entry(name string) *entry { return (*s.entries.Load())[name] }

// SetLimits takes over the limits of a configuration.
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

// Take uses n units of a limit and reports whether the host's part had them.
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

// Release ends the use of n units of a level.
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

// Wait returns how long the host's present part takes to admit one unit of a
// rate, and false when it never will.
func (s *Sharer) Wait(now time.Duration, limit string) (time.Duration, bool) {
	e := s.entry(limit)
	if e == nil {
		return 0, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bucket.Wait(now, limiter.Unit)
}

// Held returns the host's present part of a limit and its tokens.
func (s *Sharer) Held(now time.Duration, limit string) (limiter.Amount, int64) {
	e := s.entry(limit)
	if e == nil {
		return limiter.Amount{}, 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.checkLease(now, e)
	return e.bucket.Amount(), e.bucket.Tokens(now)
}

// Limits returns all limits by name.
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

// Member reports whether the host is a member and may hold parts of limits.
func (s *Sharer) Member() bool { return s.me.Load().ID == s.self }

// Generation returns the configuration that the limits come from.
func (s *Sharer) Generation() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation
}
