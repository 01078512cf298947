package pipeliner

import (
	"context"
	"net/http"
)

// start starts the requests at the beginning of the buffer that may run beside the one
// being served. The caller holds c.mu.
func (c *conn) start() {
	for c.mayStart() {
		n, progress := findHeadEnd(c.buffer[c.parsed:c.limit], 0)
		if progress != headEnded {
			return
		}
		if !c.servedIdempotent() {
			return
		}
		if len(c.queue) >= maxAhead {
			c.countFallback(c.pipeliner.tooMany.Inc)
			return
		}
		r, err := parsePlain(c.buffer[c.parsed : c.parsed+n])
		if err != nil || !c.pipeliner.routes.Idempotent(r.Host, r.URL.Path) {
			c.barred = true
			return
		}
		if !c.pipeliner.reserve(RunCost) {
			c.countFallback(c.pipeliner.noMemory.Inc)
			return
		}
		c.parsed += n
		c.counted = false
		c.barred = r.Close // nothing is to be read behind it
		c.queue = append(c.queue, c.run(r))
		c.pipeliner.started.Inc(1)
	}
}

// mayStart reports whether requests in the buffer may be started, by all that does not
// depend on the requests.
func (c *conn) mayStart() bool {
	return c.parsed < c.limit && c.served.active && !c.barred && !c.closing && c.readErr == nil && (c.framer.atBoundary() || c.offered)
}

// servedIdempotent reports whether other requests may run beside the one being served.
func (c *conn) servedIdempotent() bool {
	if !c.served.known {
		c.served.known = true
		c.served.idempotent = c.pipeliner.routes.Idempotent(c.served.host, c.served.path)
	}
	return c.served.idempotent
}

// countFallback counts once that the request at parsed has to wait although it could be
// started.
func (c *conn) countFallback(count func(int64)) {
	if !c.counted {
		c.counted = true
		count(1)
	}
}

// run starts a request in the background. Its memory is reserved.
func (c *conn) run(r *http.Request) *run {
	if c.ctx == nil {
		ctx := context.WithValue(c.base, http.LocalAddrContextKey, c.LocalAddr())
		c.ctx, c.cancelCtx = context.WithCancel(ctx)
		if address := c.RemoteAddr(); address != nil {
			c.remote = address.String()
		}
	}
	ctx, cancel := context.WithCancel(c.ctx)
	started := newRun(c, r.WithContext(ctx), cancel)
	started.request.RemoteAddr = c.remote
	go started.serve()
	return started
}
