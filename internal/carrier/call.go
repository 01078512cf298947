package carrier

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/admitter"
	"magnoliahill.example/magnoliahill/internal/exchanger"
	"magnoliahill.example/magnoliahill/internal/forwarder"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/marker"
	"magnoliahill.example/magnoliahill/pkg/placer"
)

const (
	mostDials    = 4                      // tries that reached nobody, beside those that a route allows; four dials fit into 1.6 s
	leastLeft    = 20 * time.Millisecond  // a request is not sent with less time left: half a round trip between regions
	noConfigWait = 500 * time.Millisecond // a starting host has its configuration by then
	stoppingWait = 50 * time.Millisecond  // another host takes the request at once
	brokenWait   = 100 * time.Millisecond // twice the way between regions and back
	returnShare  = 0.3                    // refused callers return within this share of the time they have: they wait no longer than a third
)

// call is one request on its way through the host.
type call struct {
	carrier    *Carrier
	w          http.ResponseWriter
	r          *http.Request
	began      time.Duration
	view       *View
	id         string
	route      *cataloger.Route
	workspace  *cataloger.Workspace // nil on open routes
	service    string
	object     string
	deadline   time.Duration // when the caller has its answer at the latest
	body       *forwarder.Body
	budget     *limiter.Budget
	tried      []string // ids of backend servers chosen, in order
	sent       int      // tries that may have reached a backend server
	last       placer.Pick
	trail      string // what became of each try
	mayHaveRun bool   // a try ended without proof that the request was not run
}

// serve answers the request.
func (c *call) serve() {
	if c.view.phase >= Leaving {
		c.w.Header().Set("Connection", "close")
	}
	if refusal := c.run(); refusal != nil {
		c.refuse(refusal)
	}
}

// run serves the request, or returns why it is refused. Nothing was written to
// the caller when it returns a refusal.
func (c *call) run() *admitter.Refusal {
	if refusal := c.admit(); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), c.deadline-c.carrier.clock.Now())
	defer cancel()
	if refusal := c.readBody(); refusal != nil {
		return refusal
	}
	c.budget = c.carrier.budget(c.service)
	c.budget.Earn()
	for {
		answer, refusal, again := c.try(ctx)
		if again {
			continue
		}
		if refusal != nil {
			c.refund(refusal)
			return refusal
		}
		c.pass(answer)
		return nil
	}
}

// admit finds route and workspace and charges the workspace's rate.
func (c *call) admit() *admitter.Refusal {
	if c.view.catalog == nil {
		return unavailable(marker.ReasonNoConfig, "the host has no configuration yet", noConfigWait)
	}
	if c.view.phase == Finishing {
		return unavailable(marker.ReasonStopping, "the host is stopping, use another", stoppingWait)
	}
	c.route = c.view.catalog.Route(hostName(c.r.Host), c.r.URL.Path)
	if c.route == nil {
		return admitter.NotRun(http.StatusNotFound, marker.ReasonNoService, "no route is for this host and path", 0)
	}
	c.setDeadline()
	if !c.view.takes(c.began, c.deadline-c.began) {
		return unavailable(marker.ReasonStopping, "the host is stopping, use another", stoppingWait)
	}
	if limit := c.view.catalog.CallerLimits().BodyBytes(); limit > 0 && c.r.ContentLength > limit {
		return admitter.NotRun(http.StatusRequestEntityTooLarge, marker.ReasonBadRequest, "the body is too large", 0)
	}
	if !c.route.Open() {
		key := c.view.catalog.Key(cataloger.HashKey(c.r.Header.Get(c.carrier.words.Key)))
		if key == nil {
			return admitter.NotRun(http.StatusUnauthorized, marker.ReasonKeyUnknown, "the key is not in force", 0)
		}
		c.workspace = c.view.catalog.Workspace(key.Workspace())
	}
	if cookie, err := c.r.Cookie(c.carrier.words.Object); err == nil {
		c.object = cookie.Value
	}
	c.service = c.carrier.splits.service(c.route, c.object, rand.Float64())
	return c.charge()
}

// setDeadline takes the sooner of the caller's and the route's limit.
func (c *call) setDeadline() {
	limit := c.route.Timeout()
	if ms, err := strconv.ParseInt(c.r.Header.Get(c.carrier.words.Deadline), 10, 64); err == nil && ms > 0 {
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	c.deadline = c.began + limit
}

func hostName(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return name
}

func (c *call) charge() *admitter.Refusal {
	if c.workspace == nil || c.workspace.Rate() <= 0 {
		return nil
	}
	ok, wait := c.carrier.rates.Take(c.r.Context(), c.began, c.workspace.Name())
	if ok {
		return nil
	}
	return admitter.NotRun(http.StatusTooManyRequests, marker.ReasonRate, "the workspace is over its rate", wait)
}

// refund gives the charge back for a request that was not run, so that the
// caller who comes back is not charged twice.
func (c *call) refund(refusal *admitter.Refusal) {
	if c.workspace != nil && refusal.Outcome() == marker.OutcomeNotRun && c.sent == 0 {
		c.carrier.rates.Refund(c.carrier.clock.Now(), c.workspace.Name())
	}
}

// readBody reads a short body ahead, so that no backend server waits for it.
func (c *call) readBody() *admitter.Refusal {
	c.body = forwarder.NewBody(c.r.Body)
	if c.r.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(c.w)
	if err := control.SetReadDeadline(time.Now().Add(c.route.Timeout())); err != nil {
		return admitter.NotRun(http.StatusBadRequest, marker.ReasonBadRequest, "the body cannot be read", 0)
	}
	_, err := c.body.Fill()
	if reset := control.SetReadDeadline(time.Time{}); err == nil {
		err = reset
	}
	if err != nil {
		return admitter.NotRun(http.StatusRequestTimeout, marker.ReasonBadRequest, "the body did not arrive", 0)
	}
	return nil
}

// homes returns the regions that the request may run in, or nil for all.
func (c *call) homes() []string {
	homes := c.route.Homes()
	if c.workspace == nil || len(c.workspace.Homes()) == 0 {
		if len(homes) == 0 {
			return nil
		}
		return homes
	}
	if len(homes) == 0 {
		return c.workspace.Homes()
	}
	both := []string{}
	for _, region := range homes {
		if slices.Contains(c.workspace.Homes(), region) {
			both = append(both, region)
		}
	}
	return both
}

// try sends the request to one backend server. It returns the answer, or a
// refusal, or that another try may be made.
func (c *call) try(ctx context.Context) (*exchanger.Answer, *admitter.Refusal, bool) {
	now := c.carrier.clock.Now()
	left := c.deadline - now
	if left < leastLeft || ctx.Err() != nil {
		return nil, c.ended(ctx), false
	}
	pick, verdict, wait := c.carrier.places.Choose(now, placer.Query{
		Service: c.service, Route: c.route.Name(), Object: c.affinity(), Goal: c.route.Goal(),
		Left: left, Homes: c.homes(), Tried: c.tried,
	})
	if verdict != placer.Chosen {
		return nil, c.noPlace(verdict, wait), false
	}
	c.last = pick
	c.tried = append(c.tried, pick.ID())
	answer, err := c.carrier.link.Try(ctx, exchanger.Target{Address: pick.Address(), Instance: pick.ID()}, c.request(pick, left))
	outcome, load := c.judge(ctx, answer, err)
	c.carrier.places.Done(c.carrier.clock.Now(), pick, outcome, load)
	c.note(pick, answer, err)
	if outcome == placer.Answered {
		c.sent++
		return answer, nil, false
	}
	return c.afterFailure(ctx, answer, err)
}

func (c *call) affinity() string {
	if !c.route.Sticky() {
		return ""
	}
	return c.object
}

func (c *call) request(pick placer.Pick, left time.Duration) *exchanger.Request {
	words := &c.carrier.words
	header := make(http.Header, len(c.r.Header)+4)
	forwarder.CopyEndToEnd(header, c.r.Header)
	for _, name := range []string{words.Key, words.Workspace, words.Instance} {
		header.Del(name) // a caller's own never reaches a backend server
	}
	header.Set(words.RequestID, c.id)
	header.Set(words.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	header.Set(words.Instance, pick.ID())
	if c.workspace != nil {
		header.Set(words.Workspace, c.workspace.Name())
	}
	header.Del("Content-Length")
	header.Del("Expect")
	return &exchanger.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, ID: c.id, Header: header,
		Body: c.body, Length: c.r.ContentLength, Idempotent: c.route.Idempotent(),
	}
}

// judge tells what a try says of the backend server.
func (c *call) judge(ctx context.Context, answer *exchanger.Answer, err error) (placer.Outcome, placer.Load) {
	var shed *exchanger.ShedError
	switch {
	case err == nil && c.garbled(answer):
		return placer.Failed, placer.Load{}
	case err == nil && answer.Status >= http.StatusInternalServerError:
		return placer.Failed, c.load(answer)
	case err == nil:
		return placer.Answered, c.load(answer)
	case errors.As(err, &shed):
		return placer.Shed, c.carrier.dialect.DecodeLoad(shed.Load())
	case errors.Is(err, exchanger.ErrMisdirected):
		return placer.Misdirected, placer.Load{}
	case c.r.Context().Err() != nil:
		return placer.Canceled, placer.Load{}
	case errors.Is(err, exchanger.ErrUnreachable) && ctx.Err() == nil:
		return placer.Unreachable, placer.Load{}
	}
	return placer.Failed, placer.Load{}
}

func (c *call) load(answer *exchanger.Answer) placer.Load {
	return c.carrier.dialect.DecodeLoad(answer.Header.Get(c.carrier.words.Load))
}

// garbled reports whether an answer says success without the signature that
// backend servers put on what they made.
func (c *call) garbled(answer *exchanger.Answer) bool {
	return answer.Status < http.StatusMultipleChoices && answer.Header.Get(c.carrier.words.Signature) == ""
}

// afterFailure decides what follows a try that brought no good answer.
func (c *call) afterFailure(ctx context.Context, answer *exchanger.Answer, err error) (*exchanger.Answer, *admitter.Refusal, bool) {
	unreached := errors.Is(err, exchanger.ErrUnreachable)
	notRun := unreached || errors.Is(err, forwarder.ErrShed) || errors.Is(err, exchanger.ErrMisdirected)
	if !unreached {
		c.sent++
	}
	failure := answer != nil && !c.garbled(answer)
	switch {
	case ctx.Err() != nil:
		return nil, c.ended(ctx), false
	case (notRun || c.route.Idempotent()) && c.mayRetry(unreached):
		if answer != nil && answer.Rest != nil {
			_ = answer.Rest.Close()
		}
		return nil, nil, true
	case failure && !c.promises(answer.Status):
		return answer, nil, false
	case notRun && !c.mayHaveRun:
		return nil, unavailable(marker.ReasonShed, "the backend servers have no room", c.comeBack(0)), false
	}
	if answer != nil && answer.Rest != nil {
		_ = answer.Rest.Close()
	}
	return nil, admitter.Unknown(http.StatusBadGateway, marker.ReasonBroken, "the backend server's answer is broken or missing"), false
}

// promises reports whether a status would promise that the request was not run,
// which a backend server's own failure does not.
func (c *call) promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// mayRetry reports whether the request may be sent to another backend server.
func (c *call) mayRetry(unreached bool) bool {
	if !c.body.Replayable() || len(c.tried) >= mostDials+c.route.MaxTries() {
		return false
	}
	if unreached {
		return c.sent < c.route.MaxTries()
	}
	return c.sent < c.route.MaxTries() && c.budget.Spend()
}

// comeBack returns when a caller that found no room should try again: not
// before the missing room can be there, and spread over the time in which it
// still helps, so that those who were refused together do not return together.
func (c *call) comeBack(least time.Duration) time.Duration {
	left := c.deadline - c.carrier.clock.Now()
	return max(least, time.Duration(returnShare*rand.Float64()*float64(left)), brokenWait)
}

func (c *call) noPlace(verdict placer.Verdict, wait time.Duration) *admitter.Refusal {
	if c.mayHaveRun {
		return admitter.Unknown(http.StatusBadGateway, marker.ReasonBroken, "the backend server's answer is broken or missing")
	}
	if verdict == placer.NoRoom {
		return unavailable(marker.ReasonQueueFull, "no backend server would answer in time", c.comeBack(wait))
	}
	return unavailable(marker.ReasonNoBackend, "no backend server can take the request", wait)
}

// ended answers a request whose time is over or whose caller is gone.
func (c *call) ended(ctx context.Context) *admitter.Refusal {
	gone := c.r.Context().Err() != nil
	notRun := !c.mayHaveRun
	switch {
	case notRun && gone:
		return unavailable(marker.ReasonCanceled, "the caller went away", brokenWait)
	case notRun:
		return unavailable(marker.ReasonDeadline, "the time limit passed before the request was sent", brokenWait)
	case gone || errors.Is(ctx.Err(), context.Canceled):
		return admitter.Unknown(http.StatusBadGateway, marker.ReasonCanceled, "the caller went away")
	}
	return admitter.Unknown(http.StatusGatewayTimeout, marker.ReasonDeadline, "no answer within the time limit")
}

func unavailable(reason, text string, retryAfter time.Duration) *admitter.Refusal {
	return admitter.NotRun(http.StatusServiceUnavailable, reason, text, retryAfter)
}
