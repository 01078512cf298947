package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/dispatcher"
	"magnoliahill.example/magnoliahill/internal/follower"
	"magnoliahill.example/magnoliahill/internal/loader"
	"magnoliahill.example/magnoliahill/internal/storer"
	"magnoliahill.example/magnoliahill/pkg/allocator"
	"magnoliahill.example/magnoliahill/pkg/gossiper"
	"magnoliahill.example/magnoliahill/pkg/quarantiner"
	"magnoliahill.example/magnoliahill/pkg/registrar"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	inboxSize         = 256                     // messages
	gossipInboxSize   = 128                     // gossip messages; further ones are dropped, the next round sends the state again
	tickInterval      = 250 * time.Millisecond  // between checks for periodic work
	heartbeatInterval = 500 * time.Millisecond  // between rounds of gossip messages
	watcherTimeout    = 1700 * time.Millisecond // without gossip from a watching host; then this host watches itself
	hostTimeout       = 2200 * time.Millisecond // four heartbeat intervals: some datagrams are lost
	farHostTimeout    = 4 * time.Second         // the same for hosts of other regions: relays send there every second interval
	sweepInterval     = 2 * time.Second         // between sweeps of idle connections and checks for impaired servers
	longestWatchHosts = 1000                    // host count for which a follower uses its longest watches
	reloadInterval    = 2 * time.Second         // the settings file may change without a signal
	rejectionsLogged  = 10                      // first invalid registrations that are logged; then one in rejectionInterval
	rejectionInterval = time.Second
)

// loop owns the control state of a daemon. Only its own goroutine accesses the
// fields; other goroutines send it messages.
type loop struct {
	controller          *Controller
	inbox               chan message
	gossipInbox         chan message // gossip messages of other hosts
	tracker             *tracker.Tracker
	gossiper            *gossiper.Gossiper
	registrar           *registrar.Registrar
	followers           map[string]*follower.Follower
	kinds               Kinds
	kindOrder           []string      // the kinds, in the order of the positions in gossip messages
	watching            bool          // this host watches the store
	stopWatches         func()        // cancels the watches
	discovering         bool          // the first list of registered hosts is being fetched
	watchStartAt        time.Duration // a starting host does not watch the store before, while others of its zone do
	watcherSeenAt       time.Duration // when a gossip message of another watching host of the zone last arrived
	reachedBy           string        // host that last said that it watches and reaches the store
	outageAt            time.Duration // when the store was last unreachable for more than this host; 0 if never
	workCtx             context.Context
	caches              map[string]*objectCache // by kind
	config              activeConfig
	evacuatedZones      []string
	rejectionLog        rate.Sometimes            // limits the log lines about invalid registrations
	limited             map[string]float64        // request limits of backend servers at the last check, by id
	leaving             []string                  // ids of backend servers that left by their answers at the last check
	impaired            map[string]bool           // ids of backend servers that were impaired at the last check
	priorityChanges     map[string]priorityChange // by service; services that never gave way are left out
	serviceRooms        map[string]roomChange     // by service; services that always had room are left out
	slotMismatches      string                    // backend servers whose reported slots differ from the registered ones, as last logged
	mismatchesLoggedAt  time.Duration
	serverIDs           map[uint32]string // ids of backend servers by their number in gossip messages
	serverRuns          map[uint32]string // the same by the number of their present run
	phase               dispatcher.Phase
	stopTimes           dispatcher.StopSchedule
	registeredHosts     []gossiper.RegisteredHost // registered hosts except this one
	hostCount           int                       // hosts that share the limits, this one included
	hostNames           []string                  // their names, sorted; nil before they were first counted
	appliedHosts        uint64                    // version of the tracker whose live hosts are applied; 0 if none are
	peerStateAt         time.Duration             // when the state of the others was last applied; 0 if never
	peerStateDue        bool                      // applying it is delayed
	limitOwnerCount     int                       // live hosts that share pooled limits
	gossipedAt          time.Duration
	heartbeats          []tracker.Heartbeat // reused for the messages to send
	datagram            []byte              // the same
	shared              map[recipientClass]sharedPart
	sharedReports       [2][]byte            // encoded health reports of the round for the own zone and for others; nil until needed
	deferred            []gossiper.Recipient // recipients of the gossip round that get their messages later
	sliceSize           int                  // recipients that get their messages at once
	sliceInterval       time.Duration        // between slices of a gossip round
	sweptAt             time.Duration
	fetching            bool          // objects are being fetched from another host
	retainingPeer       string        // control address of a host that retains objects which this host may lack; empty if there is none
	firstListAt         time.Duration // when this host, having listed the store lately, first heard of retained objects; 0 if never
	retentionQueryAfter time.Duration // time before which retained objects are not queried again
	divergence          divergence
	peerSuspects        map[string]uint64           // hash of each host's records of suspected requests, by host name; hosts without records are left out
	suspectsAnnouncedAt time.Duration               // 0 if never
	announcementDue     bool                        // an announcement of suspected requests is delayed
	storedQuarantines   map[quarantiner.Digest]bool // quarantined requests that the store had at the last update
	storeCorrectedAt    time.Duration               // when the stored quarantines were last compared with those of this host
	cutOff              bool                        // this host reaches no backend server
	registrationSent    bool                        // this host's registration was written or is being written, and has not been seen since
}

// message is an input of the loop, which calls apply with the current time.
type message interface {
	apply(l *loop, now time.Duration)
}

func newLoop(c *Controller) *loop {
	kinds := c.platform.Kinds()
	self := tracker.Heartbeat{
		ID:   tracker.HostID{Name: c.settings.Host, Incarnation: tracker.NewIncarnation(time.Now())},
		Zone: c.settings.Zone, Control: c.settings.ControlAddress, Data: c.settings.DataAddress, State: tracker.Leaving,
	}
	l := &loop{
		controller:  c,
		inbox:       make(chan message, inboxSize),
		gossipInbox: make(chan message, gossipInboxSize),
		tracker:     tracker.New(self, tracker.WithTimeout(hostTimeout), tracker.WithZoneTimeouts(zoneTimeouts(c.settings))),
		registrar:   registrar.New(),
		followers:   map[string]*follower.Follower{},
		kinds:       kinds,
		caches:      map[string]*objectCache{},
		hostCount:   c.settings.ExpectedHosts,

		rejectionLog:    rate.Sometimes{First: rejectionsLogged, Interval: rejectionInterval},
		shared:          map[recipientClass]sharedPart{},
		peerSuspects:    map[string]uint64{},
		serviceRooms:    map[string]roomChange{},
		priorityChanges: map[string]priorityChange{},
	}
	l.gossiper = gossiper.New(c.settings.Host, c.settings.Zone, l.tracker, c.settings.Seeds,
		gossiper.WithRegions(c.settings.Regions))
	l.kindOrder = []string{kinds.Config, kinds.Servers, kinds.Evacuations, kinds.Hosts, kinds.Quarantines}
	for _, kind := range l.kindOrder {
		l.caches[kind] = newObjectCache(kind)
		l.followers[kind] = follower.New(c.platform, kind, l.enqueueUpdate)
	}
	follower.Link(slices.Collect(maps.Values(l.followers))...)
	l.followers[kinds.Hosts].SetWatcherCount(longestWatchHosts)
	l.followers[kinds.Quarantines].SetWatcherCount(longestWatchHosts)
	return l
}

// zoneTimeouts returns the heartbeat timeouts of the zones of other regions.
func zoneTimeouts(settings *loader.Deployment) map[string]time.Duration {
	timeouts := map[string]time.Duration{}
	for zone, region := range settings.Regions {
		if region != settings.Region {
			timeouts[zone] = farHostTimeout
		}
	}
	return timeouts
}

// start starts the loop, and the first list of registered hosts, which decides
// whether this host starts to watch the store at once. Both end with ctx.
func (l *loop) start(ctx context.Context) {
	l.workCtx = ctx
	l.discovering = true
	l.registrationSent = l.controller.settings.FirstStart
	l.stopWatches = func() {}
	go l.discover(ctx)
	go l.run(ctx)
}

// startWatches starts to watch all kinds of objects in the store.
func (l *loop) startWatches() {
	ctx, cancel := context.WithCancel(l.workCtx)
	l.watching, l.stopWatches = true, cancel
	for _, f := range l.followers {
		go f.Run(ctx)
	}
}

// updateWatchRole starts to watch the store if this host is elected to do so for
// its zone, or if no gossip message of a watching host has arrived for
// watcherTimeout. It stops the watches if neither holds and the caches are complete
// and hold no list in pages that the watches have not caught up with: other hosts would not
// learn of removals in it. Hosts that do not watch get the objects from those that do.
func (l *loop) updateWatchRole(now time.Duration) {
	if l.discovering || now < l.watchStartAt {
		return
	}
	l.gossiper.SetStoreUnreachable(l.controller.settings.Host, l.storeUnreachable())
	elected := l.gossiper.WatchesStore(now) || now-l.watcherSeenAt >= watcherTimeout
	switch {
	case elected && !l.watching:
		klog.InfoS("store watches started", "sinceWatcherSeen", now-l.watcherSeenAt)
		l.startWatches()
	case !elected && l.watching && l.synced() && !l.catchingUp():
		klog.InfoS("store watches stopped; other hosts of the zone watch")
		l.watching = false
		l.stopWatches()
		for _, cache := range l.caches {
			cache.unreachable = false
			cache.resync()
		}
	}
}

// synced reports whether all kinds are listed, the store is reachable, and a
// configuration is active.
func (l *loop) synced() bool {
	for _, cache := range l.caches {
		if !cache.listed || cache.unreachable {
			return false
		}
	}
	return l.config.catalog != nil
}

// catchingUp reports whether a watch has to bring changes that a list shows in part.
func (l *loop) catchingUp() bool {
	for _, cache := range l.caches {
		if cache.partial() {
			return true
		}
	}
	return false
}

// run processes messages and periodic work until the context ends.
func (l *loop) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		l.step(ctx, ticker.C)
	}
}

// step waits for the next input and processes it. Gossip comes last: on a host that
// is short of processor time a change of the store must not wait behind it.
func (l *loop) step(ctx context.Context, ticks <-chan time.Time) {
	select {
	case m := <-l.inbox:
		m.apply(l, l.controller.clock.Now())
		return
	case <-ticks:
		l.tick(l.controller.clock.Now())
		return
	default:
	}
	select {
	case <-ctx.Done():
	case m := <-l.inbox:
		m.apply(l, l.controller.clock.Now())
	case <-ticks:
		l.tick(l.controller.clock.Now())
	case m := <-l.gossipInbox:
		m.apply(l, l.controller.clock.Now())
	}
}

// send queues a message for the loop. It blocks while the inbox is full.
func (l *loop) send(m message) { l.inbox <- m }

// sendReceivedGossip queues a gossip message for the loop, or drops it when many
// are waiting.
func (l *loop) sendReceivedGossip(m message) {
	select {
	case l.gossipInbox <- m:
	default:
		l.controller.recorder.Scope().Counter("gossip_dropped").Inc(1)
	}
}

// storeUpdate is an update from the follower of one kind.
type storeUpdate struct{ follower.Update }

func (l *loop) enqueueUpdate(u follower.Update) { l.send(storeUpdate{u}) }

func (u storeUpdate) apply(l *loop, now time.Duration) {
	cache := l.caches[u.Kind]
	switch {
	case !l.watching: // the watch was cancelled
	case u.Err != nil:
		if !cache.unreachable {
			cache.unreachable = true
			klog.InfoS("store lost", "kind", u.Kind, "revision", cache.position.Revision(), "cause", u.Err.Error())
		}
		if u.Kind == l.kinds.Servers {
			l.registrar.StoreLost(now)
		}
	case u.Listed != nil:
		if cache.unreachable || !cache.listed {
			klog.InfoS("store reachable", "kind", u.Kind, "revision", u.Listed.Revision(), "objects", len(u.Listed.Items()))
		}
		if u.Listed.LastPage() > u.Listed.Revision() {
			klog.InfoS("store changed while a kind was listed", "kind", u.Kind, "revision", u.Listed.Revision(), "lastPage", u.Listed.LastPage(), "later", u.Listed.LaterItems())
			l.controller.recorder.Scope().Counter("lists_with_changes").Inc(1)
		}
		l.checkRestore(cache, u.Listed.Position())
		cache.unreachable = false
		l.noteReturn(now, 0, u.Kind)
		if u.Kind == l.kinds.Servers {
			l.registrar.StoreRegained(now)
		}
		l.replaceObjects(now, cache, func() { cache.replaceAll(*u.Listed) })
		l.applyUpdate(now, u.Kind, nil)
		l.announceChanges(now)
	case u.Changed != nil:
		l.applyChanges(now, cache, cache.applyChanges(*u.Changed))
		l.announceChanges(now)
	}
}

// checkRestore logs and counts a restore of the store that a list of a kind shows. The
// store may have lost the registration of this host.
func (l *loop) checkRestore(cache *objectCache, listed storer.Position) {
	if !cache.listed || cache.position.SameEra(listed) || listed.Before(cache.position) {
		return
	}
	if cache.kind == l.kinds.Hosts {
		l.registrationSent = false
	}
	klog.InfoS("store restored", "kind", cache.kind, "fromEra", cache.position.Era(), "from", cache.position.Revision(),
		"era", listed.Era(), "revision", listed.Revision())
	l.controller.recorder.Scope().Counter("store_restores").Inc(1)
}

// publishSnapshot passes the configuration and the phase to the request path and
// to the readiness endpoint. The first configuration ends the starting phase.
func (l *loop) publishSnapshot() {
	if l.phase == dispatcher.Starting && l.config.catalog != nil {
		l.phase = dispatcher.Serving
		l.tracker.SetState(tracker.Serving)
		klog.InfoS("host serves", "config", l.config.catalog.Generation())
	}
	l.controller.dispatcher.SetSnapshot(dispatcher.NewSnapshot(l.config.catalog, l.phase, l.config.appliedAt, l.stopTimes))
	l.controller.ready.Store(l.phase == dispatcher.Serving)
	if l.config.catalog != nil {
		l.controller.callers.SetHeadLimits(headLimits(l.config.catalog.CallerLimits()))
	}
}

// tick does the periodic work that is due.
func (l *loop) tick(now time.Duration) {
	l.releaseExpired(now)
	l.handleSuspects(now)
	l.checkReach(now)
	l.dropLapsed(now)
	if now-l.gossipedAt >= heartbeatInterval-tickInterval/2 {
		l.gossipedAt = now
		l.applyPeerState(now)
		l.updateLimited(now)
		l.updateLeaving()
		l.updateSuspects(now)
		l.startGossipRound(now)
	}
	if now-l.sweptAt >= sweepInterval {
		l.sweptAt = now
		l.controller.roundTripper.CloseExpired()
		l.controller.relays.CloseExpired()
		l.controller.reach.Retain(l.controller.placer.ServiceNames())
		l.updateImpaired(now)
	}
	if now-l.storeCorrectedAt >= quarantineCorrection {
		l.storeCorrectedAt = now
		l.correctStoredQuarantines(now)
	}
	l.updateWatchRole(now)
	l.fetchFromPeers(now)
}

// applyPeerState applies the state that other hosts reported: the shares of the
// limits, the load of backend servers, and what depends on the live hosts.
func (l *loop) applyPeerState(now time.Duration) {
	l.peerStateAt = now
	l.applyLiveHosts(now)
	reported := l.gossiper.OtherLoad(now)
	l.controller.allocator.SetFleet(now, allocator.Fleet{
		Hosts: l.hostCount, PoolHosts: l.limitOwnerCount, Live: l.tracker.LiveCount(now), OtherDemand: l.remoteDemand(reported),
	})
	l.controller.placer.SetRemoteRunning(now, l.remoteRunning(reported))
	l.controller.placer.SetDemand(now, l.regionDemand(now))
	l.controller.placer.SetPriorityReports(now, l.priorityReports(now))
}

// settingsChange holds the settings of a changed settings file.
type settingsChange struct{ settings *loader.Deployment }

func (m *settingsChange) apply(l *loop, _ time.Duration) {
	// Addresses, zone and region do not change while the process runs.
	l.gossiper.SetSeeds(m.settings.Seeds)
	l.controller.settings.Seeds = m.settings.Seeds
	l.controller.settings.RetryBudgetRatio = m.settings.RetryBudgetRatio
	l.controller.settings.RetryBudgetExtra = m.settings.RetryBudgetExtra
	l.controller.dispatcher.SetRetries(retryShare(l.controller.settings, l.hostCount))
	klog.InfoS("settings reloaded", "seeds", m.settings.Seeds)
}
