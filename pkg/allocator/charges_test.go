package allocator_test

import (
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/pkg/allocator"
)

const (
	chargeTimeout  = 150 * time.Millisecond  // a caller waits this long for a charge
	unavailableFor = time.Second             // after a failed charge
	applyWithin    = 2500 * time.Millisecond // a lower limit binds one window after this time
	callerStays    = 4 * time.Second         // at a host, on average
)

var errNoAnswer = errors.New("no answer")

// charges tells how long charges at other hosts take, in seconds.
type charges struct {
	Fast    float64 // round trip of most charges, up to twice as long
	Slow    float64 // longest round trip
	Stalled float64 // fraction of the charges that take between Fast and Slow
	Lost    float64 // fraction of the charges that are lost on their way or on the way back
	Old     bool    // the hosts use no advances
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
	case h.allocator.UseAdvance(now, "w", owner.name):
		f.finish(now, true)
		charge := allocator.Charge{Limit: "w", Advances: true, Advanced: true}
		f.send(now, h, owner, allocator.AdvanceChargeTimeout, charge, func(finished time.Duration, answer allocator.Answer, err error) {
			if f.answered(now, finished, h, owner, answer, err) {
				return
			}
			h.allocator.ChargeFallback(finished, "w")
		})
	default:
		f.waited++
		charge := allocator.Charge{Limit: "w", Advances: !f.scenario.Charges.Old}
		f.send(now, h, owner, chargeTimeout, charge, func(finished time.Duration, answer allocator.Answer, err error) {
			ok := answer.Allowed
			if !f.answered(now, finished, h, owner, answer, err) {
				ok, _ = h.allocator.TakeFallback(finished, "w")
			}
			f.finish(finished, ok)
		})
	}
}

// answered applies the answer to a charge that was sent at the given time, and reports whether
// there was one.
func (f *fleet) answered(sent, now time.Duration, h, owner *host, answer allocator.Answer, err error) bool {
	if err != nil {
		h.unavailableUntil[owner] = now + unavailableFor
		h.allocator.ForgetAdvances(owner.name)
		return false
	}
	h.allocator.OwnerAnswered("w")
	if answer.Advance > 0 {
		h.allocator.HoldAdvance(now, "w", owner.name, sent+answer.Advance)
	}
	return true
}

// sendFromCallers sends the requests of callers, each of which keeps to one host for
// callerStays on average.
func (f *fleet) sendFromCallers(now time.Duration) {
	if f.callers == nil {
		f.callers = make([]*host, f.scenario.Callers)
	}
	for i, h := range f.callers {
		for h == nil || h.dead || f.rng.Float64() < float64(step)/float64(callerStays) {
			h = f.hosts[f.rng.IntN(len(f.hosts))]
		}
		f.callers[i] = h
		for n := f.demand * step.Seconds() / float64(len(f.callers)); n > 0 && f.rng.Float64() < n; n-- {
			f.requests = append(f.requests, now)
			f.request(now, h)
		}
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
func (f *fleet) send(now time.Duration, h, owner *host, timeout time.Duration, charge allocator.Charge, done func(time.Duration, allocator.Answer, error)) {
	c := f.scenario.Charges
	took := c.Fast * (1 + f.rng.Float64())
	if f.rng.Float64() < c.Stalled {
		took = c.Fast + f.rng.Float64()*(c.Slow-c.Fast)
	}
	lost := f.rng.Float64() < c.Lost
	lostBack := f.rng.Float64() < 0.5
	way := time.Duration(took / 2 * float64(time.Second))
	fail := func(now time.Duration) { done(now, allocator.Answer{}, errNoAnswer) }
	f.later(now+way, func(arrived time.Duration) {
		if owner.dead || owner.cutOff != h.cutOff || lost && !lostBack {
			f.later(now+timeout, fail)
			return
		}
		answer, err := owner.allocator.TakeForOther(arrived, charge)
		if lost || 2*way > timeout {
			f.later(now+timeout, fail)
			return
		}
		f.later(now+2*way, func(now time.Duration) { done(now, answer, err) })
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

// checkLowered checks the bound of the last limit that was set.
func (f *fleet) checkLowered(is *is.I) {
	is.Helper()
	for _, e := range f.scenario.Events {
		if e.Kind != "limit" {
			continue
		}
		from := time.Duration(e.At*float64(time.Second)) + applyWithin + window
		after := fleet{}
		for _, at := range f.admitted {
			if at >= from {
				after.admitted = append(after.admitted, at)
			}
		}
		is.True(float64(after.maxPerWindow()) <= (e.Value*window.Seconds()+e.Value)*(1+overage)+slack)
	}
}

// refusedWithoutAdvances returns the refusals of a scenario if the hosts always wait for
// their charges.
func refusedWithoutAdvances(s scenario) int {
	waiting := *s.Charges
	waiting.Old = true
	s.Charges = &waiting
	refused := 0
	for seed := range uint64(s.Seeds) {
		f := newFleet(s, seed)
		f.play()
		refused += f.refused
	}
	return refused
}
