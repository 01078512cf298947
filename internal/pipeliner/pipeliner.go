// Package pipeliner lets the requests that a caller sends ahead on one connection of
// an http.Server run side by side. The server parses all requests in order, writes
// all responses in order and closes the connection as without this package. While the
// handler of one request runs, idempotent requests that arrived behind it are started
// in the background; when the server reaches such a request, it gets the response of
// that run. Every request is given to the handler at most once.
package pipeliner

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

const (
	maxAhead       = 8        // requests started ahead on one connection whose responses the server has not reached
	lookAheadBytes = 16 << 10 // read ahead on one connection; a longer request is not started ahead
	maxRunBytes    = 64 << 10 // of a response that are held until the server reaches its request
	minStep        = 4 << 10  // of the response that the server writes, held also beyond the limit on all connections

	// Share of the memory for all connections that counts for what a waiting handler has to
	// write. A connection has at most maxAhead of these; one whose caller reads nothing
	// leaves the others memory.
	waitingDivisor = 8 * maxAhead

	defaultMemory = 8 << 20 // bytes held for all connections
)

// RunCost is the memory in bytes that a request started ahead takes beside its response:
// stacks, headers, a connection to a backend server.
const RunCost = 32 << 10

// Routes knows which requests may be executed more than once.
type Routes interface {
	// Idempotent reports whether requests with this Host header and path may be
	// executed more than once. It is called from any goroutine and must not block.
	Idempotent(host, path string) bool
}

// Pipeliner is the handler of one server. The server's connections must come from
// Listener, and its ConnContext must be that of the Pipeliner; requests on other
// connections are only passed on.
type Pipeliner struct {
	handler   http.Handler
	routes    Routes
	memory    int64        // bytes; held may exceed it by what minStep and a write of the handler add
	held      atomic.Int64 // bytes of look-ahead buffers, runs and their responses; never negative
	buffers   sync.Pool    // of *[lookAheadBytes]byte
	started   tally.Counter
	canceled  tally.Counter
	tooMany   tally.Counter
	noMemory  tally.Counter
	unmatched tally.Counter
}

// Option sets one property of a Pipeliner.
type Option func(*Pipeliner)

// WithMemory limits the bytes held for all connections. Beyond it requests run one
// after the other.
func WithMemory(bytes int64) Option {
	return func(p *Pipeliner) { p.memory = bytes }
}

// WithScope sets the scope of the counters.
func WithScope(scope tally.Scope) Option {
	return func(p *Pipeliner) { p.setScope(scope) }
}

// New returns a handler that passes requests to another one, which must end when the
// context of its request is canceled.
func New(handler http.Handler, routes Routes, options ...Option) *Pipeliner {
	p := &Pipeliner{handler: handler, routes: routes, memory: defaultMemory}
	p.buffers.New = func() any { return new([lookAheadBytes]byte) }
	p.setScope(tally.NoopScope)
	for _, option := range options {
		option(p)
	}
	return p
}

func (p *Pipeliner) setScope(scope tally.Scope) {
	fallbacks := func(reason string) tally.Counter {
		return scope.Tagged(map[string]string{"reason": reason}).Counter("requests_not_started_ahead")
	}
	p.started = scope.Counter("requests_started_ahead")
	p.canceled = scope.Counter("requests_ahead_canceled")
	p.tooMany = fallbacks("too-many")
	p.noMemory = fallbacks("no-memory")
	p.unmatched = fallbacks("unmatched")
}

// HeldBytes returns the bytes held for requests that were sent ahead.
func (p *Pipeliner) HeldBytes() int64 { return p.held.Load() }

// reserve adds bytes to those held if they are within the limit.
func (p *Pipeliner) reserve(bytes int) bool {
	for {
		held := p.held.Load()
		if held+int64(bytes) > p.memory {
			return false
		}
		if p.held.CompareAndSwap(held, held+int64(bytes)) {
			return true
		}
	}
}

// release subtracts bytes from those held.
func (p *Pipeliner) release(bytes int) { p.held.Add(-int64(bytes)) }

type connKey struct{}

// ConnContext adds the connection to the context of its requests; it is an
// http.Server.ConnContext callback.
func (p *Pipeliner) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	c, ok := nc.(*conn)
	if !ok {
		return ctx
	}
	c.base = context.WithValue(ctx, connKey{}, c)
	return c.base
}

// Listener returns a listener for the server that accepts the connections of another one.
func (p *Pipeliner) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, pipeliner: p}
}

type listener struct {
	net.Listener
	pipeliner *Pipeliner
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, pipeliner: l.pipeliner}, nil
}

// HasAhead reports whether a connection that a Listener accepted holds a complete
// request that the server has not reached, or one that was started ahead. It may be
// called from http.Server.ConnState.
func HasAhead(nc net.Conn) bool {
	c, ok := nc.(*conn)
	return ok && c.hasAhead()
}

// ServeHTTP implements http.Handler.
func (p *Pipeliner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		p.handler.ServeHTTP(w, r)
		return
	}
	started := c.begin(r)
	defer c.end()
	if started != nil {
		started.copyTo(w)
		return
	}
	c.writer = directWriter{ResponseWriter: w, conn: c}
	p.handler.ServeHTTP(&c.writer, r)
	c.writer.settle()
}
