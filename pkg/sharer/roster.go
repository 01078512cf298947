package sharer

import (
	"time"

	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const million = 1_000_000

// Member is a host that may hold shares of limits.
type Member struct {
	ID      tracker.HostID
	Zone    string
	Control string // host:port
	BootID  string // ID of its machine's boot, as in its heartbeats
	Floor   Floor  // constant while it is a member
	Joined  int64  // epoch in which it was added
}

// Floor is what a host may keep of limits without contact, in millionths.
type Floor struct {
	FleetPPM int64 // of each limit without a home zone; sums to at most one million over all members
	HomePPM  int64 // of each limit whose home zone is the host's; sums to at most one million over the members of the zone
}

// floorOf returns the share of a limit that a member may keep without contact.
func (m Member) floorOf(limit Limit) limiter.Amount {
	switch limit.homeZone {
	case "":
		return limit.total.Scale(m.Floor.FleetPPM, million)
	case m.Zone:
		return limit.total.Scale(m.Floor.HomePPM, million)
	default:
		return limiter.Amount{}
	}
}

// MayCollect reports whether a member may start the next collection. One that
// joined in the present epoch may not, because other members may not have
// received the roster that contains it, unless all older members are proven
// dead.
func (r Roster) MayCollect(id tracker.HostID, isDead func(tracker.HostID) bool) bool {
	me, member := r.Member(id)
	if !member {
		return false
	}
	if me.Joined < r.Epoch {
		return true
	}
	for _, m := range r.Members {
		if m.Joined < r.Epoch && !isDead(m.ID) {
			return false
		}
	}
	return true
}

// Roster is the object in the platform's store that lists the members; only
// they hold shares. It is replaced only by conditional update.
type Roster struct {
	Epoch     int64
	Collector tracker.HostID // host that runs the collection of the epoch
	Members   []Member
}

// Member returns a member by its ID.
func (r Roster) Member(id tracker.HostID) (Member, bool) {
	for _, m := range r.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// With returns the roster with one more member in the same epoch. The member's
// floor is limited to what the other members leave.
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

// Without returns the roster without the members for which gone returns true.
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

// NextEpoch returns the roster of the next epoch with its collector.
func (r Roster) NextEpoch(collector tracker.HostID) Roster {
	r.Epoch++
	r.Collector = collector
	return r
}

// Collection adds up what the members of an epoch hold, so that its collector
// can reissue the rest. A member that does not report counts with its floor
// once its lease has expired by any clock.
type Collection struct {
	roster     Roster
	generation int64         // reports made under another one are not counted
	leasesEnd  time.Duration // time at which the leases of the previous epoch have expired by any clock
	reports    map[tracker.HostID]Report
	dead       map[tracker.HostID]bool
	stale      bool // a report was made under another configuration
	issued     bool
}

// NewCollection starts a collection. The roster was written to the store before
// started; lease is the longest time that a member acts without contact; drift
// covers the difference between clocks over one lease.
func NewCollection(roster Roster, generation int64, started, lease, drift time.Duration) *Collection {
	counted := roster
	counted.Members = nil
	for _, m := range roster.Members {
		// A host that joined in this epoch held nothing at its start.
		if m.Joined < roster.Epoch {
			counted.Members = append(counted.Members, m)
		}
	}
	return &Collection{
		roster:     counted,
		generation: generation,
		leasesEnd:  started + lease + drift,
		reports:    map[tracker.HostID]Report{},
		dead:       map[tracker.HostID]bool{},
	}
}

// Roster returns the roster of the members that the collection counts.
func (c *Collection) Roster() Roster { return c.roster }

// Verdict is how the collection of an epoch counted a member.
type Verdict struct {
	Epoch  int64
	Status CountStatus
}

// CountStatus is how a collection counted a member.
type CountStatus int

// A member that is not counted yet reports again. A member counted by its floor
// reduces its shares to the floor before it continues.
const (
	NotCounted CountStatus = iota
	Counted
	CountedByFloor
)

// Add counts a report. Reports may arrive in any order and any number of times.
func (c *Collection) Add(report Report) Verdict {
	return Verdict{Epoch: c.roster.Epoch, Status: c.countReport(report)}
}

func (c *Collection) countReport(report Report) CountStatus {
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

// Stale reports whether a member reported under another configuration, so that
// the collection cannot finish.
func (c *Collection) Stale() bool { return c.stale && !c.issued }

// Issued reports whether the collection has finished.
func (c *Collection) Issued() bool { return c.issued }

// MarkDead records proof that a member's process has stopped.
func (c *Collection) MarkDead(id tracker.HostID) { c.dead[id] = true }

// Missing returns the members whose reports are still awaited.
func (c *Collection) Missing(now time.Duration) []Member {
	var missing []Member
	for _, m := range c.roster.Members {
		_, reported := c.reports[m.ID]
		if reported || c.dead[m.ID] || now >= c.leasesEnd {
			continue
		}
		missing = append(missing, m)
	}
	return missing
}

// Remainder returns what is left of a limit after all counted holdings, and
// never less than zero.
func (c *Collection) Remainder(limit Limit) limiter.Amount {
	remainder := limit.total
	for _, m := range c.roster.Members {
		remainder = remainder.Sub(c.countedShare(m, limit))
	}
	remainder.Rate = max(0, remainder.Rate)
	remainder.Capacity = max(0, remainder.Capacity)
	return remainder
}

func (c *Collection) countedShare(m Member, limit Limit) limiter.Amount {
	if report, ok := c.reports[m.ID]; ok {
		return report.Holdings[limit.name]
	}
	if c.dead[m.ID] {
		return limiter.Amount{}
	}
	return m.floorOf(limit)
}
