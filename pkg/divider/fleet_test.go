package divider_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.yaml.in/yaml/v3"

	"magnoliahill.example/magnoliahill/pkg/divider"
)

// The platform's bound on what all hosts admit in a window.
const (
	window       = 5 * time.Second
	overage      = 0.1
	slack        = 20.0
	step         = 10 * time.Millisecond
	exchange     = 500 * time.Millisecond
	mostRelay    = time.Second // a greeting passes one host on its way
	forgetsAfter = 3 * time.Second
)

// scenario is one load on a fleet, from the data file.
type scenario struct {
	Name    string
	Hosts   int
	Zones   int // hosts are dealt to them in turn; 0 means that each is its own
	Rate    float64
	Burst   float64
	Seconds float64
	Seeds   int
	MaxLost float64 `yaml:"max-lost"` // share of the requests owed that may be refused
	Events  []struct {
		At    float64
		Kind  string // demand, move, restart, cut, heal
		Value float64
		Share float64 // of the hosts, from the first on
	}
}

type heard struct {
	at     time.Duration
	demand float64
}

type host struct {
	divider *divider.Divider
	zone    int
	weight  float64 // part of the demand that comes here
	cut     bool
	news    map[int]heard
}

type letter struct {
	due      time.Duration
	from, to int
	demand   float64
}

// fleet plays a scenario in virtual time.
type fleet struct {
	scenario scenario
	rng      *rand.Rand
	hosts    []*host
	mail     []letter
	demand   float64
	admitted []time.Duration
	asked    []time.Duration
	refused  int
}

func newFleet(s scenario, seed uint64) *fleet {
	f := &fleet{scenario: s, rng: rand.New(rand.NewPCG(seed, 1))}
	if s.Zones == 0 {
		s.Zones = s.Hosts
	}
	for i := range s.Hosts {
		f.hosts = append(f.hosts, &host{weight: 1, zone: i % s.Zones, news: map[int]heard{}})
	}
	f.scenario = s
	for _, h := range f.hosts {
		f.start(h, 0)
	}
	return f
}

func (f *fleet) start(h *host, now time.Duration) {
	h.divider = divider.New(f.scenario.Hosts, overage/2)
	h.divider.SetLimits(now, []divider.Limit{{Name: "w", Rate: f.scenario.Rate, Burst: f.scenario.Burst}})
	h.news = map[int]heard{}
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
		f.ask(now)
		for i, h := range f.hosts {
			if now%exchange == time.Duration(i)*step%exchange {
				f.exchange(now, i, h)
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
			h.divider.SetLimits(now, []divider.Limit{{Name: "w", Rate: value, Burst: value}})
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
			h.cut = true
		case "heal":
			h.cut = false
		}
	}
}

func (f *fleet) deliver(now time.Duration) {
	kept := f.mail[:0]
	for _, l := range f.mail {
		if l.due > now {
			kept = append(kept, l)
			continue
		}
		if f.hosts[l.to].cut == f.hosts[l.from].cut {
			f.hosts[l.to].news[l.from] = heard{at: now, demand: l.demand}
		}
	}
	f.mail = kept
}

func (f *fleet) ask(now time.Duration) {
	total := 0.0
	for _, h := range f.hosts {
		total += h.weight
	}
	for _, h := range f.hosts {
		chance := f.demand * step.Seconds() * h.weight / total
		for n := chance; n > 0; n-- {
			if f.rng.Float64() >= n {
				break
			}
			f.asked = append(f.asked, now)
			if f.take(now, h) {
				f.admitted = append(f.admitted, now)
			} else {
				f.refused++
			}
		}
	}
}

// take charges a request at the host that holds the limit.
func (f *fleet) take(now time.Duration, h *host) bool {
	holder := h
	if h.divider.Pooled("w") {
		for _, other := range f.hosts {
			if other.zone == h.zone {
				holder = other
				break
			}
		}
	}
	if holder.cut != h.cut {
		ok, _ := h.divider.TakeAlone(now, "w")
		return ok
	}
	ok, _ := holder.divider.Take(now, "w")
	return ok
}

func (f *fleet) exchange(now time.Duration, i int, h *host) {
	others, count := 0.0, 1
	for from, n := range h.news {
		if now-n.at < forgetsAfter {
			others += n.demand
			count++
		} else {
			delete(h.news, from)
		}
	}
	zone := 0
	for _, other := range f.hosts {
		if other.zone == h.zone {
			zone++
		}
	}
	h.divider.SetOthers(now, divider.Others{
		Hosts: len(f.hosts), Zone: zone, Heard: count, Demand: map[string]float64{"w": others},
	})
	for to := range f.hosts {
		if to != i && f.rng.Float64() > 0.02 {
			due := now + time.Duration(f.rng.Float64()*float64(mostRelay))
			f.mail = append(f.mail, letter{due: due, from: i, to: to, demand: h.divider.Demand()["w"]})
		}
	}
}

// most returns the most admissions in any window.
func (f *fleet) most() int {
	most, first := 0, 0
	for last, at := range f.admitted {
		for at-f.admitted[first] >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func TestHostsTogetherKeepTheBound(t *testing.T) {
	data, err := os.ReadFile("testdata/fleets.yaml")
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
			worst, asked, refused := 0, 0, 0
			for seed := range uint64(s.Seeds) {
				f := newFleet(s, seed)
				f.play()
				worst = max(worst, f.most())
				asked += len(f.asked)
				refused += f.refused
			}
			t.Log(fmt.Sprintf("most in a window %d, bound %.0f, refused %.4f", worst, bound, float64(refused)/float64(asked)))
			is.True(float64(worst) <= bound)
			if s.MaxLost > 0 {
				is.True(float64(refused) <= s.MaxLost*float64(asked))
			}
		})
	}
}
