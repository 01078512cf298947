package estimator

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"magnoliahill.example/magnoliahill/internal/activator"
	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/internal/parser"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/sharer"
	"magnoliahill.example/magnoliahill/pkg/steerer"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// LinearFits holds the fit of each measure by name.
type LinearFits map[string]LinearFit

// Names of the measures in the printed table.
const (
	ExchangeBytes         = "exchange message"
	ExchangeTime          = "exchange encode and decode"
	HeartbeatTime         = "heartbeats taken in"
	RosterBytes           = "roster in the store"
	CollectionReportBytes = "census report"
	AskBytes              = "ask and answer"
	LimitMemory           = "one limit's part"
	AdmissionTime         = "admission at the limiter"
	RebalanceTime         = "look for short limits"
	LookupTableTime       = "look-up answers, making"
	LookupTableMemory     = "look-up answers, memory"
	LookupTime            = "look-up answer, finding"
	BlockTableMemory      = "client blocks, memory"
	BlockTableTime        = "client blocks, making"
	BlockFindTime         = "client block, finding"
	ConfigHeadBytes       = "configuration head"
	ConfigBuildTime       = "configuration, checking the whole"
	SiteFileBytes         = "one site's file"
	WorkspaceMemory       = "workspaces and keys, memory"
)

// Sizes at which the measures are taken.
var (
	hostSizes  = []int{8, 64, 256}
	fleetSizes = []int{64, 256, 1024}
	limitSizes = []int{64, 512, 2048}
	blockSizes = []int{5000, 20000, 110000}
	siteSizes  = []int{50, 150, 390}
)

// Measure runs all measurements on this machine, which takes several seconds, and
// returns a linear fit of each measure. It calls progress with the name of each
// measure that is complete.
func Measure(progress func(name string)) LinearFits {
	fits := LinearFits{}
	add := func(f LinearFit) {
		fits[f.Name] = f
		progress(f.Name)
	}
	add(measureSizes(ExchangeBytes, "B", "hosts in it", hostSizes, func(n int) float64 {
		return float64(proto.Size(exchangeRequest(n)))
	}))
	add(measureSizes(ExchangeTime, "ns", "hosts in it", hostSizes, exchangeTime))
	add(measureSizes(HeartbeatTime, "ns", "hosts in it", hostSizes, heartbeatTime))
	add(measureSizes(RosterBytes, "B", "members", hostSizes, func(n int) float64 {
		return float64(proto.Size(messenger.EncodeRoster(roster(n))))
	}))
	add(measureSizes(CollectionReportBytes, "B", "limits held", limitSizes, collectionReportBytes))
	add(measureSizes(AskBytes, "B", "asks", []int{1, 10, 100}, func(n int) float64 { return askBytes() * float64(n) }))
	add(measureSizes(LimitMemory, "B", "limits", limitSizes, limitMemory))
	add(measureSizes(AdmissionTime, "ns", "limits", limitSizes, admissionTime))
	add(measureSizes(RebalanceTime, "ns", "limits", limitSizes, rebalanceTime))
	add(measureSizes(LookupTableTime, "ns", "hosts", fleetSizes, func(n int) float64 {
		return nanoseconds(func() { lookupTable(n) })
	}))
	add(measureSizes(LookupTableMemory, "B", "hosts", fleetSizes, func(n int) float64 {
		return heapBytes(func() any { return lookupTable(n) })
	}))
	add(measureSizes(LookupTime, "ns", "hosts", fleetSizes, lookupTime))
	add(measureSizes(BlockTableMemory, "B", "blocks", blockSizes, func(n int) float64 {
		return heapBytes(func() any { return steerer.BuildSiteTable(sites(390, n)) })
	}))
	add(measureSizes(BlockTableTime, "ns", "blocks", blockSizes, func(n int) float64 {
		list := sites(390, n)
		return nanoseconds(func() { steerer.BuildSiteTable(list) })
	}))
	add(measureSizes(BlockFindTime, "ns", "blocks", blockSizes, blockFindTime))
	add(measureSizes(ConfigHeadBytes, "B", "files", siteSizes, func(n int) float64 {
		return float64(proto.Size(messenger.EncodeHead(configHead(n))))
	}))
	add(measureSizes(ConfigBuildTime, "ns", "blocks", blockSizes, func(n int) float64 {
		docs := siteDocs(390, n)
		return nanoseconds(func() { mustBuild(docs) })
	}))
	add(measureSizes(SiteFileBytes, "B", "blocks", []int{50, 150, 282}, func(n int) float64 {
		return float64(len(siteDocs(1, n)[1].Data()))
	}))
	add(measureSizes(WorkspaceMemory, "B", "workspaces", []int{100, 500, 2000}, func(n int) float64 {
		return heapBytes(func() any { return mustBuild(workspaceDocs(n)) })
	}))
	return fits
}

func hostName(i int) string { return fmt.Sprintf("host-%04d", i) }

func zoneName(i int) string { return fmt.Sprintf("region-%02d-%c", i%42/4, 'a'+i%42%4) }

func heartbeat(i int) tracker.Heartbeat {
	return tracker.Heartbeat{
		ID: tracker.HostID{Name: hostName(i), Incarnation: 1<<62 + uint64(i)}, Zone: zoneName(i),
		Control: fmt.Sprintf("10.%d.%d.%d:7401", i/65536, i/256%256, i%256),
		Data:    fmt.Sprintf("10.%d.%d.%d:7400", i/65536, i/256%256, i%256),
		Boot:    "0d5c6d0a-31c1-4e70-9d2c-2a54f2c8d9a1", Counter: 100_000,
	}
}

func heartbeats(n int) []tracker.Heartbeat {
	list := make([]tracker.Heartbeat, 0, n)
	for i := range n {
		list = append(list, heartbeat(i))
	}
	return list
}

func compactHeartbeats(n int) []tracker.CompactHeartbeat {
	list := make([]tracker.CompactHeartbeat, 0, n)
	for _, b := range heartbeats(n) {
		list = append(list, tracker.CompactHeartbeat{Incarnation: b.ID.Incarnation, Counter: b.Counter})
	}
	return list
}

func exchangeRequest(n int) *peerv1.ExchangeRequest {
	return &peerv1.ExchangeRequest{
		Stamp:  &peerv1.Stamp{Wall: 1_800_000_000_000_000_000, Logical: 1},
		Pulses: messenger.EncodeCompactHeartbeats(compactHeartbeats(n)), Generation: 100_000, Epoch: 10_000,
		Digest: 1 << 62, Control: heartbeat(1).Control,
	}
}

func exchangeTime(n int) float64 {
	list := compactHeartbeats(n)
	return nanoseconds(func() {
		data, err := proto.Marshal(&peerv1.ExchangeRequest{Pulses: messenger.EncodeCompactHeartbeats(list)})
		if err != nil {
			panic(err)
		}
		var decoded peerv1.ExchangeRequest
		if err := proto.Unmarshal(data, &decoded); err != nil {
			panic(err)
		}
		messenger.DecodeCompactHeartbeats(decoded.GetPulses())
	})
}

func heartbeatTime(n int) float64 {
	t := tracker.New(heartbeat(100_000))
	t.Apply(time.Second, heartbeats(n)...)
	list := compactHeartbeats(n)
	now := time.Second
	return nanoseconds(func() {
		now += time.Millisecond
		for i := range list {
			list[i].Counter++
		}
		t.ApplyCompact(now, list)
	})
}

func roster(n int) sharer.Roster {
	r := sharer.Roster{Epoch: 10_000}
	for i := range n {
		b := heartbeat(i)
		r.Members = append(r.Members, sharer.Member{
			ID: b.ID, Zone: b.Zone, Control: b.Control, BootID: b.Boot,
			Floor: sharer.Floor{FleetPPM: 1_000, HomePPM: 10_000}, Joined: 9_000,
		})
	}
	return r
}

func rateLimits(n int) []sharer.Limit {
	list := make([]sharer.Limit, 0, n)
	for i := range n {
		list = append(list, sharer.NewRate(fmt.Sprintf("rate/workspace-%05d", i), 100, 50))
	}
	return list
}

// sharerHoldingAll returns a sharer that holds the whole of n rate limits.
func sharerHoldingAll(n int) *sharer.Sharer {
	s := sharer.New(tracker.HostID{Name: "a", Incarnation: 1}, sharer.WithLease(24*time.Hour))
	s.Tick(0)
	s.SetLimits(0, 1, rateLimits(n))
	r := sharer.Roster{}.With(sharer.Member{ID: s.Self()}).NextEpoch(s.Self())
	s.RecordStoreRead(0, 0, r)
	collection := sharer.NewCollection(r, 1, 0, time.Hour, 0)
	collection.Add(s.Report())
	s.IssueRemainder(0, collection)
	return s
}

// collectionReportBytes returns the size of the report that a host sends when a
// collection of the held shares starts.
func collectionReportBytes(n int) float64 {
	s := sharerHoldingAll(n)
	s.ApplyRoster(0, s.Roster().NextEpoch(s.Self()))
	return float64(proto.Size(messenger.EncodeShareReport(s.Report())))
}

// askBytes returns the size of an ask for a share and of its answer, with the HTTP
// headers.
func askBytes() float64 {
	id := heartbeat(1).ID
	ask := messenger.EncodeAsk(sharer.Ask{
		Message: sharer.Message{From: id, To: id, Epoch: 10_000}, ID: 100_000, Limit: "rate/workspace-00001",
		Total: sampleAmount(), Share: sampleAmount(), Tokens: limiter.Unit, Demand: limiter.Unit, Need: limiter.Unit,
	})
	transfer := messenger.EncodeTransfer(sharer.Transfer{
		Message: sharer.Message{From: id, To: id, Epoch: 10_000}, AskID: 100_000, Limit: "rate/workspace-00001",
		Total: sampleAmount(), CumulativeShare: sampleAmount(), CumulativeTokens: limiter.Unit, RemainingShare: sampleAmount(), RemainingTokens: limiter.Unit, Demand: limiter.Unit,
	})
	const httpOverhead = 2 * 150 // bytes of headers of a request and its response on a reused connection
	return float64(proto.Size(ask) + proto.Size(transfer) + httpOverhead)
}

func sampleAmount() limiter.Amount {
	return limiter.Amount{Rate: 100 * limiter.Unit, Capacity: 50 * limiter.Unit}
}

func limitMemory(n int) float64 { return heapBytes(func() any { return sharerHoldingAll(n) }) }

func admissionTime(n int) float64 {
	s := sharerHoldingAll(n)
	limits := rateLimits(n)
	now := time.Duration(0)
	i := 0
	return nanoseconds(func() {
		now += time.Microsecond
		i++
		s.Take(now, limits[i%n].Name(), 1)
	})
}

func rebalanceTime(n int) float64 {
	b := sharer.NewBorrower(sharerHoldingAll(n))
	now := time.Duration(0)
	return nanoseconds(func() {
		now += time.Millisecond
		b.ShortLimits(now)
	})
}

// lookupTable returns the table of look-up answers for n hosts in 42 zones.
func lookupTable(n int) *steerer.HostTable {
	var zones []string
	for i := range 42 {
		zones = append(zones, zoneName(i))
	}
	var hosts []tracker.Host
	for _, b := range heartbeats(n) {
		hosts = append(hosts, tracker.Host{Heartbeat: b})
	}
	distance := func(from, to string) time.Duration {
		if from == to {
			return 0
		}
		return time.Duration(len(from)+int(to[len(to)-1])) * time.Millisecond
	}
	return steerer.BuildHostTable(zones, hosts, distance, 3*time.Second)
}

func lookupTime(n int) float64 {
	t := lookupTable(n)
	zone := zoneName(7)
	return nanoseconds(func() { t.Response(zone, "workspace-00042") })
}

// sites returns count sites, with the given number of client blocks spread
// evenly over them.
func sites(count, blocks int) []*cataloger.Site {
	lists := make([][]netip.Prefix, count)
	for i := range blocks {
		lists[i%count] = append(lists[i%count], clientBlock(i))
	}
	list := make([]*cataloger.Site, 0, count)
	for i := range count {
		list = append(list, cataloger.NewSite(cataloger.Origin{}, fmt.Sprintf("site-%03d", i), zoneName(i), lists[i]))
	}
	return list
}

// clientBlock returns the i-th client block. Its prefix length is 24, 23 or 22.
func clientBlock(i int) netip.Prefix {
	bits := 24 - i%3
	address := netip.AddrFrom4([4]byte{byte(20 + i/32768), byte(i / 128), byte(i * 2), 0})
	if i%3 > 0 {
		address = netip.AddrFrom4([4]byte{byte(60 + i/16384 + 40*(i%3)), byte(i / 64), byte(i * 4), 0})
	}
	return netip.PrefixFrom(address, bits).Masked()
}

func blockFindTime(n int) float64 {
	b := steerer.BuildSiteTable(sites(390, n))
	address := clientBlock(n / 2).Addr().Next()
	return nanoseconds(func() { b.Find(address) })
}

func configHead(files int) activator.Head {
	h := activator.Head{Generation: 100_000, ChangeID: strings.Repeat("x", 26), Author: "operator", Files: map[string]string{}}
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
		for _, block := range site.Blocks() {
			fmt.Fprintf(&b, "  - %s\n", block)
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
