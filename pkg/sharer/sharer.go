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

// checkLease cuts an entry to its floor when the lease has lapsed. The caller
// holds the entry's lock. It runs at every use, so a host that was paused
// notices before it admits anything.
func (s *Sharer) checkLease(now time.Duration, e *entry) {
	if s.paused(now) {
		s.forfeit(now, e, limiter.Amount{})
		return
	}
	if int64(now) < s.lapses.Load() {
		return
	}
	s.forfeit(now, e, s.floorOf(e))
}

// forfeit cuts an entry, and counts it when that took anything: only a census
// brings it back.
func (s *Sharer) forfeit(now time.Duration, e *entry, most limiter.Amount) {
	if e.cut(now, most) {
		s.forfeits.Add(1)
	}
}

func (s *Sharer) floorOf(e *entry) limiter.Amount { return s.me.Load().floorOf(e.limit) }

// Member reports whether the host is a member and may hold parts of limits.
func (s *Sharer) Member() bool { return s.me.Load().ID == s.self }

// Tick records that the host's control loop runs. A host whose loop stood still
// for a lease was paused and may have been replaced meanwhile: it keeps nothing.
func (s *Sharer) Tick(now time.Duration) {
	if s.paused(now) {
		s.dropAll(now)
	}
	s.ticked.Store(int64(now))
}

// Retire gives everything up for good.
func (s *Sharer) Retire(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = true
	s.confirmed = false
	s.lapses.Store(0)
	s.me.Store(&Member{})
	s.dropAll(now)
}

func (s *Sharer) paused(now time.Duration) bool {
	return int64(now)-s.ticked.Load() >= int64(s.lease)
}

func (s *Sharer) dropAll(now time.Duration) {
	for _, e := range *s.entries.Load() {
		e.mu.Lock()
		s.forfeit(now, e, limiter.Amount{})
		e.mu.Unlock()
	}
}

// Contact records that the platform's store showed a roster to a read that was
// sent at a time. A higher epoch is entered; the present one is renewed.
func (s *Sharer) Contact(now, sent time.Duration, roster Roster) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adopt(now, roster)
	if roster.Epoch == s.roster.Epoch {
		s.renew(now, sent)
	}
}

// Heard records that a member answered a message that was sent at a time, and
// said then that it was in an epoch. Once all members have done so within a
// lease, none of them can have started another census before, and the lease is
// renewed also while the store is out.
func (s *Sharer) Heard(now, sent time.Duration, from tracker.HostID, epoch int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if epoch != s.roster.Epoch {
		return
	}
	s.contacts[from] = max(s.contacts[from], sent)
	oldest := sent
	for _, m := range s.roster.Members {
		if m.ID != s.self {
			oldest = min(oldest, s.contacts[m.ID])
		}
	}
	if _, member := s.roster.Member(s.self); member && oldest > 0 {
		s.renew(now, oldest)
	}
}

// Adopt enters a higher epoch that another host told of.
func (s *Sharer) Adopt(now time.Duration, roster Roster) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adopt(now, roster)
}

func (s *Sharer) adopt(now time.Duration, roster Roster) {
	if s.retired || roster.Epoch < s.roster.Epoch {
		return
	}
	higher := roster.Epoch > s.roster.Epoch
	_, before := s.roster.Member(s.self)
	s.roster = merged(s.roster, roster)
	me, member := s.roster.Member(s.self)
	if int64(now) >= s.lapses.Load() {
		s.cutAll(now)
	}
	s.me.Store(&me)
	if higher {
		s.enter(now, member)
	}
	if member && !before && me.Joined == s.roster.Epoch {
		s.confirmed = true // it holds nothing yet
	}
}

// merged keeps, within one epoch, the roster that knows more members: members
// join an epoch but leave only with it.
func merged(present, next Roster) Roster {
	if next.Epoch == present.Epoch && len(next.Members) < len(present.Members) {
		return present
	}
	return next
}

// enter starts an epoch: transfers of the old one have no effect from here on,
// and what is held is stated once. A host that is no member holds nothing.
func (s *Sharer) enter(now time.Duration, member bool) {
	s.contacts = map[tracker.HostID]time.Duration{}
	s.debts = map[debt]request{}
	s.hints = map[debt]hint{}
	s.answered = map[debt]uint64{}
	s.confirmed = s.roster.Taker == s.self
	report := Report{
		Message:    Message{From: s.self, To: s.roster.Taker, Epoch: s.roster.Epoch},
		Generation: s.generation,
		Holdings:   map[string]limiter.Amount{},
	}
	for name, e := range *s.entries.Load() {
		e.mu.Lock()
		if !member {
			e.cut(now, limiter.Amount{})
		}
		e.forget()
		held := e.bucket.Amount()
		e.overhang = max(0, e.inUse-held.Capacity)
		held.Capacity += e.overhang
		e.mu.Unlock()
		if !held.IsZero() {
			report.Holdings[name] = held
		}
	}
	s.snapshot = report
	s.takeOverhangs(now)
}

// renew moves the lease on from the time a proof of contact was sent. What
// lapsed before is cut first, on every limit.
func (s *Sharer) renew(now, sent time.Duration) {
	if !s.confirmed {
		return
	}
	if int64(now) >= s.lapses.Load() {
		s.cutAll(now)
	}
	lapses := int64(sent + s.lease)
	if lapses > s.lapses.Load() {
		s.lapses.Store(lapses)
	}
	s.takeOverhangs(now)
}

func (s *Sharer) dropOverhangs() {
	for _, e := range *s.entries.Load() {
		e.mu.Lock()
		e.overhang = 0
		e.mu.Unlock()
	}
}

func (s *Sharer) cutAll(now time.Duration) {
	for _, e := range *s.entries.Load() {
		e.mu.Lock()
		s.forfeit(now, e, s.floorOf(e))
		e.mu.Unlock()
	}
}

// Report returns what the host held when it entered the present epoch.
func (s *Sharer) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

// Confirm takes in how the census of the present epoch counted the host.
func (s *Sharer) Confirm(now time.Duration, verdict Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if verdict.Epoch != s.roster.Epoch || s.confirmed || verdict.Way == NotCounted {
		return
	}
	s.confirmed = true
	if verdict.Way == CountedByFloor {
		s.cutAll(now)
		s.dropOverhangs()
		// The floor was reserved in full, but less may be held.
		s.forfeits.Add(1)
		return
	}
	s.takeOverhangs(now)
}

// takeOverhangs raises parts to what the census counted: more of a level may
// have been in use than was held. It waits until the lease is good.
func (s *Sharer) takeOverhangs(now time.Duration) {
	if !s.confirmed || int64(now) >= s.lapses.Load() {
		return
	}
	for _, e := range *s.entries.Load() {
		e.mu.Lock()
		e.takeOverhang(now)
		e.mu.Unlock()
	}
}

// Confirmed reports whether the census of the present epoch knows what the host
// holds.
func (s *Sharer) Confirmed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed
}

// Issue adds to the host's own parts what a finished census left of each limit.
// It has no effect unless the host is still in the census's epoch under the
// same configuration, and only the first time.
func (s *Sharer) Issue(now time.Duration, census *Census) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	roster := census.roster
	if roster.Epoch != s.roster.Epoch || roster.Taker != s.self || census.generation != s.generation {
		return false
	}
	if census.issued || census.Stale() || len(census.Missing(now)) > 0 {
		return false
	}
	census.issued = true
	for _, e := range *s.entries.Load() {
		e.mu.Lock()
		rest := census.Rest(e.limit)
		tokens := int64(0)
		if e.limit.kind == Level {
			tokens = rest.Capacity
		}
		e.bucket.Deposit(now, rest, tokens)
		e.mu.Unlock()
	}
	return true
}

// Generation returns the configuration that the limits come from.
func (s *Sharer) Generation() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation
}
