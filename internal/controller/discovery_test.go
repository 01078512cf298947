package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/follower"
	"magnoliahill.example/magnoliahill/internal/loader"
	"magnoliahill.example/magnoliahill/internal/storer"
	"magnoliahill.example/magnoliahill/pkg/header"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// idlePlatform is a platform whose store is empty and never changes.
type idlePlatform struct{ Platform }

func (idlePlatform) Kinds() Kinds {
	return Kinds{Config: "config", Servers: "servers", Evacuations: "evacuations", Hosts: "hosts", Quarantines: "quarantines"}
}

func (idlePlatform) HeaderNames() header.Names { return header.Names{} }

func (idlePlatform) List(context.Context, string) (storer.ItemList, error) {
	return storer.NewItemList(nil, 1), nil
}

func (idlePlatform) Watch(ctx context.Context, _ string, after int64, _ time.Duration) (storer.ItemList, error) {
	<-ctx.Done()
	return storer.NewItemList(nil, after), ctx.Err()
}

func (idlePlatform) EncodeLookup([]string, time.Duration) ([]byte, error) { return nil, nil }

// newTestLoop returns the loop of a host that is not running.
func newTestLoop(t testing.TB, name string) *loop {
	c := New(&loader.Deployment{Host: name, Zone: "z", Region: "r", Regions: map[string]string{"z": "r"}, ExpectedHosts: 1, MaxDescriptors: 100}, idlePlatform{})
	udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = udp.Close() })
	c.udp = udp
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	t.Cleanup(c.recorder.Close)
	c.loop.workCtx = ctx
	c.loop.discovering = true
	c.loop.registrationSent = true
	c.loop.stopWatches = func() {}
	return c.loop
}

func registeredHosts(t *testing.T, names ...string) storer.ItemList {
	var items []storer.Item
	for i, name := range names {
		content, err := json.Marshal(hostRegistration{Zone: "z", Control: "127.0.0.1:1"})
		if err != nil {
			t.Fatal(err)
		}
		items = append(items, storer.NewItem(name, int64(i+1), content))
	}
	return storer.NewItemList(items, int64(len(names)))
}

// registeringPlatform records the hosts that register.
type registeringPlatform struct {
	idlePlatform
	registered chan string
}

func (p registeringPlatform) Create(_ context.Context, _, name string, _ []byte) error {
	p.registered <- name
	return nil
}

func TestRegistrationLostInStoreRestoreIsWrittenAgain(t *testing.T) {
	is := is.New(t)
	l := newTestLoop(t, "host")
	p := registeringPlatform{registered: make(chan string, 4)}
	l.controller.platform = p
	l.watching, l.registrationSent = true, false
	list := func(era, revision int64) {
		hosts := storer.NewItemList(nil, revision, storer.WithEra(era))
		storeUpdate{follower.Update{Kind: l.kinds.Hosts, Listed: &hosts}}.apply(l, 0)
	}
	list(1, 5)
	is.Equal(<-p.registered, "host")
	list(2, 5) // the registration was written and lost before this host saw it
	select {
	case name := <-p.registered:
		is.Equal(name, "host")
	case <-time.After(time.Second):
		t.Fatal("the host did not register again")
	}
}

// When all hosts of a zone start together, only a few of them list the store. The
// others do so when they hear of none that did.
func TestFewHostsOfAZoneListTheStoreAtStart(t *testing.T) {
	is := is.New(t)
	var names []string
	for i := range 20 {
		names = append(names, fmt.Sprint("host-", i))
	}
	watching, watchingLater := 0, 0
	for _, name := range names {
		l := newTestLoop(t, name)
		l.updateWatchRole(0)
		is.True(!l.watching) // it does not know yet whether others will
		(&hostsDiscovered{hosts: registeredHosts(t, names...)}).apply(l, 0)
		l.updateWatchRole(watchStartDelay / 2)
		if l.watching {
			watching++
		}
		l.updateWatchRole(watchStartDelay)
		if l.watching {
			watchingLater++
		}
	}
	is.Equal(watching, initialWatchers)
	is.Equal(watchingLater, len(names))
}

// A host that cannot list the registered hosts keeps trying by itself.
func TestHostWatchesWhenDiscoveryFails(t *testing.T) {
	is := is.New(t)
	l := newTestLoop(t, "host")
	(&hostsDiscovered{err: errors.New("no answer")}).apply(l, 0)
	is.True(l.watching)
}

// probe records in which order the loop applies messages.
type probe struct {
	name    string
	applied *[]string
}

func (p probe) apply(*loop, time.Duration) { *p.applied = append(*p.applied, p.name) }

// A change of the store is applied before gossip that arrived earlier, and gossip
// that finds no room does not block its receiver.
func TestGossipDoesNotDelayOtherMessages(t *testing.T) {
	is := is.New(t)
	l := newTestLoop(t, "host")
	var applied []string
	for range 2 * gossipInboxSize {
		l.sendReceivedGossip(probe{"gossip", &applied})
	}
	l.send(probe{"store", &applied})
	l.step(l.workCtx, nil)
	l.step(l.workCtx, nil)
	is.Equal(applied, []string{"store", "gossip"})
	is.Equal(len(l.gossipInbox), gossipInboxSize-1)
}

// A small limit is pooled by the hosts of the region: in the zones alone its burst
// would be split into pieces of one or two requests.
func TestPooledLimitsAreSharedByTheRegion(t *testing.T) {
	is := is.New(t)
	l := newTestLoop(t, "host")
	l.controller.settings.Regions = map[string]string{"z": "r", "near": "r", "far": "q"}
	var live []tracker.Host
	for _, zone := range []string{"z", "near", "far"} {
		live = append(live, tracker.Host{Heartbeat: tracker.Heartbeat{ID: tracker.HostID{Name: "in-" + zone}, Zone: zone, State: tracker.Serving}})
	}
	owners := l.limitOwners(live)
	is.Equal(len(owners), 2)
	is.Equal(owners[1].ID.Name, "in-near")
}

// A starting host that cannot fetch the objects from a host that listed the store,
// for example because all of its zone do so at once, lists the store itself.
func TestStartingHostListsTheStoreWhenFetchingFails(t *testing.T) {
	is := is.New(t)
	l := newTestLoop(t, "host")
	l.discovering = false
	l.watchStartAt = time.Hour
	(&fetchResult{host: "127.0.0.1:1", err: errors.New("timed out")}).apply(l, time.Second)
	is.True(l.watching)
}

// A host that is cut off has its part of the limits also when the store has lost its
// registration, which it cannot write again.
func TestHostWhoseRegistrationARestoreLostStillCounts(t *testing.T) {
	is := is.New(t)
	l := newTestLoop(t, "host")
	l.watching = true
	list := func(era int64, hosts storer.ItemList) {
		listed := storer.NewItemList(hosts.Items(), hosts.Revision(), storer.WithEra(era))
		storeUpdate{follower.Update{Kind: l.kinds.Hosts, Listed: &listed}}.apply(l, 0)
	}
	list(1, registeredHosts(t, "host", "cut-off", "near"))
	is.Equal(l.hostCount, 3)
	l.controller.platform = registeringPlatform{registered: make(chan string, 4)}
	list(2, registeredHosts(t, "near"))
	is.Equal(l.hostCount, 3)
	is.True(l.registrationSent) // its own registration is missing in the store
	l.releaseExpired(time.Minute)
	is.Equal(l.hostCount, 3)
}
