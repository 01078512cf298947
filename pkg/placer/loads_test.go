package placer_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"magnoliahill.example/magnoliahill/pkg/placer"
	"magnoliahill.example/magnoliahill/pkg/registrar"
)

// simulation runs a workload in virtual time: backend servers that are faster
// with objects they handled before, and the hosts that send requests to them.
type simulation struct {
	workload    workload
	rng         *rand.Rand
	now         time.Duration
	hosts       []*placer.Placer
	names       []string // of the hosts
	servers     map[string]*server
	instances   []registrar.Registered
	inFlight    []simulatedRequest
	results     results
	reported    map[string]int   // requests by server at the last gossip, from all hosts
	ownReported []map[string]int // the same, from each host
	failures    failures
	zones       []string // of the hosts
	kinds       kindResults
}

type server struct {
	slots, queue int
	slow         float64
	running      int
	waiting      []simulatedRequest
	warm         map[string]bool
	coldRuns     int // runs of objects that were cold
	// Number of requests without an object that were sent to the server.
	withoutObject int
}

// simulatedRequest is a request that runs or waits at a server.
type simulatedRequest struct {
	endsAt  time.Duration
	host    int
	pick    placer.Pick
	object  string
	arrived time.Duration
	kind    int
}

// workload is an entry of the data file.
type workload struct {
	Name    string
	Servers map[string]int // by zone
	Slots   int
	Queue   int
	Objects int
	// Share of the requests that have no object.
	WithoutObjects float64       `yaml:"without-objects"`
	Rate           float64       // requests per second over all hosts
	Cold           time.Duration // run time with an object that is cold
	Warm           time.Duration
	Goal           time.Duration
	Seconds        float64
	Hosts          int           // per zone; 1 if not given
	Gossip         time.Duration // interval at which hosts receive what the others had in flight one interval ago; 0 disables gossip
	Fleet          int           // hosts in all; Hosts per zone if not given
	Kinds          []requestKind // of requests; one of them if not given
	News           time.Duration // age of what hosts hear of others, if there are kinds
	// Hosts receive the health reports of the others with each gossip.
	Evidence bool
	Limit    time.Duration // an answer that takes longer is lost; 10 goals if not given
	// Share of the requests that come from each region; equal if not given.
	From map[string]float64
	// Hosts receive the demand of all regions with each gossip.
	Demand bool
	shifts `yaml:",inline"`
	Hot    int // number of objects that get half of the requests
	Burst  struct{ From, To, Rate float64 }
	Slow   struct {
		Server string
		By     float64
		From   float64
	}
	// Servers whose IDs start with the prefix name a request limit for a time.
	Limited struct {
		Server    string
		PerSecond float64 `yaml:"per-second"`
		From, To  float64
	}
	// Bounds on the results, as shares of the requests.
	MinOnTime float64 `yaml:"min-on-time"`
	MaxLost   float64 `yaml:"max-lost"`
	MaxLate   float64 `yaml:"max-late"`
	// Largest share of refused requests; 0 sets no bound.
	MaxRefused float64 `yaml:"max-refused"`
	// Smallest share on time in any two seconds, as a multiple of the whole; 0 sets no
	// bound.
	MinWindow float64 `yaml:"min-window"`
}

func newSimulation(l workload, seed uint64) *simulation {
	sim := &simulation{workload: l, rng: rand.New(rand.NewPCG(seed, 1)), servers: map[string]*server{}}
	sim.results.windows, sim.results.regions = map[int]*windowResult{}, map[string]*windowResult{}
	draws := rand.New(rand.NewPCG(seed, 2))
	options := append(l.options(), placer.WithRandom(draws.Float64))
	r := registrar.New()
	for _, zone := range slices.Sorted(maps.Keys(l.Servers)) {
		for i := range l.Servers[zone] {
			id := fmt.Sprintf("%s-%d", zone, i)
			sim.servers[id] = &server{slots: l.Slots, queue: l.Queue, slow: 1, warm: map[string]bool{}}
			r.Put(0, registrar.NewInstance(id, service, id, zone, registrar.WithSlots(l.Slots)))
		}
	}
	sim.instances = r.Instances()
	if sim.workload.Limit == 0 {
		sim.workload.Limit = 10 * sim.workload.Goal
	}
	for _, zone := range slices.Sorted(maps.Keys(regions)) {
		for i := range hostsOfZone(l, len(sim.hosts)) {
			p := placer.New(fmt.Sprint("host-", zone, i), placer.Location{Zone: zone, Region: regions[zone]}, regions, options...)
			p.Update(0, []placer.Service{{Name: service}}, sim.instances, nil)
			sim.hosts = append(sim.hosts, p)
			sim.names = append(sim.names, fmt.Sprint("host-", zone, i))
			sim.zones = append(sim.zones, zone)
		}
	}
	for _, host := range sim.hosts {
		host.SetHosts(sim.names)
	}
	return sim
}

// gossip gives each host what the others had in flight at the previous gossip.
func (sim *simulation) gossip() {
	if sim.workload.Gossip == 0 || sim.now%sim.workload.Gossip != 0 || sim.silent() {
		return
	}
	for i, host := range sim.hosts {
		others := map[string]int{}
		for id, count := range sim.reported {
			others[id] = count - sim.ownReported[i][id]
		}
		host.SetRemoteRunning(sim.now, others)
	}
	for i, host := range sim.hosts {
		reports := host.TakeHealthReports(sim.now)
		for j, other := range sim.hosts {
			if i != j && sim.workload.Evidence {
				other.ApplyHealthReports(sim.now, reports)
			}
		}
	}
	sim.gossipDemand()
	sim.gossipLimits()
	sim.reported, sim.ownReported = map[string]int{}, nil
	for _, host := range sim.hosts {
		own := host.Running()
		sim.ownReported = append(sim.ownReported, own)
		for id, count := range own {
			sim.reported[id] += count
		}
	}
}

func (sim *simulation) rate() float64 {
	at := sim.now.Seconds()
	if sim.workload.Burst.Rate > 0 && at >= sim.workload.Burst.From && at < sim.workload.Burst.To {
		return sim.workload.Burst.Rate
	}
	return sim.workload.Rate
}

const step = time.Millisecond

func (sim *simulation) run() results {
	for sim.now = step; sim.now.Seconds() < sim.workload.Seconds; sim.now += step {
		sim.slowDown()
		sim.finishRequests()
		sim.gossip()
		sim.gossipKinds()
		for n := sim.rate() * step.Seconds(); n > 0 && sim.rng.Float64() < n; n-- {
			sim.sendRequest(sim.drawHost(), nil)
		}
		sim.sendBound()
		sim.failures.observe(sim)
	}
	return sim.results
}

// gossipDemand gives all hosts what the hosts of each region have in flight.
func (sim *simulation) gossipDemand() {
	if !sim.workload.Demand {
		return
	}
	demand := map[string]placer.Demand{}
	for i, host := range sim.hosts {
		sum := demand[sim.region(i)]
		sum.Free += host.Demand()[service].Free // no request of the workloads is limited to a region
		demand[sim.region(i)] = sum
	}
	for _, host := range sim.hosts {
		host.SetDemand(sim.now, map[string]map[string]placer.Demand{service: demand})
	}
}

// gossipLimits lets each host apply the request limits that the others know.
func (sim *simulation) gossipLimits() {
	for i, host := range sim.hosts {
		limits := host.Limits(sim.now)
		for j, other := range sim.hosts {
			if i != j && len(limits) > 0 {
				other.ApplyLimits(sim.now, limits)
			}
		}
	}
}

func (sim *simulation) region(host int) string {
	return regions[sim.zones[host]]
}

// drawHost draws the host that receives a request.
func (sim *simulation) drawHost() int {
	host := sim.rng.IntN(len(sim.hosts))
	for sim.dead(host) || !sim.accepts(sim.region(host)) {
		host = sim.rng.IntN(len(sim.hosts))
	}
	return host
}

// slowDown slows the servers whose IDs start with the prefix in the workload.
func (sim *simulation) slowDown() {
	if sim.workload.Slow.Server == "" || sim.now.Seconds() < sim.workload.Slow.From {
		return
	}
	for id, s := range sim.servers {
		if strings.HasPrefix(id, sim.workload.Slow.Server) {
			s.slow = sim.workload.Slow.By
		}
	}
}

// drawObject draws the object of a request.
func (sim *simulation) drawObject() string {
	if w := sim.workload.WithoutObjects; w > 0 && sim.rng.Float64() < w {
		return ""
	}
	object := fmt.Sprint(sim.rng.IntN(sim.workload.Objects))
	if sim.workload.Hot > 0 && sim.rng.IntN(2) == 0 {
		object = fmt.Sprint(sim.rng.IntN(sim.workload.Hot))
	}
	return object
}

// sendRequest sends a request to a host that may run in the allowed regions; nil allows
// all.
func (sim *simulation) sendRequest(host int, allowed []string) {
	object := sim.drawObject()
	number, kind := sim.drawKind()
	sim.results.requests++
	sim.results.countRequest(sim.now, sim.region(host))
	sim.kinds.asked(sim.now, host, number)
	pick, verdict, _ := sim.hosts[host].Choose(sim.now, placer.Query{
		Service: service, Route: kind.Route, Priority: kind.Priority, Object: object, Goal: kind.Goal, TimeLeft: sim.workload.Limit, AllowedRegions: allowed,
	})
	if verdict != placer.Chosen {
		sim.results.refused++
		sim.failures.refused(sim)
		return
	}
	sim.results.runs = append(sim.results.runs, regionRun{sim.now, sim.region(host), pick.Region()})
	request := simulatedRequest{host: host, pick: pick, object: object, arrived: sim.now, kind: number}
	s := sim.servers[pick.ID()]
	if object == "" {
		s.withoutObject++
	}
	switch {
	case s.running < s.slots:
		sim.start(s, request)
	case len(s.waiting) < s.queue:
		s.waiting = append(s.waiting, request)
	default:
		sim.results.shed++
		sim.results.runs = sim.results.runs[:len(sim.results.runs)-1]
		sim.hosts[host].Done(sim.now, pick, placer.Shed, sim.report(pick.ID(), s))
	}
}

func (sim *simulation) start(s *server, request simulatedRequest) {
	s.running++
	took := sim.workload.Warm
	if request.object != "" && !s.warm[request.object] {
		took = sim.workload.Cold
		s.coldRuns++
	}
	request.endsAt = sim.now + time.Duration(float64(took)*s.slow*(0.85+0.3*sim.rng.Float64()))
	sim.inFlight = append(sim.inFlight, request)
}

func (sim *simulation) report(id string, s *server) placer.Load {
	load := placer.Load{Running: s.running, Waiting: len(s.waiting), Known: true, Limit: placer.RequestLimit{Known: true}}
	sim.failures.lie(id, &load)
	limited, at := sim.workload.Limited, sim.now.Seconds()
	if limited.PerSecond > 0 && strings.HasPrefix(id, limited.Server) && at >= limited.From && at < limited.To {
		load.Limit.Limited, load.Limit.PerSecond = true, limited.PerSecond
	}
	return load
}

func (sim *simulation) finishRequests() {
	kept := sim.inFlight[:0]
	var done []simulatedRequest
	for _, request := range sim.inFlight {
		if request.endsAt <= sim.now {
			done = append(done, request)
		} else {
			kept = append(kept, request)
		}
	}
	sim.inFlight = kept
	for _, request := range done {
		s := sim.servers[request.pick.ID()]
		s.running--
		s.warm[request.object] = true
		took, goal := sim.now-request.arrived, sim.goal(request.kind)
		if sim.dead(request.host) {
			took = sim.workload.Limit + 1
		} else {
			sim.hosts[request.host].Done(sim.now, request.pick, placer.Answered, sim.report(request.pick.ID(), s))
		}
		sim.kinds.answered(request, took <= goal, took <= sim.workload.Limit)
		switch {
		case took <= goal:
			sim.results.onTime++
			sim.results.countOnTime(request.arrived, sim.region(request.host))
		case took <= sim.workload.Limit:
			sim.results.late++
		default:
			sim.results.lost++
		}
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			sim.start(s, next)
		}
	}
}

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
