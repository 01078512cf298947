package sharer_test

import (
	"time"

	"magnoliahill.example/magnoliahill/pkg/sharer"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// node is one simulated host process, with its sharer, tracker and controller.
type node struct {
	net         *network
	member      sharer.Member
	sharer      *sharer.Sharer
	tracker     *tracker.Tracker
	controller  *sharer.Controller
	clockOffset time.Duration
	clockSpeed  float64 // relative to virtual time
	stopped     bool
	machineGone bool // its machine is gone, so that nothing refuses connections
	paused      bool
	queued      []func() // events that arrived while it was paused
}

const (
	testLease            = 3 * time.Second
	testDrift            = 200 * time.Millisecond
	testHeartbeatTimeout = time.Second
	testHeartbeat        = 200 * time.Millisecond
	maxClockError        = 0.001 // greatest relative error of a clock's speed
)

func (n *network) start(name, zone, boot string, incarnation uint64, limits []sharer.Limit) *node {
	id := tracker.HostID{Name: name, Incarnation: incarnation}
	member := sharer.Member{
		ID: id, Zone: zone, Control: name, BootID: boot,
		Floor: sharer.Floor{FleetPPM: 1_000_000 / 8, HomePPM: 1_000_000 / 2},
	}
	x := &node{
		net: n, member: member,
		sharer:      sharer.New(id, sharer.WithLease(testLease)),
		tracker:     tracker.New(tracker.Heartbeat{ID: id, Zone: zone, Control: name, Boot: boot}, tracker.WithTimeout(testHeartbeatTimeout)),
		clockOffset: time.Duration(n.random.Int64N(int64(time.Hour))),
		clockSpeed:  1 + maxClockError*(2*n.random.Float64()-1),
	}
	x.sharer.Tick(x.now())
	x.sharer.SetLimits(x.now(), 1, limits)
	x.controller = sharer.NewController(x.sharer, x.tracker, member, testDrift, testHeartbeatTimeout)
	x.controller.SetServing(true)
	n.nodes = append(n.nodes, x)
	x.tick()
	return x
}

func (x *node) now() time.Duration {
	return x.clockOffset + time.Duration(float64(x.net.now)*x.clockSpeed) + time.Second
}

// execute runs fn in the process: later if it is paused, never if it has
// stopped.
func (x *node) execute(fn func()) {
	switch {
	case x.stopped:
	case x.paused:
		x.queued = append(x.queued, fn)
	default:
		fn()
	}
}

// tick runs the process once per heartbeat interval.
func (x *node) tick() {
	if x.stopped {
		return
	}
	x.execute(func() {
		x.perform(x.controller.Tick(x.now()))
		for _, other := range x.net.nodes {
			if other != x && other == x.net.listenerAt(other.member.Control) {
				x.exchange(other)
			}
		}
		for _, limit := range x.sharer.Limits() {
			if x.sharer.IsShort(x.now(), limit.Name()) {
				x.ask(limit.Name(), 0)
			}
		}
		for _, ask := range x.sharer.RepeatUnanswered(x.now(), 2*testHeartbeat) {
			x.sendAsk(ask)
		}
	})
	x.net.after(testHeartbeat, x.tick)
}

// sendStopNotice sends the last heartbeat to all hosts and stops the process.
func (x *node) sendStopNotice() {
	heartbeats := x.tracker.Heartbeats(x.now())
	for _, to := range x.net.nodes {
		x.net.deliver(x, to, func() { to.tracker.Apply(to.now(), heartbeats...) })
	}
	x.stopped = true
}

// exchange sends heartbeats, the roster and a report that is due to another
// host, and applies its reply.
func (x *node) exchange(to *node) {
	sent, heartbeats, roster := x.now(), x.controller.Heartbeats(x.now()), x.sharer.Roster()
	report, collector, due := x.controller.PendingReport()
	wantsCollection := x.controller.WantsCollection()
	due = due && collector.Control == to.member.Control
	x.net.deliver(x, to, func() {
		to.tracker.Apply(to.now(), heartbeats...)
		to.perform(to.controller.ApplyRoster(to.now(), roster))
		if wantsCollection {
			to.controller.RecordCollectionRequest(roster.Epoch)
		}
		var verdict sharer.Verdict
		if due {
			verdict = to.controller.AddReport(report)
		}
		replyHeartbeats, replyRoster := to.controller.Heartbeats(to.now()), to.sharer.Roster()
		x.net.deliver(to, x, func() {
			x.tracker.Apply(x.now(), replyHeartbeats...)
			x.perform(x.controller.ApplyRoster(x.now(), replyRoster))
			x.sharer.ApplyVerdict(x.now(), verdict)
			x.sharer.RecordReply(x.now(), sent, to.member.ID, replyRoster.Epoch)
		})
	})
}

// ask asks another host, chosen at random, for a share of a limit.
func (x *node) ask(limit string, need int64) {
	to := x.net.nodes[x.net.random.IntN(len(x.net.nodes))]
	if to == x || x.net.noAsks {
		return
	}
	if ask, ok := x.sharer.Ask(x.now(), to.member.ID, limit, need); ok {
		x.sendAsk(ask)
	}
}

func (x *node) sendAsk(ask sharer.Ask) {
	to := x.net.listenerAt(ask.To.Name)
	if to == nil {
		return
	}
	x.net.deliver(x, to, func() {
		transfer, granted := to.sharer.Grant(to.now(), ask)
		x.net.deliver(to, x, func() {
			if granted {
				x.sharer.ApplyTransfer(x.now(), transfer)
			} else {
				x.sharer.RecordRefusal(ask)
			}
		})
	})
}

func (x *node) perform(actions []sharer.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case sharer.ReadRoster:
			x.read()
		case sharer.WriteRoster:
			x.write(a)
		case sharer.Notice:
			x.net.notice(x, a)
		case sharer.StopProcess:
			x.sendStopNotice()
		case sharer.ProbeMember:
			listener := x.net.listenerAt(a.Member.Control)
			refused := listener == nil && !x.net.partitioned(x.member.Zone, a.Member.Zone) && !x.net.machineGoneAt(a.Member.Control)
			x.net.after(x.net.delay(), func() {
				x.execute(func() { x.perform(x.controller.RecordProbe(x.now(), a.Member.ID, refused)) })
			})
		}
	}
}

// machineGoneAt reports whether the machine at an address is gone.
func (n *network) machineGoneAt(control string) bool {
	for _, x := range n.nodes {
		if x.member.Control == control && x.machineGone {
			return true
		}
	}
	return false
}

// reachesStore reports whether a call reaches the store, or its response the
// host.
func (x *node) reachesStore() bool {
	return !x.net.storeDown && !x.net.isolated[x.member.Zone] && x.net.random.Float64() >= x.net.lossRate
}

// reply runs fn in the process after the delay of a response.
func (x *node) reply(fn func()) {
	x.net.after(x.net.delay(), func() { x.execute(fn) })
}

func (x *node) read() {
	sent := x.now()
	x.net.after(x.net.delay(), func() {
		roster, version, requestArrives, responseArrives := x.net.roster, x.net.version, x.reachesStore(), x.reachesStore()
		x.reply(func() {
			switch {
			case !requestArrives || !responseArrives:
				x.perform(x.controller.RosterFailed(x.now()))
			case version == 0:
				x.perform(x.controller.RosterAbsent(x.now()))
			default:
				x.perform(x.controller.RosterRead(x.now(), sent, roster, version))
			}
		})
	})
}

func (x *node) write(a sharer.WriteRoster) {
	sent := x.now()
	x.net.after(x.net.delay(), func() {
		requestArrives, responseArrives := x.reachesStore(), x.reachesStore()
		accepted := requestArrives && a.Version == x.net.version
		if accepted {
			x.net.version++
			x.net.roster = a.Roster
		}
		version := x.net.version
		x.reply(func() {
			switch {
			case !requestArrives || !responseArrives:
				x.perform(x.controller.RosterFailed(x.now()))
			case !accepted:
				x.perform(x.controller.RosterConflict(x.now()))
			default:
				x.perform(x.controller.RosterRead(x.now(), sent, a.Roster, version))
			}
		})
	})
}
