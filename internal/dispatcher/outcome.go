package dispatcher

import (
	"context"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/admitter"
	"magnoliahill.example/magnoliahill/internal/forwarder"
	"magnoliahill.example/magnoliahill/internal/roundtripper"
	"magnoliahill.example/magnoliahill/pkg/header"
	"magnoliahill.example/magnoliahill/pkg/placer"
)

// outcome says whether an attempt proves that the request was executed.
type outcome int

const (
	// notRun means that the request certainly was not executed.
	notRun outcome = iota
	// answered means that the response is the answer to the request.
	answered
	// unknown means that the request may have been executed.
	unknown
)

// attemptResult is the end of an attempt to have a request executed by a backend server, or by
// another host.
type attemptResult struct {
	resp    *roundtripper.Response // nil if err is not
	err     error
	outcome outcome
}

// newAttemptResult names the outcome of an attempt. All that depends on whether the request may
// have been executed asks for this outcome and not for the status or the error.
func newAttemptResult(resp *roundtripper.Response, err error) *attemptResult {
	a := &attemptResult{resp: resp, err: err}
	switch {
	case a.shed() || a.misdirected() || a.unreachable():
		a.outcome = notRun
	case err != nil || resp.Status >= http.StatusInternalServerError || a.unprovenRefusal():
		a.outcome = unknown
	default:
		a.outcome = answered
	}
	return a
}

func (a *attemptResult) shed() bool        { return errors.Is(a.err, forwarder.ErrShed) }
func (a *attemptResult) misdirected() bool { return errors.Is(a.err, roundtripper.ErrMisdirected) }
func (a *attemptResult) unreachable() bool { return errors.Is(a.err, roundtripper.ErrUnreachable) }

// unprovenRefusal reports whether the response has a status by which callers conclude that
// the request was not executed, though nothing proves that. Round trippers return proven
// refusals as errors.
func (a *attemptResult) unprovenRefusal() bool { return a.resp != nil && impliesNotRun(a.resp.Status) }

// forwardable reports whether the caller may get the response.
func (a *attemptResult) forwardable() bool { return a.resp != nil && !a.unprovenRefusal() }

// discard ends the reading of a response that nobody gets.
func (a *attemptResult) discard() {
	if a.resp != nil && a.resp.Rest != nil {
		_ = a.resp.Rest.Close()
	}
}

// logName returns what the attempt log calls the result.
func (a *attemptResult) logName() string {
	switch {
	case a.outcome == answered:
		return attemptAnswered
	case a.shed():
		return attemptShed
	case a.misdirected():
		return attemptOtherInstance
	case a.unreachable():
		return attemptUnreachable
	}
	return attemptUnknown
}

// cause returns what an unreached server or an unknown outcome is due to, for the attempt
// log, or "".
func (a *attemptResult) cause() string {
	switch {
	case a.outcome != unknown && !a.unreachable():
		return ""
	case a.err != nil:
		return a.err.Error()
	}
	return "status " + strconv.Itoa(a.resp.Status)
}

// impliesNotRun reports whether callers take a status to mean that the request was not
// executed.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// placerOutcome returns what the attempt tells the placer of the backend server.
func (c *call) placerOutcome(ctx context.Context, a *attemptResult) placer.Outcome {
	switch {
	case a.outcome == answered:
		return placer.Answered
	case a.shed():
		return placer.Shed
	case a.misdirected():
		return placer.Misdirected
	case a.resp != nil:
		return placer.Failed
	case c.r.Context().Err() != nil:
		return placer.Canceled
	case a.unreachable() && ctx.Err() == nil:
		return placer.Unreachable
	}
	return placer.Failed
}

// observe takes over what an attempt proves about the execution of the request.
func (c *call) observe(a *attemptResult) {
	c.mayHaveRun = c.mayHaveRun || a.outcome == unknown
	if a.unprovenRefusal() {
		c.unproven = a.resp.Status
		c.dispatcher.scope.Tagged(map[string]string{"status": strconv.Itoa(a.resp.Status)}).Counter("unproven_refusals").Inc(1)
	}
}

// withoutPromise returns the refusal to send in place of one as not run, if an earlier attempt
// may have executed the request.
func (c *call) withoutPromise(refusal *admitter.Refusal) *admitter.Refusal {
	if c.mayHaveRun && refusal.Outcome() == header.OutcomeNotRun {
		return c.outcomeUnknown()
	}
	return refusal
}

// outcomeUnknown returns the refusal of a request that may have been executed.
func (c *call) outcomeUnknown() *admitter.Refusal {
	if c.unproven != 0 {
		return admitter.RefuseUnknown(http.StatusBadGateway, header.ReasonUnprovenRefusal,
			"the answer had status "+strconv.Itoa(c.unproven)+" without proof that no backend server ran the request")
	}
	return admitter.RefuseUnknown(http.StatusBadGateway, header.ReasonConnectionBroken, "the backend server's answer is broken or missing")
}
