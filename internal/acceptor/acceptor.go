// Package acceptor accepts the connections of an http.Server within limits on their
// number, on the memory for request heads and on the time for which a client may take no
// byte of a response. At a limit it closes connections on which nothing happens rather
// than refuse new ones.
package acceptor

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"
)

const (
	// newConnGrace is how long a connection may take to send its first request before it is
	// closed in favour of a new one.
	newConnGrace = time.Second
	// stallGrace is the same for a write that waits for the client to read.
	stallGrace = time.Second
	// stallSearchInterval bounds the time spent searching for such clients.
	stallSearchInterval = 100 * time.Millisecond

	logInterval = time.Second // between log lines of connections closed at a limit
)

// reason is why a connection was closed at a limit.
type reason string

const (
	reasonSilent  reason = "silent"  // it has sent no whole request
	reasonIdle    reason = "idle"    // it has waited the longest since its last response
	reasonStalled reason = "stalled" // a write waits for its client to read
	reasonRefused reason = "refused" // it is new, and all others are in use
	reasonHeads   reason = "heads"   // request heads take too much memory
)

// Acceptor is the listener of one server. The server's Handler, ConnContext and ConnState must
// be those of the Acceptor, or call them.
type Acceptor struct {
	net.Listener
	maxConns     int           // 0 means no limit
	maxHeadBytes int64         // of all request heads that are being read; 0 means no limit
	readBuffer   int           // bytes of each connection's receive buffer; 0 leaves it to the system
	bodyBuffer   int           // the same while a long request body is read
	maxGrown     int           // connections that may have a buffer of bodyBuffer
	stallTimeout time.Duration // how long a client may take no byte of a response; 0 means no limit
	scope        tally.Scope
	start        time.Time

	mu        sync.Mutex
	open      map[*conn]bool
	waiting   *list.List // of *conn: those that have not sent a whole request, by when they were accepted or began to
	idle      *list.List // of *conn: those that wait for the next request, by when they began to
	headBytes int64      // sum of the connections' headBytes
	grown     int        // connections that have a buffer of bodyBuffer; not more than maxGrown
	limits    HeadLimits
	searched  time.Time      // last search for stalled clients
	logged    time.Time      // last log line
	closed    map[reason]int // connections since then
}

// HeadLimits are limits on the head of one request. Zero values set no limit.
type HeadLimits struct {
	Bytes   int
	Timeout time.Duration // from the first byte to the last
}

// Option sets one property of an Acceptor.
type Option func(*Acceptor)

// WithMaxConns limits the number of open connections.
func WithMaxConns(n int) Option { return func(a *Acceptor) { a.maxConns = n } }

// WithMaxHeadBytes limits the bytes of all request heads that are being read.
func WithMaxHeadBytes(n int64) Option { return func(a *Acceptor) { a.maxHeadBytes = n } }

// WithReadBuffer sets the size of each connection's receive buffer in bytes. The system does
// not let it grow then.
func WithReadBuffer(bytes int) Option { return func(a *Acceptor) { a.readBuffer = bytes } }

// WithBodyBuffer sets the size of the receive buffer in bytes while a request body longer than
// the usual buffer is read, for at most n connections at a time.
func WithBodyBuffer(bytes, n int) Option {
	return func(a *Acceptor) { a.bodyBuffer, a.maxGrown = bytes, n }
}

// WithStallTimeout sets how long a client may take no byte of a response. A slow client that
// takes some is not affected.
func WithStallTimeout(d time.Duration) Option { return func(a *Acceptor) { a.stallTimeout = d } }

// WithScope sets the scope of the counters.
func WithScope(scope tally.Scope) Option { return func(a *Acceptor) { a.scope = scope } }

// New returns a listener that accepts the connections of another one.
func New(l net.Listener, options ...Option) *Acceptor {
	a := &Acceptor{
		Listener: l, start: time.Now(), scope: tally.NoopScope,
		open: map[*conn]bool{}, waiting: list.New(), idle: list.New(), closed: map[reason]int{},
	}
	for _, option := range options {
		option(a)
	}
	return a
}

// SetHeadLimits sets the limits on the head of each request.
func (a *Acceptor) SetHeadLimits(limits HeadLimits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits = limits
}

// Accept implements net.Listener.
func (a *Acceptor) Accept() (net.Conn, error) {
	for {
		nc, err := a.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc, acceptor: a}
		c.setReadBuffer(a.readBuffer)
		if a.add(c) {
			return c, nil
		}
		_ = nc.Close()
	}
}

// add adds a connection, for which another one is closed at the limit. It returns false if
// there is none to close.
func (a *Acceptor) add(c *conn) bool {
	now := time.Now()
	a.mu.Lock()
	var victim *conn
	if a.maxConns > 0 && len(a.open) >= a.maxConns {
		var why reason
		victim, why = a.victim(now)
		a.count(now, why)
		if victim == nil {
			a.mu.Unlock()
			return false
		}
		a.remove(victim)
	}
	a.open[c] = true
	c.since = now
	c.place = a.waiting.PushBack(c)
	a.mu.Unlock()
	if victim != nil {
		_ = victim.Conn.Close()
	}
	return true
}

// victim returns the connection to close in favour of a new one: the first one that should
// have sent a request by now, the one that was idle the longest, or the one on which a write
// waits the longest. It returns nil if there is none. The caller holds the lock.
func (a *Acceptor) victim(now time.Time) (*conn, reason) {
	if first := a.waiting.Front(); first != nil && now.Sub(first.Value.(*conn).since) >= newConnGrace {
		return first.Value.(*conn), reasonSilent
	}
	if first := a.idle.Front(); first != nil {
		return first.Value.(*conn), reasonIdle
	}
	if now.Sub(a.searched) < stallSearchInterval {
		return nil, reasonRefused
	}
	a.searched = now
	var longest *conn
	var since time.Duration
	for c := range a.open {
		if s := time.Duration(c.writingSince.Load()); s != 0 && (longest == nil || s < since) {
			longest, since = c, s
		}
	}
	if longest == nil || now.Sub(a.start)-since < stallGrace {
		return nil, reasonRefused
	}
	return longest, reasonStalled
}

// count counts and logs a connection that is closed at a limit. The caller holds the lock.
func (a *Acceptor) count(now time.Time, why reason) {
	a.scope.Tagged(map[string]string{"reason": string(why)}).Counter("connections_closed_at_limit").Inc(1)
	a.closed[why]++
	if now.Sub(a.logged) < logInterval {
		return
	}
	a.logged = now
	klog.InfoS("connections closed at limit", "listener", a.Addr().String(), "open", len(a.open), "limit", a.maxConns,
		"headBytes", a.headBytes, "headLimit", a.maxHeadBytes, "closed", a.closed)
	clear(a.closed)
}

// remove removes a connection that is open no more. The caller holds the lock.
func (a *Acceptor) remove(c *conn) {
	if !a.open[c] {
		return
	}
	delete(a.open, c)
	a.unlist(c)
	a.endHead(c)
	a.shrink(c)
}

// endHead notes that no head is under way on a connection. The caller holds the lock.
func (a *Acceptor) endHead(c *conn) {
	a.headBytes -= c.headBytes
	c.headBytes = 0
}

// unlist takes a connection off its list. The caller holds the lock.
func (a *Acceptor) unlist(c *conn) {
	if c.place == nil {
		return
	}
	a.waiting.Remove(c.place) // has no effect if the element is of the other list
	a.idle.Remove(c.place)
	c.place = nil
}

type connKey struct{}

// ConnContext adds the connection to the context of its requests; it is an
// http.Server.ConnContext callback. The connection may be wrapped by others that have a
// method NetConn.
func (a *Acceptor) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	if c, _ := unwrap(nc); c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// ConnState notes on which connections the server waits for the next request: the last
// response is written then. It is an http.Server.ConnState callback.
func (a *Acceptor) ConnState(nc net.Conn, state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	if c, ahead := unwrap(nc); c != nil {
		a.end(c, ahead)
	}
}

// unwrap returns the connection that others wrap, or nil, and whether one of these holds bytes
// that the server has not read.
func unwrap(nc net.Conn) (c *conn, ahead bool) {
	for {
		if reader, ok := nc.(interface{ HasUnread() bool }); ok && reader.HasUnread() {
			ahead = true
		}
		switch wrapped := nc.(type) {
		case *conn:
			return wrapped, ahead
		case interface{ NetConn() net.Conn }:
			nc = wrapped.NetConn()
		default:
			return nil, false
		}
	}
}

// Handler returns a handler that notes on which connections the server reads no head.
func (a *Acceptor) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		a.begin(c)
		next.ServeHTTP(w, r)
	})
}

// begin notes that the head of a request was read.
func (a *Acceptor) begin(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c.serving = true
	a.unlist(c)
	a.endHead(c)
}

// end notes that the server waits for the next request of a connection. If bytes of it were
// read ahead, its head is under way.
func (a *Acceptor) end(c *conn, ahead bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !c.serving || !a.open[c] {
		return
	}
	c.serving, c.answered, c.bodyBytes = false, true, 0
	if a.shrink(c) {
		c.setReadBuffer(a.readBuffer)
	}
	if ahead || c.readSince.Load() {
		c.since = time.Now()
		c.place = a.waiting.PushBack(c)
		return
	}
	c.place = a.idle.PushBack(c)
}

// addHead adds bytes that were read of a head, and returns the limits on it, whether they are
// its first bytes, and why they must not be used. If all heads take too much memory, it closes
// the connections whose heads have been under way the longest. Bytes that are read while a
// request is served are those of its body, or were sent ahead.
func (a *Acceptor) addHead(c *conn, n int) (limits HeadLimits, first bool, err error) {
	a.mu.Lock()
	if !a.open[c] {
		a.mu.Unlock()
		return HeadLimits{}, false, net.ErrClosed
	}
	if c.serving {
		a.addBody(c, n)
		a.mu.Unlock()
		return HeadLimits{}, false, nil
	}
	if first = c.headBytes == 0; first && c.answered {
		a.unlist(c)
		c.since = time.Now()
		c.place = a.waiting.PushBack(c)
	}
	c.headBytes += int64(n)
	a.headBytes += int64(n)
	limits = a.limits
	if limits.Bytes > 0 && c.headBytes > int64(limits.Bytes+headSlack) {
		err = errHeadTooLong
	}
	victims := a.headVictims()
	a.mu.Unlock()
	for _, victim := range victims {
		_ = victim.Conn.Close()
	}
	return limits, first, err
}

// addBody adds bytes that were read while a request was served, and makes the buffer of a
// connection with a long body larger. The caller holds the lock.
func (a *Acceptor) addBody(c *conn, n int) {
	c.bodyBytes += int64(n)
	if c.bodyBytes > int64(a.readBuffer) && !c.grown && a.grown < a.maxGrown {
		c.grown = true
		a.grown++
		c.setReadBuffer(a.bodyBuffer)
	}
}

// shrink reports whether a connection had a larger buffer, which counts no more. The caller
// holds the lock.
func (a *Acceptor) shrink(c *conn) bool {
	if !c.grown {
		return false
	}
	c.grown = false
	a.grown--
	return true
}

// headSlack is what a head may have beyond the limit: a server reads ahead.
const headSlack = 4 << 10

// headVictims removes and returns the connections to close until all heads are within the
// limit. The caller holds the lock.
func (a *Acceptor) headVictims() []*conn {
	var victims []*conn
	for place := a.waiting.Front(); place != nil && a.maxHeadBytes > 0 && a.headBytes > a.maxHeadBytes; {
		c := place.Value.(*conn)
		place = place.Next()
		if c.headBytes > 0 {
			a.count(time.Now(), reasonHeads)
			a.remove(c)
			victims = append(victims, c)
		}
	}
	return victims
}
