package charger_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/charger"
	"magnoliahill.example/magnoliahill/pkg/allocator"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// zone holds the hosts of one zone; their charges are function calls.
type zone struct {
	mu      sync.Mutex
	shares  map[string]*allocator.Allocator
	cutOff  map[string]bool
	charges int
}

func (z *zone) Charge(ctx context.Context, control string, charge allocator.Charge) (allocator.Answer, error) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.charges++
	if ctx.Err() != nil {
		return allocator.Answer{}, ctx.Err()
	}
	if z.cutOff[control] {
		return allocator.Answer{}, errors.New("cut off")
	}
	return z.shares[control].TakeForOther(time.Minute, charge)
}

func newZone(n int) (*zone, map[string]*charger.Charger) {
	z := &zone{shares: map[string]*allocator.Allocator{}, cutOff: map[string]bool{}}
	chargers := map[string]*charger.Charger{}
	var hosts []tracker.Host
	for i := range n {
		name := fmt.Sprint("h", i)
		hosts = append(hosts, tracker.Host{Heartbeat: tracker.Heartbeat{ID: tracker.HostID{Name: name, Incarnation: 1}, Control: name}})
		d := allocator.New(n, 0)
		d.SetLimits(0, []allocator.Limit{{Name: "small", Rate: 10, Burst: 10}, {Name: "large", Rate: 1000, Burst: 1000}})
		d.SetFleet(time.Second, allocator.Fleet{Hosts: n, PoolHosts: n, Live: n})
		z.shares[name] = d
		chargers[name] = charger.New(name, d, z)
	}
	for _, c := range chargers {
		c.SetHosts(hosts)
	}
	return z, chargers
}

// A pooled limit admits exactly its burst, whichever hosts receive the requests.
func TestPooledLimitAdmitsItsWholeBurstThroughAnyHost(t *testing.T) {
	is := is.New(t)
	_, chargers := newZone(8)
	admitted := 0
	for range 5 {
		for _, c := range chargers {
			if ok, _ := c.Take(t.Context(), time.Minute, "small"); ok {
				admitted++
			}
		}
	}
	is.Equal(admitted, 10)
}

func TestLargeLimitIsChargedLocally(t *testing.T) {
	is := is.New(t)
	z, chargers := newZone(8)
	for _, c := range chargers {
		ok, _ := c.Take(t.Context(), time.Minute, "large")
		is.True(ok)
	}
	is.Equal(z.charges, 0)
}

// Hosts that cannot reach the owner of a pooled limit admit a small fallback
// share and do not contact the owner again for a while.
func TestUnavailableOwner(t *testing.T) {
	is := is.New(t)
	z, chargers := newZone(8)
	for name := range chargers {
		z.cutOff[name] = true
	}
	admitted := 0
	for range 10 {
		for _, c := range chargers {
			if ok, _ := c.Take(t.Context(), time.Minute, "small"); ok {
				admitted++
			}
		}
	}
	is.True(z.charges <= 8)
	is.True(admitted >= 8) // at the owner itself and one at each other host
	is.True(admitted <= 10+8)
}

// A caller that goes away while its request is charged does not make the owner of
// the limit count as unavailable.
func TestCallerThatLeavesDoesNotMakeTheOwnerUnavailable(t *testing.T) {
	is := is.New(t)
	z, chargers := newZone(8)
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	for _, c := range chargers {
		c.Take(gone, time.Minute, "small")
	}
	before := z.charges
	for _, c := range chargers {
		c.Take(t.Context(), time.Minute, "small")
	}
	is.Equal(z.charges, before+7) // the hosts that are not the owner ask it again
}

// The owner of a limit may have started a moment ago, or not have the configuration yet
// that sets it. It grants nothing then, and stays the owner of other limits.
func TestOwnerThatDoesNotKnowTheLimit(t *testing.T) {
	is := is.New(t)
	admitted, charges := 0, 0
	for _, own := range []string{"h0", "h1", "h2", "h3"} { // one of them is the owner
		z, chargers := newZone(4)
		for name, shares := range z.shares {
			if name != own {
				shares.SetLimits(time.Second, nil)
			}
		}
		for range 20 {
			if ok, _ := chargers[own].Take(t.Context(), time.Minute, "small"); ok {
				admitted++
			}
		}
		charges += z.charges
	}
	is.True(admitted <= 10+3) // by the owner itself, and a token of each other host's fallback
	is.Equal(charges, 3*20)   // the owner is not taken as unavailable
}
