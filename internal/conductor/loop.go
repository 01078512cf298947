package conductor

import (
	"context"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/carrier"
	"magnoliahill.example/magnoliahill/internal/follower"
	"magnoliahill.example/magnoliahill/internal/loader"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/divider"
	"magnoliahill.example/magnoliahill/pkg/greeter"
	"magnoliahill.example/magnoliahill/pkg/registrar"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	inboxSize   = 256                     // messages waiting for the loop
	tick        = 250 * time.Millisecond  // between two looks at what is due
	greetEvery  = 500 * time.Millisecond  // between heartbeats
	unserved    = 1700 * time.Millisecond // without a watching host for so long, this one watches itself
	silence     = 2200 * time.Millisecond // four heartbeats: datagrams are lost now and then
	sweepEvery  = 2 * time.Second
	manyHosts   = 1000            // so many hosts renew their watches as seldom as may be
	reloadEvery = 2 * time.Second // the settings file may change without a signal
)

// loop owns the control state of a daemon. Only its own goroutine touches the
// fields; others send it messages.
type loop struct {
	conductor *Conductor
	inbox     chan message
	tracker   *tracker.Tracker
	greeter   *greeter.Greeter
	registrar *registrar.Registrar
	followers map[string]*follower.Follower
	kinds     Kinds
	order     []string      // the kinds, in the order that greetings name them
	watching  bool          // this host watches the store itself
	unwatch   func()        // ends the watches
	servedAt  time.Duration // when a watching host of the zone was last heard of
	outageAt  time.Duration // when the store was last away, not from this host alone; 0 when never
	work      context.Context
	tables    map[string]*table // by kind
	catalog   *cataloger.Catalog
	adopted   time.Duration // when the catalog was
	evacuated []string
	impaired  map[string]bool   // backend servers that were last said to be
	numbers   map[uint32]string // ids of backend servers, by what they go by between hosts
	phase     carrier.Phase
	stop      carrier.Stop
	contacts  []greeter.Contact // registered hosts but this one
	hosts     int               // that may send requests, this one included
	zoneHosts int               // those of them in the own zone
	greeted   time.Duration
	later     []greeter.Letter // heartbeats that the next tick sends
	swept     time.Duration
	asking    bool // another host is being asked for objects
	written   bool // the own registration stands in the store
}

// message is one input of the loop.
type message interface {
	apply(l *loop, now time.Duration)
}

func newLoop(c *Conductor) *loop {
	kinds := c.platform.Kinds()
	self := tracker.Beat{
		ID:   tracker.HostID{Name: c.settings.Host, Incarnation: tracker.NewIncarnation(time.Now())},
		Zone: c.settings.Zone, Control: c.settings.Control, Data: c.settings.Data, State: tracker.Leaving,
	}
	l := &loop{
		conductor: c,
		inbox:     make(chan message, inboxSize),
		tracker:   tracker.New(self, tracker.WithSilence(silence)),
		registrar: registrar.New(),
		followers: map[string]*follower.Follower{},
		kinds:     kinds,
		tables:    map[string]*table{},
		hosts:     c.settings.Expected,
	}
	l.greeter = greeter.New(c.settings.Host, c.settings.Zone, l.tracker, c.settings.Seeds)
	l.order = []string{kinds.Config, kinds.Servers, kinds.Evacuations, kinds.Hosts}
	for _, kind := range l.order {
		l.tables[kind] = newTable(kind)
		l.followers[kind] = follower.New(c.platform, kind, l.tell)
	}
	follower.Join(slices.Collect(maps.Values(l.followers))...)
	l.followers[kinds.Hosts].SetHosts(manyHosts)
	return l
}

// run starts the loop and all that feeds it.
func (l *loop) run(ctx context.Context) {
	l.work = ctx
	l.watch()
	go l.turn(ctx)
}

// watch begins to watch the store.
func (l *loop) watch() {
	ctx, cancel := context.WithCancel(l.work)
	l.watching, l.unwatch = true, cancel
	for _, f := range l.followers {
		go f.Run(ctx)
	}
}

// duty watches the store when this host is among those that do so for the zone,
// or when none of them is heard of. The others learn from these.
func (l *loop) duty(now time.Duration) {
	l.greeter.SetBlind(l.conductor.settings.Host, l.blind())
	due := l.greeter.Watches(now) || now-l.servedAt >= unserved
	switch {
	case due && !l.watching:
		klog.InfoS("host watches the store", "sinceServed", now-l.servedAt)
		l.watch()
	case !due && l.watching && l.knowsAll():
		klog.InfoS("host leaves the store to others of its zone")
		l.watching = false
		l.unwatch()
		for _, t := range l.tables {
			t.lost = false
		}
	}
}

func (l *loop) knowsAll() bool {
	for _, t := range l.tables {
		if !t.known || t.lost {
			return false
		}
	}
	return l.catalog != nil
}

func (l *loop) turn(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.inbox:
			m.apply(l, l.conductor.clock.Now())
		case <-ticker.C:
			l.tick(l.conductor.clock.Now())
		}
	}
}

// send hands the loop a message.
func (l *loop) send(m message) { l.inbox <- m }

// news is what a follower told.
type news struct{ follower.News }

func (l *loop) tell(n follower.News) { l.send(news{n}) }

func (n news) apply(l *loop, now time.Duration) {
	t := l.tables[n.Kind]
	switch {
	case !l.watching: // a watch that has been ended
	case n.Lost != nil:
		if !t.lost {
			t.lost = true
			klog.InfoS("store lost", "kind", n.Kind, "revision", t.revision, "cause", n.Lost.Error())
		}
		if n.Kind == l.kinds.Servers {
			l.registrar.StoreLost(now)
		}
	case n.Listed != nil:
		if t.lost || !t.known {
			klog.InfoS("store answers", "kind", n.Kind, "revision", n.Listed.Revision(), "objects", len(n.Listed.Items()))
		}
		t.lost = false
		if n.Kind == l.kinds.Servers {
			l.registrar.StoreRegained(now)
		}
		t.replace(*n.Listed)
		l.changed(now, n.Kind, nil)
		l.announce(now)
	case n.Changed != nil:
		t.change(*n.Changed)
		l.changed(now, n.Kind, n.Changed)
		l.announce(now)
	}
}

// publish shows the request path the configuration and phase.
func (l *loop) publish() {
	if l.phase == carrier.Starting && l.catalog != nil {
		l.phase = carrier.Serving
		l.tracker.SetState(tracker.Serving)
		klog.InfoS("host serves", "config", l.catalog.Generation())
	}
	l.conductor.carrier.SetView(carrier.NewView(l.catalog, l.phase, l.adopted, l.stop))
	l.conductor.ready.Store(l.phase == carrier.Serving)
}

// tick does what is due.
func (l *loop) tick(now time.Duration) {
	if dropped := l.registrar.Tick(now); len(dropped) > 0 {
		klog.InfoS("backend servers did not come back", "servers", dropped)
		l.place(now)
	}
	if now-l.greeted >= greetEvery-tick/2 {
		l.greeted = now
		l.share(now)
		l.greetSome(now)
	} else {
		l.greetRest(now)
	}
	if now-l.swept >= sweepEvery {
		l.swept = now
		l.conductor.exchanger.Sweep(time.Now())
		l.survey(now)
	}
	l.duty(now)
	l.askPeers(now)
}

// share works out the own parts of the limits anew, how busy backend servers
// are, and who may be named to callers.
func (l *loop) share(now time.Duration) {
	l.count(now)
	live := l.tracker.Live(now)
	told := l.greeter.Others(now)
	for kind, f := range l.followers {
		if kind != l.kinds.Hosts { // nothing is bound to a time there
			f.SetHosts(watchers(live))
		}
	}
	l.conductor.divider.SetOthers(now, divider.Others{
		Hosts: l.hosts, Zone: l.zoneHosts, Heard: len(live), Demand: l.others(told),
	})
	l.conductor.placer.SetOthers(l.underWay(told))
	l.conductor.placer.SetDemand(now, l.demand(now))
	l.conductor.lender.SetHosts(l.lenders(live))
	l.conductor.steer(live)
}

// lenders returns the live hosts of the own zone that hold limits for it.
func (l *loop) lenders(live []tracker.Host) []tracker.Host {
	var own []tracker.Host
	for _, host := range live {
		if host.Zone == l.conductor.settings.Zone && (host.State == tracker.Serving || host.ID.Name == l.conductor.settings.Host) {
			own = append(own, host)
		}
	}
	return own
}

// watchers returns how many of the live hosts watch the store: one in each zone.
func watchers(live []tracker.Host) int {
	zones := map[string]bool{}
	for _, host := range live {
		zones[host.Zone] = true
	}
	return len(zones)
}

// settingsRead is what a changed settings file holds.
type settingsRead struct{ settings *loader.Deployment }

func (m *settingsRead) apply(l *loop, _ time.Duration) {
	// Addresses and the host's place hold as long as the process.
	l.greeter.SetSeeds(m.settings.Seeds)
	l.conductor.settings.Seeds = m.settings.Seeds
	l.conductor.settings.RetryRatio = m.settings.RetryRatio
	l.conductor.settings.RetryExtra = m.settings.RetryExtra
	l.conductor.carrier.SetRetries(retries(l.conductor.settings, l.hosts))
	klog.InfoS("settings reloaded", "seeds", m.settings.Seeds)
}
