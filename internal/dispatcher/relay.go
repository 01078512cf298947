package dispatcher

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/admitter"
	"magnoliahill.example/magnoliahill/internal/roundtripper"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/header"
)

const maxRelayTries = 3 // hosts that a request is relayed to, one after the other, if they do not take it

// relayTarget returns the host to relay the request to, if this host does not reach its
// service. A request is relayed once at most.
func (c *call) relayTarget(now time.Duration) (roundtripper.Target, bool) {
	if c.relayedBy != "" || len(c.triedRelays) >= maxRelayTries || c.reaches(now) {
		return roundtripper.Target{}, false
	}
	target, ok := c.dispatcher.relays.Relay(c.allowedRegions(), c.triedRelays)
	if !ok && c.r.ContentLength == 0 {
		// Only bodies are bound to the regions: the other host keeps to them as well.
		return c.dispatcher.relays.Relay(nil, c.triedRelays)
	}
	return target, ok
}

// canRelay reports whether there is a host to relay the request to.
func (c *call) canRelay() bool {
	_, ok := c.relayTarget(c.dispatcher.clock.Now())
	return ok
}

// relayAttempt relays the request to another host. It returns as attempt does.
func (c *call) relayAttempt(ctx context.Context, target roundtripper.Target, left time.Duration) (*roundtripper.Response, *admitter.Refusal, bool) {
	c.triedRelays = append(c.triedRelays, target.Instance)
	startedAt := c.dispatcher.clock.Now()
	attempts := c.maxAttempts - c.sentAttempts
	ended := c.newRelayResult(c.dispatcher.relays.RoundTrip(ctx, target, c.relayRequest(left, attempts)))
	c.observe(ended)
	c.recordRelay(target, startedAt, ended)
	var shed *roundtripper.ShedError
	switch {
	case errors.As(ended.err, &shed):
		return c.afterRelayRefusal(shed)
	case ended.unreachable() && ctx.Err() != nil:
		return nil, c.timedOutOrCanceled(ctx), false
	case ended.unreachable():
		return nil, nil, true
	}
	c.sentAttempts += attempts // the other host may have used all of them
	if c.signed(ended.resp) && ended.forwardable() {
		return ended.resp, nil, false
	}
	ended.discard()
	switch {
	case ctx.Err() != nil:
		return nil, c.timedOutOrCanceled(ctx), false
	case ended.err != nil:
		return nil, admitter.RefuseUnknown(http.StatusBadGateway, header.ReasonConnectionBroken, "the connection to the host that the request was relayed to is broken"), false
	case ended.unprovenRefusal():
		return nil, c.outcomeUnknown(), false
	}
	status := errorStatus(ended.resp.Status, http.StatusBadGateway)
	return nil, admitter.RefuseUnknown(status, relayedReason(ended.resp.Header), "the host that the request was relayed to got no answer"), false
}

// newRelayResult names the outcome of an attempt at another host. Its word is proof of
// nothing but a refusal with the not-run header; without a signature a response is its own.
func (c *call) newRelayResult(resp *roundtripper.Response, err error) *attemptResult {
	a := newAttemptResult(resp, err)
	if a.misdirected() || a.outcome == answered && !c.signed(resp) {
		a.outcome = unknown
	}
	return a
}

// signed reports whether a response has the signature of a backend server.
func (c *call) signed(resp *roundtripper.Response) bool {
	return resp != nil && resp.Header.Get(c.dispatcher.headerNames.ResponseStamp) != ""
}

// afterRelayRefusal decides after another host refused the request as not run whether to
// relay it to a further one.
func (c *call) afterRelayRefusal(shed *roundtripper.ShedError) (*roundtripper.Response, *admitter.Refusal, bool) {
	reason := relayedReason(shed.Header())
	switch reason {
	case header.ReasonCutOff, header.ReasonStopping, header.ReasonNoConfig, header.ReasonNoMemory:
		if c.body.Rewind() {
			return nil, nil, true
		}
	}
	retryAfter, err := strconv.ParseInt(shed.Header().Get(header.RelayRetryAfter), 10, 64)
	if err != nil {
		retryAfter = 0 // a retry does not help
	}
	status := errorStatus(shed.Status(), http.StatusServiceUnavailable)
	return nil, admitter.RefuseNotRun(status, reason, "the host that the request was relayed to refused it", time.Duration(retryAfter)*time.Millisecond), false
}

// errorStatus returns a status if it is that of an error, and another one if not.
func errorStatus(status, otherwise int) int {
	if status < http.StatusBadRequest {
		return otherwise
	}
	return status
}

// relayedReason returns the reason of a refusal of another host.
func relayedReason(headers http.Header) string {
	if reason := headers.Get(header.Reason); reason != "" {
		return reason
	}
	return header.ReasonConnectionBroken
}

// relayRequest returns the request to send to another host, which may send it to a
// number of backend servers.
func (c *call) relayRequest(left time.Duration, attempts int) *roundtripper.Request {
	req := c.forwardedRequest(left)
	req.Header.Set(header.RelayedBy, c.dispatcher.name)
	req.Header.Set(header.RelayService, c.service)
	req.Header.Set(header.RelayAttempts, strconv.Itoa(attempts))
	return req
}

// recordRelay appends the result of relaying the request to the attempt log.
func (c *call) recordRelay(target roundtripper.Target, startedAt time.Duration, ended *attemptResult) {
	result := attemptRelayed
	switch {
	case ended.err != nil:
		result = ended.err.Error()
	case ended.unprovenRefusal():
		result = ended.cause()
	case ended.resp.Header.Get(header.Reason) != "":
		result = ended.resp.Header.Get(header.Reason)
	}
	c.logAttempt(target.Instance + ":" + result + ":" + strconv.FormatInt((c.dispatcher.clock.Now()-startedAt).Milliseconds(), 10) + "ms")
	c.dispatcher.scope.Counter("requests_relayed").Inc(1)
}

// ServeRelayed responds to a request that another host relayed. The other host has
// checked the key and charged the workspace's rate limit.
func (c *Dispatcher) ServeRelayed(w http.ResponseWriter, r *http.Request) {
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	current := c.newCall(w, r)
	current.relayedBy = r.Header.Get(header.RelayedBy)
	current.serve()
}

// admitRelayed takes over what the host that relayed the request has found out.
func (c *call) admitRelayed() *admitter.Refusal {
	service := c.r.Header.Get(header.RelayService)
	attempts, err := strconv.Atoi(c.r.Header.Get(header.RelayAttempts))
	if err != nil || attempts < 1 || c.relayedBy == "" || !allowsService(c.route, service) {
		return unavailable(header.ReasonNoConfig, "the configuration differs from that of the host that relayed the request", minRetryAfter)
	}
	if name := c.r.Header.Get(c.dispatcher.headerNames.Workspace); name != "" {
		if c.workspace = c.snapshot.catalog.Workspace(name); c.workspace == nil {
			return unavailable(header.ReasonNoConfig, "the host does not know the workspace yet", minRetryAfter)
		}
	}
	c.service = service
	c.maxAttempts = min(attempts, c.maxAttempts)
	if !c.reaches(c.startedAt) {
		return unavailable(header.ReasonCutOff, "the host reaches no backend server of the service", minRetryAfter)
	}
	return nil
}

func allowsService(route *cataloger.Route, service string) bool {
	for _, split := range route.Splits() {
		if split.Service() == service {
			return true
		}
	}
	return false
}
