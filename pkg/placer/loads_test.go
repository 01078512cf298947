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

	"github.com/matryer/is"
	"go.yaml.in/yaml/v3"

	"magnoliahill.example/magnoliahill/pkg/placer"
	"magnoliahill.example/magnoliahill/pkg/registrar"
)

// world is backend servers that are faster with objects they handled, and the
// hosts that send to them, in virtual time.
type world struct {
	load    load
	rng     *rand.Rand
	now     time.Duration
	hosts   []*placer.Placer
	servers map[string]*server
	list    []registrar.Registered
	ends    []running
	results results
	told    map[string]int // requests by server, when hosts last told one another
	ownTold []map[string]int
}

type server struct {
	slots, queue int
	slow         float64
	running      int
	waiting      []running
	warm         map[string]bool
	colds        int // runs of objects that were cold
}

type running struct {
	at      time.Duration // when it ends
	host    int
	pick    placer.Pick
	object  string
	arrived time.Duration
}

type results struct {
	asked, onTime, late, lost, refused, shed int
}

// load is one load from the data file.
type load struct {
	Name    string
	Servers map[string]int // by zone
	Slots   int
	Queue   int
	Objects int
	Rate    float64       // requests a second over all hosts
	Cold    time.Duration // a run of an object that is cold
	Warm    time.Duration
	Goal    time.Duration
	Seconds float64
	Hosts   int           // in each zone; 1 when not given
	Tell    time.Duration // hosts hear so often what was under way so long ago; 0 when never
	// Hosts hear what the tries of others said, as often as they tell.
	Evidence bool
	Limit    time.Duration // an answer that takes longer is lost; 10 goals when not given
	// Share of the requests that come from a region; even when not given.
	From map[string]float64
	// Hosts hear of the demand of all regions, as often as they tell.
	Demand bool
	Hot    int // this many objects get half of the requests
	Burst  struct{ From, To, Rate float64 }
	Slow   struct {
		Server string
		By     float64
		From   float64
	}
	// Bounds on what callers get, as shares of the requests.
	MinOnTime float64 `yaml:"min-on-time"`
	MaxLost   float64 `yaml:"max-lost"`
	MaxLate   float64 `yaml:"max-late"`
}

func newWorld(l load, seed uint64) *world {
	w := &world{load: l, rng: rand.New(rand.NewPCG(seed, 1)), servers: map[string]*server{}}
	r := registrar.New()
	for _, zone := range slices.Sorted(maps.Keys(l.Servers)) {
		for i := range l.Servers[zone] {
			id := fmt.Sprintf("%s-%d", zone, i)
			w.servers[id] = &server{slots: l.Slots, queue: l.Queue, slow: 1, warm: map[string]bool{}}
			r.Put(0, registrar.NewInstance(id, service, id, zone, registrar.WithSlots(l.Slots)))
		}
	}
	w.list = r.Instances()
	if w.load.Limit == 0 {
		w.load.Limit = 10 * w.load.Goal
	}
	for _, zone := range slices.Sorted(maps.Keys(regions)) {
		for i := range max(1, l.Hosts) {
			p := placer.New(fmt.Sprint("host-", zone, i), placer.Place{Zone: zone, Region: regions[zone]}, regions)
			p.Update(0, []placer.Service{{Name: service}}, w.list, nil)
			w.hosts = append(w.hosts, p)
		}
	}
	return w
}

// tell gives each host what the others had under way when it was last asked.
func (w *world) tell() {
	if w.load.Tell == 0 || w.now%w.load.Tell != 0 {
		return
	}
	for i, host := range w.hosts {
		others := map[string]int{}
		for id, count := range w.told {
			others[id] = count - w.ownTold[i][id]
		}
		host.SetOthers(others)
	}
	for i, host := range w.hosts {
		said := host.Evidence(w.now)
		for j, other := range w.hosts {
			if i != j && w.load.Evidence {
				other.Learn(w.now, said)
			}
		}
	}
	w.tellDemand()
	w.told, w.ownTold = map[string]int{}, nil
	for _, host := range w.hosts {
		own := host.Running()
		w.ownTold = append(w.ownTold, own)
		for id, count := range own {
			w.told[id] += count
		}
	}
}

func (w *world) rate() float64 {
	at := w.now.Seconds()
	if w.load.Burst.Rate > 0 && at >= w.load.Burst.From && at < w.load.Burst.To {
		return w.load.Burst.Rate
	}
	return w.load.Rate
}

const step = time.Millisecond

func (w *world) play() results {
	for w.now = step; w.now.Seconds() < w.load.Seconds; w.now += step {
		w.slowDown()
		w.finish()
		w.tell()
		for n := w.rate() * step.Seconds(); n > 0 && w.rng.Float64() < n; n-- {
			w.ask()
		}
	}
	return w.results
}

// tellDemand gives all hosts what each region's hosts have under way.
func (w *world) tellDemand() {
	if !w.load.Demand {
		return
	}
	demand := map[string]placer.Demand{}
	for i, host := range w.hosts {
		sum := demand[w.region(i)]
		sum.Free += host.Demand()[service].Free // no object of the loads is bound to a region
		demand[w.region(i)] = sum
	}
	for _, host := range w.hosts {
		host.SetDemand(w.now, map[string]map[string]placer.Demand{service: demand})
	}
}

func (w *world) region(host int) string {
	zones := slices.Sorted(maps.Keys(regions))
	return regions[zones[host/max(1, w.load.Hosts)]]
}

// from draws the host that a request comes to.
func (w *world) from() int {
	host := w.rng.IntN(len(w.hosts))
	for w.load.From != nil && w.rng.Float64() >= w.load.From[w.region(host)] {
		host = w.rng.IntN(len(w.hosts))
	}
	return host
}

// slowDown makes the servers slow whose ids begin so.
func (w *world) slowDown() {
	if w.load.Slow.Server == "" || w.now.Seconds() < w.load.Slow.From {
		return
	}
	for id, s := range w.servers {
		if strings.HasPrefix(id, w.load.Slow.Server) {
			s.slow = w.load.Slow.By
		}
	}
}

func (w *world) ask() {
	host := w.from()
	object := fmt.Sprint(w.rng.IntN(w.load.Objects))
	if w.load.Hot > 0 && w.rng.IntN(2) == 0 {
		object = fmt.Sprint(w.rng.IntN(w.load.Hot))
	}
	w.results.asked++
	pick, verdict, _ := w.hosts[host].Choose(w.now, placer.Query{
		Service: service, Route: "r", Object: object, Goal: w.load.Goal, Left: w.load.Limit,
	})
	if verdict != placer.Chosen {
		w.results.refused++
		return
	}
	one := running{host: host, pick: pick, object: object, arrived: w.now}
	s := w.servers[pick.ID()]
	switch {
	case s.running < s.slots:
		w.start(s, one)
	case len(s.waiting) < s.queue:
		s.waiting = append(s.waiting, one)
	default:
		w.results.shed++
		w.hosts[host].Done(w.now, pick, placer.Shed, w.report(s))
	}
}

func (w *world) start(s *server, one running) {
	s.running++
	took := w.load.Warm
	if !s.warm[one.object] {
		took = w.load.Cold
		s.colds++
	}
	one.at = w.now + time.Duration(float64(took)*s.slow*(0.85+0.3*w.rng.Float64()))
	w.ends = append(w.ends, one)
}

func (w *world) report(s *server) placer.Load {
	return placer.Load{Running: s.running, Waiting: len(s.waiting), Known: true}
}

func (w *world) finish() {
	kept := w.ends[:0]
	var done []running
	for _, one := range w.ends {
		if one.at <= w.now {
			done = append(done, one)
		} else {
			kept = append(kept, one)
		}
	}
	w.ends = kept
	for _, one := range done {
		s := w.servers[one.pick.ID()]
		s.running--
		s.warm[one.object] = true
		w.hosts[one.host].Done(w.now, one.pick, placer.Answered, w.report(s))
		switch took := w.now - one.arrived; {
		case took <= w.load.Goal:
			w.results.onTime++
		case took <= w.load.Limit:
			w.results.late++
		default:
			w.results.lost++
		}
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			w.start(s, next)
		}
	}
}

// TestLoads plays loads on the decisions and checks what callers get.
func TestLoads(t *testing.T) {
	data, err := os.ReadFile("testdata/loads.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var loads []load
	if err := yaml.Unmarshal(data, &loads); err != nil {
		t.Fatal(err)
	}
	for _, l := range loads {
		t.Run(l.Name, func(t *testing.T) {
			is := is.New(t)
			got := newWorld(l, 1).play()
			asked := float64(got.asked)
			t.Logf("asked %d, on time %.3f, late %.3f, lost %.3f, refused %.3f, shed %.3f", got.asked, float64(got.onTime)/asked,
				float64(got.late)/asked, float64(got.lost)/asked, float64(got.refused)/asked, float64(got.shed)/asked)
			is.True(float64(got.onTime) >= l.MinOnTime*asked)
			is.True(float64(got.late) <= l.MaxLate*asked)
			is.True(float64(got.lost) <= l.MaxLost*asked)
		})
	}
}
