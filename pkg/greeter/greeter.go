// Package greeter decides which hosts send one another heartbeats, and keeps
// what they tell of demand and of requests under way. Hosts of an availability zone greet one another; two
// of each zone, drawn by rendezvous, also greet two of each other zone and pass
// on what they hear. It does no I/O and is not safe for concurrent use.
package greeter

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	dutyName   = "greet"
	dutyHosts  = 2               // of each zone that greet other zones: one may fail
	watchHosts = 2               // of each zone that may watch the store: one may be turned away alone
	recordLife = 3 * time.Second // a record that was not renewed for so long is forgotten
	mostTold   = 128             // backend servers in one record, the busiest: 640 bytes
)

// Contact is a host that is registered, live or not.
type Contact struct {
	Name    string
	Zone    string
	Control string // host:port
	Data    string // host:port
}

// Letter is a greeting to be sent.
type Letter struct {
	Control string // the recipient's control address
	Name    string // the recipient; "" for a seed
	Foreign bool   // the recipient is in another zone
	Full    bool   // with whole heartbeats: the recipient may not know all hosts
	Tells   bool   // with evidence; of the recipients in another zone one only, which passes it on
}

// Load is what hosts ask for and have under way.
type Load struct {
	Demands map[uint32]float64 // requests a second, by the number of the limit
	Running map[uint32]int     // requests under way, by the number of the backend server
	Origins map[uint32]Origin  // requests under way, by the number of the service
}

// Origin is the requests under way for a service, by where they may run.
type Origin struct {
	Free  int            // those that may run in any region
	Bound map[uint32]int // those that may not, by the number of the region they run in
}

// Record is the load of a host or of a whole zone.
type Record struct {
	Load
	Scope string // "host/" or "zone/" and the name, or "rest"
}

// Number returns what a limit or a backend server goes by between hosts.
func Number(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

type kept struct {
	record Record
	at     time.Duration
	direct bool // from the scope's own hosts; only such records are passed on
}

// Greeter plans the greetings of one host.
type Greeter struct {
	self     string
	zone     string
	tracker  *tracker.Tracker
	contacts map[string]Contact
	seeds    []string
	digests  map[string]uint32 // of the hosts that others know, by name
	records  map[string]kept
	rounds   rounds
	blind    map[string]bool // hosts that the store does not answer
}

// New returns a greeter of a host that knows no others.
func New(self, zone string, t *tracker.Tracker, seeds []string) *Greeter {
	return &Greeter{
		self: self, zone: zone, tracker: t, seeds: seeds,
		contacts: map[string]Contact{},
		digests:  map[string]uint32{},
		records:  map[string]kept{},
		rounds:   newRounds(),
		blind:    map[string]bool{},
	}
}

// SetSeeds replaces the addresses that are tried when no host is known.
func (g *Greeter) SetSeeds(seeds []string) { g.seeds = seeds }

// SetContacts replaces the registered hosts.
func (g *Greeter) SetContacts(contacts []Contact) {
	g.contacts = make(map[string]Contact, len(contacts))
	for _, c := range contacts {
		g.contacts[c.Name] = c
	}
}

// Heard takes in a greeting from a host of a zone.
func (g *Greeter) Heard(now time.Duration, from, zone string, digest uint32, records []Record) {
	g.digests[from] = digest
	for _, r := range records {
		if r.Scope == scopeHost(g.self) || r.Scope == scopeZone(g.zone) {
			continue
		}
		direct := r.Scope == scopeHost(from) || r.Scope == scopeZone(zone)
		known, ok := g.records[r.Scope]
		if ok && known.direct && !direct && now-known.at < recordLife {
			continue
		}
		g.records[r.Scope] = kept{record: r, at: now, direct: direct}
	}
}

// known returns all other hosts, live ones first in each zone.
func (g *Greeter) known(now time.Duration) map[string][]tracker.Host {
	hosts := g.tracker.Known(now)
	seen := map[string]bool{g.self: true}
	byZone := map[string][]tracker.Host{}
	for _, host := range hosts {
		seen[host.ID.Name] = true
		byZone[host.Zone] = append(byZone[host.Zone], host)
	}
	for _, c := range g.contacts {
		if seen[c.Name] {
			continue
		}
		beat := tracker.Beat{ID: tracker.HostID{Name: c.Name}, Zone: c.Zone, Control: c.Control, Data: c.Data}
		byZone[c.Zone] = append(byZone[c.Zone], tracker.Host{Beat: beat, Silent: now})
	}
	return byZone
}

// Digest returns a number that is the same on hosts that know the same others.
func (g *Greeter) Digest(now time.Duration) uint32 { return uint32(g.tracker.Digest(now)) }

// Letters returns the greetings that are due.
func (g *Greeter) Letters(now time.Duration) []Letter {
	byZone := g.known(now)
	digest := g.Digest(now)
	var letters []Letter
	for _, host := range byZone[g.zone] {
		letter := g.letter(host, digest, false)
		letter.Tells = true
		letters = append(letters, letter)
	}
	if g.OnDuty(now) {
		for zone, hosts := range byZone {
			if zone == g.zone {
				continue
			}
			for i, host := range g.drawn(now, hosts) {
				letter := g.letter(host, digest, true)
				letter.Tells = i == 0
				letters = append(letters, letter)
			}
		}
	}
	if len(letters) == 0 || len(g.tracker.Live(now)) == 1 {
		for _, seed := range g.seeds {
			letters = append(letters, Letter{Control: seed, Foreign: true, Full: true})
		}
	}
	sort.Slice(letters, func(i, j int) bool { return letters[i].Control < letters[j].Control })
	return letters
}

func (g *Greeter) letter(host tracker.Host, digest uint32, foreign bool) Letter {
	heard, ok := g.digests[host.ID.Name]
	return Letter{Control: host.Control, Name: host.ID.Name, Foreign: foreign, Full: !ok || heard != digest}
}

// OnDuty reports whether this host greets other zones.
func (g *Greeter) OnDuty(now time.Duration) bool { return g.among(now, dutyHosts) }

// Watches reports whether this host watches the store for its zone: the first of
// a few that the store answers.
func (g *Greeter) Watches(now time.Duration) bool {
	ranked := tracker.Rank(dutyName, g.ownZone(now))
	for _, host := range ranked[:min(watchHosts, len(ranked))] {
		if !g.blind[host.ID.Name] {
			return host.ID.Name == g.self
		}
	}
	return g.among(now, 1)
}

// SetBlind takes in whether a host watches a store that does not answer it.
func (g *Greeter) SetBlind(name string, blind bool) {
	if blind {
		g.blind[name] = true
	} else {
		delete(g.blind, name)
	}
}

func (g *Greeter) among(now time.Duration, n int) bool {
	return tracker.Holds(dutyName, g.ownZone(now), g.self, n)
}

func (g *Greeter) ownZone(now time.Duration) []tracker.Host {
	var own []tracker.Host
	for _, host := range g.tracker.Live(now) {
		if host.Zone == g.zone {
			own = append(own, host)
		}
	}
	return own
}

// drawn returns the hosts on duty of another zone: from the live ones, or from
// all when none is live.
func (g *Greeter) drawn(now time.Duration, hosts []tracker.Host) []tracker.Host {
	live := map[string]bool{}
	for _, host := range g.tracker.Live(now) {
		live[host.ID.Name] = true
	}
	var candidates []tracker.Host
	for _, host := range hosts {
		if live[host.ID.Name] {
			candidates = append(candidates, host)
		}
	}
	if len(candidates) == 0 {
		candidates = hosts
	}
	ranked := tracker.Rank(dutyName, candidates)
	return ranked[:min(dutyHosts, len(ranked))]
}

// Records returns what to tell of load: to hosts of the own zone that of this
// host and, when it greets other zones, what each of them asks for and all of
// them together have under way; to other zones the sum of the own zone.
func (g *Greeter) Records(now time.Duration, own Load, foreign bool) []Record {
	if foreign {
		return []Record{{Scope: scopeZone(g.zone), Load: busiest(g.zoneSum(now, own))}}
	}
	records := []Record{{Scope: scopeHost(g.self), Load: busiest(own)}}
	if !g.OnDuty(now) {
		return records
	}
	rest := newLoad()
	for scope, k := range g.records {
		if strings.HasPrefix(scope, zoneScope) && k.direct && now-k.at < recordLife {
			records = append(records, Record{Scope: scope, Load: Load{Demands: k.record.Demands, Origins: k.record.Origins}})
			rest.add(Load{Running: k.record.Running})
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Scope < records[j].Scope })
	return append(records, Record{Scope: restScope, Load: busiest(rest)})
}

func (g *Greeter) zoneSum(now time.Duration, own Load) Load {
	sum := newLoad()
	sum.add(own)
	for scope, k := range g.records {
		if strings.HasPrefix(scope, hostScope) && now-k.at < recordLife {
			sum.add(k.record.Load)
		}
	}
	return sum
}

// Others returns the load of all other hosts that were heard of lately.
func (g *Greeter) Others(now time.Duration) Load {
	sum, rest := newLoad(), Load{}
	direct := false
	for scope, k := range g.records {
		switch {
		case now-k.at >= recordLife:
			delete(g.records, scope)
		case scope == restScope:
			rest = k.record.Load
		default:
			direct = direct || strings.HasPrefix(scope, zoneScope) && k.direct
			sum.add(k.record.Load)
		}
	}
	if !direct {
		sum.add(rest)
	}
	return sum
}

// Zones returns where the requests of each availability zone run, as far as it
// was heard of lately.
func (g *Greeter) Zones(now time.Duration, own map[uint32]Origin) map[string]map[uint32]Origin {
	sum := newLoad()
	sum.add(Load{Origins: own})
	for scope, k := range g.records {
		if strings.HasPrefix(scope, hostScope) && now-k.at < recordLife {
			sum.add(Load{Origins: k.record.Origins})
		}
	}
	zones := map[string]map[uint32]Origin{g.zone: sum.Origins}
	for scope, k := range g.records {
		if zone, ok := strings.CutPrefix(scope, zoneScope); ok && now-k.at < recordLife {
			zones[zone] = k.record.Origins
		}
	}
	return zones
}

func newLoad() Load {
	return Load{Demands: map[uint32]float64{}, Running: map[uint32]int{}, Origins: map[uint32]Origin{}}
}

func (l Load) add(more Load) {
	for number, rate := range more.Demands {
		l.Demands[number] += rate
	}
	for number, running := range more.Running {
		l.Running[number] += running
	}
	for number, origin := range more.Origins {
		l.Origins[number] = l.Origins[number].Add(origin)
	}
}

// Add returns the requests of both.
func (o Origin) Add(more Origin) Origin {
	sum := Origin{Free: o.Free + more.Free, Bound: map[uint32]int{}}
	for _, one := range []Origin{o, more} {
		for region, count := range one.Bound {
			sum.Bound[region] += count
		}
	}
	return sum
}

// busiest returns a load with the backend servers that have most under way.
func busiest(l Load) Load {
	if len(l.Running) <= mostTold {
		return l
	}
	numbers := make([]uint32, 0, len(l.Running))
	for number := range l.Running {
		numbers = append(numbers, number)
	}
	sort.Slice(numbers, func(i, j int) bool {
		a, b := l.Running[numbers[i]], l.Running[numbers[j]]
		return a > b || a == b && numbers[i] < numbers[j]
	})
	few := make(map[uint32]int, mostTold)
	for _, number := range numbers[:mostTold] {
		few[number] = l.Running[number]
	}
	return Load{Demands: l.Demands, Running: few, Origins: l.Origins}
}

const (
	hostScope = "host/"
	zoneScope = "zone/"
	restScope = "rest" // all other zones, of hosts that do not hear of them directly
)

// ValidScope reports whether a record's scope names a host, a zone or the rest.
func ValidScope(scope string) bool {
	return strings.HasPrefix(scope, hostScope) || strings.HasPrefix(scope, zoneScope) || scope == restScope
}

func scopeHost(name string) string { return hostScope + name }

func scopeZone(name string) string { return zoneScope + name }
