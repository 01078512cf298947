package router_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/transitioner"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/router"
)

// localHeadroom is headroom that is not shared with other hosts.
type localHeadroom map[string]int64

func (h localHeadroom) Take(_ time.Duration, limit string, n int64) bool {
	if h[limit] < n {
		return false
	}
	h[limit] -= n
	return true
}

func (h localHeadroom) Release(_ time.Duration, limit string, n int64) { h[limit] += n }

type server struct {
	name, zone string
	leaving    bool
}

func newRouter(t *testing.T, headroom localHeadroom, servers ...server) (*router.Router, func(time.Duration, ...server)) {
	r := router.New("s", "a1", transitioner.MustLoad("backend"), headroom, 1)
	update := func(now time.Duration, servers ...server) {
		var list []*cataloger.BackendServer
		for _, s := range servers {
			list = append(list, cataloger.NewBackendServer(cataloger.Origin{}, s.name, s.name, s.zone, 4, 10, s.leaving))
		}
		service := cataloger.NewService(cataloger.Origin{}, "s", cataloger.Urgent,
			cataloger.WithBackendServers(list...), cataloger.WithColdStart(10*time.Second))
		catalog, err := cataloger.New(1, cataloger.Items{
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

// Requests go to the host's own zone first, then to its region, then to other
// regions, and never exceed the headroom of any zone.
func TestOverflowStaysWithinHeadroom(t *testing.T) {
	is := is.New(t)
	headroom := localHeadroom{"headroom/s/a1": 2, "headroom/s/a2": 1, "headroom/s/b1": 1}
	r, _ := newRouter(t, headroom, server{name: "far", zone: "b1"}, server{name: "own", zone: "a1"}, server{name: "near", zone: "a2"})
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

func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	headroom := localHeadroom{"headroom/s/a1": 100}
	r, update := newRouter(t, headroom, server{name: "x", zone: "a1"}, server{name: "y", zone: "a1"})
	update(0, server{name: "x", zone: "a1", leaving: true}, server{name: "y", zone: "a1"})
	for range 4 {
		pick, ok := r.Pick(0, nil)
		is.True(ok)
		is.Equal(pick.Server().Name(), "y")
	}
	_, ok := r.Pick(0, nil)
	is.True(!ok) // y has no slot left
}

func TestEjectionKeepsHalfOfZone(t *testing.T) {
	is := is.New(t)
	r, _ := newRouter(t, localHeadroom{"headroom/s/a1": 100}, server{name: "x", zone: "a1"}, server{name: "y", zone: "a1"})
	ejected := 0
	for range 40 {
		pick, ok := r.Pick(0, nil)
		is.True(ok)
		if r.Done(0, pick, router.Failed) {
			ejected++
		}
	}
	is.Equal(ejected, 1) // the other server is never ejected
	is.Equal(len(r.Ejected()), 1)
	is.True(r.RecordProbeSuccess(0, r.Ejected()[0].Address()))
	is.Equal(len(r.Ejected()), 0)
}

func TestShedIsNotAFailure(t *testing.T) {
	is := is.New(t)
	r, _ := newRouter(t, localHeadroom{"headroom/s/a1": 100}, server{name: "x", zone: "a1"}, server{name: "y", zone: "a1"})
	for range 100 {
		pick, ok := r.Pick(0, nil)
		is.True(ok)
		is.True(!r.Done(0, pick, router.Shed))
	}
}

// A new backend server starts with a share of its slots, which grows until the
// end of the cold start.
func TestColdServerCapacityGrows(t *testing.T) {
	is := is.New(t)
	r, update := newRouter(t, localHeadroom{"headroom/s/a1": 100}, server{name: "x", zone: "a1"})
	update(0, server{name: "new", zone: "a1"})
	countPicks := func(now time.Duration) int {
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
	is.Equal(countPicks(0), 1)
	is.Equal(countPicks(10*time.Second), 4)
}

// A load report of no running requests does not lower the load below the
// requests that the host itself has in flight.
func TestLowLoadReportDoesNotHideOwnRequests(t *testing.T) {
	is := is.New(t)
	r, _ := newRouter(t, localHeadroom{"headroom/s/a1": 100}, server{name: "underreporting", zone: "a1"}, server{name: "y", zone: "a1"})
	load := map[string]int{}
	for range 6 {
		pick, ok := r.Pick(time.Second, nil)
		is.True(ok)
		load[pick.Server().Name()]++
		if pick.Server().Name() == "underreporting" {
			r.RecordLoad(time.Second, pick, 0)
		}
	}
	is.Equal(load["underreporting"], 3)
	is.Equal(load["y"], 3)
}
