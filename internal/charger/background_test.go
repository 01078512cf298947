package charger_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/charger"
	"magnoliahill.example/magnoliahill/pkg/allocator"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// owner answers charges after a delay, and grants an advance each time.
type owner struct {
	mu       sync.Mutex
	delay    time.Duration
	fails    bool
	advance  time.Duration
	running  int
	most     int // charges at once
	waited   int // charges that a caller waits for
	advanced int // charges of requests that were admitted by an advance
	canceled int
}

func (o *owner) Charge(ctx context.Context, _ string, c allocator.Charge) (allocator.Answer, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running++
	o.most = max(o.most, o.running)
	if c.Advanced {
		o.advanced++
	} else {
		o.waited++
	}
	delay, fails, advance := o.delay, o.fails, o.advance
	o.mu.Unlock()
	var err error
	select {
	case <-ctx.Done():
		err = ctx.Err()
	case <-time.After(delay):
		if fails {
			err = errors.New("refused")
		}
	}
	o.mu.Lock()
	o.running--
	if errors.Is(err, context.Canceled) {
		o.canceled++
	}
	return allocator.Answer{Allowed: true, Advance: advance}, err
}

// newPair returns the charger of one of two hosts, the id of the other one, which owns the
// limit "w", and a function that returns the time.
func newPair(client charger.Client) (*charger.Charger, *allocator.Allocator, string, func() time.Duration) {
	started := time.Now()
	now := func() time.Duration { return time.Minute + time.Since(started) }
	var hosts []tracker.Host
	for _, name := range []string{"a", "b"} {
		hosts = append(hosts, tracker.Host{Heartbeat: tracker.Heartbeat{ID: tracker.HostID{Name: name, Incarnation: 1}, Control: name}})
	}
	ranked := tracker.Rank("limit/w", hosts)
	shares := allocator.New(2, 0)
	setRate(shares, 4)
	shares.SetFleet(time.Second, allocator.Fleet{Hosts: 2, PoolHosts: 2, Live: 2})
	c := charger.New(ranked[1].ID.Name, shares, client)
	c.SetHosts(hosts)
	return c, shares, ranked[0].ID.String(), now
}

func setRate(shares *allocator.Allocator, rate float64) {
	shares.SetLimits(0, []allocator.Limit{{Name: "w", Rate: rate, Burst: 4}})
}

// The next request after an answer with an advance does not wait for its own charge.
func TestRequestWithAnAdvanceDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := &owner{delay: 100 * time.Millisecond, advance: 2 * time.Second}
		c, _, _, now := newPair(o)
		take := func() time.Duration {
			began := now()
			ok, _ := c.Take(t.Context(), began, "w")
			is.True(ok)
			return now() - began
		}
		is.Equal(take(), o.delay) // no advance yet
		is.Equal(take(), time.Duration(0))
		is.Equal(take(), o.delay) // while that charge is not answered
		is.Equal(take(), time.Duration(0))
		time.Sleep(3 * time.Second)
		is.Equal(take(), o.delay) // the advances have ended
		c.Close()
		is.Equal(o.waited, 3)
		is.Equal(o.advanced, 2)
	})
}

// A caller that leaves does not cancel the charge of its request, and the process ends only
// after the charge.
func TestChargeInTheBackgroundOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := &owner{delay: 100 * time.Millisecond, advance: 2 * time.Second}
		c, _, _, now := newPair(o)
		c.Take(t.Context(), now(), "w")
		ctx, cancel := context.WithCancel(t.Context())
		ok, _ := c.Take(ctx, now(), "w")
		is.True(ok)
		cancel()
		began := now()
		c.Close()
		is.Equal(now()-began, o.delay)
		is.Equal(o.canceled, 0)
		is.Equal(o.advanced, 1)
	})
}

// Charges in the background are bounded in number and time, whatever the owner grants.
func TestChargesInTheBackgroundAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := &owner{advance: time.Hour}
		c, shares, ownerID, now := newPair(o)
		for range 200 {
			shares.HoldAdvance(now(), "w", ownerID, now()+time.Hour)
		}
		o.delay = time.Hour
		admitted := 0
		for range 200 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Microsecond)
			if ok, _ := c.Take(ctx, now(), "w"); ok {
				admitted++
			}
			cancel()
		}
		is.True(o.most <= 64+1)
		is.True(admitted <= 64+1) // one token of the fallback bucket
		began := now()
		c.Close()
		is.True(now()-began <= allocator.AdvanceChargeTimeout)
	})
}

// A charge in the background that fails is a debt of the fallback bucket. The owner is
// unavailable, and its advances are no longer used.
func TestFailedChargeInTheBackgroundIsADebt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := &owner{advance: 2 * time.Second}
		c, shares, ownerID, now := newPair(o)
		c.Take(t.Context(), now(), "w")
		for range 3 {
			shares.HoldAdvance(now(), "w", ownerID, now()+2*time.Second)
		}
		o.fails, o.delay = true, time.Millisecond // both requests are admitted before a charge fails
		for range 2 {
			ok, _ := c.Take(t.Context(), now(), "w")
			is.True(ok)
		}
		time.Sleep(2 * o.delay)
		synctest.Wait()
		charges := o.waited + o.advanced
		ok, wait := c.Take(t.Context(), now(), "w")
		is.True(!ok)
		is.True(wait > time.Second) // 0.6 a second make up for two requests
		is.Equal(o.waited+o.advanced, charges)
		c.Close()
	})
}

// A changed limit ends the advances.
func TestChangedLimitEndsAdvances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := &owner{advance: 2 * time.Second}
		c, shares, _, now := newPair(o)
		c.Take(t.Context(), now(), "w")
		setRate(shares, 2)
		c.Take(t.Context(), now(), "w")
		is.Equal(o.waited, 2)
		is.Equal(o.advanced, 0)
		c.Close()
	})
}
