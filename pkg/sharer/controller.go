package sharer

import (
	"fmt"
	"time"

	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	joinPeriod = 250 * time.Millisecond // between two looks of a host that is no member yet
	retryPause = 2 * time.Second        // between two tries to start a census
)

// Action is something that a controller wants done. Its outcome comes back by
// the method that the action names.
type Action interface{ action() }

// ReadRoster asks for the roster in the store. Outcome: RosterRead, RosterAbsent
// or RosterFailed.
type ReadRoster struct{}

// WriteRoster asks to replace the roster if it has a version; 0 means that there
// must be none. Outcome: RosterWritten, RosterConflict or RosterFailed.
type WriteRoster struct {
	Next    Roster
	Version int64
}

// ProbeMember asks whether a member's process surely ended. Outcome: Probed.
type ProbeMember struct{ Member Member }

// Retired says that a later run of the same host was heard of and this one has
// given everything up. Its process should say farewell and end.
type Retired struct{}

// Notice is a change of state that operators want to see.
type Notice struct {
	Kind    NoticeKind
	Subject tracker.HostID
	Text    string
}

// NoticeKind tells notices apart.
type NoticeKind int

// Kinds of notices.
const (
	EpochEntered NoticeKind = iota
	CensusDue
	CensusIssued
	MemberDead
)

func (ReadRoster) action()  {}
func (WriteRoster) action() {}
func (ProbeMember) action() {}
func (Notice) action()      {}
func (Retired) action()     {}

// Controller keeps one host a member and takes censuses. It is stepped with
// events and returns actions; it does no I/O and is not safe for concurrent use.
type Controller struct {
	sharer  *Sharer
	tracker *tracker.Tracker
	steward *Steward
	self    Member
	drift   time.Duration
	silence time.Duration // a member silent for this long is probed

	serving bool          // the host may join and take censuses
	retired bool          // a later run of the host exists; nothing is held any more
	stored  Roster        // as last read from or written to the store
	version int64         // of stored; 0 when there is none
	busy    bool          // a read or write of the roster runs
	looked  time.Duration // when the last one ended
	retry   time.Duration // no census is started before this
	census  *Census       // the one this host takes, or nil
	wanted  bool          // another host lost something in the present epoch
	probing map[tracker.HostID]bool
	missed  map[tracker.HostID]time.Duration // since when a member without any heartbeat is known
	actions []Action
}

// NewController returns a controller for a host that is not a member yet.
func NewController(s *Sharer, t *tracker.Tracker, self Member, drift, silence time.Duration) *Controller {
	return &Controller{
		sharer: s, tracker: t, self: self, drift: drift, silence: silence,
		steward: NewSteward(self.ID, s.Lease(), drift),
		probing: map[tracker.HostID]bool{},
		missed:  map[tracker.HostID]time.Duration{},
	}
}

// SetServing says whether the host may join and take censuses.
func (c *Controller) SetServing(serving bool) { c.serving = serving }

func (c *Controller) do(a Action) { c.actions = append(c.actions, a) }

func (c *Controller) take() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// Tick looks at what is due.
func (c *Controller) Tick(now time.Duration) []Action {
	c.sharer.Tick(now)
	if c.tracker.Superseded() && !c.retired {
		c.retire(now)
	}
	if !c.serving || c.retired {
		return c.take()
	}
	if now-c.looked > c.period() {
		c.read()
	}
	c.checkSilent(now)
	c.finish(now)
	c.startDue(now)
	return c.take()
}

// period returns how old the last look at the roster may get. A host that is no
// member yet has nothing to serve from, so it looks often.
func (c *Controller) period() time.Duration {
	if _, member := c.sharer.Roster().Member(c.self.ID); !member {
		return joinPeriod
	}
	return c.sharer.Lease() / 4
}

func (c *Controller) read() {
	if !c.busy {
		c.busy = true
		c.do(ReadRoster{})
	}
}

func (c *Controller) write(next Roster) {
	if !c.busy {
		c.busy = true
		c.do(WriteRoster{Next: next, Version: c.version})
	}
}

// RosterRead takes in a roster that a read sent at a time found in the store.
func (c *Controller) RosterRead(now, sent time.Duration, roster Roster, version int64) []Action {
	c.busy = false
	c.looked = now
	c.seen(now, sent, roster, version)
	return c.take()
}

// RosterWritten takes in that a write sent at a time took effect.
func (c *Controller) RosterWritten(now, sent time.Duration, roster Roster, version int64) []Action {
	return c.RosterRead(now, sent, roster, version)
}

// RosterAbsent takes in that the store holds no roster. The host writes the
// first one.
func (c *Controller) RosterAbsent(now time.Duration) []Action {
	c.busy = false
	c.looked = now
	c.version = 0
	if c.serving {
		c.write(Roster{}.With(c.self).Next(c.self.ID))
	}
	return c.take()
}

// RosterConflict takes in that someone else changed the roster.
func (c *Controller) RosterConflict(now time.Duration) []Action {
	c.busy = false
	c.looked = now
	c.read()
	return c.take()
}

// RosterFailed takes in that the store did not answer, or that the outcome of a
// write is not known. The next look finds out.
func (c *Controller) RosterFailed(now time.Duration) []Action {
	c.busy = false
	c.looked = now
	return c.take()
}

func (c *Controller) seen(now, sent time.Duration, roster Roster, version int64) {
	before := c.sharer.Roster().Epoch
	c.stored = roster
	c.version = version
	c.sharer.Contact(now, sent, roster)
	c.entered(now, before)
	c.startCensus(now)
	if _, member := c.sharer.Roster().Member(c.self.ID); !member && c.serving {
		c.write(roster.With(c.self))
	}
}

// Adopt takes in a roster that another host told of.
func (c *Controller) Adopt(now time.Duration, roster Roster) []Action {
	before := c.sharer.Roster().Epoch
	c.sharer.Adopt(now, roster)
	c.entered(now, before)
	return c.take()
}

func (c *Controller) entered(now time.Duration, before int64) {
	roster := c.sharer.Roster()
	if roster.Epoch == before {
		return
	}
	c.do(Notice{
		Kind: EpochEntered, Subject: roster.Taker,
		Text: fmt.Sprintf("epoch %d with %d members", roster.Epoch, len(roster.Members)),
	})
	c.wanted = false
	c.steward.Entered(now, c.sharer.Limits(), c.sharer.Lost())
	if c.census != nil && c.census.Roster().Epoch < roster.Epoch {
		c.census = nil
	}
}

// startCensus starts adding up when the store shows this host as the taker of
// the present epoch. The roster was written before now.
func (c *Controller) startCensus(now time.Duration) {
	roster := c.sharer.Roster()
	if roster.Taker != c.self.ID || c.census != nil {
		return
	}
	c.census = NewCensus(roster, c.sharer.Generation(), now, c.sharer.Lease(), c.drift)
	c.census.Add(c.sharer.Report())
	c.finish(now)
}

// Beats returns the heartbeats to tell other hosts. Members that are proven to
// have ended are told as gone while the roster still names them, since a host
// that started later cannot find the proof again.
func (c *Controller) Beats(now time.Duration) []tracker.Beat {
	return append(c.tracker.Beats(now), c.GoneBeats()...)
}

// GoneBeats returns the farewells of members that are proven to have ended.
func (c *Controller) GoneBeats() []tracker.Beat {
	var beats []tracker.Beat
	for _, m := range c.sharer.Roster().Members {
		if c.tracker.IsDead(m.ID) {
			beats = append(beats, tracker.Beat{ID: m.ID, Zone: m.Zone, Control: m.Control, State: tracker.Gone})
		}
	}
	return beats
}

// WantsCensus reports whether the host lost something since it entered the
// epoch. It may not be allowed to take a census itself, so it tells others.
func (c *Controller) WantsCensus() bool {
	return c.wanted || c.steward.Lost(c.sharer.Lost())
}

// CensusWanted takes in that another host wants a census of an epoch.
func (c *Controller) CensusWanted(epoch int64) {
	if epoch == c.sharer.Roster().Epoch {
		c.wanted = true
	}
}

// Report returns the host's census report while the taker does not know it, and
// whom it is for.
func (c *Controller) Report() (Report, Member, bool) {
	roster := c.sharer.Roster()
	taker, ok := roster.Member(roster.Taker)
	if !ok || c.sharer.Confirmed() {
		return Report{}, Member{}, false
	}
	return c.sharer.Report(), taker, true
}

// Reported takes in another host's report and returns how it was counted.
func (c *Controller) Reported(report Report) Verdict {
	if c.census == nil || report.To != c.self.ID {
		return Verdict{}
	}
	return c.census.Add(report)
}

// finish issues what the running census leaves, once all members are counted.
func (c *Controller) finish(now time.Duration) {
	if c.census == nil || c.census.Issued() {
		return
	}
	for _, m := range c.census.Roster().Members {
		if c.tracker.IsDead(m.ID) {
			c.census.Dead(m.ID)
		}
	}
	if c.sharer.Issue(now, c.census) {
		c.do(Notice{
			Kind: CensusIssued, Subject: c.self.ID,
			Text: fmt.Sprintf("epoch %d", c.census.Roster().Epoch),
		})
	}
}

func (c *Controller) startDue(now time.Duration) {
	view := View{
		Roster:    c.sharer.Roster(),
		Limits:    c.sharer.Limits(),
		Lost:      c.sharer.Lost(),
		Wanted:    c.wanted,
		Confirmed: c.sharer.Confirmed(),
		Live:      c.tracker.Live(now),
		Dead:      c.tracker.IsDead,
		Silent:    func(id tracker.HostID) time.Duration { return c.silent(now, id) },
		Census:    c.census,
	}
	reason, due := c.steward.Due(now, view)
	if !due || c.busy || c.version == 0 || c.stored.Epoch != view.Roster.Epoch {
		return
	}
	if now < c.retry {
		return
	}
	next := c.stored.Without(func(id tracker.HostID) bool {
		return id != c.self.ID && c.tracker.IsDead(id)
	}).Next(c.self.ID)
	c.do(Notice{
		Kind: CensusDue, Subject: c.self.ID,
		Text: fmt.Sprintf("epoch %d: %s", next.Epoch, reason),
	})
	c.retry = now + retryPause
	c.write(next)
}

// silent returns how long nothing has been heard of a member.
func (c *Controller) silent(now time.Duration, id tracker.HostID) time.Duration {
	if id == c.self.ID {
		return 0
	}
	if host, known := c.tracker.Find(now, id); known {
		return host.Silent
	}
	since, known := c.missed[id]
	if !known {
		since = now
		c.missed[id] = now
	}
	return now - since
}

// checkSilent looks for proof that members have ended: a later run at the same
// address of the same machine, or nothing that listens there. A farewell counts
// as soon as it is heard.
func (c *Controller) checkSilent(now time.Duration) {
	for _, m := range c.sharer.Roster().Members {
		if m.ID == c.self.ID || c.tracker.IsDead(m.ID) {
			continue
		}
		switch {
		case c.tracker.Replaced(m.ID, m.Control, m.Boot):
			c.dead(now, m.ID, "a later run of the host listens at its address")
		case c.silent(now, m.ID) > c.silence && !c.probing[m.ID]:
			c.probing[m.ID] = true
			c.do(ProbeMember{Member: m})
		}
	}
}

// Probed takes in whether the host of a member refuses connections to it, which
// proves that its process ended.
func (c *Controller) Probed(now time.Duration, id tracker.HostID, refused bool) []Action {
	delete(c.probing, id)
	if refused {
		c.dead(now, id, "connection refused at its address")
	}
	return c.take()
}

// Forget takes in an operator's word that a member has ended, for machines that
// will never answer again.
func (c *Controller) Forget(now time.Duration, id tracker.HostID) []Action {
	c.dead(now, id, "an operator said so")
	return c.take()
}

// retire gives everything up for good and then says farewell.
func (c *Controller) retire(now time.Duration) {
	c.retired = true
	c.sharer.Retire(now)
	c.tracker.SetState(tracker.Gone)
	c.do(Retired{})
}

func (c *Controller) dead(now time.Duration, id tracker.HostID, text string) {
	c.tracker.Dead(id)
	c.do(Notice{Kind: MemberDead, Subject: id, Text: text})
	c.finish(now)
}
