package allocator_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.yaml.in/yaml/v3"

	"magnoliahill.example/magnoliahill/pkg/allocator"
)

// The platform's bound on the requests that all hosts together admit in a window,
// and the timing of the simulated gossip.
const (
	window         = 5 * time.Second
	overage        = 0.1
	slack          = 20.0
	step           = 10 * time.Millisecond
	gossipInterval = 500 * time.Millisecond
	maxRelayDelay  = time.Second // one host may relay a gossip message
	expiresAfter   = 3 * time.Second
)

// scenario is one load on a simulated fleet, from testdata/fleets.yaml.
type scenario struct {
	Name    string
	Hosts   int
	Zones   int // hosts are assigned round-robin; 0 gives each host its own zone
	Rate    float64
	Burst   float64
	Seconds float64
	Seeds   int
	MaxLost float64  `yaml:"max-lost"` // fraction of the requests that may be refused; 0 sets no bound
	Charges *charges // at other hosts; nil takes no time and follows no deaths
	// NoMoreRefused compares with hosts that always wait for their charges.
	NoMoreRefused bool `yaml:"no-more-refused"`
	Callers       int  // that keep to one host for a while; 0 sends each request to a random host
	Events        []struct {
		At    float64
		Kind  string // demand, limit, move, restart, cut, heal, die
		Value float64
		Share float64 // fraction of the hosts, counted from the first one
	}
}

type demandReport struct {
	at     time.Duration
	demand float64
}

type host struct {
	name      string
	allocator *allocator.Allocator
	zone      int
	weight    float64 // this host receives weight/total of the demand
	cutOff    bool
	dead      bool
	changedAt time.Duration  // when it was last cut off, connected again, or died
	reports   []demandReport // by host; none where at is 0

	unavailableUntil map[*host]time.Duration // owners that did not answer
}

type message struct {
	from, to int
	demand   float64
}

// fleet simulates a scenario in virtual time.
type fleet struct {
	scenario scenario
	rng      *rand.Rand
	hosts    []*host
	inFlight map[time.Duration][]message // by the step in which they arrive
	demand   float64
	admitted []time.Duration
	requests []time.Duration
	refused  int
	calls    []call // charges under way
	callers  []*host
	waited   int // requests that waited for the answer to a charge
}

func newFleet(s scenario, seed uint64) *fleet {
	f := &fleet{scenario: s, rng: rand.New(rand.NewPCG(seed, 1)), inFlight: map[time.Duration][]message{}}
	if s.Zones == 0 {
		s.Zones = s.Hosts
	}
	for i := range s.Hosts {
		f.hosts = append(f.hosts, &host{name: fmt.Sprint("h", i), weight: 1, zone: i % s.Zones, changedAt: -expiresAfter})
	}
	f.scenario = s
	for _, h := range f.hosts {
		f.start(h, 0)
	}
	return f
}

func (f *fleet) start(h *host, now time.Duration) {
	h.allocator = allocator.New(f.scenario.Hosts, overage/2, allocator.WithHost(h.name), allocator.WithSlack(slack/2))
	h.allocator.SetLimits(now, []allocator.Limit{{Name: "w", Rate: f.scenario.Rate, Burst: f.scenario.Burst}})
	h.reports = make([]demandReport, f.scenario.Hosts)
	h.unavailableUntil = map[*host]time.Duration{}
}

func (f *fleet) play() {
	next := 0
	last := time.Duration(f.scenario.Seconds * float64(time.Second))
	for now := step; now < last; now += step {
		for next < len(f.scenario.Events) && f.scenario.Events[next].At <= now.Seconds() {
			e := f.scenario.Events[next]
			f.apply(now, e.Kind, e.Value, int(e.Share*float64(len(f.hosts))+0.5))
			next++
		}
		f.deliver(now)
		f.runCalls(now)
		f.sendRequests(now)
		for i, h := range f.hosts {
			if !h.dead && now%gossipInterval == time.Duration(i)*step%gossipInterval {
				f.gossip(now, i, h)
			}
		}
	}
}

func (f *fleet) apply(now time.Duration, kind string, value float64, n int) {
	switch kind {
	case "demand":
		f.demand = value
		return
	case "limit":
		for _, h := range f.hosts {
			h.allocator.SetLimits(now, []allocator.Limit{{Name: "w", Rate: value, Burst: value}})
		}
		return
	}
	for _, h := range f.hosts[:n] {
		switch kind {
		case "move":
			h.weight = value
		case "restart":
			f.start(h, now)
		case "cut":
			h.cutOff, h.changedAt = true, now
		case "heal":
			h.cutOff, h.changedAt = false, now
		case "die":
			if !h.dead {
				h.dead, h.weight, h.changedAt = true, 0, now
			}
		}
	}
}

func (f *fleet) deliver(now time.Duration) {
	for _, m := range f.inFlight[now] {
		if f.hosts[m.to].cutOff == f.hosts[m.from].cutOff {
			f.hosts[m.to].reports[m.from] = demandReport{at: now, demand: m.demand}
		}
	}
	delete(f.inFlight, now)
}

func (f *fleet) sendRequests(now time.Duration) {
	if f.scenario.Callers > 0 {
		f.sendFromCallers(now)
		return
	}
	total := 0.0
	for _, h := range f.hosts {
		total += h.weight
	}
	for _, h := range f.hosts {
		expected := f.demand * step.Seconds() * h.weight / total
		for n := expected; n > 0; n-- {
			if f.rng.Float64() >= n {
				break
			}
			f.requests = append(f.requests, now)
			if f.scenario.Charges != nil {
				f.request(now, h)
			} else {
				f.finish(now, f.charge(now, h))
			}
		}
	}
}

// charge charges a request at the owner if the limit is pooled, or else at the
// host itself.
func (f *fleet) charge(now time.Duration, h *host) bool {
	owner := h
	if h.allocator.Pooled("w") {
		for _, other := range f.hosts {
			if other.zone == h.zone {
				owner = other
				break
			}
		}
	}
	if owner.cutOff != h.cutOff {
		ok, _ := h.allocator.TakeFallback(now, "w")
		return ok
	}
	ok, _ := owner.allocator.Take(now, "w")
	return ok
}

func (f *fleet) gossip(now time.Duration, i int, h *host) {
	otherDemand, liveHosts := 0.0, 1
	for _, report := range h.reports {
		if report.at > 0 && now-report.at < expiresAfter {
			otherDemand += report.demand
			liveHosts++
		}
	}
	poolHosts := 0
	for _, other := range f.hosts {
		if f.scenario.Charges == nil && other.zone == h.zone || f.scenario.Charges != nil && f.inGroup(now, h, other) {
			poolHosts++
		}
	}
	h.allocator.SetFleet(now, allocator.Fleet{
		Hosts: len(f.hosts), PoolHosts: poolHosts, Live: liveHosts, OtherDemand: map[string]float64{"w": otherDemand},
	})
	if f.scenario.Charges != nil {
		owns := f.owner(now, h) == h
		h.allocator.SetOwnership(func(string) bool { return owns })
	}
	demand := h.allocator.Demand()["w"]
	for to := range f.hosts {
		if to != i && f.rng.Float64() > 0.02 {
			delay := time.Duration(f.rng.Float64() * float64(maxRelayDelay))
			due := now + max((delay+step-1)/step, 1)*step
			f.inFlight[due] = append(f.inFlight[due], message{from: i, to: to, demand: demand})
		}
	}
}

// maxPerWindow returns the maximum number of admissions in any window.
func (f *fleet) maxPerWindow() int {
	highest, first := 0, 0
	for last, at := range f.admitted {
		for at-f.admitted[first] >= window {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}

// The hosts of a fleet must together keep the platform's bound while the demand
// changes, callers move, hosts restart and hosts cannot reach each other. Refusals
// of a load below the rate must stay within the bound of the scenario.
func TestCombinedAdmissionsStayWithinTheBound(t *testing.T) { playAll(t, "testdata/fleets.yaml") }

// A part of the fleet that is cut off with the owners of a limit must not add to what the
// other hosts admit without them.
func TestAdmissionsStayWithinTheBoundWhileOwnersAreCutOffInAFlood(t *testing.T) {
	playAll(t, "testdata/cuts.yaml")
}

// playAll plays the scenarios of a file.
func playAll(t *testing.T, file string) {
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var scenarios []scenario
	if err := yaml.Unmarshal(data, &scenarios); err != nil {
		t.Fatal(err)
	}
	for _, s := range scenarios {
		t.Run(s.Name, func(t *testing.T) {
			is := is.New(t)
			bound := (s.Rate*window.Seconds()+s.Burst)*(1+overage) + slack
			worst, requests, refused, waited := 0, 0, 0, 0
			for seed := range uint64(s.Seeds) {
				f := newFleet(s, seed)
				f.play()
				worst = max(worst, f.maxPerWindow())
				f.checkLowered(is)
				requests += len(f.requests)
				refused += f.refused
				waited += f.waited
			}
			if s.NoMoreRefused {
				is.True(refused <= refusedWithoutAdvances(s))
			}
			t.Log(fmt.Sprintf("most in a window %d, bound %.0f, refused %.4f, waited %.4f", worst, bound,
				float64(refused)/float64(requests), float64(waited)/float64(requests)))
			is.True(float64(worst) <= bound)
			if s.MaxLost > 0 {
				is.True(float64(refused) <= s.MaxLost*float64(requests))
			}
		})
	}
}
