// Package gossiper selects the recipients of gossip messages and stores the load
// that hosts report: demand and requests in flight. Every host sends gossip to
// all hosts of its availability zone. Two hosts of each zone, the relays, are
// elected by rendezvous hashing; they also send gossip to the relays of each
// other zone and forward what they receive. The first relay sends to the first
// relay of each zone and the second to the second, with many zones by turns to
// those of other regions, so that the messages between two zones do not depend on
// the number of their hosts. The package does no I/O and is not safe for concurrent
// use.
package gossiper

import (
	"cmp"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliahill.example/magnoliahill/pkg/prioritizer"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	zoneRole          = "greet"         // hashed to rank the hosts of a zone; the same on all hosts
	relaysPerZone     = 2               // so that gossip between zones continues when one fails
	watchCandidates   = 2               // per zone: the store may reject the first one alone
	recordTTL         = 3 * time.Second // after which a load record that was not renewed expires
	maxBackendServers = 128             // per load record (640 bytes) or set of health reports
)

// RegisteredHost holds the addresses of a registered host, live or not.
type RegisteredHost struct {
	Name    string
	Zone    string
	Control string // host:port
	Data    string // host:port
}

// Recipient holds the address of a host to send gossip to, and what the message
// contains.
type Recipient struct {
	Control           string   // control address, host:port
	Name              string   // host name; "" for a seed, whose name is unknown
	Zone              string   // availability zone; "" for a seed
	OtherZone         bool     // in another zone, or a seed
	FullZones         []string // zones whose hosts the recipient may lack: their heartbeats are sent complete; sorted
	WithHealthReports bool     // send health reports; in another zone to one host only, which forwards them
}

// Load holds the demand and the requests in flight of one or more hosts. Names
// are replaced by their 32-bit hashes.
type Load struct {
	Demands  map[uint32]float64     // requests per second, by the hash of the limit's name
	Running  map[uint32]int         // requests in flight, by the hash of the backend server's id
	Services map[uint32]ServiceLoad // requests in flight, by the hash of the service's name
}

// ServiceLoad counts the requests in flight for a service, by the regions that they
// may run in.
type ServiceLoad struct {
	Free  int            // may run in any region
	Bound map[uint32]int // must run in one region, by the hash of the region's name
	// Latest requests by priority; empty if the senders know of priority 0 only.
	Priorities map[int]prioritizer.Counts
}

// LoadRecord is the load of a host, of a zone, or of all other zones together.
type LoadRecord struct {
	Load
	Scope string // "host/" or "zone/" followed by the name, or "rest"
}

// NameHash returns the hash that stands for a name in load records and health
// reports.
func NameHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

type storedRecord struct {
	record     LoadRecord
	receivedAt time.Duration
	direct     bool // from a host within the scope; only such records are forwarded
}

// Gossiper is the gossip state of one host: the hosts that it sends gossip to and
// the load and health reports that it received.
type Gossiper struct {
	self             string
	zone             string
	regions          map[string]string // region of each availability zone
	tracker          *tracker.Tracker
	registered       map[string]RegisteredHost
	seeds            []string
	digests          map[string]Digests       // last digests received from a host, by host name; only hosts that the tracker knows
	isolated         map[string]time.Duration // when a host of another zone that knew no other host last sent gossip, by host name
	records          map[string]storedRecord
	rounds           int // rounds started
	round            healthRound
	fleet            fleetView
	registrations    uint64          // number of times that the registered hosts were replaced
	forgottenAt      uint64          // version of the tracker at which unknown hosts were last forgotten
	storeUnreachable map[string]bool // hosts that cannot reach the store, by name
}

// Option sets one property of a gossiper.
type Option func(*Gossiper)

// WithRegions sets the region of each availability zone. Without it all zones
// belong to one region.
func WithRegions(regions map[string]string) Option {
	return func(g *Gossiper) { g.regions = regions }
}

// New returns the gossip state of a host without registered hosts.
func New(self, zone string, t *tracker.Tracker, seeds []string, options ...Option) *Gossiper {
	g := &Gossiper{
		self: self, zone: zone, tracker: t, seeds: seeds,
		registered:       map[string]RegisteredHost{},
		digests:          map[string]Digests{},
		isolated:         map[string]time.Duration{},
		records:          map[string]storedRecord{},
		round:            newHealthRound(),
		storeUnreachable: map[string]bool{},
	}
	for _, option := range options {
		option(g)
	}
	return g
}

// SetSeeds replaces the control addresses that gossip is sent to while there is no
// other recipient or no other live host.
func (g *Gossiper) SetSeeds(seeds []string) { g.seeds = seeds }

// SetRegisteredHosts replaces the registered hosts.
func (g *Gossiper) SetRegisteredHosts(hosts []RegisteredHost) {
	g.registered = make(map[string]RegisteredHost, len(hosts))
	for _, host := range hosts {
		g.registered[host.Name] = host
	}
	g.registrations++
}

// Apply stores the membership digests and the load records of a gossip message
// from a host of a zone. Records of the own host and zone are ignored, and so are
// forwarded records while one received directly has not expired.
func (g *Gossiper) Apply(now time.Duration, from, zone string, digests Digests, records []LoadRecord) {
	g.applyDigests(now, from, zone, digests)
	for _, r := range records {
		if r.Scope == hostScope(g.self) || r.Scope == zoneScope(g.zone) {
			continue
		}
		direct := r.Scope == hostScope(from) || r.Scope == zoneScope(zone)
		stored, ok := g.records[r.Scope]
		if ok && stored.direct && !direct && now-stored.receivedAt < recordTTL {
			continue
		}
		g.records[r.Scope] = storedRecord{record: r, receivedAt: now, direct: direct}
	}
}

// WatchesStore reports whether this host watches the store for its zone. It is the
// first of the candidates that can reach the store, or the first of all when
// none can.
func (g *Gossiper) WatchesStore(now time.Duration) bool {
	ranked := g.view(now).ranked
	for _, host := range ranked[:min(watchCandidates, len(ranked))] {
		if !g.storeUnreachable[host.ID.Name] {
			return host.ID.Name == g.self
		}
	}
	return g.relayRole(now).rank == 0
}

// SetStoreUnreachable sets whether a host watches the store but cannot reach it.
func (g *Gossiper) SetStoreUnreachable(name string, unreachable bool) {
	if unreachable {
		g.storeUnreachable[name] = true
	} else {
		delete(g.storeUnreachable, name)
	}
}

// LoadRecords returns the load records to send. Other zones get the sum of the own
// zone. Hosts of the own zone get the load of this host. If it is a relay, they
// also get the services of each other zone, and one record with the demand and the
// requests in flight per backend server summed over the other zones.
func (g *Gossiper) LoadRecords(now time.Duration, own Load, otherZone bool) []LoadRecord {
	if otherZone {
		return []LoadRecord{{Scope: zoneScope(g.zone), Load: busiest(g.zoneLoad(now, own))}}
	}
	records := []LoadRecord{{Scope: hostScope(g.self), Load: busiest(own)}}
	if !g.IsRelay(now) {
		return records
	}
	otherZones := newLoad()
	for scope, stored := range g.records {
		if strings.HasPrefix(scope, zoneScopePrefix) && stored.direct && now-stored.receivedAt < recordTTL {
			records = append(records, LoadRecord{Scope: scope, Load: Load{Services: stored.record.Services}})
			otherZones.add(Load{Demands: stored.record.Demands, Running: stored.record.Running})
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Scope < records[j].Scope })
	return append(records, LoadRecord{Scope: otherZonesScope, Load: busiest(otherZones)})
}

func (g *Gossiper) zoneLoad(now time.Duration, own Load) Load {
	sum := newLoad()
	sum.add(own)
	for scope, stored := range g.records {
		if strings.HasPrefix(scope, hostScopePrefix) && now-stored.receivedAt < recordTTL {
			sum.add(stored.record.Load)
		}
	}
	return sum
}

// OtherLoad returns the summed load of all other hosts and zones, without expired
// records, which it deletes. The load of the other zones is known from the zones
// that reported to this host directly, and from the sum that a relay sent. The
// higher value of a demand counts, since either may lack a zone and a limit must
// not be exceeded. Requests in flight are taken from the direct reports on a relay,
// and otherwise from the sum.
func (g *Gossiper) OtherLoad(now time.Duration) Load {
	sum, direct, summed := newLoad(), newLoad(), newLoad()
	hasDirect, hasSum := false, false
	for scope, stored := range g.records {
		switch {
		case now-stored.receivedAt >= recordTTL:
			delete(g.records, scope)
		case scope == otherZonesScope:
			summed, hasSum = stored.record.Load, true
		case strings.HasPrefix(scope, zoneScopePrefix):
			sum.add(Load{Services: stored.record.Services})
			direct.add(Load{Demands: stored.record.Demands, Running: stored.record.Running})
			hasDirect = hasDirect || stored.direct
		default:
			sum.add(stored.record.Load)
		}
	}
	running := direct.Running
	if hasSum && (!hasDirect || !g.IsRelay(now)) {
		running = summed.Running
	}
	for hash, rate := range summed.Demands {
		direct.Demands[hash] = max(direct.Demands[hash], rate)
	}
	sum.add(Load{Demands: direct.Demands, Running: running})
	return sum
}

// ServicesByZone returns the requests in flight by availability zone and service.
// Zones whose records have expired are left out.
func (g *Gossiper) ServicesByZone(now time.Duration, own map[uint32]ServiceLoad) map[string]map[uint32]ServiceLoad {
	sum := newLoad()
	sum.add(Load{Services: own})
	for scope, stored := range g.records {
		if strings.HasPrefix(scope, hostScopePrefix) && now-stored.receivedAt < recordTTL {
			sum.add(Load{Services: stored.record.Services})
		}
	}
	zones := map[string]map[uint32]ServiceLoad{g.zone: sum.Services}
	for scope, stored := range g.records {
		if zone, ok := strings.CutPrefix(scope, zoneScopePrefix); ok && now-stored.receivedAt < recordTTL {
			zones[zone] = stored.record.Services
		}
	}
	return zones
}

func newLoad() Load {
	return Load{Demands: map[uint32]float64{}, Running: map[uint32]int{}, Services: map[uint32]ServiceLoad{}}
}

func (l Load) add(other Load) {
	for hash, rate := range other.Demands {
		l.Demands[hash] += rate
	}
	for hash, running := range other.Running {
		l.Running[hash] += running
	}
	for hash, load := range other.Services {
		sum, ok := l.Services[hash]
		if !ok {
			sum.Bound = make(map[uint32]int, len(load.Bound))
		}
		sum.accumulate(load)
		l.Services[hash] = sum
	}
}

// Add returns the sum of both.
func (s ServiceLoad) Add(other ServiceLoad) ServiceLoad {
	sum := ServiceLoad{Bound: map[uint32]int{}}
	sum.accumulate(s)
	sum.accumulate(other)
	return sum
}

// accumulate adds a load to one whose maps nothing else refers to.
func (s *ServiceLoad) accumulate(other ServiceLoad) {
	s.Free += other.Free
	for region, count := range other.Bound {
		s.Bound[region] += count
	}
	for priority, counts := range other.Priorities {
		if s.Priorities == nil {
			s.Priorities = map[int]prioritizer.Counts{}
		}
		s.Priorities[priority] = s.Priorities[priority].Add(counts)
	}
}

// PriorityReports returns what the other hosts of the own zone and the other zones
// counted by priority, by the hash of the service's name.
func (g *Gossiper) PriorityReports(now time.Duration) map[uint32][]prioritizer.Report {
	all := map[uint32][]prioritizer.Report{}
	for _, stored := range g.records {
		age := now - stored.receivedAt
		for service, load := range stored.record.Services {
			if age < recordTTL && len(load.Priorities) > 0 {
				all[service] = append(all[service], prioritizer.Report{Counts: load.Priorities, Age: age})
			}
		}
	}
	return all
}

// busiest limits a load to the backend servers with the most requests in flight,
// so that its record fits into a datagram.
func busiest(l Load) Load {
	if len(l.Running) <= maxBackendServers {
		return l
	}
	type entry struct {
		hash    uint32
		running int
	}
	entries := make([]entry, 0, len(l.Running))
	for hash, running := range l.Running {
		entries = append(entries, entry{hash, running})
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Or(cmp.Compare(b.running, a.running), cmp.Compare(a.hash, b.hash)) })
	kept := make(map[uint32]int, maxBackendServers)
	for _, e := range entries[:maxBackendServers] {
		kept[e.hash] = e.running
	}
	return Load{Demands: l.Demands, Running: kept, Services: l.Services}
}

const (
	hostScopePrefix = "host/"
	zoneScopePrefix = "zone/"
	otherZonesScope = "rest" // all other zones together, for hosts that are not relays
)

// ValidScope reports whether a record's scope is a host, a zone or all other
// zones.
func ValidScope(scope string) bool {
	return strings.HasPrefix(scope, hostScopePrefix) || strings.HasPrefix(scope, zoneScopePrefix) || scope == otherZonesScope
}

func hostScope(name string) string { return hostScopePrefix + name }

func zoneScope(name string) string { return zoneScopePrefix + name }
