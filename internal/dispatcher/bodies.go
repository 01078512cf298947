package dispatcher

import (
	"net/http"
	"sync/atomic"
	"time"

	"magnoliahill.example/magnoliahill/internal/admitter"
	"magnoliahill.example/magnoliahill/internal/forwarder"
	"magnoliahill.example/magnoliahill/pkg/header"
)

// responseShare is the share of the memory for bodies up to which responses may use it, so
// that they leave room for requests.
const responseShare = 0.5

// Long request bodies leave a share of the memory to bodies of at most shortBodyBytes:
// clients that send slowly could hold all of it otherwise.
const (
	longBodyShare  = 0.875
	shortBodyBytes = 4 << 10
)

// bodyBudget bounds the bytes of request and response bodies that the host holds at one
// time. A host with little memory may have thousands of connections, each with an upload or
// with a response whose body does not end.
type bodyBudget struct {
	limit     int64        // bytes; 0 means no limit
	held      atomic.Int64 // of all bodies
	responses atomic.Int64 // of response bodies; not more than held
}

// reserve reserves bytes for a request body and reports whether they are within the limit. A
// single body is always accepted.
func (b *bodyBudget) reserve(bytes int64) bool {
	held := b.held.Add(bytes)
	limit := b.limit
	if bytes > shortBodyBytes {
		limit = int64(longBodyShare * float64(limit))
	}
	if b.limit > 0 && held > limit && held > bytes {
		b.held.Add(-bytes)
		return false
	}
	return true
}

func (b *bodyBudget) release(bytes int64) { b.held.Add(-bytes) }

// reserveResponse reserves bytes for a response body and reports whether they are within the
// share of responses.
func (b *bodyBudget) reserveResponse(bytes int64) bool {
	if held := b.held.Add(bytes); b.limit > 0 && held > int64(responseShare*float64(b.limit)) {
		b.held.Add(-bytes)
		return false
	}
	b.responses.Add(bytes)
	return true
}

func (b *bodyBudget) releaseResponse(bytes int64) {
	b.responses.Add(-bytes)
	b.release(bytes)
}

// reserveResponse reserves bytes for the body of a response until the call ends. Without
// memory the response is forwarded while it arrives.
func (c *call) reserveResponse(bytes int64) bool {
	if !c.reserveBuffer(bytes) {
		c.dispatcher.scope.Counter("responses_beyond_memory").Inc(1)
		return false
	}
	return true
}

// reserveBuffer reserves bytes for a response until the call ends, for what only makes it
// faster.
func (c *call) reserveBuffer(bytes int64) bool {
	if !c.dispatcher.bodies.reserveResponse(bytes) {
		return false
	}
	c.responseBytes += bytes
	return true
}

// readBody buffers a short body before the request is sent, so that no backend
// server waits for a slow caller.
func (c *call) readBody() *admitter.Refusal {
	c.body = forwarder.NewBody(c.r.Body)
	if c.r.ContentLength == 0 {
		return nil
	}
	size := int64(forwarder.MaxBuffered)
	if c.r.ContentLength > 0 {
		size = min(size, c.r.ContentLength)
	}
	if !c.dispatcher.bodies.reserve(size) {
		return unavailable(header.ReasonNoMemory, "the host holds too many request bodies", c.retryAfter(0))
	}
	c.bodyBytes = size
	if err := c.setReadDeadline(c.route.Timeout()); err != nil {
		return admitter.RefuseNotRun(http.StatusBadRequest, header.ReasonBadRequest, "the body cannot be read", 0)
	}
	_, err := c.body.Prefetch()
	if err == nil {
		err = http.NewResponseController(c.w).SetReadDeadline(time.Time{})
	}
	if err != nil {
		return admitter.RefuseNotRun(http.StatusRequestTimeout, header.ReasonBadRequest, "the body did not arrive", 0)
	}
	return nil
}

// setReadDeadline limits the time in which the rest of the request must arrive.
// The HTTP server removes the limit before the connection's next request.
func (c *call) setReadDeadline(limit time.Duration) error {
	return http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(limit))
}
