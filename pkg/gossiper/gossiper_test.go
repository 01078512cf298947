package gossiper_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/gossiper"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// network simulates hosts that send gossip to one another every half second of
// virtual time.
type network struct {
	now   time.Duration
	hosts map[string]*host
	drops func(from, to string) bool
	sent  int
	full  int        // complete heartbeats sent
	rng   *rand.Rand // shuffles the order in which hosts send
}

type host struct {
	name, zone      string
	id              tracker.HostID
	tracker         *tracker.Tracker
	gossiper        *gossiper.Gossiper
	load            gossiper.Load
	ownReports      gossiper.HealthReports // of its own attempts, in each round
	receivedReports gossiper.HealthReports
	down            bool
}

func newNetwork(zones, hostsPerZone int) *network { return newSeededNetwork(zones, hostsPerZone, 1) }

func newSeededNetwork(zones, hostsPerZone int, seed uint64) *network {
	n := &network{rng: rand.New(rand.NewPCG(seed, 0)), hosts: map[string]*host{}, drops: func(string, string) bool { return false }}
	var registered []gossiper.RegisteredHost
	regions := map[string]string{}
	for z := range zones {
		regions[fmt.Sprint("z", z)] = fmt.Sprint("r", z/2)
	}
	for z := range zones {
		for i := range hostsPerZone {
			name, zone := fmt.Sprintf("h%d-%d", z, i), fmt.Sprint("z", z)
			self := tracker.Heartbeat{ID: tracker.HostID{Name: name, Incarnation: n.rng.Uint64()}, Zone: zone, Control: name}
			t := tracker.New(self, tracker.WithTimeout(2200*time.Millisecond))
			n.hosts[name] = &host{
				name: name, zone: zone, id: self.ID, tracker: t, gossiper: gossiper.New(name, zone, t, nil, gossiper.WithRegions(regions)),
				load:            gossiper.Load{Demands: map[uint32]float64{1: 1}, Running: map[uint32]int{7: 2}},
				receivedReports: gossiper.HealthReports{},
			}
			registered = append(registered, gossiper.RegisteredHost{Name: name, Zone: zone, Control: name})
		}
	}
	for _, h := range n.hosts {
		h.gossiper.SetRegisteredHosts(registered)
	}
	return n
}

func (n *network) round() {
	n.now += 500 * time.Millisecond
	names := slices.Sorted(maps.Keys(n.hosts))
	n.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		h := n.hosts[name]
		if h.down {
			continue
		}
		h.gossiper.StartRound(n.now, h.ownReports)
		for _, recipient := range h.gossiper.RoundRecipients(n.now) {
			to := n.hosts[recipient.Control]
			n.sent++
			if to == h || to.down || n.drops(h.name, to.name) {
				continue
			}
			reports := h.gossiper.HealthReportsFor(recipient)
			to.gossiper.ApplyHealthReports(h.zone, reports)
			for hash, report := range reports {
				to.receivedReports[hash] = to.receivedReports[hash].Add(report)
			}
			full, compact := h.gossiper.HeartbeatsFor(n.now, h.tracker.Heartbeats(n.now), recipient)
			n.full += len(full)
			to.tracker.Apply(n.now, full...)
			to.tracker.ApplyCompact(n.now, compact)
			if _, known := to.tracker.Find(n.now, h.id); known {
				to.gossiper.Apply(n.now, h.name, h.zone, h.gossiper.DigestsFor(n.now, recipient), h.gossiper.LoadRecords(n.now, h.load, recipient.OtherZone))
			}
		}
	}
}

func (n *network) rounds(count int) {
	for range count {
		n.round()
	}
}

func TestMembershipAndLoadReachAllHosts(t *testing.T) {
	is := is.New(t)
	n := newNetwork(6, 5)
	n.rounds(8) // records sent before the relays settled expire after three seconds
	for _, h := range n.hosts {
		is.Equal(len(h.tracker.Live(n.now)), 30)
		is.Equal(h.gossiper.OtherLoad(n.now).Demands[1], 29.0)
		is.Equal(h.gossiper.OtherLoad(n.now).Running[7], 58)
	}
}

// A record lists only as many backend servers as fit into a datagram, the busiest
// ones.
func TestRecordListsBusiestBackendServers(t *testing.T) {
	is := is.New(t)
	n := newNetwork(1, 2)
	own := gossiper.Load{Running: map[uint32]int{}}
	for number := range uint32(1000) {
		own.Running[number] = int(number)
	}
	records := n.hosts["h0-0"].gossiper.LoadRecords(n.now, own, false)
	is.Equal(len(records[0].Running), 128)
	for number := range records[0].Running {
		is.True(number >= 1000-128)
	}
}

// The records that a relay sends to its zone must not grow with the number of
// zones times the number of backend servers.
func TestOtherZonesAreSummedInOneRecord(t *testing.T) {
	is := is.New(t)
	n := newNetwork(8, 3)
	for _, h := range n.hosts {
		for number := range uint32(100) {
			h.load.Running[number] = 1
		}
	}
	n.rounds(8)
	for _, h := range n.hosts {
		listed := 0
		for _, r := range h.gossiper.LoadRecords(n.now, h.load, false) {
			listed += len(r.Running)
		}
		is.True(listed <= 200)
		is.Equal(h.gossiper.OtherLoad(n.now).Running[50], 23)
	}
}

// When the store rejects the watching host of a zone, the second candidate watches
// instead. When it rejects both, the first candidate watches again, so that no
// more than two hosts of a zone try.
func TestUnreachableStoreMovesWatchToAnotherHost(t *testing.T) {
	is := is.New(t)
	n := newNetwork(2, 5)
	n.rounds(6)
	watching := func() []string {
		var names []string
		for name, h := range n.hosts {
			if h.zone == "z0" && h.gossiper.WatchesStore(n.now) {
				names = append(names, name)
			}
		}
		return names
	}
	setUnreachable := func(name string, unreachable bool) {
		for _, h := range n.hosts {
			h.gossiper.SetStoreUnreachable(name, unreachable)
		}
	}
	first := watching()
	is.Equal(len(first), 1)
	setUnreachable(first[0], true)
	second := watching()
	is.Equal(len(second), 1)
	is.True(second[0] != first[0])
	setUnreachable(second[0], true)
	is.Equal(watching(), first)
	setUnreachable(first[0], false)
	is.Equal(watching(), first)
}

// Each host receives a health report once, on whichever path it arrives.
func TestHealthReportsReachEachHostOnce(t *testing.T) {
	is := is.New(t)
	n := newNetwork(4, 3)
	n.rounds(6)
	n.hosts["h1-2"].ownReports = gossiper.HealthReports{9: {Attempts: 3, Failed: 1, Slowness: 4, Impaired: true}}
	n.round()
	n.hosts["h1-2"].ownReports = nil
	n.rounds(5)
	for name, h := range n.hosts {
		if name != "h1-2" {
			is.Equal(h.receivedReports[9].Attempts, 3)
			is.Equal(h.receivedReports[9].Failed, 1)
		}
	}
}

// In each round two messages go from each zone to each other zone, however many
// hosts a zone has. With many zones only one goes to those of other regions.
func TestCrossZoneMessagesGrowWithZonesNotHosts(t *testing.T) {
	is := is.New(t)
	n := newNetwork(4, 10)
	n.rounds(6)
	n.sent = 0
	n.round()
	is.Equal(n.sent, 40*9+4*3*2)
	n = newNetwork(8, 10)
	n.rounds(6)
	n.sent = 0
	n.round()
	is.Equal(n.sent, 80*9+8*2+8*6)
}

// A host that restarts changes the view of one zone only: the complete heartbeats
// that are sent until all hosts know it do not grow with the square of the fleet.
func TestRestartSendsCompleteHeartbeatsOfOneZone(t *testing.T) {
	is := is.New(t)
	const zones, perZone = 9, 10
	n := newNetwork(zones, perZone)
	n.rounds(8)
	n.full = 0
	n.round()
	is.Equal(n.full, 0)
	old := n.hosts["h0-3"]
	self := tracker.Heartbeat{ID: tracker.HostID{Name: old.name, Incarnation: old.id.Incarnation + 1}, Zone: old.zone, Control: old.name}
	restarted := tracker.New(self, tracker.WithTimeout(2200*time.Millisecond))
	n.hosts["h0-3"] = &host{
		name: old.name, zone: old.zone, id: self.ID, tracker: restarted, load: old.load, receivedReports: gossiper.HealthReports{},
		gossiper: gossiper.New(old.name, old.zone, restarted, nil),
	}
	n.hosts["h0-3"].gossiper.SetRegisteredHosts([]gossiper.RegisteredHost{{Name: "h0-1", Zone: "z0", Control: "h0-1"}})
	n.rounds(8)
	for _, h := range n.hosts {
		is.Equal(len(h.tracker.Live(n.now)), zones*perZone)
	}
	// Each host gets the ten of the zone in a few messages, and the restarted one
	// all others from its neighbours.
	is.True(n.full <= 6*zones*perZone*perZone)
}

// A host that reaches only a host of another zone learns which hosts its own zone
// has, though neither of them is a relay.
func TestIsolatedHostLearnsItsZoneFromASeed(t *testing.T) {
	is := is.New(t)
	n := newNetwork(4, 6)
	n.rounds(6)
	self := tracker.Heartbeat{ID: tracker.HostID{Name: "new", Incarnation: 5}, Zone: "z0", Control: "new"}
	added := tracker.New(self, tracker.WithTimeout(2200*time.Millisecond))
	n.hosts["new"] = &host{
		name: "new", zone: "z0", id: self.ID, tracker: added, receivedReports: gossiper.HealthReports{},
		gossiper: gossiper.New("new", "z0", added, []string{"h3-2"}),
	}
	n.rounds(8)
	for _, h := range n.hosts {
		is.Equal(len(h.tracker.Live(n.now)), 25)
	}
}

func TestStoppedHostExpiresEverywhere(t *testing.T) {
	is := is.New(t)
	n := newNetwork(3, 4)
	n.rounds(6)
	n.hosts["h0-0"].down = true
	n.rounds(9) // its heartbeats are relayed once more at most
	for _, h := range n.hosts {
		if !h.down {
			is.Equal(len(h.tracker.Live(n.now)), 11)
			is.Equal(h.gossiper.OtherLoad(n.now).Demands[1], 10.0) // relays do not forward its demand to each other forever
		}
	}
}

func TestPartitionedZoneKeepsItsOwnHosts(t *testing.T) {
	is := is.New(t)
	n := newNetwork(3, 4)
	n.rounds(6)
	n.drops = func(from, to string) bool { return (n.hosts[from].zone == "z0") != (n.hosts[to].zone == "z0") }
	n.rounds(9)
	is.Equal(len(n.hosts["h0-0"].tracker.Live(n.now)), 4)
	is.Equal(len(n.hosts["h1-0"].tracker.Live(n.now)), 8)
	n.drops = func(string, string) bool { return false }
	n.rounds(6)
	is.Equal(len(n.hosts["h0-0"].tracker.Live(n.now)), 12)
}
