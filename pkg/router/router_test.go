package router_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/charter"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/router"
)

// counter is headroom that this host has to itself.
type counter map[string]int64

func (c counter) Take(_ time.Duration, limit string, n int64) bool {
	if c[limit] < n {
		return false
	}
	c[limit] -= n
	return true
}

func (c counter) Release(_ time.Duration, limit string, n int64) { c[limit] += n }

type server struct {
	name, zone string
	leaving    bool
}

func routerOf(t *testing.T, headroom counter, servers ...server) (*router.Router, func(time.Duration, ...server)) {
	r := router.New("s", "a1", charter.MustLoad("backend"), headroom, 1)
	update := func(now time.Duration, servers ...server) {
		var list []*cataloger.BackendServer
		for _, s := range servers {
			list = append(list, cataloger.NewBackendServer(cataloger.Origin{}, s.name, s.name, s.zone, 4, 10, s.leaving))
		}
		service := cataloger.NewService(cataloger.Origin{}, "s", cataloger.Urgent,
			cataloger.WithBackendServers(list...), cataloger.WithColdStart(10*time.Second))
		catalog, err := cataloger.New(1, cataloger.Parts{
			Regions: []*cataloger.Region{
				cataloger.NewRegion(cataloger.Origin{}, "a", []string{"a1", "a2"}),
				cataloger.NewRegion(cataloger.Origin{}, "b", []string{"b1"}),
			},
			Services: []*cataloger.Service{service},
		})
		if err != nil {
			t.Fatal(err)
		}
		r.Update(now, catalog, service)
	}
	update(0, servers...)
	return r, update
}

// Work goes to the own zone, then the region, then beyond, and never over any
// zone's headroom.
func TestSpillStaysWithinHeadroom(t *testing.T) {
	is := is.New(t)
	headroom := counter{"headroom/s/a1": 2, "headroom/s/a2": 1, "headroom/s/b1": 1}
	r, _ := routerOf(t, headroom, server{name: "far", zone: "b1"}, server{name: "own", zone: "a1"}, server{name: "near", zone: "a2"})
	var order []string
	var picks []router.Pick
	for {
		pick, ok := r.Pick(0, nil)
		if !ok {
			break
		}
		order = append(order, pick.Server().Name())
		picks = append(picks, pick)
	}
	is.Equal(order, []string{"own", "own", "near", "far"})
	for _, pick := range picks {
		r.Done(0, pick, router.Answered)
	}
	is.Equal(headroom["headroom/s/a1"], int64(2))
}

func TestLeavingAndEjectedGetNoNewWork(t *testing.T) {
	is := is.New(t)
	headroom := counter{"headroom/s/a1": 100}
	r, update := routerOf(t, headroom, server{name: "x", zone: "a1"}, server{name: "y", zone: "a1"})
	update(0, server{name: "x", zone: "a1", leaving: true}, server{name: "y", zone: "a1"})
	for range 4 {
		pick, ok := r.Pick(0, nil)
		is.True(ok)
		is.Equal(pick.Server().Name(), "y")
	}
	_, ok := r.Pick(0, nil)
	is.True(!ok) // y has no slot left
}

func TestEjectionLeavesHalfOfTheZone(t *testing.T) {
	is := is.New(t)
	r, _ := routerOf(t, counter{"headroom/s/a1": 100}, server{name: "x", zone: "a1"}, server{name: "y", zone: "a1"})
	ejected := 0
	for range 40 {
		pick, ok := r.Pick(0, nil)
		is.True(ok)
		if r.Done(0, pick, router.Failed) {
			ejected++
		}
	}
	is.Equal(ejected, 1) // the other one stays, however often it fails
	is.Equal(len(r.Ejected()), 1)
	is.True(r.Passed(0, r.Ejected()[0].Address()))
	is.Equal(len(r.Ejected()), 0)
}

func TestShedIsNoFailure(t *testing.T) {
	is := is.New(t)
	r, _ := routerOf(t, counter{"headroom/s/a1": 100}, server{name: "x", zone: "a1"}, server{name: "y", zone: "a1"})
	for range 100 {
		pick, ok := r.Pick(0, nil)
		is.True(ok)
		is.True(!r.Done(0, pick, router.Shed))
	}
}

// A new backend server starts with a share of its slots that grows with time.
func TestColdBackendServerStartsSlowly(t *testing.T) {
	is := is.New(t)
	r, update := routerOf(t, counter{"headroom/s/a1": 100}, server{name: "x", zone: "a1"})
	update(0, server{name: "new", zone: "a1"})
	taken := func(now time.Duration) int {
		n := 0
		var picks []router.Pick
		for {
			pick, ok := r.Pick(now, nil)
			if !ok {
				break
			}
			n++
			picks = append(picks, pick)
		}
		for _, pick := range picks {
			r.Done(now, pick, router.Answered)
		}
		return n
	}
	is.Equal(taken(0), 1)
	is.Equal(taken(10*time.Second), 4)
}

// A report that claims to be idle does not undo what is known for certain.
func TestLyingReportIsNotBelieved(t *testing.T) {
	is := is.New(t)
	r, _ := routerOf(t, counter{"headroom/s/a1": 100}, server{name: "liar", zone: "a1"}, server{name: "y", zone: "a1"})
	load := map[string]int{}
	for range 6 {
		pick, ok := r.Pick(0, nil)
		is.True(ok)
		load[pick.Server().Name()]++
		r.Report(0, pick, 0)
	}
	is.Equal(load["liar"], 3)
	is.Equal(load["y"], 3)
}
