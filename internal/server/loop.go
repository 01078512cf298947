package server

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/activator"
	"magnoliahill.example/magnoliahill/internal/recorder"
	"magnoliahill.example/magnoliahill/internal/transitioner"
	"magnoliahill.example/magnoliahill/pkg/sharer"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	inboxSize       = 256                    // messages
	maxTickInterval = 200 * time.Millisecond // lowered to the heartbeat interval
)

// loop owns the control state of a daemon. Only the loop's own goroutine
// accesses that state; other goroutines send messages.
type loop struct {
	server   *Server
	inbox    chan message
	stopped  chan struct{}
	stopOnce sync.Once

	hostChart        *transitioner.Chart
	hostState        transitioner.State
	tracker          *tracker.Tracker
	activator        *activator.Activator
	listedAddresses  []string                // control addresses from the settings and the platform's host list
	exchanging       map[string]bool         // control addresses with an exchange in progress
	peerStates       map[string]peerState    // what other hosts are known to have, by control address
	lastLive         map[tracker.HostID]bool // live hosts at the last tick
	fetching         bool                    // a fetch of configuration files is in progress
	storeReachable   bool                    // the last call to the store succeeded
	lastStoreContact time.Duration           // time of the last successful call to the store
	shareController  *sharer.Controller
}

// peerState is what another host is known to have, as of the last exchange with
// it.
type peerState struct {
	generation   int64
	epoch        int64
	members      int32         // in its roster; hosts join during an epoch, but leave only at its end
	digest       uint64        // of its live hosts; 0 when unknown
	lastExchange time.Duration // end of the last exchange with it, whichever host began it
	lastRequest  time.Duration // start of the last exchange that this host began
	failed       bool          // the last exchange that this host began failed; all else is unknown
}

// message is an input of the loop. The loop's goroutine calls apply.
type message interface {
	apply(l *loop, now time.Duration)
}

// completion is embedded in messages whose sender waits until they have been
// applied.
type completion struct {
	done chan struct{} // closed when the message has been applied, if not nil
}

func (b completion) complete() {
	if b.done != nil {
		close(b.done)
	}
}

// completer is a message that reports when it has been applied.
type completer interface{ complete() }

func newLoop(s *Server) (*loop, error) {
	chart, err := transitioner.Load("host")
	if err != nil {
		return nil, err
	}
	settings := s.settings
	self := tracker.Heartbeat{
		ID: s.id, Zone: settings.Host().Zone(),
		Control: settings.Listen().Control(), Data: settings.Listen().Data(), Boot: bootID(),
		State: tracker.Leaving, // until it has a configuration
	}
	hostTracker := tracker.New(self, tracker.WithTimeout(settings.Membership().HeartbeatTimeout()))
	shares := settings.Shares()
	member := sharer.Member{
		ID: s.id, Zone: self.Zone, Control: self.Control, BootID: self.Boot,
		Floor: sharer.Floor{FleetPPM: shares.FleetFloorPPM(), HomePPM: shares.HomeFloorPPM()},
	}
	return &loop{
		server:          s,
		inbox:           make(chan message, inboxSize),
		stopped:         make(chan struct{}),
		hostChart:       chart,
		hostState:       chart.Initial(),
		tracker:         hostTracker,
		shareController: sharer.NewController(s.sharer, hostTracker, member, shares.Drift(), settings.Membership().HeartbeatTimeout()),
		activator:       activator.New(),
		listedAddresses: settings.Membership().Peers(),
		exchanging:      map[string]bool{},
		peerStates:      map[string]peerState{},
		lastLive:        map[tracker.HostID]bool{},
		storeReachable:  true,
	}, nil
}

// run applies messages and ticks until the context is done or stop is called.
func (l *loop) run(ctx context.Context) {
	ticker := time.NewTicker(min(maxTickInterval, l.server.settings.Membership().HeartbeatInterval()))
	defer ticker.Stop()
	l.tick(l.server.clock.Now())
	for {
		select {
		case <-ctx.Done():
			l.stop()
			return
		case <-l.stopped:
			return
		case m := <-l.inbox:
			m.apply(l, l.server.clock.Now())
			if f, ok := m.(completer); ok {
				f.complete()
			}
		case <-ticker.C:
			l.tick(l.server.clock.Now())
		}
	}
}

// stop stops the loop at once. It may be called more than once.
func (l *loop) stop() { l.stopOnce.Do(func() { close(l.stopped) }) }

// send queues a message for the loop and blocks while the inbox is full. The
// message is dropped when the loop has stopped.
func (l *loop) send(m message) {
	select {
	case l.inbox <- m:
	case <-l.stopped:
	}
}

// sendAndWait sends a message to the loop and waits until it has been applied.
// It returns false when the loop has stopped.
func (l *loop) sendAndWait(m message, done <-chan struct{}) bool {
	l.send(m)
	select {
	case <-done:
		return true
	case <-l.stopped:
		return false
	}
}

func (l *loop) tick(now time.Duration) {
	l.updateLiveHosts(now)
	l.exchangeAll(now)
	l.tickShareController(now)
	l.server.wakeAllWaiters()
}

// updateLiveHosts records which hosts became live or were lost since the last
// tick, and rebuilds the look-up responses when any did.
func (l *loop) updateLiveHosts(now time.Duration) {
	live := l.tracker.Live(now)
	present := map[tracker.HostID]bool{}
	changed := false
	for _, host := range live {
		present[host.ID] = true
		if !l.lastLive[host.ID] {
			changed = true
			l.recordEvent(recorder.HostSeen, host.ID.String(), host.State.String()+" in "+host.Zone)
		}
	}
	for id := range l.lastLive {
		if !present[id] {
			changed = true
			l.recordEvent(recorder.HostLost, id.String(), "no heartbeat")
		}
	}
	l.lastLive = present
	if changed {
		l.rebuildLookup(now)
	}
}

// recordEvent records an event in the time line and the log.
func (l *loop) recordEvent(kind recorder.Kind, subject, text string) {
	l.server.recorder.TimeLine().Record(kind, subject, text)
	klog.V(1).InfoS("state changed", "host", l.server.id.Name, "kind", string(kind), "subject", subject, "text", text)
}

// fire applies a trigger to the host's state chart. It returns false when the
// current state has no transition for the trigger.
func (l *loop) fire(trigger transitioner.Trigger) bool {
	if err := l.hostChart.Fire(&l.hostState, trigger); err != nil {
		return false
	}
	l.recordEvent(recorder.HostState, l.server.id.String(), string(l.hostState))
	return true
}
