package controller

import (
	"cmp"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"magnoliahill.example/magnoliahill/internal/follower"
	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/internal/storer"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/registrar"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// readCases reads the cases of a test from a data file.
func readCases(t *testing.T, file string, cases any) {
	data, err := os.ReadFile("testdata/" + file)
	if err != nil {
		t.Fatal(err)
	}
	if err := yaml.Unmarshal(data, cases); err != nil {
		t.Fatal(err)
	}
}

// servingPlatform is a platform whose registrations name only the backend server.
type servingPlatform struct{ idlePlatform }

func (servingPlatform) DecodeServer(item storer.Item) (registrar.Instance, error) {
	return registrar.NewInstance(item.Name(), "svc", item.Name()+":1", "z", registrar.WithSlots(1)), nil
}

func (servingPlatform) RegistrationPrecedes(storer.Item, storer.Item) bool { return false }

type outageEvent struct {
	At, Until                    float64
	Store                        []string
	Fails, Lists, Changes, Kinds []string
	Gossip, Older, Watch         []string
	Fetch                        bool
}

type outageCase struct {
	Name     string
	Hosts    map[string]string // zones
	Watching []string
	Dead     []string // hosts that are not looked at
	Events   []outageEvent
	Kept     map[string][]float64
	Gone     map[string]float64
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second)).Round(time.Millisecond)
}

// outageHosts are the loops of hosts and the store between them.
type outageHosts struct {
	loops    map[string]*loop
	store    []string
	revision int64
}

func newOutageHosts(t *testing.T, c outageCase) *outageHosts {
	catalog, err := cataloger.New(1, cataloger.Items{})
	if err != nil {
		t.Fatal(err)
	}
	h := &outageHosts{loops: map[string]*loop{}, store: []string{"leaves", "lives", "lapsed", "lapsed-1", "lapsed-2"}, revision: 5}
	for name, zone := range c.Hosts {
		l := newTestLoop(t, name)
		l.controller.platform = servingPlatform{}
		l.controller.settings.Zone = zone
		l.controller.settings.Regions = map[string]string{"x": "r", "y": "r", "z": "r"}
		l.config.catalog = catalog
		l.discovering = false
		l.watching = true
		h.list(l, 0, l.kinds.Servers)
		h.list(l, 0, l.kinds.Hosts)
		l.watching = slices.Contains(c.Watching, name)
		h.loops[name] = l
	}
	return h
}

// list makes a host list a kind. The store has no objects but backend servers.
func (h *outageHosts) list(l *loop, now time.Duration, kind string) {
	var items []storer.Item
	if kind == l.kinds.Servers {
		for _, id := range h.store {
			items = append(items, storer.NewItem(id, 5, nil))
		}
	}
	listed := storer.NewItemList(items, h.revision)
	storeUpdate{follower.Update{Kind: kind, Listed: &listed}}.apply(l, now)
}

// watchReturns makes a host's watch of the backend servers return what changed.
func (h *outageHosts) watchReturns(l *loop, now time.Duration) {
	var items []storer.Item
	known := l.caches[l.kinds.Servers].items
	for name := range known {
		if !slices.Contains(h.store, name) {
			items = append(items, storer.NewDeletedItem(name, h.revision))
		}
	}
	for _, name := range h.store {
		if _, ok := known[name]; !ok {
			items = append(items, storer.NewItem(name, h.revision, nil))
		}
	}
	changed := storer.NewItemList(items, h.revision)
	storeUpdate{follower.Update{Kind: l.kinds.Servers, Changed: &changed}}.apply(l, now)
}

// gossip delivers a message of the first host to the others.
func (h *outageHosts) gossip(now time.Duration, hosts []string, older, fetch bool) {
	for _, name := range hosts[min(1, len(hosts)):] {
		from, to := h.loops[hosts[0]], h.loops[name]
		m := from.storeState(now)
		if older {
			m.ReturnedBefore = 0
		}
		beat := from.tracker.NextHeartbeat()
		beat.Zone = from.controller.settings.Zone
		m.Sender, m.Beats = beat.ID.Incarnation, messenger.EncodeHeartbeats([]tracker.Heartbeat{beat})
		to.fetching = true // the test fetches
		(&gossipReceived{m}).apply(to, now)
		if fetch {
			cache := to.caches[to.kinds.Servers]
			reply := make(chan []*peerv1.ObjectTable, 1)
			(&objectsQuery{known: []*peerv1.Position{messenger.EncodePosition(cache.kind, cache.missing())}, reply: reply}).apply(from, now)
			(&fetchResult{host: hosts[0], lists: <-reply}).apply(to, now)
		}
	}
}

// repeated returns events in order of their times. One with an end happens in every
// round of gossip until then.
func repeated(events []outageEvent) []outageEvent {
	var all []outageEvent
	for _, e := range events {
		all = append(all, e)
		for e.At += heartbeatInterval.Seconds(); e.At < e.Until; e.At += heartbeatInterval.Seconds() {
			all = append(all, e)
		}
	}
	slices.SortStableFunc(all, func(a, b outageEvent) int { return cmp.Compare(a.At, b.At) })
	return all
}

func (h *outageHosts) apply(e outageEvent) {
	now := seconds(e.At)
	if e.Store != nil {
		h.store = e.Store
		h.revision++
	}
	for _, name := range e.Watch {
		h.loops[name].watching = true
	}
	for _, kind := range e.Kinds {
		for _, name := range e.Fails {
			storeUpdate{follower.Update{Kind: kind, Err: errors.New("status 503")}}.apply(h.loops[name], now)
		}
		for _, name := range e.Lists {
			h.list(h.loops[name], now, kind)
		}
	}
	for _, name := range e.Changes {
		h.watchReturns(h.loops[name], now)
	}
	h.gossip(now, e.Gossip, false, e.Fetch)
	h.gossip(now, e.Older, true, e.Fetch)
}

// has reports whether a host may send requests to a backend server.
func (h *outageHosts) has(host string, now time.Duration, id string) bool {
	for _, s := range h.loops[host].controller.placer.Summaries(now) {
		if s.ID == id {
			return true
		}
	}
	return false
}

// TestServersMissingAfterAnOutageAreDroppedByItsEnd plays outages of the store and
// checks when each host stops sending to servers that left or did not return.
func TestServersMissingAfterAnOutageAreDroppedByItsEnd(t *testing.T) {
	var cases []outageCase
	readCases(t, "outages.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			playOutages(t, c)
		})
	}
}

// playOutages plays a case and fails the test where a host does not do what it says.
func playOutages(t *testing.T, c outageCase) {
	is := is.New(t)
	h := newOutageHosts(t, c)
	events := repeated(c.Events)
	for now := time.Duration(0); now <= 60*time.Second; now += 10 * time.Millisecond {
		for ; len(events) > 0 && seconds(events[0].At) <= now; events = events[1:] {
			h.apply(events[0])
		}
		for name, l := range h.loops {
			if slices.Contains(c.Dead, name) {
				continue
			}
			if now%heartbeatInterval == 0 {
				l.storeState(now) // of this round's messages to other hosts
			}
			if now%tickInterval == 0 {
				l.dropLapsed(now)
			}
			for id, times := range c.Kept {
				if slices.ContainsFunc(times, func(s float64) bool { return seconds(s).Truncate(10*time.Millisecond) == now }) && !h.has(name, now, id) {
					t.Errorf("%s has dropped %s at %v", name, id, now)
				}
			}
			for id, gone := range c.Gone {
				if now == seconds(gone).Truncate(10*time.Millisecond) && h.has(name, now, id) {
					t.Errorf("%s still has %s at %v", name, id, now)
				}
			}
		}
	}
	is.Equal(len(events), 0)
}
