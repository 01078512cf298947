package sharer

import (
	"time"

	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	censusPause  = time.Second      // least time between entering an epoch and the next census
	lostPause    = 10 * time.Second // the same when only lost messages ask for one
	silentPause  = time.Second      // a member is silent this long before it counts
	reserveDelay = 2 * time.Second  // hosts further down the order wait this long each
)

// View is what a host sees when it asks whether a census is due.
type View struct {
	Roster    Roster
	Limits    []Limit
	Lost      int64
	Wanted    bool // another host lost something in this epoch
	Confirmed bool
	Live      []tracker.Host                     // serving or leaving, the own host included
	Dead      func(tracker.HostID) bool          // proven to have ended
	Silent    func(tracker.HostID) time.Duration // how long nothing was heard
	Census    *Census                            // the one the own host takes, or nil
}

// Steward decides when its host should take a census. Any number of hosts may
// decide so at once: the store lets one of them start each epoch.
type Steward struct {
	self    tracker.HostID
	lease   time.Duration
	drift   time.Duration
	entered time.Duration
	limits  map[string]Limit // at entry of the epoch
	lost    int64            // at entry of the epoch
	silent  map[tracker.HostID]bool
	due     time.Duration // since when a census has been due; 0 when it is not
}

// NewSteward returns a steward for a host.
func NewSteward(self tracker.HostID, lease, drift time.Duration) *Steward {
	return &Steward{self: self, lease: lease, drift: drift}
}

// Entered takes in that the host entered an epoch.
func (s *Steward) Entered(now time.Duration, limits []Limit, lost int64) {
	s.entered = now
	s.lost = lost
	s.due = 0
	s.silent = nil
	s.limits = map[string]Limit{}
	for _, limit := range limits {
		s.limits[limit.name] = limit
	}
}

// Due reports whether the host should start a census now, and why.
func (s *Steward) Due(now time.Duration, v View) (string, bool) {
	if !v.Roster.MayTake(s.self, v.Dead) {
		return "", false
	}
	reason := s.reason(now, v)
	if reason == "" {
		s.due = 0
		return "", false
	}
	if s.due == 0 {
		s.due = now
	}
	wait := time.Duration(s.rank(v)) * reserveDelay
	return reason, now-s.due >= wait
}

// Lost reports whether the host lost something since it entered the epoch.
func (s *Steward) Lost(lost int64) bool { return lost > s.lost }

func (s *Steward) rank(v View) int {
	rank := 0
	for _, host := range tracker.Rank("census", v.Live) {
		if host.ID == s.self {
			break
		}
		if v.Roster.MayTake(host.ID, v.Dead) && host.State == tracker.Serving {
			rank++
		}
	}
	return rank
}

func (s *Steward) reason(now time.Duration, v View) string {
	if now-s.entered < censusPause {
		return ""
	}
	if v.Census != nil && v.Census.Stale() {
		return "a member reported under another configuration"
	}
	if s.limitsGrew(v.Limits) {
		return "limits were added or raised"
	}
	for _, m := range v.Roster.Members {
		if m.ID != s.self && v.Dead(m.ID) {
			return "member " + m.ID.String() + " ended"
		}
	}
	if reason := s.silence(v); reason != "" {
		return reason
	}
	if !v.Confirmed && now-s.entered > s.lease/2 {
		return "the census of the epoch was not finished"
	}
	if (v.Wanted || s.Lost(v.Lost)) && now-s.entered > lostPause {
		return "parts were lost"
	}
	return ""
}

func (s *Steward) limitsGrew(limits []Limit) bool {
	for _, limit := range limits {
		before, known := s.limits[limit.name]
		if !known || limit.total.Rate > before.total.Rate || limit.total.Capacity > before.total.Capacity {
			return true
		}
	}
	return false
}

// silence returns a reason once a member fell silent that was not so when the
// epoch began. Those silent from the start have been counted by their floors.
func (s *Steward) silence(v View) string {
	if s.silent == nil {
		s.silent = map[tracker.HostID]bool{}
		for _, m := range v.Roster.Members {
			if v.Silent(m.ID) > silentPause {
				s.silent[m.ID] = true
			}
		}
	}
	for _, m := range v.Roster.Members {
		if m.ID == s.self {
			continue
		}
		long := v.Silent(m.ID) > s.lease+s.drift
		if long && !s.silent[m.ID] {
			return "member " + m.ID.String() + " is silent"
		}
		if v.Silent(m.ID) < silentPause {
			delete(s.silent, m.ID)
		}
	}
	return ""
}
