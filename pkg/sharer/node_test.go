package sharer_test

import (
	"time"

	"magnoliahill.example/magnoliahill/pkg/sharer"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// node is one host's decision cores.
type node struct {
	net        *network
	member     sharer.Member
	sharer     *sharer.Sharer
	tracker    *tracker.Tracker
	controller *sharer.Controller
	offset     time.Duration // of its clock
	rate       float64       // of its clock
	ended      bool
	silent     bool // its machine is gone: nothing refuses connections
	paused     bool
	waiting    []func() // what arrived while it was paused
}

const (
	testLease   = 3 * time.Second
	testDrift   = 200 * time.Millisecond
	testSilence = time.Second
	testBeat    = 200 * time.Millisecond
	clockRate   = 0.001 // clocks run at most this much too fast or slow
)

func (n *network) start(name, zone, boot string, incarnation uint64, limits []sharer.Limit) *node {
	id := tracker.HostID{Name: name, Incarnation: incarnation}
	member := sharer.Member{
		ID: id, Zone: zone, Control: name, Boot: boot,
		Floor: sharer.Floor{FleetPPM: 1_000_000 / 8, HomePPM: 1_000_000 / 2},
	}
	x := &node{
		net: n, member: member,
		sharer:  sharer.New(id, sharer.WithLease(testLease)),
		tracker: tracker.New(tracker.Beat{ID: id, Zone: zone, Control: name, Boot: boot}, tracker.WithSilence(testSilence)),
		offset:  time.Duration(n.random.Int64N(int64(time.Hour))),
		rate:    1 + clockRate*(2*n.random.Float64()-1),
	}
	x.sharer.Tick(x.now())
	x.sharer.SetLimits(x.now(), 1, limits)
	x.controller = sharer.NewController(x.sharer, x.tracker, member, testDrift, testSilence)
	x.controller.SetServing(true)
	n.nodes = append(n.nodes, x)
	x.beat()
	return x
}

func (x *node) now() time.Duration {
	return x.offset + time.Duration(float64(x.net.now)*x.rate) + time.Second
}

// act runs something in the process, or later when it is paused.
func (x *node) act(run func()) {
	switch {
	case x.ended:
	case x.paused:
		x.waiting = append(x.waiting, run)
	default:
		run()
	}
}

func (x *node) beat() {
	if x.ended {
		return
	}
	x.act(func() {
		x.perform(x.controller.Tick(x.now()))
		for _, other := range x.net.nodes {
			if other != x && other == x.net.at(other.member.Control) {
				x.exchange(other)
			}
		}
		for _, limit := range x.sharer.Limits() {
			if x.sharer.Short(x.now(), limit.Name()) {
				x.ask(limit.Name(), 0)
			}
		}
		for _, ask := range x.sharer.Unsettled(x.now(), 2*testBeat) {
			x.sendAsk(ask)
		}
	})
	x.net.after(testBeat, x.beat)
}

// farewell says the last heartbeat to all and ends the process.
func (x *node) farewell() {
	beats := x.tracker.Beats(x.now())
	for _, to := range x.net.nodes {
		x.net.deliver(x, to, func() { to.tracker.Heard(to.now(), beats...) })
	}
	x.ended = true
}

func (x *node) exchange(to *node) {
	sent, beats, roster := x.now(), x.controller.Beats(x.now()), x.sharer.Roster()
	report, taker, due := x.controller.Report()
	wants := x.controller.WantsCensus()
	due = due && taker.Control == to.member.Control
	x.net.deliver(x, to, func() {
		to.tracker.Heard(to.now(), beats...)
		to.perform(to.controller.Adopt(to.now(), roster))
		if wants {
			to.controller.CensusWanted(roster.Epoch)
		}
		var verdict sharer.Verdict
		if due {
			verdict = to.controller.Reported(report)
		}
		reply, known := to.controller.Beats(to.now()), to.sharer.Roster()
		x.net.deliver(to, x, func() {
			x.tracker.Heard(x.now(), reply...)
			x.perform(x.controller.Adopt(x.now(), known))
			x.sharer.Confirm(x.now(), verdict)
			x.sharer.Heard(x.now(), sent, to.member.ID, known.Epoch)
		})
	})
}

// ask asks a random other host for a part of a limit.
func (x *node) ask(limit string, need int64) {
	to := x.net.nodes[x.net.random.IntN(len(x.net.nodes))]
	if to == x || x.net.idle {
		return
	}
	if ask, ok := x.sharer.Ask(x.now(), to.member.ID, limit, need); ok {
		x.sendAsk(ask)
	}
}

func (x *node) sendAsk(ask sharer.Ask) {
	to := x.net.at(ask.To.Name)
	if to == nil {
		return
	}
	x.net.deliver(x, to, func() {
		transfer, granted := to.sharer.Give(to.now(), ask)
		x.net.deliver(to, x, func() {
			if granted {
				x.sharer.Receive(x.now(), transfer)
			} else {
				x.sharer.Settled(ask)
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
		case sharer.Retired:
			x.farewell()
		case sharer.ProbeMember:
			at := x.net.at(a.Member.Control)
			refused := at == nil && !x.net.cut(x.member.Zone, a.Member.Zone) && !x.net.gone(a.Member.Control)
			x.net.after(x.net.delay(), func() {
				x.act(func() { x.perform(x.controller.Probed(x.now(), a.Member.ID, refused)) })
			})
		}
	}
}

// gone reports whether the machine at an address is gone.
func (n *network) gone(control string) bool {
	for _, x := range n.nodes {
		if x.member.Control == control && x.silent {
			return true
		}
	}
	return false
}

// reach reports whether a call gets to the store, or its answer back.
func (x *node) reach() bool {
	return !x.net.out && !x.net.alone[x.member.Zone] && x.net.random.Float64() >= x.net.loss
}

func (x *node) answer(run func()) {
	x.net.after(x.net.delay(), func() { x.act(run) })
}

func (x *node) read() {
	sent := x.now()
	x.net.after(x.net.delay(), func() {
		roster, version, there, back := x.net.roster, x.net.version, x.reach(), x.reach()
		x.answer(func() {
			switch {
			case !there || !back:
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
		there, back := x.reach(), x.reach()
		fits := there && a.Version == x.net.version
		if fits {
			x.net.version++
			x.net.roster = a.Next
		}
		version := x.net.version
		x.answer(func() {
			switch {
			case !there || !back:
				x.perform(x.controller.RosterFailed(x.now()))
			case !fits:
				x.perform(x.controller.RosterConflict(x.now()))
			default:
				x.perform(x.controller.RosterWritten(x.now(), sent, a.Next, version))
			}
		})
	})
}
