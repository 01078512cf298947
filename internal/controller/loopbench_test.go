package controller

import (
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/internal/storer"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/gossiper"
	"magnoliahill.example/magnoliahill/pkg/placer"
	"magnoliahill.example/magnoliahill/pkg/registrar"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// benchFleet is a fleet whose hosts, workspaces and backend servers do not change. One
// host is looked at; the others exist as the senders of what it receives.
type benchFleet struct {
	zones, perZone, servers, workspaces int
	beats                               []tracker.Heartbeat // of all hosts; those of zone 0, the host's own, come first
	peers                               net.PacketConn      // takes what the host sends
	loop                                *loop
	now                                 time.Duration
	ticks                               time.Duration // processor time of all ticks
}

const benchServices = 4

func benchZone(i int) string { return fmt.Sprint("zone-", i) }

func benchHost(i, perZone int) string { return fmt.Sprintf("front-%d-%d", i/perZone, i%perZone) }

// newBenchFleet returns a fleet, and in it a host that is a relay of its zone or is not.
func newBenchFleet(b testing.TB, zones, perZone, servers, workspaces int, relay bool) *benchFleet {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	f := &benchFleet{zones: zones, perZone: perZone, servers: servers, workspaces: workspaces, now: time.Minute}
	for i := range zones * perZone {
		f.beats = append(f.beats, tracker.Heartbeat{
			ID: tracker.HostID{Name: benchHost(i, perZone), Incarnation: uint64(i+1) << 32}, Zone: benchZone(i / perZone),
			Control: fmt.Sprintf("127.0.0.1:%d", 10000+i), Data: fmt.Sprintf("127.0.0.1:%d", 20000+i), Counter: 1,
		})
	}
	var err error
	if f.peers, err = net.ListenPacket("udp4", "127.0.0.1:0"); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = f.peers.Close() })
	for i := 0; f.loop == nil || f.loop.gossiper.IsRelay(f.now) != relay; i++ {
		f.loop = f.newLoop(b, i)
	}
	return f
}

// newLoop returns the loop of a host of zone 0 that knows the fleet and has requests in
// flight.
func (f *benchFleet) newLoop(b testing.TB, index int) *loop {
	l := newTestLoop(b, f.beats[index].ID.Name)
	c := l.controller
	c.settings.Zone, c.settings.Regions = benchZone(0), map[string]string{}
	for i := range f.zones {
		c.settings.Regions[benchZone(i)] = fmt.Sprint("region-", i/2)
	}
	c.settings.Region = c.settings.Regions[benchZone(0)]
	c.settings.PeerPort = f.peers.LocalAddr().(*net.UDPAddr).Port
	c.settings.MaxLookupTTL = time.Minute
	c.platform = servingPlatform{}
	c.placer = placer.New(c.settings.Host, placer.Location{Zone: c.settings.Zone, Region: c.settings.Region}, c.settings.Regions)
	self := f.beats[index]
	l.tracker = tracker.New(self, tracker.WithTimeout(hostTimeout), tracker.WithZoneTimeouts(zoneTimeouts(c.settings)))
	l.gossiper = gossiper.New(self.ID.Name, c.settings.Zone, l.tracker, nil, gossiper.WithRegions(c.settings.Regions))
	l.discovering, l.fetching = true, true
	for i, beat := range f.beats {
		if i != index {
			l.tracker.Apply(f.now, beat)
			l.registeredHosts = append(l.registeredHosts, gossiper.RegisteredHost{Name: beat.ID.Name, Zone: beat.Zone, Control: beat.Control, Data: beat.Data})
		}
	}
	l.gossiper.SetRegisteredHosts(l.registeredHosts)
	l.countHosts(f.now)
	f.configure(b, l)
	for i := range 6 {
		c.placer.Choose(f.now, placer.Query{Service: fmt.Sprint("svc-", i%benchServices), Object: fmt.Sprint(i), Goal: time.Second, TimeLeft: time.Second})
	}
	for i := range f.workspaces / 3 {
		c.allocator.Take(f.now, fmt.Sprint("workspace-", i))
	}
	l.applyPeerState(f.now)
	return l
}

func (f *benchFleet) configure(b testing.TB, l *loop) {
	var items cataloger.Items
	for i := range benchServices {
		items.Services = append(items.Services, cataloger.NewService(cataloger.Origin{}, fmt.Sprint("svc-", i), cataloger.Urgent))
	}
	for i := range f.workspaces {
		items.Workspaces = append(items.Workspaces, cataloger.NewWorkspace(cataloger.Origin{}, fmt.Sprint("workspace-", i), nil, 50, 100, 1))
	}
	catalog, err := cataloger.New(1, items)
	if err != nil {
		b.Fatal(err)
	}
	l.config.catalog = catalog
	l.controller.allocator.SetLimits(f.now, rateLimits(catalog))
	for i := range f.servers {
		l.registrar.Put(f.now, registrar.NewInstance(f.server(i), fmt.Sprint("svc-", i%benchServices), f.server(i)+":1", benchZone(i%f.zones), registrar.WithSlots(4)))
	}
	l.updatePlacer(f.now)
}

func (f *benchFleet) server(i int) string { return fmt.Sprintf("i-%08x", i*7919) }

// load returns what a sum of hosts asks for and has in flight.
func (f *benchFleet) load(seed, workspaces, servers int) gossiper.Load {
	load := gossiper.Load{Demands: map[uint32]float64{}, Running: map[uint32]int{}, Services: map[uint32]gossiper.ServiceLoad{}}
	for i := range min(workspaces, f.workspaces) {
		load.Demands[gossiper.NameHash(fmt.Sprint("workspace-", (seed+i)%f.workspaces))] = 1.5
	}
	for i := range min(servers, f.servers) {
		load.Running[gossiper.NameHash(f.server((seed*3+i)%f.servers))] = 2
	}
	for i := range benchServices {
		load.Services[gossiper.NameHash(fmt.Sprint("svc-", i))] = gossiper.ServiceLoad{Free: 3, Bound: map[uint32]int{gossiper.NameHash("region-1"): 1}}
	}
	return load
}

// messages returns what the host receives in one round: a message of each other host of
// its zone, and of a relay of each other zone if it is a relay.
func (f *benchFleet) messages(b testing.TB, round uint64) [][]byte {
	var pulses []tracker.CompactHeartbeat
	for _, beat := range f.beats {
		pulses = append(pulses, tracker.CompactHeartbeat{Incarnation: beat.ID.Incarnation, Counter: round})
	}
	digests := [2][]*peerv1.ZoneDigest{}
	for i, otherZone := range []bool{false, true} {
		digests[i] = messenger.EncodeDigests(f.loop.gossiper.DigestsFor(f.now, gossiper.Recipient{OtherZone: otherZone, Zone: benchZone(0)}))
	}
	relays := tracker.Rank("greet", hostsOf(f.beats[:f.perZone]))[:2]
	isRelay := f.loop.gossiper.IsRelay(f.now)
	var all [][]byte
	for i, beat := range f.beats {
		zone := i / f.perZone
		m := &peerv1.Greeting{Sender: beat.ID.Incarnation, Digests: digests[min(zone, 1)], Positions: []int64{1, 1, 1, 1, 1}, Generation: 1}
		switch {
		case beat.ID.Name == f.loop.controller.settings.Host || zone > 0 && (i%f.perZone > 0 || !isRelay):
			continue
		case zone > 0:
			m.Pulses = messenger.EncodeCompactHeartbeats(pulses[zone*f.perZone : (zone+1)*f.perZone])
			m.Records = messenger.EncodeLoadRecords([]gossiper.LoadRecord{{Scope: "zone/" + beat.Zone, Load: f.load(i, f.workspaces, 60)}})
		default:
			m.Pulses = messenger.EncodeCompactHeartbeats(pulses[:f.perZone])
			records := []gossiper.LoadRecord{{Scope: "host/" + beat.ID.Name, Load: f.load(i, f.workspaces/4, 6)}}
			if beat.ID == relays[0].ID || beat.ID == relays[1].ID {
				m.Pulses = messenger.EncodeCompactHeartbeats(pulses)
				for other := 1; other < f.zones; other++ {
					records = append(records, gossiper.LoadRecord{Scope: "zone/" + benchZone(other), Load: gossiper.Load{Services: f.load(i, 0, 0).Services}})
				}
				records = append(records, gossiper.LoadRecord{Scope: "rest", Load: f.load(i, f.workspaces, 128)})
			}
			m.Records = messenger.EncodeLoadRecords(records)
		}
		data, err := proto.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		all = append(all, data)
	}
	return all
}

func hostsOf(beats []tracker.Heartbeat) []tracker.Host {
	var hosts []tracker.Host
	for _, beat := range beats {
		hosts = append(hosts, tracker.Host{Heartbeat: beat})
	}
	return hosts
}

// step lets the host do the work of half a second: it receives a message of each
// sender, ticks twice, and sends the slices of a gossip round.
func (f *benchFleet) step(received [][]byte) {
	l := f.loop
	for tick := range 2 {
		f.now += tickInterval
		began := processorTime()
		l.tick(f.now)
		f.ticks += processorTime() - began
		for _, data := range received[tick*len(received)/2 : (tick+1)*len(received)/2] {
			m := &peerv1.Greeting{}
			if proto.Unmarshal(data, m) == nil {
				(&gossipReceived{m}).apply(l, f.now)
			}
		}
		for range 1 + (len(received)-1)/recipientsPerSlice/2 {
			l.sendSlice(f.now)
		}
	}
	for {
		select {
		case <-l.inbox: // slices that are due by the clock of the machine
		default:
			return
		}
	}
}

var benchFleets = []struct {
	name                                string
	zones, perZone, servers, workspaces int
	relay                               bool
}{
	{"94-hosts", 6, 16, 172, 72, false},
	{"94-hosts-relay", 6, 16, 172, 72, true},
	{"300-hosts", 6, 50, 1000, 40, false},
	{"300-hosts-relay", 6, 50, 1000, 40, true},
}

// processorTime returns the processor time that the process has used on all cores.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkControl measures the work of the control loop in half a second.
func BenchmarkControl(b *testing.B) {
	for _, c := range benchFleets {
		b.Run(c.name, func(b *testing.B) {
			f := newBenchFleet(b, c.zones, c.perZone, c.servers, c.workspaces, c.relay)
			var rounds [][][]byte
			round := uint64(1)
			used := time.Duration(0)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if len(rounds) == 0 {
					b.StopTimer()
					for range 64 {
						round++
						rounds = append(rounds, f.messages(b, round))
					}
					b.StartTimer()
				}
				before := processorTime()
				f.step(rounds[0])
				used += processorTime() - before
				rounds = rounds[1:]
			}
			if live := f.loop.tracker.LiveCount(f.now); live != c.zones*c.perZone {
				b.Fatalf("%d live hosts", live)
			}
			b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-µs/op")
			b.ReportMetric(float64(f.ticks.Microseconds())/float64(2*b.N), "cpu-µs/tick")
		})
	}
}

// BenchmarkServerChange measures what the change of one registration costs a host.
func BenchmarkServerChange(b *testing.B) {
	for _, c := range benchFleets {
		b.Run(c.name, func(b *testing.B) {
			f := newBenchFleet(b, c.zones, c.perZone, c.servers, c.workspaces, c.relay)
			cache := f.loop.caches[f.loop.kinds.Servers]
			var all []storer.Item
			for i := range f.servers {
				all = append(all, storer.NewItem(f.server(i), int64(i+1), nil))
			}
			f.loop.watching = true
			cache.replaceAll(storer.NewItemList(all, int64(len(all))))
			before := processorTime()
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				revision := int64(len(all) + i + 1)
				changed := storer.NewItemList([]storer.Item{storer.NewItem(f.server(i%f.servers), revision, nil)}, revision)
				f.loop.applyChanges(f.now, cache, cache.applyChanges(changed))
			}
			b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-µs/op")
		})
	}
}

// BenchmarkHostChange measures what it costs a host that another one falls silent and
// returns.
func BenchmarkHostChange(b *testing.B) {
	for _, c := range benchFleets {
		b.Run(c.name, func(b *testing.B) {
			f := newBenchFleet(b, c.zones, c.perZone, c.servers, c.workspaces, c.relay)
			l, other := f.loop, f.beats[len(f.beats)-1]
			before := processorTime()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				other.Counter++
				other.State = tracker.State(other.Counter % 2)
				l.tracker.Apply(f.now, other)
				l.gossiper.RoundRecipients(f.now)
				l.applyPeerState(f.now)
			}
			b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-µs/op")
		})
	}
}
