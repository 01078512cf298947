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
	"magnoliahill.example/magnoliahill/internal/forwarder"
	"magnoliahill.example/magnoliahill/internal/recorder"
	"magnoliahill.example/magnoliahill/internal/transitioner"
	"magnoliahill.example/magnoliahill/pkg/header"
	"magnoliahill.example/magnoliahill/pkg/router"
)

const maxAttempts = 4 // attempts of one request, including the first

// stateRepeated is the state in the request chart of a request that may have run and waits for
// a further attempt.
const stateRepeated transitioner.State = "repeated"

// call is one request while this host serves it.
type call struct {
	server      *Server
	w           http.ResponseWriter
	r           *http.Request
	startedAt   time.Duration
	bodyTimeout time.Duration      // longest pause while the caller sends the body
	state       transitioner.State // in the request state chart
	id          string
	admission   *admitter.Admission
	pool        *pool
	body        *forwarder.Body
	attempted   []string
	queueTime   time.Duration // time spent waiting for a slot
}

func (c *call) fire(trigger transitioner.Trigger) {
	next, err := c.server.requestChart.Next(c.state, trigger)
	if err != nil {
		c.server.reportBrokenInvariant(err.Error())
		return
	}
	c.state = next
}

// serve forwards the request to a backend server and copies the response to the
// caller. When it returns a refusal, nothing has been written to the caller
// yet.
func (c *call) serve() *admitter.Refusal {
	s := c.server
	snap := s.snapshot.Load()
	var refusal *admitter.Refusal
	c.admission, refusal = s.admit(c.r.Context(), c.r, snap)
	if refusal != nil {
		return refusal
	}
	c.fire("admit")
	service := c.admission.Service()
	timeLimit, refusal := requestTimeout(c.r, service.RequestTimeout())
	if refusal != nil {
		return refusal
	}
	c.pool = snap.pools[service.Name()]
	c.body = forwarder.NewBody(&timeoutBody{
		source: c.r.Body, controller: http.NewResponseController(c.w), timeout: c.bodyTimeout,
	})
	ctx, cancel := context.WithCancel(c.r.Context())
	defer cancel()
	timer := time.AfterFunc(timeLimit, cancel)
	defer timer.Stop()
	c.pool.retries.Earn()
	refusal = c.sendWithRetries(ctx, timer, timeLimit, min(timeLimit, service.QueueTimeout()))
	if refusal != nil && c.state == stateRepeated {
		c.fire("break")
		return c.unknownRefusal(ctx, nil)
	}
	return refusal
}

// sendWithRetries makes attempts until a backend server responds or no further
// attempt is allowed.
func (c *call) sendWithRetries(ctx context.Context, timer *time.Timer, timeLimit, queueLimit time.Duration) *admitter.Refusal {
	deadline := c.startedAt + timeLimit
	for {
		queuedAt := c.server.clock.Now()
		pick, refusal := c.pool.acquire(ctx, c.admission, c.startedAt+queueLimit, c.attempted)
		c.queueTime += c.server.clock.Now() - queuedAt
		if refusal != nil {
			return refusal
		}
		if !c.admission.StillValid(c.server.snapshot.Load().keyTable) {
			c.pool.release(pick, router.Canceled)
			return admitter.RefuseNotRun(http.StatusUnauthorized, header.ReasonKeyUnknown,
				"the key was withdrawn while the request waited", 0)
		}
		resp, err := c.attempt(ctx, pick, deadline)
		if err == nil {
			timer.Stop()
			c.fire("answer")
			c.copyResponse(pick, resp)
			return nil
		}
		c.releaseFailed(ctx, pick, err)
		if refusal := c.retryOrRefuse(ctx, err); refusal != nil {
			return refusal
		}
	}
}

// attempt sends the request to a backend server once.
func (c *call) attempt(ctx context.Context, pick router.Pick, deadline time.Duration) (*http.Response, error) {
	c.fire("dispatch")
	c.attempted = append(c.attempted, pick.Server().Address())
	req := &http.Request{
		Method:        c.r.Method,
		URL:           &url.URL{Scheme: "http", Host: pick.Server().Address(), Path: c.r.URL.Path, RawPath: c.r.URL.RawPath, RawQuery: c.r.URL.RawQuery},
		Header:        make(http.Header, len(c.r.Header)),
		Host:          c.r.Host,
		ContentLength: c.r.ContentLength,
		Trailer:       c.trailer(),
	}
	forwarder.CopyEndToEnd(req.Header, c.r.Header)
	admitter.StripKey(req.Header, &req.URL.RawQuery, c.admission.Key())
	if name := c.admission.Workspace(); name != "" {
		req.Header.Set(header.Workspace, name)
	}
	req.Header.Set(header.RequestID, c.id)
	req.Header.Set(header.DispatchID, rand.Text())
	timeLeft := max(deadline-c.server.clock.Now(), time.Millisecond)
	req.Header.Set(header.Deadline, strconv.FormatInt(timeLeft.Milliseconds(), 10))
	return c.server.forwarder.RoundTrip(ctx, req, c.body)
}

// trailer returns the caller's trailer without the key. The values become known
// only when the body has been read, so at first the trailer only announces the
// field names. A hook at the end of the body adds the values before the
// transport reads them.
func (c *call) trailer() http.Header {
	if len(c.r.Trailer) == 0 {
		return nil
	}
	trailer := http.Header{}
	c.body.OnComplete(func() {
		forwarder.CopyEndToEnd(trailer, c.r.Trailer)
		admitter.StripKeyFromTrailer(trailer, c.admission.Key())
	})
	for name := range c.r.Trailer {
		if name != header.Key {
			trailer[name] = nil
		}
	}
	return trailer
}

// releaseFailed releases the slot after a failed attempt, and reports to the
// router what the failure means for the backend server.
func (c *call) releaseFailed(ctx context.Context, pick router.Pick, err error) {
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

// retryOrRefuse returns nil when another attempt may be made, and otherwise the
// refusal for the caller.
func (c *call) retryOrRefuse(ctx context.Context, err error) *admitter.Refusal {
	notRun := errors.Is(err, forwarder.ErrNotRun) || errors.Is(err, forwarder.ErrShed)
	retryable := ctx.Err() == nil && len(c.attempted) < maxAttempts && c.body.Rewind()
	switch {
	case notRun:
		c.fire("not-run")
		if retryable && c.pool.retries.Spend() {
			return nil
		}
		return c.notRunRefusal(ctx, err)
	case retryable && idempotent(c.r.Method) && c.pool.retries.Spend():
		c.fire("repeat")
		return nil
	}
	c.fire("break")
	return c.unknownRefusal(ctx, err)
}

// unknownRefusal returns the refusal of a request that a backend server may have run.
func (c *call) unknownRefusal(ctx context.Context, err error) *admitter.Refusal {
	switch {
	case c.r.Context().Err() != nil:
		return admitter.RefuseUnknown(http.StatusBadGateway, header.ReasonCanceled, "the caller went away")
	case ctx.Err() != nil:
		return admitter.RefuseUnknown(http.StatusGatewayTimeout, header.ReasonDeadline, "no answer within the time limit")
	case errors.Is(err, forwarder.ErrMismatched):
		return admitter.RefuseUnknown(http.StatusBadGateway, header.ReasonStaleAnswer, "the answer was to another request")
	}
	return admitter.RefuseUnknown(http.StatusBadGateway, header.ReasonConnectionBroken, "the connection to the backend server broke")
}

// notRunRefusal returns the refusal of a request that no backend server ran.
func (c *call) notRunRefusal(ctx context.Context, err error) *admitter.Refusal {
	switch {
	case c.r.Context().Err() != nil:
		return unavailable(header.ReasonCanceled, "the caller went away", 0)
	case ctx.Err() != nil:
		return unavailable(header.ReasonDeadline, "the time limit passed before the request was sent", 0)
	case errors.Is(err, forwarder.ErrShed):
		return unavailable(header.ReasonShed, "the backend servers have no room", 0)
	}
	return unavailable(header.ReasonNoBackend, "no backend server could be reached", 0)
}

// idempotent reports whether a request with this method may run more than once
// (RFC 9110, 9.2.2).
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace,
		http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// refuse sends a refusal to the caller and counts it.
func (c *call) refuse(refusal *admitter.Refusal) {
	if refusal.Outcome() == header.OutcomeNotRun {
		c.fire("refuse")
	}
	c.server.countRefusal(c.admission, refusal)
	if refusal.Reason() == header.ReasonStopping {
		c.w.Header().Set("Connection", "close")
	}
	refusal.Write(c.w)
}

// copyResponse copies a response to the caller as it arrives. If the response
// is cut short, the connection to the caller is aborted, so that the caller
// does not take the response for complete.
func (c *call) copyResponse(pick router.Pick, resp *http.Response) {
	s := c.server
	defer func() { _ = resp.Body.Close() }()
	if running, err := strconv.Atoi(resp.Header.Get(header.Load)); err == nil {
		c.pool.router.RecordLoad(s.clock.Now(), pick, running)
	}
	headers := c.w.Header()
	forwarder.CopyEndToEnd(headers, resp.Header)
	headers.Del(header.Load)
	headers.Del(header.NotRun)
	headers.Set(header.Outcome, header.OutcomeAnswered)
	headers.Add("Server-Timing", serverTiming(c.queueTime, s.clock.Now()-c.startedAt))
	for name := range resp.Trailer {
		headers.Add("Trailer", name)
	}
	c.w.WriteHeader(resp.StatusCode)
	err := copyFlushing(c.w, resp)
	if err != nil {
		c.pool.release(pick, truncatedResult(c.r.Context()))
		s.counters.truncated.Inc(1)
		klog.V(2).InfoS("response was cut short", "request", c.id, "backend", pick.Server().Name())
		panic(http.ErrAbortHandler)
	}
	for name, values := range resp.Trailer {
		headers[name] = values
	}
	c.pool.release(pick, router.Answered)
	latency := s.clock.Now() - c.startedAt
	key := recorder.Key{Service: c.admission.Service().Name(), Workspace: c.admission.Workspace()}
	s.recorder.Latency().Answered(key, latency)
	s.counters.answered.Inc(1)
}

// truncatedResult returns the result of an attempt whose response was cut
// short. It does not count against the backend server when the caller went
// away.
func truncatedResult(ctx context.Context) router.Result {
	if ctx.Err() != nil {
		return router.Canceled
	}
	return router.Failed
}

// serverTiming returns the value of the Server-Timing header.
func serverTiming(queueTime, total time.Duration) string {
	ms := func(d time.Duration) string {
		return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 3, 64)
	}
	return "queue;dur=" + ms(queueTime) + ", total;dur=" + ms(total)
}

// copyFlushing copies a response body. When its length is unknown, each part is
// flushed as soon as it arrives.
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
