package server

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/charter"
	"magnoliahill.example/magnoliahill/internal/recorder"
	"magnoliahill.example/magnoliahill/internal/watcher"
	"magnoliahill.example/magnoliahill/pkg/sharer"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	inboxSize   = 256                    // messages waiting for the loop
	controlTick = 200 * time.Millisecond // between two looks at what is due
)

// loop owns the control state of a daemon. Only its own goroutine touches the
// fields; others send it messages.
type loop struct {
	server  *Server
	inbox   chan message
	stopped chan struct{}
	once    sync.Once

	hostChart *charter.Chart
	hostState charter.State
	tracker   *tracker.Tracker
	watcher   *watcher.Watcher
	listed    []string                 // control addresses from the platform's list
	busy      map[string]bool          // control addresses that an exchange runs with
	told      map[string]peerKnowledge // what other hosts are known to have, by control address
	seenLive  map[tracker.HostID]bool  // live hosts at the last tick
	fetching  bool                     // configuration files are being fetched
	storeUp   bool                     // the last call to the store succeeded
	storeNews time.Duration            // time of the last success
	shares    *sharer.Controller
}

// peerKnowledge is what another host is known to have.
type peerKnowledge struct {
	generation int64
	epoch      int64
	members    int32         // in its roster; hosts join an epoch, but leave only with it
	digest     uint64        // of the hosts it knows; 0 when not known
	spoken     time.Duration // end of the last exchange with it, in either direction
	asked      time.Duration // beginning of the last own exchange with it
	failed     bool          // the last own exchange failed; the rest is not known
}

// message is one input of the loop.
type message interface {
	apply(l *loop, now time.Duration)
}

// base is what all messages have in common.
type base struct {
	done chan struct{} // closed when the message has been applied, if not nil
}

func (b base) finished() {
	if b.done != nil {
		close(b.done)
	}
}

type finisher interface{ finished() }

func newLoop(s *Server) (*loop, error) {
	chart, err := charter.Load("host")
	if err != nil {
		return nil, err
	}
	settings := s.settings
	self := tracker.Beat{
		ID: s.id, Zone: settings.Host().Zone(),
		Control: settings.Listen().Control(), Data: settings.Listen().Data(), Boot: bootID(),
		State: tracker.Leaving, // until it has a configuration
	}
	members := tracker.New(self, tracker.WithSilence(settings.Membership().Silence()))
	shares := settings.Shares()
	me := sharer.Member{
		ID: s.id, Zone: self.Zone, Control: self.Control, Boot: self.Boot,
		Floor: sharer.Floor{FleetPPM: shares.FleetFloorPPM(), HomePPM: shares.HomeFloorPPM()},
	}
	return &loop{
		server:    s,
		inbox:     make(chan message, inboxSize),
		stopped:   make(chan struct{}),
		hostChart: chart,
		hostState: chart.Initial(),
		tracker:   members,
		shares:    sharer.NewController(s.sharer, members, me, shares.Drift(), settings.Membership().Silence()),
		watcher:   watcher.New(),
		listed:    settings.Membership().Peers(),
		busy:      map[string]bool{},
		told:      map[string]peerKnowledge{},
		seenLive:  map[tracker.HostID]bool{},
		storeUp:   true,
	}, nil
}

func (l *loop) run(ctx context.Context) {
	ticker := time.NewTicker(min(controlTick, l.server.settings.Membership().Heartbeat()))
	defer ticker.Stop()
	l.tick(l.server.clock.Now())
	for {
		select {
		case <-ctx.Done():
			l.halt()
			return
		case <-l.stopped:
			return
		case m := <-l.inbox:
			m.apply(l, l.server.clock.Now())
			if f, ok := m.(finisher); ok {
				f.finished()
			}
		case <-ticker.C:
			l.tick(l.server.clock.Now())
		}
	}
}

// halt ends the loop at once.
func (l *loop) halt() { l.once.Do(func() { close(l.stopped) }) }

// send hands a message to the loop. It is dropped when the loop has ended.
func (l *loop) send(m message) {
	select {
	case l.inbox <- m:
	case <-l.stopped:
	}
}

// ask hands a message to the loop and waits until it has been applied. It
// reports false when the loop has ended.
func (l *loop) ask(m message, done <-chan struct{}) bool {
	l.send(m)
	select {
	case <-done:
		return true
	case <-l.stopped:
		return false
	}
}

func (l *loop) tick(now time.Duration) {
	l.watchLive(now)
	l.exchangeAll(now)
	l.tickShares(now)
	l.server.kickPools()
}

// watchLive notes which hosts came and went, and makes the look-up answers anew
// when any did.
func (l *loop) watchLive(now time.Duration) {
	live := l.tracker.Live(now)
	present := map[tracker.HostID]bool{}
	changed := false
	for _, host := range live {
		present[host.ID] = true
		if !l.seenLive[host.ID] {
			changed = true
			l.event(recorder.HostSeen, host.ID.String(), host.State.String()+" in "+host.Zone)
		}
	}
	for id := range l.seenLive {
		if !present[id] {
			changed = true
			l.event(recorder.HostLost, id.String(), "no heartbeat")
		}
	}
	l.seenLive = present
	if changed {
		l.rebuildLookup(now)
	}
}

func (l *loop) event(kind recorder.Kind, subject, text string) {
	l.server.recorder.TimeLine().Record(kind, subject, text)
	klog.V(1).InfoS("state changed", "host", l.server.id.Name, "kind", string(kind), "subject", subject, "text", text)
}

func (l *loop) fire(trigger charter.Trigger) bool {
	if err := l.hostChart.Fire(&l.hostState, trigger); err != nil {
		return false
	}
	l.event(recorder.HostState, l.server.id.String(), string(l.hostState))
	return true
}
