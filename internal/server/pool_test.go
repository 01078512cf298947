package server

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/timekeeper"
	"magnoliahill.example/magnoliahill/internal/transitioner"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/router"
)

// ample is headroom without a limit.
type ample struct{}

func (ample) Take(time.Duration, string, int64) bool { return true }

func (ample) Release(time.Duration, string, int64) {}

// newTestPool returns the pool of a service with two backend servers of one slot
// each.
func newTestPool(t *testing.T) *pool {
	origin := cataloger.Origin{}
	service := cataloger.NewService(origin, "s", cataloger.Urgent, cataloger.WithBackendServers(
		cataloger.NewBackendServer(origin, "x", "x:1", "a1", 1, 10, false), cataloger.NewBackendServer(origin, "y", "y:1", "a1", 1, 10, false)))
	catalog, err := cataloger.New(1, cataloger.Items{
		Regions:  []*cataloger.Region{cataloger.NewRegion(origin, "a", []string{"a1"})},
		Services: []*cataloger.Service{service},
	})
	if err != nil {
		t.Fatal(err)
	}
	p := newPool(timekeeper.New(), router.New("s", "a1", transitioner.MustLoad("backend"), ample{}, 1))
	p.update(catalog, service)
	return p
}

// The time after which a refused caller may come back counts all slots.
func TestRetryAfterCountsAllSlots(t *testing.T) {
	is := is.New(t)
	p := newTestPool(t)
	p.averageHold = time.Second
	for range 9 {
		p.queue.Push("w", 1, time.Hour, &waiter{picked: make(chan router.Pick, 1)})
	}
	is.Equal(p.retryAfter(), 5*time.Second)
}
