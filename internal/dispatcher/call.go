package dispatcher

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/admitter"
	"magnoliahill.example/magnoliahill/internal/forwarder"
	"magnoliahill.example/magnoliahill/internal/roundtripper"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/header"
	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/placer"
	"magnoliahill.example/magnoliahill/pkg/quarantiner"
)

const (
	// maxUnreachable is the number of unreachable backend servers tolerated
	// beyond the route's attempts. Four dials take at most 1.6 s.
	maxUnreachable     = 4
	minTimeLeft        = 20 * time.Millisecond  // below it no request is sent; half a round trip between regions
	noConfigRetryAfter = 500 * time.Millisecond // a starting host has loaded its configuration by then
	stoppingRetryAfter = 50 * time.Millisecond  // another host accepts the request at once
	minRetryAfter      = 100 * time.Millisecond // two round trips between regions
	// retryAfterShare is the share of the time left over which retries of refused
	// requests are spread. Callers wait for at most a third of it.
	retryAfterShare = 0.3
)

// call holds the state of one request while the host serves it.
type call struct {
	dispatcher    *Dispatcher
	w             http.ResponseWriter
	r             *http.Request
	startedAt     time.Duration // when the request arrived, on the host's clock
	snapshot      *Snapshot
	id            string
	route         *cataloger.Route
	workspace     *cataloger.Workspace // nil on open routes
	service       string
	split         splitChoice   // what decided the service
	object        string        // from the cookie; "" if there is none
	deadline      time.Duration // latest time for the response, on the host's clock
	body          *forwarder.Body
	unread        bool // the response does not wait for the rest of the body
	aborts        bool // the connection cannot be used again, though its response did not say so
	budget        *limiter.RetryBudget
	triedIDs      []string // instance IDs of the backend servers chosen so far, in order
	sentAttempts  int      // attempts that may have reached a backend server
	lastPick      placer.Pick
	attemptLog    string          // results of the attempts, for the request's log line
	mayHaveRun    bool            // the outcome of an attempt is unknown
	unproven      int             // status of the last unproven refusal; 0 if there was none
	bodyBytes     int64           // reserved for the body
	responseBytes int64           // reserved for the bodies of responses
	relayedBy     string          // host that relayed the request to this one; "" if the caller sent it
	maxAttempts   int             // backend servers that the request may be sent to
	triedRelays   []string        // names of the hosts that the request was relayed to
	linksChosen   bool            // linkDraw is valid
	linkDraw      float64         // in [0, 1); decides while a service returns
	runsAlone     bool            // the quarantine has to be told when the attempt ends
	attributed    <-chan struct{} // closed when it is known whether the last attempt ended in a crash; nil if that is not checked
	digested      bool            // requestDigest is known
	requestDigest quarantiner.Digest
}

// serve responds to the request with the response of a backend server or a
// refusal.
func (c *call) serve() {
	if c.snapshot.phase >= Leaving {
		c.w.Header().Set("Connection", "close")
	}
	if refusal := c.dispatch(); refusal != nil {
		c.refuse(refusal)
	}
	if c.aborts {
		panic(http.ErrAbortHandler)
	}
}

// dispatch sends the request to backend servers and writes the response, or
// returns a refusal. It returns a refusal only if nothing was written to the
// caller.
func (c *call) dispatch() *admitter.Refusal {
	if refusal := c.admit(); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), c.deadline-c.dispatcher.clock.Now())
	defer cancel()
	defer func() {
		c.dispatcher.bodies.release(c.bodyBytes)
		c.dispatcher.bodies.releaseResponse(c.responseBytes)
	}()
	if refusal := c.readBody(); refusal != nil {
		c.refund(refusal)
		return refusal
	}
	c.budget = c.dispatcher.budget(c.service)
	if c.reaches(c.dispatcher.clock.Now()) {
		c.budget.Earn() // otherwise the host that the request is relayed to makes the retries
	}
	for {
		resp, refusal, retry := c.attempt(ctx)
		if retry {
			continue
		}
		if refusal != nil {
			refusal = c.withoutPromise(refusal)
			c.refund(refusal)
			return refusal
		}
		c.writeResponse(ctx, resp)
		return nil
	}
}

// allowedRegions returns the regions in which the request may be executed: those
// that the route and the workspace both allow. It returns nil if all regions are
// allowed.
func (c *call) allowedRegions() []string {
	routeHomes := c.route.HomeRegions()
	if c.workspace == nil || len(c.workspace.HomeRegions()) == 0 {
		if len(routeHomes) == 0 {
			return nil
		}
		return routeHomes
	}
	if len(routeHomes) == 0 {
		return c.workspace.HomeRegions()
	}
	common := []string{}
	for _, region := range routeHomes {
		if slices.Contains(c.workspace.HomeRegions(), region) {
			common = append(common, region)
		}
	}
	return common
}

// priority returns the priority of the request: the workspace's own one takes precedence
// over that of the route.
func (c *call) priority() int {
	if c.workspace != nil {
		if own, ok := c.workspace.Priority(); ok {
			return own
		}
	}
	return c.route.Priority()
}

// attempt sends the request to one backend server. It returns the response, or a
// refusal, or true if another attempt is to be made.
func (c *call) attempt(ctx context.Context) (*roundtripper.Response, *admitter.Refusal, bool) {
	now := c.dispatcher.clock.Now()
	left := c.deadline - now
	if left < minTimeLeft || ctx.Err() != nil {
		return nil, c.timedOutOrCanceled(ctx), false
	}
	if refusal := c.refuseIfStopping(now); refusal != nil {
		return nil, refusal, false
	}
	if target, ok := c.relayTarget(now); ok {
		return c.relayAttempt(ctx, target, left)
	}
	if refusal := c.enterQuarantine(ctx); refusal != nil {
		return nil, refusal, false
	}
	now = c.dispatcher.clock.Now() // the request may have waited for another copy of it
	if left = c.deadline - now; left < minTimeLeft {
		c.leaveQuarantine()
		return nil, c.timedOutOrCanceled(ctx), false
	}
	if refusal := c.refuseIfStopping(now); refusal != nil {
		c.leaveQuarantine()
		return nil, refusal, false
	}
	pick, verdict, wait := c.dispatcher.placer.Choose(now, c.query(left))
	if verdict != placer.Chosen {
		c.leaveQuarantine()
		return nil, c.noServerChosen(verdict, wait), false
	}
	c.lastPick = pick
	c.triedIDs = append(c.triedIDs, pick.ID())
	ended := newAttemptResult(c.dispatcher.roundTripper.RoundTrip(ctx, roundtripper.Target{Address: pick.Address(), Instance: pick.ID()}, c.outgoingRequest(pick, left)))
	load := c.reportedLoad(ended)
	load.Bytes = exchangedBytes(c.r.ContentLength, ended.resp)
	c.logPause(pick, load)
	c.dispatcher.placer.Done(c.dispatcher.clock.Now(), pick, c.placerOutcome(ctx, ended), load)
	c.observe(ended)
	c.recordAttempt(pick, ended)
	c.reportToQuarantine(ctx, pick, ended)
	c.reportReach(ctx, pick, ended.err)
	if ended.outcome == answered {
		c.sentAttempts++
		return ended.resp, nil, false
	}
	return c.afterFailure(ctx, ended)
}

// query describes the request to the placer.
func (c *call) query(left time.Duration) placer.Query {
	return placer.Query{
		Service: c.service, Route: c.route.Name(), Object: c.affinityObject(), Priority: c.priority(), Goal: c.route.LatencyGoal(),
		TimeLeft: left, AllowedRegions: c.allowedRegions(), Attempted: c.triedIDs,
	}
}

// affinityObject returns the object whose requests go to the same backend server,
// or "" if the route is not sticky. Copies of a suspected request go to the same server
// from all hosts, and different suspects to different ones, so that a crash tells which
// of them caused it.
func (c *call) affinityObject() string {
	if c.runsAlone {
		return c.digest().String()
	}
	if !c.route.StickySessions() {
		return ""
	}
	return c.object
}

// outgoingRequest returns the request to send to the chosen backend server.
func (c *call) outgoingRequest(pick placer.Pick, left time.Duration) *roundtripper.Request {
	req := c.forwardedRequest(left)
	req.Header.Set(c.dispatcher.headerNames.ExpectedInstance, pick.ID())
	return req
}

// forwardedRequest returns the request to send on, to whatever receiver.
func (c *call) forwardedRequest(left time.Duration) *roundtripper.Request {
	names := &c.dispatcher.headerNames
	headers := make(http.Header, len(c.r.Header)+4)
	forwarder.CopyEndToEnd(headers, c.r.Header)
	for _, name := range []string{names.Key, names.Workspace, names.ExpectedInstance, header.RelayedBy, header.RelayService, header.RelayAttempts} {
		headers.Del(name) // values set by the caller are never forwarded
	}
	headers.Set(names.RequestID, c.id)
	headers.Set(names.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	if c.workspace != nil {
		headers.Set(names.Workspace, c.workspace.Name())
	}
	headers.Del("Content-Length")
	headers.Del("Expect")
	return &roundtripper.Request{
		Method: c.r.Method, RequestURI: c.r.RequestURI, Host: c.r.Host, ID: c.id, Header: headers,
		Body: c.body, Length: c.r.ContentLength, Idempotent: c.route.Idempotent(),
		Reserve: c.reserveResponse, ReserveBuffer: c.reserveBuffer,
	}
}

// exchangedBytes returns the bytes of the bodies of a request and its response, without
// those whose length is unknown.
func exchangedBytes(requestLength int64, resp *roundtripper.Response) int64 {
	bytes := max(requestLength, 0)
	if resp != nil {
		bytes += max(resp.Length, int64(len(resp.Body)))
	}
	return bytes
}

// logPause logs and counts that a backend server turned the request away and wants
// nothing from this host for a while.
func (c *call) logPause(pick placer.Pick, load placer.Load) {
	if load.RetryAfter <= 0 {
		return
	}
	klog.InfoS("backend server asks for a pause", "server", pick.ID(), "retryAfter", load.RetryAfter, "id", c.id, "load", pick.Load())
	c.dispatcher.scope.Counter("backend_server_pauses").Inc(1)
}

// reportedLoad decodes what a backend server reports of itself in the headers of its
// response, whatever that response says of the request.
func (c *call) reportedLoad(a *attemptResult) placer.Load {
	var shed *roundtripper.ShedError
	var load placer.Load
	switch {
	case a.resp != nil:
		load = c.dispatcher.codec.DecodeReport(a.resp.Status, a.resp.Header)
	case errors.As(a.err, &shed):
		load = c.dispatcher.codec.DecodeReport(shed.Status(), shed.Header())
	default:
		return placer.Load{}
	}
	if !load.Limit.Known {
		c.dispatcher.scope.Counter("request_limits_malformed").Inc(1)
	}
	return load
}

// afterFailure decides after a failed attempt whether to retry, to forward the
// backend server's error response, or to refuse the request.
func (c *call) afterFailure(ctx context.Context, failed *attemptResult) (*roundtripper.Response, *admitter.Refusal, bool) {
	if !failed.unreachable() {
		c.sentAttempts++
	}
	switch {
	case ctx.Err() != nil:
		failed.discard()
		return nil, c.timedOutOrCanceled(ctx), false
	case (failed.outcome == notRun || c.route.Idempotent()) && c.mayRetry(failed.unreachable()):
		failed.discard()
		c.awaitAttribution(ctx)
		return nil, nil, true
	case failed.forwardable():
		return failed.resp, nil, false
	}
	failed.discard()
	switch {
	case c.mayHaveRun:
		return nil, c.outcomeUnknown(), false
	case failed.unreachable() && !c.reaches(c.dispatcher.clock.Now()):
		return nil, unavailable(header.ReasonCutOff, "neither this host nor another one reaches a backend server of the service", c.retryAfter(0)), false
	}
	return nil, unavailable(header.ReasonShed, "the backend servers have no room", c.retryAfter(0)), false
}

// mayRetry reports whether the request may be sent to another backend server, and ends
// the sending of its body to the last one if so. A retry is charged to the retry budget
// unless the last server was unreachable.
func (c *call) mayRetry(unreachable bool) bool {
	if c.sentAttempts >= c.maxAttempts || len(c.triedIDs) >= maxUnreachable+c.maxAttempts || !c.body.Rewind() {
		return false
	}
	if unreachable {
		return c.reaches(c.dispatcher.clock.Now()) || c.canRelay()
	}
	return c.budget.Spend()
}

// retryAfter returns the delay before a caller should retry when the backend
// servers are at capacity. It is at least the time until capacity is expected,
// and random within the time left, so that callers that were refused together do
// not retry together.
func (c *call) retryAfter(minDelay time.Duration) time.Duration {
	left := c.deadline - c.dispatcher.clock.Now()
	return max(minDelay, time.Duration(retryAfterShare*rand.Float64()*float64(left)), minRetryAfter)
}

// noServerChosen returns the refusal of a request for which the placer chose no
// backend server.
func (c *call) noServerChosen(verdict placer.Verdict, wait time.Duration) *admitter.Refusal {
	if verdict == placer.NoRoom {
		return unavailable(header.ReasonQueueFull, "no backend server would answer in time", c.retryAfter(wait))
	}
	return unavailable(header.ReasonNoBackend, "no backend server can take the request", wait)
}

// timedOutOrCanceled returns the refusal of a request whose deadline has passed
// or whose caller closed the connection.
func (c *call) timedOutOrCanceled(ctx context.Context) *admitter.Refusal {
	callerGone := c.r.Context().Err() != nil
	notRun := !c.mayHaveRun
	switch {
	case notRun && callerGone:
		return unavailable(header.ReasonCanceled, "the caller went away", minRetryAfter)
	case notRun:
		return unavailable(header.ReasonDeadline, "the time limit passed before the request was sent", minRetryAfter)
	case callerGone || errors.Is(ctx.Err(), context.Canceled):
		return admitter.RefuseUnknown(http.StatusBadGateway, header.ReasonCanceled, "the caller went away")
	}
	return admitter.RefuseUnknown(http.StatusGatewayTimeout, header.ReasonDeadline, "no answer within the time limit")
}

// unavailable returns a 503 refusal of a request that was not executed.
func unavailable(reason, text string, retryAfter time.Duration) *admitter.Refusal {
	return admitter.RefuseNotRun(http.StatusServiceUnavailable, reason, text, retryAfter)
}
