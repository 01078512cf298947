package sharer

import (
	"time"

	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// checkLease reduces an entry to its floor when the lease has expired, and to
// nothing when the host was paused. The caller holds the entry's lock. It runs
// at every use, so that a host that was paused admits nothing after it resumes.
func (s *Sharer) checkLease(now time.Duration, e *entry) {
	if s.paused(now) {
		s.reduce(now, e, limiter.Amount{})
		return
	}
	if int64(now) < s.leaseEnd.Load() {
		return
	}
	s.reduce(now, e, s.floorOf(e))
}

// reduce limits an entry's share to a maximum. A reduction that took anything
// away is counted, because only a collection recovers it.
func (s *Sharer) reduce(now time.Duration, e *entry, maximum limiter.Amount) {
	if e.reduceTo(now, maximum) {
		s.reductions.Add(1)
	}
}

func (s *Sharer) floorOf(e *entry) limiter.Amount { return s.me.Load().floorOf(e.limit) }

// Tick records that the host's control loop runs. A host whose loop did not run
// for the length of a lease was paused and may have been replaced meanwhile, so
// it gives up everything.
func (s *Sharer) Tick(now time.Duration) {
	if s.paused(now) {
		s.reduceAllToZero(now)
	}
	s.lastTick.Store(int64(now))
}

// Retire gives up everything permanently.
func (s *Sharer) Retire(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retired = true
	s.confirmed = false
	s.leaseEnd.Store(0)
	s.me.Store(&Member{})
	s.reduceAllToZero(now)
}

func (s *Sharer) paused(now time.Duration) bool {
	return int64(now)-s.lastTick.Load() >= int64(s.lease)
}

func (s *Sharer) reduceAllToZero(now time.Duration) {
	for _, e := range *s.entries.Load() {
		e.mu.Lock()
		s.reduce(now, e, limiter.Amount{})
		e.mu.Unlock()
	}
}

// RecordStoreRead records that a read of the platform's store, sent at the given
// time, returned a roster. It enters the roster's epoch if that is higher, and
// renews the lease unless the roster is of an earlier epoch.
func (s *Sharer) RecordStoreRead(now, sent time.Duration, roster Roster) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyRoster(now, roster)
	if roster.Epoch == s.roster.Epoch {
		s.renewLease(now, sent)
	}
}

// RecordReply records that a member answered a message sent at the given time, and
// which epoch the member was in. Once all other members have answered within a
// lease, none of them can have started another collection before, so the lease
// is renewed even while the store is unreachable.
func (s *Sharer) RecordReply(now, sent time.Duration, from tracker.HostID, epoch int64) {
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
		s.renewLease(now, oldest)
	}
}

// renewLease extends the lease, counted from the time at which the read or
// message that proves contact was sent. If the lease has expired already, all
// limits are reduced to their floors first.
func (s *Sharer) renewLease(now, sent time.Duration) {
	if !s.confirmed {
		return
	}
	if int64(now) >= s.leaseEnd.Load() {
		s.reduceAllToFloor(now)
	}
	leaseEnd := int64(sent + s.lease)
	if leaseEnd > s.leaseEnd.Load() {
		s.leaseEnd.Store(leaseEnd)
	}
	s.addOvercommitted(now)
}

func (s *Sharer) reduceAllToFloor(now time.Duration) {
	for _, e := range *s.entries.Load() {
		e.mu.Lock()
		s.reduce(now, e, s.floorOf(e))
		e.mu.Unlock()
	}
}
