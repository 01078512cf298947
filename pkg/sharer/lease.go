package sharer

import (
	"time"

	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

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

func (s *Sharer) cutAll(now time.Duration) {
	for _, e := range *s.entries.Load() {
		e.mu.Lock()
		s.forfeit(now, e, s.floorOf(e))
		e.mu.Unlock()
	}
}
