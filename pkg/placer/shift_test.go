package placer_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/placer"
)

// shifts are the properties of a workload that concern the regions of requests.
type shifts struct {
	// Cap of the hosts on the share of a region's requests that change their region
	// within two seconds; 0 leaves it out.
	ShiftCap float64 `yaml:"shift-cap"`
	// The requests of each region rise and fall by a share, the regions one after the
	// other.
	Waves struct{ Swing, Period float64 }
	// More requests from the callers of one region that must run there.
	Bound struct {
		Region   string
		From, To float64
		Rate     float64
	}
}

func (s shifts) options() []placer.Option {
	if s.ShiftCap == 0 {
		return nil
	}
	return []placer.Option{placer.WithShiftCap(s.ShiftCap)}
}

// accepts draws whether a request comes from a region.
func (sim *simulation) accepts(region string) bool {
	share := 1.0
	if sim.workload.From != nil {
		share = sim.workload.From[region]
	}
	if waves := sim.workload.Waves; waves.Swing > 0 {
		phase := sim.now.Seconds()/waves.Period + float64(region[0]-'a')/float64(len(regions)/2)
		share *= (1 + waves.Swing*math.Sin(2*math.Pi*phase)) / (1 + waves.Swing)
	}
	return share == 1 || sim.rng.Float64() < share
}

// sendBound sends the requests that must run in one region.
func (sim *simulation) sendBound() {
	bound, at := sim.workload.Bound, sim.now.Seconds()
	if bound.Rate == 0 || at < bound.From || at >= bound.To {
		return
	}
	for n := bound.Rate * step.Seconds(); n > 0 && sim.rng.Float64() < n; n-- {
		sim.sendRequest(sim.hostIn(bound.Region), []string{bound.Region})
	}
}

// hostIn draws a host of a region.
func (sim *simulation) hostIn(region string) int {
	host := sim.rng.IntN(len(sim.hosts))
	for sim.region(host) != region {
		host = sim.rng.IntN(len(sim.hosts))
	}
	return host
}

// regionRun is a request that was accepted by a host and a server.
type regionRun struct {
	at       time.Duration
	from, to string // regions of the host and of the server
}

// largestShift returns the largest share of a region's requests that change their region
// from one window to the next, with the region and the time between the two windows.
func (r *results) largestShift() (float64, string, time.Duration) {
	const stride = resultWindow / 20
	type bin map[string]map[string]float64
	bins := map[time.Duration]bin{}
	last := time.Duration(0)
	for _, run := range r.runs {
		last = run.at / stride
		if bins[last] == nil {
			bins[last] = bin{}
		}
		if bins[last][run.from] == nil {
			bins[last][run.from] = map[string]float64{}
		}
		bins[last][run.from][run.to]++
	}
	shares := func(from string, first time.Duration) map[string]float64 {
		sum, total := map[string]float64{}, 0.0
		for i := first; i < first+resultWindow/stride; i++ {
			for to, count := range bins[i][from] {
				sum[to] += count
				total += count
			}
		}
		for to := range sum {
			sum[to] /= total
		}
		return sum
	}
	largest, where, when := 0.0, "", time.Duration(0)
	for at := resultWindow / stride; at+resultWindow/stride <= last; at++ {
		for _, from := range slices.Sorted(maps.Values(map[string]string{"a1": "a", "b1": "b", "c1": "c"})) {
			before, after := shares(from, at-resultWindow/stride), shares(from, at)
			moved := 0.0
			for _, to := range []string{"a", "b", "c"} {
				moved += math.Abs(after[to]-before[to]) / 2
			}
			if moved > largest {
				largest, where, when = moved, from, at*stride
			}
		}
	}
	return largest, where, when
}

// testShifts simulates the workloads of a file. In no two successive windows of two seconds
// may more than 15 in 100 of a region's requests change the region in which they run.
func testShifts(t *testing.T, file string) {
	var workloads []workload
	readCases(t, file, &workloads)
	for _, l := range workloads {
		t.Run(l.Name, func(t *testing.T) {
			is := is.New(t)
			got := newSimulation(l, 1).run()
			total := float64(got.requests)
			share, region, at := got.largestShift()
			t.Logf("%.3f of the requests from %s changed their region at %s", share, region, at)
			t.Logf("requests %d, on time %.3f, late %.3f, lost %.3f, refused %.3f, shed %.3f", got.requests, float64(got.onTime)/total,
				float64(got.late)/total, float64(got.lost)/total, float64(got.refused)/total, float64(got.shed)/total)
			is.True(share <= 0.15)
			is.True(float64(got.onTime) >= l.MinOnTime*total)
		})
	}
}

// TestRegionShift plays loads that fill the servers of one region.
func TestRegionShift(t *testing.T) {
	t.Parallel()
	testShifts(t, "shift.yaml")
}

// TestRegionShiftWithOldNews plays the cold start of a fleet whose hosts choose at once by
// what they heard some time ago, while a region with few servers sends the most.
func TestRegionShiftWithOldNews(t *testing.T) {
	t.Parallel()
	testShifts(t, "shift-stale.yaml")
}

// Requests leave a region at once when its servers crash, fail or are evacuated, whatever
// the cap: callers would get nothing there.
func TestRequestsLeaveARegionWithoutServersAtOnce(t *testing.T) {
	for _, cause := range []string{"crash", "evacuation", "failures"} {
		t.Run(cause, func(t *testing.T) {
			is := is.New(t)
			p := placer.New("h", placer.Location{Zone: "a1", Region: "a"}, regions, placer.WithShiftCap(0.15))
			near, far := instance("near", "a1"), instance("far", "b1")
			update(p, 0, 0, nil, near, far)
			if cause == "evacuation" {
				update(p, 0, 0, []string{"a1"}, near, far)
			}
			for i := range 100 {
				now := time.Duration(i) * time.Millisecond
				pick, verdict, _ := p.Choose(now, query(fmt.Sprint(i)))
				is.Equal(verdict, placer.Chosen)
				outcome := placer.Canceled
				switch {
				case pick.ID() == "near" && cause == "failures":
					outcome = placer.Failed
				case pick.ID() == "near":
					outcome = placer.Unreachable
				}
				p.Done(now, pick, outcome, placer.Load{})
				is.True(i < 10 || pick.ID() == "far")
			}
		})
	}
}

// A host whose region is full sends no more requests to another one than a part of the cap
// allows at first, and more with time. It starts with none to spare, as hosts that start
// during a day do.
func TestRequestsLeaveAFullRegionStepByStep(t *testing.T) {
	is := is.New(t)
	p := placer.New("h", placer.Location{Zone: "a1", Region: "a"}, regions, placer.WithShiftCap(0.15))
	update(p, 0, 0, nil, instance("near", "a1"), instance("far", "b1"))
	left, refused := [10]int{}, 0
	for now := time.Duration(0); now < 20*time.Second; now += 20 * time.Millisecond {
		p.SetRemoteRunning(now, map[string]int{"near": 4 + int(now/(20*time.Millisecond))%2*28}) // every other request finds it full
		pick, verdict, _ := p.Choose(now, query(fmt.Sprint(now)))
		if verdict != placer.Chosen {
			refused++
			continue
		}
		if pick.ID() == "far" {
			left[now/(2*time.Second)]++
		}
		p.Done(now, pick, placer.Canceled, placer.Load{})
	}
	held := p.TakeHeldBack()
	t.Log(left, refused, held)
	is.True(held > 0)
	is.Equal(p.TakeHeldBack(), 0)
	is.True(left[0] <= 12) // of up to 100
	for i := range left[1:] {
		is.True(left[i+1] <= left[i]+15)
	}
	is.True(left[9] > left[0])
}

// Requests that wait too long at a full server fail. That is no reason for the next ones to
// leave the region at once.
func TestFailuresOfAFullServerKeepRequestsInTheRegion(t *testing.T) {
	is := is.New(t)
	p := placer.New("h", placer.Location{Zone: "a1", Region: "a"}, regions, placer.WithShiftCap(0.15))
	update(p, 0, 0, nil, instance("near", "a1"), instance("far", "b1"))
	left, placed := 0, 0
	for now := 5 * time.Second; now < 7*time.Second; now += 20 * time.Millisecond {
		p.SetRemoteRunning(now, map[string]int{"near": 10 + int(now/(20*time.Millisecond))%2*22}) // of 8 slots
		pick, verdict, _ := p.Choose(now, query(fmt.Sprint(now)))
		if verdict != placer.Chosen {
			continue
		}
		placed++
		if pick.ID() == "far" {
			left++
			p.Done(now, pick, placer.Canceled, placer.Load{})
			continue
		}
		p.Done(now, pick, placer.Failed, placer.Load{})
	}
	t.Log(left, placed)
	is.True(placed > 20)
	is.True(left <= 1+placed*15/100)
}
