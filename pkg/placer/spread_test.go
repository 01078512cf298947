package placer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/placer"
)

// spreadCase is an entry of the data file.
type spreadCase struct {
	workload `yaml:",inline"`
	// MaxBusiest bounds the requests without an object that one server gets, as a
	// multiple of the mean of its zone; 0 sets no bound.
	MaxBusiest float64 `yaml:"max-busiest"`
}

// Requests without an object are spread over the servers near the host that receives
// them: no server gets all of them while its neighbours are idle.
func TestRequestsWithoutObjectsAreSpread(t *testing.T) {
	t.Parallel()
	var cases []spreadCase
	readCases(t, "spread.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(c.workload, 1)
			got := sim.run()
			total := float64(got.requests)
			onTime, late := float64(got.onTime)/total, float64(got.late)/total
			t.Logf("requests %d, on time %.3f, late %.3f, refused %d, shed %d, busiest server %.2f of the mean of its zone",
				got.requests, onTime, late, got.refused, got.shed, sim.busiest())
			is.True(onTime >= c.MinOnTime)
			is.True(late <= c.MaxLate)
			is.True(c.MaxBusiest == 0 || sim.busiest() <= c.MaxBusiest)
		})
	}
}

// busiest returns the most requests without an object that a server got, as a multiple of
// the mean of its zone.
func (sim *simulation) busiest() float64 {
	sums := map[string]int{}
	for id, s := range sim.servers {
		sums[id[:2]] += s.withoutObject
	}
	most := 0.0
	for id, s := range sim.servers {
		mean := float64(sums[id[:2]]) / float64(sim.workload.Servers[id[:2]])
		most = max(most, float64(s.withoutObject)/max(mean, 1))
	}
	return most
}

// A host sends requests without an object to its own availability zone while that has
// room, then to its region, then elsewhere.
func TestRequestsWithoutObjectsStayNear(t *testing.T) {
	is := is.New(t)
	p := largeFleet() // 32 slots in each zone
	now := time.Duration(0)
	zones := map[string]int{}
	for i := range 150 {
		pick, verdict, _ := p.Choose(now, query(""))
		is.Equal(verdict, placer.Chosen)
		zones[pick.ID()[:2]]++
		if i < 28 {
			is.Equal(pick.ID()[:2], "a1")
		}
		if i < 60 {
			is.Equal(pick.Region(), "a")
		}
		now += time.Second
		p.SetRemoteRunning(now, nil)
	}
	t.Log(zones)
	is.Equal(len(zones), len(regions))
}

// A server that was full once gets requests without an object again when that is long
// past, although the other one has had none waiting all the time.
func TestRequestsWithoutObjectsReturnToAServer(t *testing.T) {
	is := is.New(t)
	draws := rand.New(rand.NewPCG(1, 1))
	p := placer.New("h", placer.Location{Zone: "a1", Region: "a"}, regions, placer.WithRandom(draws.Float64))
	update(p, 0, 0, nil, instance("a1-0", "a1"), instance("a1-1", "a1"))
	now, returned := time.Duration(0), 0
	full, _, _ := p.Choose(now, query(""))
	p.Done(now, full, placer.Shed, placer.Load{})
	for ; now < 10*time.Second; now += 10 * time.Millisecond {
		pick, verdict, _ := p.Choose(now, query(""))
		is.Equal(verdict, placer.Chosen)
		if pick.ID() == full.ID() && now > 5*time.Second {
			returned++
		}
		p.Done(now, pick, placer.Answered, placer.Load{})
	}
	t.Logf("%d of 499 requests after five seconds", returned)
	is.True(returned > 100)
}
