package dispatcher

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/admitter"
	"magnoliahill.example/magnoliahill/internal/roundtripper"
	"magnoliahill.example/magnoliahill/pkg/header"
	"magnoliahill.example/magnoliahill/pkg/placer"
	"magnoliahill.example/magnoliahill/pkg/quarantiner"
)

// trialClaimTimeout bounds the claim of a trial: a store in another region answers
// within 50 ms.
const trialClaimTimeout = 500 * time.Millisecond

// enterQuarantine returns the refusal of a request that must not be sent to a backend
// server, or nil. It waits while another copy of a suspected request runs.
func (c *call) enterQuarantine(ctx context.Context) *admitter.Refusal {
	if c.dispatcher.quarantine.Empty() {
		return nil
	}
	verdict := c.dispatcher.quarantine.Enter(ctx, c.digest())
	if verdict == quarantiner.Quarantined {
		verdict = c.claimTrial(ctx)
	}
	switch verdict {
	case quarantiner.Interrupted:
		return c.timedOutOrCanceled(ctx)
	case quarantiner.Quarantined:
		return c.quarantined()
	}
	c.runsAlone = verdict == quarantiner.Alone
	return nil
}

// claimTrial claims the trial of a quarantined request if one is due.
func (c *call) claimTrial(ctx context.Context) quarantiner.Verdict {
	d := c.dispatcher
	if d.trialClaimer == nil {
		return quarantiner.Quarantined
	}
	trial, due := d.quarantine.Claim(d.clock.Now(), c.digest())
	if !due {
		return quarantiner.Quarantined
	}
	ctx, cancel := context.WithTimeout(ctx, trialClaimTimeout)
	defer cancel()
	granted := d.trialClaimer.ClaimTrial(ctx, trial)
	klog.InfoS("trial of a quarantined request claimed", "id", c.id, "digest", trial.Digest, "route", c.route.Name(), "trial", trial.Number, "granted", granted)
	return d.quarantine.EndClaim(trial, granted)
}

// quarantined returns the refusal of a quarantined request.
func (c *call) quarantined() *admitter.Refusal {
	retryAfter := max(c.dispatcher.quarantine.RetryAfter(c.dispatcher.clock.Now(), c.digest()), minRetryAfter)
	return unavailable(header.ReasonQuarantined, "backend servers crashed while they ran this request", retryAfter)
}

func (c *call) leaveQuarantine() {
	if c.runsAlone {
		c.runsAlone = false
		c.dispatcher.quarantine.Leave(c.digest())
	}
}

// reportToQuarantine reports the end of an attempt. If the connection broke, it starts
// to find out whether the backend server crashed.
func (c *call) reportToQuarantine(ctx context.Context, pick placer.Pick, ended *attemptResult) {
	d := c.dispatcher
	c.attributed = nil
	// A failing server may respond with an error before it runs the request.
	if ended.outcome == answered && c.signed(ended.resp) && !d.quarantine.Empty() {
		d.quarantine.Answered(d.clock.Now(), c.digest())
	}
	if !errors.Is(ended.err, roundtripper.ErrBadResponse) || ctx.Err() != nil {
		c.leaveQuarantine()
		return
	}
	done := make(chan struct{})
	c.attributed = done
	attribution := &attribution{pick: pick, id: c.id, route: c.route.Name(), digest: c.digest(), alone: c.runsAlone}
	c.runsAlone = false
	go func() {
		defer close(done)
		d.attribute(attribution)
	}()
}

// awaitAttribution waits until it is known whether the last attempt ended in a crash. A
// further attempt may crash another backend server.
func (c *call) awaitAttribution(ctx context.Context) {
	if c.attributed == nil {
		return
	}
	select {
	case <-c.attributed:
	case <-ctx.Done():
	}
}

// attribution is the search for what ended an attempt whose connection broke.
type attribution struct {
	pick   placer.Pick
	id     string
	route  string
	digest quarantiner.Digest
	alone  bool // the quarantine has to be told that the run has ended
}

// attribute reports the request to the quarantine if the backend server crashed.
func (c *Dispatcher) attribute(a *attribution) {
	if c.crashes.crashed(a.pick) {
		klog.InfoS("request in flight at a crash", "id", a.id, "digest", a.digest, "route", a.route, "server", a.pick.ID(), "alone", a.alone)
		c.quarantine.Crashed(c.clock.Now(), a.digest, a.pick.RunName(), a.route)
	}
	if a.alone {
		c.quarantine.Leave(a.digest)
	}
}
