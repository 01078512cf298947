package server

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/admitter"
	"magnoliahill.example/magnoliahill/internal/charter"
	"magnoliahill.example/magnoliahill/internal/forwarder"
	"magnoliahill.example/magnoliahill/internal/recorder"
	"magnoliahill.example/magnoliahill/pkg/marker"
	"magnoliahill.example/magnoliahill/pkg/router"
)

const maxTries = 4 // tries of one request, the first included

// call is one request on its way through the host.
type call struct {
	server    *Server
	w         http.ResponseWriter
	r         *http.Request
	began     time.Duration
	maximum   time.Duration // longest pause in the caller's body
	state     charter.State // by the request chart
	id        string
	admission *admitter.Admission
	pool      *pool
	body      *forwarder.Body
	tried     []string
	queued    time.Duration // time spent waiting for a place
}

func (c *call) fire(trigger charter.Trigger) {
	next, err := c.server.requestChart.Next(c.state, trigger)
	if err != nil {
		c.server.broken(err.Error())
		return
	}
	c.state = next
}

// run serves the request, or returns why it is refused. Nothing was written to
// the caller when it returns a refusal.
func (c *call) run() *admitter.Refusal {
	s := c.server
	snap := s.snapshot.Load()
	var refusal *admitter.Refusal
	c.admission, refusal = s.admit(c.r.Context(), c.r, snap)
	if refusal != nil {
		return refusal
	}
	c.fire("admit")
	service := c.admission.Service()
	limit, refusal := timeout(c.r, service.RequestTimeout())
	if refusal != nil {
		return refusal
	}
	c.pool = snap.pools[service.Name()]
	c.body = forwarder.NewBody(&pacedBody{
		source: c.r.Body, control: http.NewResponseController(c.w), pause: c.maximum,
	})
	ctx, cancel := context.WithCancel(c.r.Context())
	defer cancel()
	timer := time.AfterFunc(limit, cancel)
	defer timer.Stop()
	c.pool.retries.Earn()
	return c.tryAll(ctx, timer, limit, min(limit, service.QueueTimeout()))
}

// tryAll makes tries until one is answered or no further one is allowed.
func (c *call) tryAll(ctx context.Context, timer *time.Timer, limit, queueLimit time.Duration) *admitter.Refusal {
	deadline := c.began + limit
	for {
		before := c.server.clock.Now()
		pick, refusal := c.pool.acquire(ctx, c.admission, c.began+queueLimit, c.tried)
		c.queued += c.server.clock.Now() - before
		if refusal != nil {
			return refusal
		}
		if !c.admission.InForce(c.server.snapshot.Load().table) {
			c.pool.release(pick, router.Canceled)
			return admitter.NotRun(http.StatusUnauthorized, marker.ReasonKeyUnknown,
				"the key was withdrawn while the request waited", 0)
		}
		resp, err := c.try(ctx, pick, deadline)
		if err == nil {
			timer.Stop()
			c.fire("answer")
			c.copyAnswer(pick, resp)
			return nil
		}
		c.settle(ctx, pick, err)
		if refusal := c.afterFailure(ctx, err); refusal != nil {
			return refusal
		}
	}
}

// try sends the request to a backend server once.
func (c *call) try(ctx context.Context, pick router.Pick, deadline time.Duration) (*http.Response, error) {
	c.fire("dispatch")
	c.tried = append(c.tried, pick.Server().Address())
	req := &http.Request{
		Method:        c.r.Method,
		URL:           &url.URL{Scheme: "http", Host: pick.Server().Address(), Path: c.r.URL.Path, RawPath: c.r.URL.RawPath, RawQuery: c.r.URL.RawQuery},
		Header:        make(http.Header, len(c.r.Header)),
		Host:          c.r.Host,
		ContentLength: c.r.ContentLength,
		Trailer:       c.trailer(),
	}
	forwarder.CopyEndToEnd(req.Header, c.r.Header)
	admitter.Strip(req.Header, &req.URL.RawQuery, c.admission.Key())
	if name := c.admission.Workspace(); name != "" {
		req.Header.Set(marker.Workspace, name)
	}
	req.Header.Set(marker.RequestID, c.id)
	req.Header.Set(marker.Dispatch, rand.Text())
	left := max(deadline-c.server.clock.Now(), time.Millisecond)
	req.Header.Set(marker.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	return c.server.forwarder.Try(ctx, req, c.body)
}

// trailer returns the caller's trailer without the key. Its fields get their
// values only when the body has been read, so the transport reads it by a hook
// in the body's end; until then the names alone are announced.
func (c *call) trailer() http.Header {
	if len(c.r.Trailer) == 0 {
		return nil
	}
	trailer := http.Header{}
	c.body.OnEnd(func() {
		forwarder.CopyEndToEnd(trailer, c.r.Trailer)
		admitter.StripTrailer(trailer, c.admission.Key())
	})
	for name := range c.r.Trailer {
		if name != marker.Key {
			trailer[name] = nil
		}
	}
	return trailer
}

// settle gives the place back with what the failure says of the backend server.
func (c *call) settle(ctx context.Context, pick router.Pick, err error) {
	result := router.Failed
	switch {
	case errors.Is(err, forwarder.ErrShed):
		result = router.Shed
	case ctx.Err() != nil:
		result = router.Canceled
	}
	if c.pool.release(pick, result) {
		c.server.recorder.TimeLine().Record(recorder.BackendState, pick.Server().Name(), "ejected: "+err.Error())
	}
}

// afterFailure returns nil when another try may be made, and else the answer to
// the caller.
func (c *call) afterFailure(ctx context.Context, err error) *admitter.Refusal {
	notRun := errors.Is(err, forwarder.ErrNotRun) || errors.Is(err, forwarder.ErrShed)
	again := ctx.Err() == nil && len(c.tried) < maxTries && c.body.Replayable()
	switch {
	case notRun:
		c.fire("not-run")
		if again && c.pool.retries.Spend() {
			return nil
		}
		return c.notRun(ctx, err)
	case again && idempotent(c.r.Method) && c.pool.retries.Spend():
		c.fire("not-run")
		return nil
	}
	c.fire("break")
	switch {
	case c.r.Context().Err() != nil:
		return admitter.Unknown(http.StatusServiceUnavailable, marker.ReasonCanceled, "the caller went away")
	case ctx.Err() != nil:
		return admitter.Unknown(http.StatusGatewayTimeout, marker.ReasonDeadline, "no answer within the time limit")
	case errors.Is(err, forwarder.ErrForeign):
		return admitter.Unknown(http.StatusBadGateway, marker.ReasonStaleAnswer, "the answer was to another request")
	}
	return admitter.Unknown(http.StatusBadGateway, marker.ReasonBroken, "the connection to the backend server broke")
}

func (c *call) notRun(ctx context.Context, err error) *admitter.Refusal {
	switch {
	case c.r.Context().Err() != nil:
		return unavailable(marker.ReasonCanceled, "the caller went away", 0)
	case ctx.Err() != nil:
		return unavailable(marker.ReasonDeadline, "the time limit passed before the request was sent", 0)
	case errors.Is(err, forwarder.ErrShed):
		return unavailable(marker.ReasonShed, "the backend servers have no room", 0)
	}
	return unavailable(marker.ReasonNoBackend, "no backend server could be reached", 0)
}

// idempotent methods may run more than once (RFC 9110, 9.2.2).
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace,
		http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// refuse answers the caller in place of a backend server.
func (c *call) refuse(refusal *admitter.Refusal) {
	if refusal.Outcome() == marker.OutcomeNotRun {
		c.fire("refuse")
	}
	c.server.countRefusal(c.admission, refusal)
	if refusal.Reason() == marker.ReasonStopping {
		c.w.Header().Set("Connection", "close")
	}
	refusal.Write(c.w)
}

// copyAnswer passes the answer on as it comes. An answer that breaks off is
// passed on as broken.
func (c *call) copyAnswer(pick router.Pick, resp *http.Response) {
	s := c.server
	defer func() { _ = resp.Body.Close() }()
	if running, err := strconv.Atoi(resp.Header.Get(marker.Load)); err == nil {
		c.pool.router.Report(s.clock.Now(), pick, running)
	}
	header := c.w.Header()
	forwarder.CopyEndToEnd(header, resp.Header)
	header.Del(marker.Load)
	header.Del(marker.NotRun)
	header.Set(marker.Outcome, marker.OutcomeAnswered)
	header.Add("Server-Timing", serverTiming(c.queued, s.clock.Now()-c.began))
	for name := range resp.Trailer {
		header.Add("Trailer", name)
	}
	c.w.WriteHeader(resp.StatusCode)
	err := copyFlushing(c.w, resp)
	if err != nil {
		c.pool.release(pick, cutShort(c.r.Context()))
		s.counters.cutShort.Inc(1)
		klog.V(2).InfoS("answer broke off", "request", c.id, "backend", pick.Server().Name())
		panic(http.ErrAbortHandler)
	}
	for name, values := range resp.Trailer {
		header[name] = values
	}
	c.pool.release(pick, router.Answered)
	took := s.clock.Now() - c.began
	key := recorder.Key{Service: c.admission.Service().Name(), Workspace: c.admission.Workspace()}
	s.recorder.Latency().Answered(key, took)
	s.counters.answered.Inc(1)
}

// cutShort tells whether an answer that broke off speaks against the backend
// server: not when the caller went away.
func cutShort(ctx context.Context) router.Result {
	if ctx.Err() != nil {
		return router.Canceled
	}
	return router.Failed
}

func serverTiming(queued, total time.Duration) string {
	ms := func(d time.Duration) string {
		return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 3, 64)
	}
	return "queue;dur=" + ms(queued) + ", total;dur=" + ms(total)
}

// copyFlushing copies a body and sends each part on as soon as it comes when
// its length is not known.
func copyFlushing(w http.ResponseWriter, resp *http.Response) error {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	flusher, _ := w.(http.Flusher)
	for {
		n, err := resp.Body.Read(*buffer)
		if n > 0 {
			if _, werr := w.Write((*buffer)[:n]); werr != nil {
				return werr
			}
			if resp.ContentLength < 0 && flusher != nil {
				flusher.Flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
