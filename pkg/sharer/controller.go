package sharer

import (
	"fmt"
	"time"

	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	joinReadInterval     = 250 * time.Millisecond // between two reads of the roster while the host is not a member
	collectionRetryDelay = 2 * time.Second        // between two attempts to start a collection
)

// Action is something that a controller wants done. The outcome is passed to the
// controller's method that the action names.
type Action interface{ action() }

// ReadRoster asks for the roster in the store. Outcome: RosterRead,
// RosterAbsent or RosterFailed.
type ReadRoster struct{}

// WriteRoster asks to replace the roster if it has the version, where 0 means that
// there is none. Outcome: RosterRead with the written roster, RosterConflict or RosterFailed.
type WriteRoster struct {
	Roster  Roster
	Version int64
}

// ProbeMember asks whether it is certain that a member's process has stopped.
// The outcome goes to the method for finished probes.
type ProbeMember struct{ Member Member }

// StopProcess asks to send the last heartbeat and to stop the process: a later
// incarnation of the host exists, and this one has given up everything.
type StopProcess struct{}

// Notice is a change of state for the event log.
type Notice struct {
	Kind    NoticeKind
	Subject tracker.HostID
	Text    string
}

// NoticeKind is the kind of a notice.
type NoticeKind int

// Kinds of notices.
const (
	EpochEntered NoticeKind = iota
	CollectionDue
	CollectionIssued
	MemberDead
)

func (ReadRoster) action()  {}
func (WriteRoster) action() {}
func (ProbeMember) action() {}
func (Notice) action()      {}
func (StopProcess) action() {}

// Controller keeps a host a member and runs collections. It takes events and
// returns actions, does no I/O, and is not safe for concurrent use.
type Controller struct {
	sharer     *Sharer
	tracker    *tracker.Tracker
	scheduler  *Scheduler
	self       Member
	drift      time.Duration
	probeAfter time.Duration // heartbeat age above which a member is probed

	serving     bool          // the host may join and run collections
	retired     bool          // a later incarnation of the host exists; nothing is held any more
	stored      Roster        // as last read from or written to the store
	version     int64         // of stored; 0 when there is none
	ioPending   bool          // a read or write of the roster is running
	lastIO      time.Duration // when the last read or write ended
	retryAfter  time.Duration // no collection is started before this
	collection  *Collection   // run by this host, or nil
	peerLost    bool          // another host lost something in the present epoch
	probing     map[tracker.HostID]bool
	unseenSince map[tracker.HostID]time.Duration // when a member without any heartbeat became known
	actions     []Action
}

// NewController returns a controller for a host that is not a member yet.
func NewController(s *Sharer, t *tracker.Tracker, self Member, drift, probeAfter time.Duration) *Controller {
	return &Controller{
		sharer: s, tracker: t, self: self, drift: drift, probeAfter: probeAfter,
		scheduler:   NewScheduler(self.ID, s.Lease(), drift),
		probing:     map[tracker.HostID]bool{},
		unseenSince: map[tracker.HostID]time.Duration{},
	}
}

// SetServing sets whether the host may join and run collections.
func (c *Controller) SetServing(serving bool) { c.serving = serving }

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Controller) takeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// Tick runs the control loop once and returns the actions that are due.
func (c *Controller) Tick(now time.Duration) []Action {
	c.sharer.Tick(now)
	if c.tracker.Superseded() && !c.retired {
		c.retire(now)
	}
	if !c.serving || c.retired {
		return c.takeActions()
	}
	if now-c.lastIO > c.readInterval() {
		c.requestRead()
	}
	c.checkMembers(now)
	c.finishCollection(now)
	c.startDueCollection(now)
	return c.takeActions()
}

// readInterval returns the time between two reads of the roster. A host that is
// not a member yet has no shares to serve from, so it reads often.
func (c *Controller) readInterval() time.Duration {
	if _, member := c.sharer.Roster().Member(c.self.ID); !member {
		return joinReadInterval
	}
	return c.sharer.Lease() / 4
}

func (c *Controller) requestRead() {
	if !c.ioPending {
		c.ioPending = true
		c.emit(ReadRoster{})
	}
}

func (c *Controller) requestWrite(next Roster) {
	if !c.ioPending {
		c.ioPending = true
		c.emit(WriteRoster{Roster: next, Version: c.version})
	}
}

// RosterRead applies the roster that a read sent at a given time returned.
func (c *Controller) RosterRead(now, sent time.Duration, roster Roster, version int64) []Action {
	c.ioPending = false
	c.lastIO = now
	c.applyStored(now, sent, roster, version)
	return c.takeActions()
}

// RosterAbsent records that the store holds no roster, and writes the first one.
func (c *Controller) RosterAbsent(now time.Duration) []Action {
	c.ioPending = false
	c.lastIO = now
	c.version = 0
	if c.serving {
		c.requestWrite(Roster{}.With(c.self).NextEpoch(c.self.ID))
	}
	return c.takeActions()
}

// RosterConflict records that another host changed the roster, and reads it.
func (c *Controller) RosterConflict(now time.Duration) []Action {
	c.ioPending = false
	c.lastIO = now
	c.requestRead()
	return c.takeActions()
}

// RosterFailed records that the store did not answer, or that the outcome of a
// write is unknown. The next read shows it.
func (c *Controller) RosterFailed(now time.Duration) []Action {
	c.ioPending = false
	c.lastIO = now
	return c.takeActions()
}

func (c *Controller) applyStored(now, sent time.Duration, roster Roster, version int64) {
	before := c.sharer.Roster().Epoch
	c.stored = roster
	c.version = version
	c.sharer.RecordStoreRead(now, sent, roster)
	c.checkEpoch(now, before)
	c.startCollection(now)
	if _, member := c.sharer.Roster().Member(c.self.ID); !member && c.serving {
		c.requestWrite(roster.With(c.self))
	}
}

// ApplyRoster applies a roster received from another host.
func (c *Controller) ApplyRoster(now time.Duration, roster Roster) []Action {
	before := c.sharer.Roster().Epoch
	c.sharer.ApplyRoster(now, roster)
	c.checkEpoch(now, before)
	return c.takeActions()
}

// checkEpoch resets the state kept per epoch if the host has left epoch before.
func (c *Controller) checkEpoch(now time.Duration, before int64) {
	roster := c.sharer.Roster()
	if roster.Epoch == before {
		return
	}
	c.emit(Notice{
		Kind: EpochEntered, Subject: roster.Collector,
		Text: fmt.Sprintf("epoch %d with %d members", roster.Epoch, len(roster.Members)),
	})
	c.peerLost = false
	c.scheduler.EnterEpoch(now, c.sharer.Limits(), c.sharer.LossCount())
	if c.collection != nil && c.collection.Roster().Epoch < roster.Epoch {
		c.collection = nil
	}
}

// startCollection starts a collection if the roster, which must be stored already,
// names this host as the collector of the present epoch.
func (c *Controller) startCollection(now time.Duration) {
	roster := c.sharer.Roster()
	if roster.Collector != c.self.ID || c.collection != nil {
		return
	}
	c.collection = NewCollection(roster, c.sharer.Generation(), now, c.sharer.Lease(), c.drift)
	c.collection.Add(c.sharer.Report())
	c.finishCollection(now)
}

// Heartbeats returns the heartbeats to send to other hosts. Members that are proven
// to have stopped are sent as gone while the roster still contains them,
// because a host that started later cannot find the proof again.
func (c *Controller) Heartbeats(now time.Duration) []tracker.Heartbeat {
	return append(c.tracker.Heartbeats(now), c.GoneHeartbeats()...)
}

// GoneHeartbeats returns gone heartbeats for members proven to have stopped.
func (c *Controller) GoneHeartbeats() []tracker.Heartbeat {
	var heartbeats []tracker.Heartbeat
	for _, m := range c.sharer.Roster().Members {
		if c.tracker.IsDead(m.ID) {
			heartbeats = append(heartbeats, tracker.Heartbeat{ID: m.ID, Zone: m.Zone, Control: m.Control, State: tracker.Gone})
		}
	}
	return heartbeats
}

// WantsCollection reports whether this or another host lost something in the epoch.
// Others receive it, because the host may not be allowed to start a collection.
func (c *Controller) WantsCollection() bool {
	return c.peerLost || c.scheduler.LostSinceEntry(c.sharer.LossCount())
}

// RecordCollectionRequest records that another host wants a collection in the
// given epoch.
func (c *Controller) RecordCollectionRequest(epoch int64) {
	if epoch == c.sharer.Roster().Epoch {
		c.peerLost = true
	}
}

// PendingReport returns the host's report and the collector until that has
// counted it.
func (c *Controller) PendingReport() (Report, Member, bool) {
	roster := c.sharer.Roster()
	collector, ok := roster.Member(roster.Collector)
	if !ok || c.sharer.Confirmed() {
		return Report{}, Member{}, false
	}
	return c.sharer.Report(), collector, true
}

// AddReport adds another host's report and returns how it was counted.
func (c *Controller) AddReport(report Report) Verdict {
	if c.collection == nil || report.To != c.self.ID {
		return Verdict{}
	}
	return c.collection.Add(report)
}

// finishCollection issues what the collection left if all members are counted.
func (c *Controller) finishCollection(now time.Duration) {
	if c.collection == nil || c.collection.Issued() {
		return
	}
	for _, m := range c.collection.Roster().Members {
		if c.tracker.IsDead(m.ID) {
			c.collection.MarkDead(m.ID)
		}
	}
	if c.sharer.IssueRemainder(now, c.collection) {
		c.emit(Notice{
			Kind: CollectionIssued, Subject: c.self.ID,
			Text: fmt.Sprintf("epoch %d", c.collection.Roster().Epoch),
		})
	}
}

func (c *Controller) startDueCollection(now time.Duration) {
	view := ClusterView{
		Roster:       c.sharer.Roster(),
		Limits:       c.sharer.Limits(),
		LossCount:    c.sharer.LossCount(),
		PeerLost:     c.peerLost,
		Confirmed:    c.sharer.Confirmed(),
		Live:         c.tracker.Live(now),
		IsDead:       c.tracker.IsDead,
		HeartbeatAge: func(id tracker.HostID) time.Duration { return c.heartbeatAge(now, id) },
		Collection:   c.collection,
	}
	reason, due := c.scheduler.Due(now, view)
	if !due || c.ioPending || c.version == 0 || c.stored.Epoch != view.Roster.Epoch {
		return
	}
	if now < c.retryAfter {
		return
	}
	next := c.stored.Without(func(id tracker.HostID) bool {
		return id != c.self.ID && c.tracker.IsDead(id)
	}).NextEpoch(c.self.ID)
	c.emit(Notice{
		Kind: CollectionDue, Subject: c.self.ID,
		Text: fmt.Sprintf("epoch %d: %s", next.Epoch, reason),
	})
	c.retryAfter = now + collectionRetryDelay
	c.requestWrite(next)
}

// heartbeatAge returns the time since the last heartbeat of a member, or since
// the member became known if it has sent none.
func (c *Controller) heartbeatAge(now time.Duration, id tracker.HostID) time.Duration {
	if id == c.self.ID {
		return 0
	}
	if host, known := c.tracker.Find(now, id); known {
		return host.HeartbeatAge
	}
	since, known := c.unseenSince[id]
	if !known {
		since = now
		c.unseenSince[id] = now
	}
	return now - since
}

// checkMembers looks for proof that members have stopped: a later incarnation
// at the same address of the same machine, or a refused connection. A last
// heartbeat with state gone counts as soon as it is received.
func (c *Controller) checkMembers(now time.Duration) {
	for _, m := range c.sharer.Roster().Members {
		if m.ID == c.self.ID || c.tracker.IsDead(m.ID) {
			continue
		}
		switch {
		case c.tracker.Replaced(m.ID, m.Control, m.BootID):
			c.markDead(now, m.ID, "a later run of the host listens at its address")
		case c.heartbeatAge(now, m.ID) > c.probeAfter && !c.probing[m.ID]:
			c.probing[m.ID] = true
			c.emit(ProbeMember{Member: m})
		}
	}
}

// RecordProbe records whether a connection to a member was refused, which proves
// that its process has stopped.
func (c *Controller) RecordProbe(now time.Duration, id tracker.HostID, refused bool) []Action {
	delete(c.probing, id)
	if refused {
		c.markDead(now, id, "connection refused at its address")
	}
	return c.takeActions()
}

// DeclareDead records that an operator declared a member dead. It is meant for
// machines that will never answer again.
func (c *Controller) DeclareDead(now time.Duration, id tracker.HostID) []Action {
	c.markDead(now, id, "an operator said so")
	return c.takeActions()
}

// retire gives up everything permanently and marks the host as gone.
func (c *Controller) retire(now time.Duration) {
	c.retired = true
	c.sharer.Retire(now)
	c.tracker.SetState(tracker.Gone)
	c.emit(StopProcess{})
}

func (c *Controller) markDead(now time.Duration, id tracker.HostID, reason string) {
	c.tracker.MarkDead(id)
	c.emit(Notice{Kind: MemberDead, Subject: id, Text: reason})
	c.finishCollection(now)
}
