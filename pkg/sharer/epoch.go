package sharer

import (
	"time"

	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

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

func (s *Sharer) dropOverhangs() {
	for _, e := range *s.entries.Load() {
		e.mu.Lock()
		e.overhang = 0
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
