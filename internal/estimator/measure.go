package estimator

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/internal/parser"
	"magnoliahill.example/magnoliahill/internal/watcher"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/sharer"
	"magnoliahill.example/magnoliahill/pkg/steerer"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// Slopes are all measures by name.
type Slopes map[string]Slope

// Names of the measures.
const (
	ExchangeBytes  = "exchange message"
	ExchangeTime   = "exchange encode and decode"
	TrackTime      = "heartbeats taken in"
	RosterBytes    = "roster in the store"
	ReportBytes    = "census report"
	AskBytes       = "ask and answer"
	LimitMemory    = "one limit's part"
	TakeTime       = "admission at the limiter"
	RebalanceTime  = "look for short limits"
	TableTime      = "look-up answers, making"
	TableMemory    = "look-up answers, memory"
	AnswerTime     = "look-up answer, finding"
	BlockMemory    = "client blocks, memory"
	BlockTime      = "client blocks, making"
	FindTime       = "client block, finding"
	HeadBytes      = "configuration head"
	BuildTime      = "configuration, checking the whole"
	SiteFileBytes  = "one site's file"
	WorkspaceBytes = "workspaces and keys, memory"
)

var (
	hostSizes  = []int{8, 64, 256}
	fleetSizes = []int{64, 256, 1024}
	limitSizes = []int{64, 512, 2048}
	blockSizes = []int{5000, 20000, 110000}
	siteSizes  = []int{50, 150, 390}
)

// Measure measures all slopes on this machine. It takes some seconds.
func Measure(progress func(name string)) Slopes {
	slopes := Slopes{}
	add := func(s Slope) {
		slopes[s.Name] = s
		progress(s.Name)
	}
	add(over(ExchangeBytes, "B", "hosts in it", hostSizes, func(n int) float64 {
		return float64(proto.Size(exchange(n)))
	}))
	add(over(ExchangeTime, "ns", "hosts in it", hostSizes, exchangeTime))
	add(over(TrackTime, "ns", "hosts in it", hostSizes, trackTime))
	add(over(RosterBytes, "B", "members", hostSizes, func(n int) float64 {
		return float64(proto.Size(messenger.EncodeRoster(roster(n))))
	}))
	add(over(ReportBytes, "B", "limits held", limitSizes, reportBytes))
	add(over(AskBytes, "B", "asks", []int{1, 10, 100}, func(n int) float64 { return askBytes() * float64(n) }))
	add(over(LimitMemory, "B", "limits", limitSizes, limitMemory))
	add(over(TakeTime, "ns", "limits", limitSizes, takeTime))
	add(over(RebalanceTime, "ns", "limits", limitSizes, rebalanceTime))
	add(over(TableTime, "ns", "hosts", fleetSizes, func(n int) float64 {
		return nanoseconds(func() { table(n) })
	}))
	add(over(TableMemory, "B", "hosts", fleetSizes, func(n int) float64 {
		return heapBytes(func() any { return table(n) })
	}))
	add(over(AnswerTime, "ns", "hosts", fleetSizes, answerTime))
	add(over(BlockMemory, "B", "blocks", blockSizes, func(n int) float64 {
		return heapBytes(func() any { return steerer.BuildBlocks(sites(390, n)) })
	}))
	add(over(BlockTime, "ns", "blocks", blockSizes, func(n int) float64 {
		list := sites(390, n)
		return nanoseconds(func() { steerer.BuildBlocks(list) })
	}))
	add(over(FindTime, "ns", "blocks", blockSizes, findTime))
	add(over(HeadBytes, "B", "files", siteSizes, func(n int) float64 {
		return float64(proto.Size(messenger.EncodeHead(head(n))))
	}))
	add(over(BuildTime, "ns", "blocks", blockSizes, func(n int) float64 {
		docs := siteDocs(390, n)
		return nanoseconds(func() { mustBuild(docs) })
	}))
	add(over(SiteFileBytes, "B", "blocks", []int{50, 150, 282}, func(n int) float64 {
		return float64(len(siteDocs(1, n)[1].Data()))
	}))
	add(over(WorkspaceBytes, "B", "workspaces", []int{100, 500, 2000}, func(n int) float64 {
		return heapBytes(func() any { return mustBuild(workspaceDocs(n)) })
	}))
	return slopes
}

func hostName(i int) string { return fmt.Sprintf("host-%04d", i) }

func zoneName(i int) string { return fmt.Sprintf("region-%02d-%c", i%42/4, 'a'+i%42%4) }

func beat(i int) tracker.Beat {
	return tracker.Beat{
		ID: tracker.HostID{Name: hostName(i), Incarnation: 1<<62 + uint64(i)}, Zone: zoneName(i),
		Control: fmt.Sprintf("10.%d.%d.%d:7401", i/65536, i/256%256, i%256),
		Data:    fmt.Sprintf("10.%d.%d.%d:7400", i/65536, i/256%256, i%256),
		Boot:    "0d5c6d0a-31c1-4e70-9d2c-2a54f2c8d9a1", Counter: 100_000,
	}
}

func beats(n int) []tracker.Beat {
	list := make([]tracker.Beat, 0, n)
	for i := range n {
		list = append(list, beat(i))
	}
	return list
}

func pulses(n int) []tracker.Pulse {
	list := make([]tracker.Pulse, 0, n)
	for _, b := range beats(n) {
		list = append(list, tracker.Pulse{Incarnation: b.ID.Incarnation, Counter: b.Counter})
	}
	return list
}

func exchange(n int) *peerv1.ExchangeRequest {
	return &peerv1.ExchangeRequest{
		Stamp:  &peerv1.Stamp{Wall: 1_800_000_000_000_000_000, Logical: 1},
		Pulses: messenger.EncodePulses(pulses(n)), Generation: 100_000, Epoch: 10_000,
		Digest: 1 << 62, Control: beat(1).Control,
	}
}

func exchangeTime(n int) float64 {
	list := pulses(n)
	return nanoseconds(func() {
		data, err := proto.Marshal(&peerv1.ExchangeRequest{Pulses: messenger.EncodePulses(list)})
		if err != nil {
			panic(err)
		}
		var back peerv1.ExchangeRequest
		if err := proto.Unmarshal(data, &back); err != nil {
			panic(err)
		}
		messenger.DecodePulses(back.GetPulses())
	})
}

func trackTime(n int) float64 {
	t := tracker.New(beat(100_000))
	t.Heard(time.Second, beats(n)...)
	list := pulses(n)
	now := time.Second
	return nanoseconds(func() {
		now += time.Millisecond
		for i := range list {
			list[i].Counter++
		}
		t.HeardPulses(now, list)
	})
}

func roster(n int) sharer.Roster {
	r := sharer.Roster{Epoch: 10_000}
	for i := range n {
		b := beat(i)
		r.Members = append(r.Members, sharer.Member{
			ID: b.ID, Zone: b.Zone, Control: b.Control, Boot: b.Boot,
			Floor: sharer.Floor{FleetPPM: 1_000, HomePPM: 10_000}, Joined: 9_000,
		})
	}
	return r
}

func limitNames(n int) []sharer.Limit {
	list := make([]sharer.Limit, 0, n)
	for i := range n {
		list = append(list, sharer.NewRate(fmt.Sprintf("rate/workspace-%05d", i), 100, 50))
	}
	return list
}

// holder returns a sharer that holds all of some limits.
func holder(n int) *sharer.Sharer {
	s := sharer.New(tracker.HostID{Name: "a", Incarnation: 1}, sharer.WithLease(24*time.Hour))
	s.Tick(0)
	s.SetLimits(0, 1, limitNames(n))
	r := sharer.Roster{}.With(sharer.Member{ID: s.Self()}).Next(s.Self())
	s.Contact(0, 0, r)
	census := sharer.NewCensus(r, 1, 0, time.Hour, 0)
	census.Add(s.Report())
	s.Issue(0, census)
	return s
}

func reportBytes(n int) float64 {
	s := holder(n)
	s.Adopt(0, s.Roster().Next(s.Self()))
	return float64(proto.Size(messenger.EncodeReport(s.Report())))
}

func askBytes() float64 {
	id := beat(1).ID
	ask := messenger.EncodeAsk(sharer.Ask{
		Message: sharer.Message{From: id, To: id, Epoch: 10_000}, ID: 100_000, Limit: "rate/workspace-00001",
		Total: amount(), Have: amount(), Tokens: limiter.Unit, Demand: limiter.Unit, Need: limiter.Unit,
	})
	transfer := messenger.EncodeTransfer(sharer.Transfer{
		Message: sharer.Message{From: id, To: id, Epoch: 10_000}, Answers: 100_000, Limit: "rate/workspace-00001",
		Total: amount(), Given: amount(), Tokens: limiter.Unit, Left: amount(), Spare: limiter.Unit, Demand: limiter.Unit,
	})
	const httpOverhead = 2 * 150 // headers of the call and its answer on a kept connection
	return float64(proto.Size(ask) + proto.Size(transfer) + httpOverhead)
}

func amount() limiter.Amount {
	return limiter.Amount{Rate: 100 * limiter.Unit, Capacity: 50 * limiter.Unit}
}

func limitMemory(n int) float64 { return heapBytes(func() any { return holder(n) }) }

func takeTime(n int) float64 {
	s := holder(n)
	names := limitNames(n)
	now := time.Duration(0)
	i := 0
	return nanoseconds(func() {
		now += time.Microsecond
		i++
		s.Take(now, names[i%n].Name(), 1)
	})
}

func rebalanceTime(n int) float64 {
	b := sharer.NewBorrower(holder(n))
	now := time.Duration(0)
	return nanoseconds(func() {
		now += time.Millisecond
		b.Short(now)
	})
}

func table(n int) *steerer.Table {
	var zones []string
	for i := range 42 {
		zones = append(zones, zoneName(i))
	}
	var hosts []tracker.Host
	for _, b := range beats(n) {
		hosts = append(hosts, tracker.Host{Beat: b})
	}
	distance := func(from, to string) time.Duration {
		if from == to {
			return 0
		}
		return time.Duration(len(from)+int(to[len(to)-1])) * time.Millisecond
	}
	return steerer.Build(zones, hosts, distance, 3*time.Second)
}

func answerTime(n int) float64 {
	t := table(n)
	zone := zoneName(7)
	return nanoseconds(func() { t.Answer(zone, "workspace-00042") })
}

// sites returns sites with client blocks spread over them.
func sites(count, blocks int) []*cataloger.Site {
	lists := make([][]netip.Prefix, count)
	for i := range blocks {
		lists[i%count] = append(lists[i%count], block(i))
	}
	list := make([]*cataloger.Site, 0, count)
	for i := range count {
		list = append(list, cataloger.NewSite(cataloger.Origin{}, fmt.Sprintf("site-%03d", i), zoneName(i), lists[i]))
	}
	return list
}

// block returns the i-th of many blocks of three lengths.
func block(i int) netip.Prefix {
	bits := 24 - i%3
	address := netip.AddrFrom4([4]byte{byte(20 + i/32768), byte(i / 128), byte(i * 2), 0})
	if i%3 > 0 {
		address = netip.AddrFrom4([4]byte{byte(60 + i/16384 + 40*(i%3)), byte(i / 64), byte(i * 4), 0})
	}
	return netip.PrefixFrom(address, bits).Masked()
}

func findTime(n int) float64 {
	b := steerer.BuildBlocks(sites(390, n))
	address := block(n / 2).Addr().Next()
	return nanoseconds(func() { b.Find(address) })
}

func head(files int) watcher.Head {
	h := watcher.Head{Generation: 100_000, ChangeID: strings.Repeat("x", 26), Author: "operator", Files: map[string]string{}}
	for i := range files {
		h.Files[fmt.Sprintf("site-%03d.yaml", i)] = strings.Repeat("0", 32)
	}
	return h
}

func topologyDoc() parser.Document {
	var b strings.Builder
	b.WriteString("kind: topology\nregions:\n")
	for region := range 11 {
		fmt.Fprintf(&b, "  - {name: region-%02d, zones: [", region)
		for zone := range 4 {
			fmt.Fprintf(&b, "region-%02d-%c, ", region, 'a'+zone)
		}
		b.WriteString("]}\n")
	}
	return parser.NewDocument("topology.yaml", []byte(strings.ReplaceAll(b.String(), ", ]", "]")))
}

func siteDocs(count, blocks int) []parser.Document {
	docs := []parser.Document{topologyDoc()}
	for _, site := range sites(count, blocks) {
		var b strings.Builder
		fmt.Fprintf(&b, "kind: site\nsite: %s\nzone: %s\nblocks:\n", site.Name(), site.Zone())
		for _, one := range site.Blocks() {
			fmt.Fprintf(&b, "  - %s\n", one)
		}
		docs = append(docs, parser.NewDocument(site.Name()+".yaml", []byte(b.String())))
	}
	return docs
}

func workspaceDocs(n int) []parser.Document {
	var docs []parser.Document
	for i := range n {
		name := fmt.Sprintf("workspace-%05d", i)
		docs = append(docs,
			parser.NewDocument(name+".yaml", []byte("kind: workspace\nworkspace: "+name+"\nrate: 100\n")),
			parser.NewDocument("keys-"+name+".yaml", []byte(fmt.Sprintf(
				"kind: keys\nkeys-of: %s\nkeys:\n  - {id: %s-1, sha256: %s}\n", name, name, cataloger.HashKey(name)))))
	}
	return docs
}

func mustBuild(docs []parser.Document) *cataloger.Catalog {
	catalog, err := parser.Build(1, docs)
	if err != nil {
		panic(err)
	}
	return catalog
}
