package sharer

import (
	"time"

	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	minCollectionInterval = time.Second      // least time between entering an epoch and the next collection
	minLossInterval       = 10 * time.Second // the same when lost shares are the only reason
	silenceThreshold      = time.Second      // heartbeat age above which a member counts as silent when the epoch begins
	rankDelay             = 2 * time.Second  // added for each host that is ranked higher, so that usually one host starts
)

// ClusterView is the state from which a host decides whether a collection is
// due.
type ClusterView struct {
	Roster       Roster
	Limits       []Limit
	LossCount    int64
	PeerLost     bool // another host lost something in this epoch
	Confirmed    bool
	Live         []tracker.Host                     // serving or leaving, including the own host
	IsDead       func(tracker.HostID) bool          // proven to have stopped
	HeartbeatAge func(tracker.HostID) time.Duration // time since the last heartbeat of a member
	Collection   *Collection                        // run by the own host, or nil
}

// Scheduler decides when its host should start a collection. Several hosts may
// decide so at the same time: the conditional update in the store lets only one
// of them start each epoch.
type Scheduler struct {
	self          tracker.HostID
	lease         time.Duration
	drift         time.Duration
	enteredAt     time.Duration
	limits        map[string]Limit        // when the host entered the epoch
	lossesAtEntry int64                   // loss count when the host entered the epoch
	silentAtEntry map[tracker.HostID]bool // members that have been silent since the host entered the epoch
	dueSince      time.Duration           // when a collection became due; 0 when none is
}

// NewScheduler returns a scheduler for a host.
func NewScheduler(self tracker.HostID, lease, drift time.Duration) *Scheduler {
	return &Scheduler{self: self, lease: lease, drift: drift}
}

// EnterEpoch records that the host entered an epoch.
func (s *Scheduler) EnterEpoch(now time.Duration, limits []Limit, lossCount int64) {
	s.enteredAt = now
	s.lossesAtEntry = lossCount
	s.dueSince = 0
	s.silentAtEntry = nil
	s.limits = map[string]Limit{}
	for _, limit := range limits {
		s.limits[limit.name] = limit
	}
}

// Due returns why a collection is due, and reports whether the host should
// start it now. Hosts that are ranked lower wait longer.
func (s *Scheduler) Due(now time.Duration, v ClusterView) (string, bool) {
	if !v.Roster.MayCollect(s.self, v.IsDead) {
		return "", false
	}
	reason := s.reason(now, v)
	if reason == "" {
		s.dueSince = 0
		return "", false
	}
	if s.dueSince == 0 {
		s.dueSince = now
	}
	wait := time.Duration(s.rank(v)) * rankDelay
	return reason, now-s.dueSince >= wait
}

// LostSinceEntry reports whether the host lost something since it entered the
// epoch.
func (s *Scheduler) LostSinceEntry(lossCount int64) bool { return lossCount > s.lossesAtEntry }

func (s *Scheduler) rank(v ClusterView) int {
	rank := 0
	for _, host := range tracker.Rank("census", v.Live) {
		if host.ID == s.self {
			break
		}
		if v.Roster.MayCollect(host.ID, v.IsDead) && host.State == tracker.Serving {
			rank++
		}
	}
	return rank
}

func (s *Scheduler) reason(now time.Duration, v ClusterView) string {
	if now-s.enteredAt < minCollectionInterval {
		return ""
	}
	if v.Collection != nil && v.Collection.Stale() {
		return "a member reported under another configuration"
	}
	if s.limitsGrew(v.Limits) {
		return "limits were added or raised"
	}
	for _, m := range v.Roster.Members {
		if m.ID != s.self && v.IsDead(m.ID) {
			return "member " + m.ID.String() + " ended"
		}
	}
	if reason := s.silenceReason(v); reason != "" {
		return reason
	}
	if !v.Confirmed && now-s.enteredAt > s.lease/2 {
		return "the census of the epoch was not finished"
	}
	if (v.PeerLost || s.LostSinceEntry(v.LossCount)) && now-s.enteredAt > minLossInterval {
		return "parts were lost"
	}
	return ""
}

func (s *Scheduler) limitsGrew(limits []Limit) bool {
	for _, limit := range limits {
		before, known := s.limits[limit.name]
		if !known || limit.total.Rate > before.total.Rate || limit.total.Capacity > before.total.Capacity {
			return true
		}
	}
	return false
}

// silenceReason returns a reason if a member has become silent since the epoch
// began. Those silent from the start have been counted with their floors.
func (s *Scheduler) silenceReason(v ClusterView) string {
	if s.silentAtEntry == nil {
		s.silentAtEntry = map[tracker.HostID]bool{}
		for _, m := range v.Roster.Members {
			if v.HeartbeatAge(m.ID) > silenceThreshold {
				s.silentAtEntry[m.ID] = true
			}
		}
	}
	for _, m := range v.Roster.Members {
		if m.ID == s.self {
			continue
		}
		expired := v.HeartbeatAge(m.ID) > s.lease+s.drift
		if expired && !s.silentAtEntry[m.ID] {
			return "member " + m.ID.String() + " is silent"
		}
		if v.HeartbeatAge(m.ID) < silenceThreshold {
			delete(s.silentAtEntry, m.ID)
		}
	}
	return ""
}
