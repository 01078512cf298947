package dispatcher

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"go.yaml.in/yaml/v3"

	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

// Deviations of a service's share from its weight that are promised, in requests of one
// route and version over all hosts.
const (
	maxShareOff    = 0.2 // in 200 requests or more
	maxDutyOff     = 0.1 // in 300 requests or more
	shareWindow    = 200
	minDutyWindow  = 300
	maxScatter     = 0.1 // share of the requests for objects at another service than most for that object
	settledPerHost = 200 // requests after which a host knows the demand for objects
)

type weightPhase struct {
	Path      string
	Weights   map[string]float64
	Objects   []int // first number and count
	Requests  int
	Restarted int
}

type weightCase struct {
	Name   string
	Hosts  int
	Routes int
	Phases []weightPhase
}

func readWeightCases(t *testing.T, file string) []weightCase {
	t.Helper()
	data, err := os.ReadFile("testdata/" + file)
	if err != nil {
		t.Fatal(err)
	}
	var cases []weightCase
	if err := yaml.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	return cases
}

func (p weightPhase) route(name string) *cataloger.Route {
	var splits []cataloger.Split
	for _, service := range slices.Sorted(maps.Keys(p.Weights)) {
		splits = append(splits, cataloger.NewSplit(service, p.Weights[service]))
	}
	path := p.Path
	if path == "" {
		path = "/orders/"
	}
	return cataloger.NewRoute(cataloger.NewOrigin("test", 0), name, "shop", path, splits, cataloger.WithStickySessions(true))
}

// object returns a random object; those with low numbers are asked for more often.
func (p weightPhase) object(random *rand.Rand) string {
	if len(p.Objects) == 0 {
		return ""
	}
	first, count := p.Objects[0], p.Objects[1]
	return strconv.Itoa(first + int(float64(count)*math.Pow(random.Float64(), 1.25)))
}

// Guards against services of a divided route that get other shares than their weights.
func TestSplitRequestsFollowTheWeightsInForce(t *testing.T) {
	playWeightCases(t, "weights.yaml")
}

// Guards against services that get all requests when callers of many hosts turn to one of
// the objects that they asked for before.
func TestWeightsHoldWhenCallersOfManyHostsTurnToOneOfTheirObjects(t *testing.T) {
	playWeightCases(t, "weights-one-object.yaml")
}

func playWeightCases(t *testing.T, file string) {
	for _, c := range readWeightCases(t, file) {
		t.Run(c.Name, func(t *testing.T) {
			for i := range c.Routes {
				c.play(t, fmt.Sprintf("r-%d", i), rand.New(rand.NewPCG(uint64(i), 1)))
			}
		})
	}
}

func (c weightCase) play(t *testing.T, name string, random *rand.Rand) {
	t.Helper()
	hosts := make([]*splitter, c.Hosts)
	for i := range hosts {
		hosts[i] = newSplitter()
	}
	for number, phase := range c.Phases {
		for i := range phase.Restarted {
			hosts[i] = newSplitter()
		}
		route := phase.route(name)
		chosen := make([]string, phase.Requests)
		for i := range chosen {
			chosen[i] = hosts[random.IntN(c.Hosts)].choose(route, phase.object(random), random.Float64()).service
		}
		checkShares(t, fmt.Sprintf("route %s, phase %d", name, number), phase.Weights, chosen)
	}
}

// checkShares checks the share of each service in all requests and in each window.
func checkShares(t *testing.T, where string, weights map[string]float64, chosen []string) {
	t.Helper()
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	for service, weight := range weights {
		inWindow, all, worst := 0, 0, 0.0
		for i, other := range chosen {
			if other == service {
				all++
				inWindow++
			}
			if i >= shareWindow && chosen[i-shareWindow] == service {
				inWindow--
			}
			if i+1 >= shareWindow {
				worst = max(worst, math.Abs(float64(inWindow)/shareWindow-weight/total))
			}
		}
		if worst > maxShareOff {
			t.Errorf("%s: %s lies %.2f off its weight %.2f in %d requests", where, service, worst, weight/total, shareWindow)
		}
		if off := math.Abs(float64(all)/float64(len(chosen)) - weight/total); len(chosen) >= minDutyWindow && off > maxDutyOff {
			t.Errorf("%s: %s lies %.2f off its weight %.2f in all %d requests", where, service, off, weight/total, len(chosen))
		}
	}
}

// Guards against requests for an object that alternate between services, of which each
// has to load it.
func TestRequestsForAnObjectStayAtOneServiceAsFarAsWeightsAllow(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	phase := weightPhase{Weights: map[string]float64{"desk": 0.6, "archive": 0.4}, Objects: []int{0, 38}}
	route := phase.route("r")
	hosts := make([]*splitter, 11)
	for i := range hosts {
		hosts[i] = newSplitter()
	}
	at := map[string]map[string]int{}
	all := 0
	for i := range 20000 {
		object := phase.object(random)
		service := hosts[random.IntN(len(hosts))].choose(route, object, random.Float64()).service
		if i < settledPerHost*len(hosts) {
			continue
		}
		if at[object] == nil {
			at[object] = map[string]int{}
		}
		at[object][service]++
		all++
	}
	scattered := 0
	for _, services := range at {
		scattered += min(services["desk"], services["archive"])
	}
	t.Logf("%.3f of the requests are at another service than most for their object", float64(scattered)/float64(all))
	is.True(float64(scattered) <= maxScatter*float64(all))
}

// Guards against memory that grows with the routes of all configurations.
func TestDemandOnRoutesThatAreNotDividedIsForgotten(t *testing.T) {
	is := is.New(t)
	s := newSplitter()
	divided := weightPhase{Weights: map[string]float64{"desk": 1, "archive": 1}, Path: "/a/"}.route("a")
	removed := weightPhase{Weights: map[string]float64{"desk": 1, "archive": 1}, Path: "/b/"}.route("b")
	undivided := weightPhase{Weights: map[string]float64{"desk": 1}, Path: "/b/"}.route("b")
	s.choose(divided, "1", 0)
	s.choose(removed, "1", 0)
	s.choose(undivided, "1", 0)
	is.Equal(len(s.demands), 2)
	s.retain([]*cataloger.Route{divided, undivided})
	is.Equal(len(s.demands), 1)
	is.True(s.demands[demandKey{host: "shop", prefix: "/a/"}] != nil)
}

// Guards against sums of weights that overflow, and against services without a weight.
func TestWeightsOfAnySizeDivideTheInterval(t *testing.T) {
	for _, c := range []struct {
		weights []float64
		point   float64
		service int
	}{
		{[]float64{math.MaxFloat64, math.MaxFloat64}, 0.49, 0},
		{[]float64{math.MaxFloat64, math.MaxFloat64}, 0.51, 1},
		{[]float64{5e-324, 5e-324}, 0.51, 1},
		{[]float64{1, 0}, math.Nextafter(1, 0), 0},
		{[]float64{0, 1}, 0, 1},
		{[]float64{-1, 1}, 0, 1},
		{[]float64{0, 0}, 0.7, 0},
	} {
		is := is.New(t)
		var splits []cataloger.Split
		for i, weight := range c.weights {
			splits = append(splits, cataloger.NewSplit(strconv.Itoa(i), weight))
		}
		is.Equal(serviceAt(splits, c.point), strconv.Itoa(c.service)) // the service of the weights
	}
}
