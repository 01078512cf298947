package sharer

import (
	"time"

	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// ApplyRoster applies a roster received from another host, and enters its epoch if
// that is higher.
func (s *Sharer) ApplyRoster(now time.Duration, roster Roster) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyRoster(now, roster)
}

func (s *Sharer) applyRoster(now time.Duration, roster Roster) {
	if s.retired || roster.Epoch < s.roster.Epoch {
		return
	}
	higher := roster.Epoch > s.roster.Epoch
	_, wasMember := s.roster.Member(s.self)
	s.roster = mergeRosters(s.roster, roster)
	me, member := s.roster.Member(s.self)
	if int64(now) >= s.leaseEnd.Load() {
		s.reduceAllToFloor(now)
	}
	s.me.Store(&me)
	if higher {
		s.enterEpoch(now, member)
	}
	if member && !wasMember && me.Joined == s.roster.Epoch {
		s.confirmed = true // a new member holds nothing yet
	}
}

// mergeRosters returns the later roster. Within one epoch it is the one with
// more members, because members can join during an epoch but leave only with
// the next one.
func mergeRosters(present, next Roster) Roster {
	if next.Epoch == present.Epoch && len(next.Members) < len(present.Members) {
		return present
	}
	return next
}

// enterEpoch starts an epoch: transfers of the old epoch have no effect from
// here on, and the holdings are recorded once for the collector. A host that is
// not a member gives up everything.
func (s *Sharer) enterEpoch(now time.Duration, member bool) {
	s.contacts = map[tracker.HostID]time.Duration{}
	s.pending = map[askKey]pendingAsk{}
	s.hints = map[askKey]hint{}
	s.lastAnswered = map[askKey]uint64{}
	s.confirmed = s.roster.Collector == s.self
	report := Report{
		Message:    Message{From: s.self, To: s.roster.Collector, Epoch: s.roster.Epoch},
		Generation: s.generation,
		Holdings:   map[string]limiter.Amount{},
	}
	for name, e := range *s.entries.Load() {
		e.mu.Lock()
		if !member {
			e.reduceTo(now, limiter.Amount{})
		}
		e.resetTransfers()
		held := e.bucket.Amount()
		e.overcommitted = max(0, e.inUse-held.Capacity)
		held.Capacity += e.overcommitted
		e.mu.Unlock()
		if !held.IsZero() {
			report.Holdings[name] = held
		}
	}
	s.report = report
	s.addOvercommitted(now)
}

func (s *Sharer) clearOvercommitted() {
	for _, e := range *s.entries.Load() {
		e.mu.Lock()
		e.overcommitted = 0
		e.mu.Unlock()
	}
}

// Report returns what the host held when it entered the present epoch.
func (s *Sharer) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report
}

// ApplyVerdict applies the collector's verdict on how this host was counted in the
// present epoch.
func (s *Sharer) ApplyVerdict(now time.Duration, verdict Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if verdict.Epoch != s.roster.Epoch || s.confirmed || verdict.Status == NotCounted {
		return
	}
	s.confirmed = true
	if verdict.Status == CountedByFloor {
		s.reduceAllToFloor(now)
		s.clearOvercommitted()
		// The collector reserved the full floor, but the host may hold less.
		s.reductions.Add(1)
		return
	}
	s.addOvercommitted(now)
}

// addOvercommitted raises shares to what the collector counted: more units of a
// concurrency limit may have been in use than the share held. It does nothing
// until the host is confirmed and the lease is valid.
func (s *Sharer) addOvercommitted(now time.Duration) {
	if !s.confirmed || int64(now) >= s.leaseEnd.Load() {
		return
	}
	for _, e := range *s.entries.Load() {
		e.mu.Lock()
		e.addOvercommitted(now)
		e.mu.Unlock()
	}
}

// Confirmed reports whether the collector of the present epoch has counted this
// host.
func (s *Sharer) Confirmed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed
}

// IssueRemainder adds to the host's own shares what a finished collection left of
// each limit, and reports whether it did. It has an effect only once per
// collection, and only while the host is in the collection's epoch under the same
// configuration.
func (s *Sharer) IssueRemainder(now time.Duration, collection *Collection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	roster := collection.roster
	if roster.Epoch != s.roster.Epoch || roster.Collector != s.self || collection.generation != s.generation {
		return false
	}
	if collection.issued || collection.Stale() || len(collection.Missing(now)) > 0 {
		return false
	}
	collection.issued = true
	for _, e := range *s.entries.Load() {
		e.mu.Lock()
		remainder := collection.Remainder(e.limit)
		tokens := int64(0)
		if e.limit.kind == Concurrency {
			tokens = remainder.Capacity
		}
		e.bucket.Deposit(now, remainder, tokens)
		e.mu.Unlock()
	}
	return true
}
