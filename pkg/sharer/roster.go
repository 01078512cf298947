package sharer

import (
	"time"

	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const million = 1_000_000

// Member is one host that may hold parts of limits.
type Member struct {
	ID      tracker.HostID
	Zone    string
	Control string // host:port
	Boot    string // of its machine; see tracker.Beat
	Floor   Floor  // fixed while it is a member
	Joined  int64  // epoch in which it was added
}

// Floor is what a host may keep of limits without contact, in millionths.
type Floor struct {
	FleetPPM int64 // of each limit without a home; sums to at most one over all members
	HomePPM  int64 // of each limit at home in the host's zone; sums to at most one over its members
}

// floorOf returns the part of a limit that a member may keep without contact.
func (m Member) floorOf(limit Limit) limiter.Amount {
	switch limit.home {
	case "":
		return limit.total.Scale(m.Floor.FleetPPM, million)
	case m.Zone:
		return limit.total.Scale(m.Floor.HomePPM, million)
	default:
		return limiter.Amount{}
	}
}

// MayTake reports whether a member may start the next census. One that joined
// in this very epoch may not, because others need not know of it yet, unless
// all older members are proven dead.
func (r Roster) MayTake(id tracker.HostID, dead func(tracker.HostID) bool) bool {
	me, member := r.Member(id)
	if !member {
		return false
	}
	if me.Joined < r.Epoch {
		return true
	}
	for _, m := range r.Members {
		if m.Joined < r.Epoch && !dead(m.ID) {
			return false
		}
	}
	return true
}

// Roster is the object in the platform's store that says who may hold parts. It
// is only replaced by conditional update. Only members hold anything.
type Roster struct {
	Epoch   int64
	Taker   tracker.HostID // makes the census of the epoch
	Members []Member
}

// Member returns a member by its id.
func (r Roster) Member(id tracker.HostID) (Member, bool) {
	for _, m := range r.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// With returns a roster with one more member of the same epoch. Its floor is at
// most what the other members leave.
func (r Roster) With(m Member) Roster {
	left := Floor{FleetPPM: million, HomePPM: million}
	members := make([]Member, 0, len(r.Members)+1)
	for _, other := range r.Members {
		left.FleetPPM -= other.Floor.FleetPPM
		if other.Zone == m.Zone {
			left.HomePPM -= other.Floor.HomePPM
		}
		members = append(members, other)
	}
	m.Floor.FleetPPM = max(0, min(m.Floor.FleetPPM, left.FleetPPM))
	m.Floor.HomePPM = max(0, min(m.Floor.HomePPM, left.HomePPM))
	m.Joined = r.Epoch
	r.Members = append(members, m)
	return r
}

// Without returns a roster without some members.
func (r Roster) Without(gone func(tracker.HostID) bool) Roster {
	members := make([]Member, 0, len(r.Members))
	for _, m := range r.Members {
		if !gone(m.ID) {
			members = append(members, m)
		}
	}
	r.Members = members
	return r
}

// Next returns the roster of the next epoch, with the host that makes its census.
func (r Roster) Next(taker tracker.HostID) Roster {
	r.Epoch++
	r.Taker = taker
	return r
}

// Census adds up what the members of an epoch hold, so that its taker can issue
// the rest. A member that is silent counts with its floor once its lease has
// lapsed by any clock.
type Census struct {
	roster     Roster
	generation int64 // reports made under another one are not counted
	lapsed     time.Duration
	reports    map[tracker.HostID]Report
	dead       map[tracker.HostID]bool
	stale      bool // a report was made under another configuration
	issued     bool
}

// NewCensus starts adding up. The time is that before the roster was written;
// the lease is the longest that a member acts without contact; the drift covers
// the difference between clocks over one lease.
func NewCensus(roster Roster, generation int64, started, lease, drift time.Duration) *Census {
	counted := roster
	counted.Members = nil
	for _, m := range roster.Members {
		// Who joined in the epoch itself held nothing at its start.
		if m.Joined < roster.Epoch {
			counted.Members = append(counted.Members, m)
		}
	}
	return &Census{
		roster:     counted,
		generation: generation,
		lapsed:     started + lease + drift,
		reports:    map[tracker.HostID]Report{},
		dead:       map[tracker.HostID]bool{},
	}
}

// Roster returns the roster the census is made of.
func (c *Census) Roster() Roster { return c.roster }

// Verdict tells a member how the census of an epoch counted it.
type Verdict struct {
	Epoch int64
	Way   Way
}

// Way is how a census counted a member.
type Way int

// A member that is not counted yet reports again. One counted by its floor
// cuts its parts to the floor before it goes on.
const (
	NotCounted Way = iota
	Counted
	CountedByFloor
)

// Add takes in a report, in any order and any number of times.
func (c *Census) Add(report Report) Verdict {
	return Verdict{Epoch: c.roster.Epoch, Way: c.count(report)}
}

func (c *Census) count(report Report) Way {
	if report.Epoch != c.roster.Epoch {
		return NotCounted
	}
	if _, counted := c.reports[report.From]; counted {
		return Counted
	}
	if c.issued {
		return CountedByFloor
	}
	if report.Generation != c.generation {
		c.stale = true
		return NotCounted
	}
	c.reports[report.From] = report
	return Counted
}

// Stale reports whether a member answered under another configuration, so that
// this census can not be finished.
func (c *Census) Stale() bool { return c.stale && !c.issued }

// Issued reports whether the census is finished.
func (c *Census) Issued() bool { return c.issued }

// Dead records proof that a member ended.
func (c *Census) Dead(id tracker.HostID) { c.dead[id] = true }

// Missing returns the members that are still waited for.
func (c *Census) Missing(now time.Duration) []Member {
	var missing []Member
	for _, m := range c.roster.Members {
		_, reported := c.reports[m.ID]
		if reported || c.dead[m.ID] || now >= c.lapsed {
			continue
		}
		missing = append(missing, m)
	}
	return missing
}

// Rest returns what is left of a limit when everything held is taken off.
func (c *Census) Rest(limit Limit) limiter.Amount {
	rest := limit.total
	for _, m := range c.roster.Members {
		rest = rest.Sub(c.counted(m, limit))
	}
	rest.Rate = max(0, rest.Rate)
	rest.Capacity = max(0, rest.Capacity)
	return rest
}

func (c *Census) counted(m Member, limit Limit) limiter.Amount {
	if report, ok := c.reports[m.ID]; ok {
		return report.Holdings[limit.name]
	}
	if c.dead[m.ID] {
		return limiter.Amount{}
	}
	return m.floorOf(limit)
}
