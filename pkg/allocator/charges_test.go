package allocator_test

import (
	"time"

	"github.com/pkg/errors"

)

const (
	chargeTimeout  = 150 * time.Millisecond // a caller waits this long for a charge
	unavailableFor = time.Second            // after a failed charge
)

var errNoAnswer = errors.New("no answer")

// charges tells how long charges at other hosts take, in seconds.
type charges struct {
	Fast    float64 // round trip of most charges, up to twice as long
	Slow    float64 // longest round trip
	Stalled float64 // fraction of the charges that take between Fast and Slow
	Lost    float64 // fraction of the charges that are lost on their way or on the way back
}

// call is a step of a charge that is under way.
type call struct {
	due time.Duration
	run func(now time.Duration)
}

// request plays the host's part in a request of a limit that may be pooled.
func (f *fleet) request(now time.Duration, h *host) {
	owner := f.owner(now, h)
	switch {
	case !h.allocator.Pooled("w") || owner == h:
		ok, _ := h.allocator.Take(now, "w")
		f.finish(now, ok)
	case now < h.unavailableUntil[owner]:
		ok, _ := h.allocator.TakeFallback(now, "w")
		f.finish(now, ok)
	default:
		f.waited++
		f.send(now, h, owner, chargeTimeout, func(now time.Duration, ok bool, err error) {
			if err != nil {
				h.unavailableUntil[owner] = now + unavailableFor
				ok, _ = h.allocator.TakeFallback(now, "w")
			} else {
				h.allocator.OwnerAnswered("w")
			}
			f.finish(now, ok)
		})
	}
}

// owner returns the first host of the group, as this host knows it.
func (f *fleet) owner(now time.Duration, h *host) *host {
	for _, other := range f.hosts {
		if f.inGroup(now, h, other) {
			return other
		}
	}
	return h
}

// inGroup reports whether a host believes another one to be live in its zone. It learns of a
// failure only by the silence that follows.
func (f *fleet) inGroup(now time.Duration, h, other *host) bool {
	reachable := !other.dead && other.cutOff == h.cutOff
	return other.zone == h.zone && (reachable || now < max(other.changedAt, h.changedAt)+expiresAfter)
}

// send charges a request at the owner and calls done with the answer, or with an error at the
// timeout.
func (f *fleet) send(now time.Duration, h, owner *host, timeout time.Duration, done func(time.Duration, bool, error)) {
	c := f.scenario.Charges
	took := c.Fast * (1 + f.rng.Float64())
	if f.rng.Float64() < c.Stalled {
		took = c.Fast + f.rng.Float64()*(c.Slow-c.Fast)
	}
	lost := f.rng.Float64() < c.Lost
	lostBack := f.rng.Float64() < 0.5
	way := time.Duration(took / 2 * float64(time.Second))
	fail := func(now time.Duration) { done(now, false, errNoAnswer) }
	f.later(now+way, func(arrived time.Duration) {
		if owner.dead || owner.cutOff != h.cutOff || lost && !lostBack {
			f.later(now+timeout, fail)
			return
		}
		ok, _, err := owner.allocator.TakeForOther(arrived, "w")
		if lost || 2*way > timeout {
			f.later(now+timeout, fail)
			return
		}
		f.later(now+2*way, func(now time.Duration) { done(now, ok, err) })
	})
}

func (f *fleet) later(due time.Duration, run func(time.Duration)) {
	f.calls = append(f.calls, call{due, run})
}

// runCalls runs the steps that are due, and those that they lead to.
func (f *fleet) runCalls(now time.Duration) {
	for i := 0; i < len(f.calls); {
		if f.calls[i].due > now {
			i++
			continue
		}
		c := f.calls[i]
		f.calls = append(f.calls[:i], f.calls[i+1:]...)
		c.run(now)
	}
}

func (f *fleet) finish(now time.Duration, ok bool) {
	if ok {
		f.admitted = append(f.admitted, now)
	} else {
		f.refused++
	}
}
