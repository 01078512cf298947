package pipeliner

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// conn is a caller's connection. The server reads from it the bytes of one request at a
// time. While a handler runs, the server waits in a read of a single byte, to notice
// that the caller leaves; in that time conn reads ahead into its buffer instead, so that
// no goroutine of its own is needed.
type conn struct {
	net.Conn
	pipeliner *Pipeliner
	base      context.Context // of the server for this connection; set before the first read
	writer    directWriter    // of the request that the handler serves without a run

	mu      sync.Mutex
	framer  framer
	buffer  []byte // nil if no bytes are held; from the pool if its length is lookAheadBytes
	first   int    // index of the first byte in the buffer that was not handed out
	limit   int    // index after the last byte in the buffer
	offered bool   // the byte before the first one is that of a head, and was handed out by readAhead
	reading bool   // the server is in Read
	readErr error  // the caller has left; no more bytes are handed out

	remote    string             // caller's address, once a run needed it
	ctx       context.Context    // of all runs; nil before the first one
	cancelCtx context.CancelFunc // nil if ctx is
	served    servedRequest
	parsed    int    // index in the buffer up to which heads were started
	barred    bool   // the request at parsed must wait for its turn
	counted   bool   // a fallback was counted for the request at parsed
	closing   bool   // a response has announced, or will announce, that the connection closes
	queue     []*run // started requests that the server has not read, in order; at most maxAhead
	reached   *run   // started request whose head the server has read last
	current   *run   // run whose response the server writes
}

// servedRequest is the request that the server's handler serves at the moment.
type servedRequest struct {
	active     bool
	host, path string
	known      bool // idempotent is valid
	idempotent bool // others may run beside it
}

var errClosed = errors.New("connection is closed")

// Read implements net.Conn for the server.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	// A head is read into a buffer, so a single byte is asked for only to notice that
	// the caller leaves.
	ahead := len(p) == 1 && c.framer.atBoundary()
	c.mu.Unlock()
	var n int
	var err error
	if ahead {
		n, err = c.readAhead(p)
	} else {
		n, err = c.readCurrent(p)
	}
	c.mu.Lock()
	c.reading = false
	if c.readErr != nil || c.first == c.limit {
		c.freeBuffer()
	}
	c.mu.Unlock()
	return n, err
}

// readCurrent reads bytes of the request that the server reads.
func (c *conn) readCurrent(p []byte) (int, error) {
	c.mu.Lock()
	if c.readErr != nil {
		defer c.mu.Unlock()
		return 0, c.readErr
	}
	if c.first < c.limit {
		defer c.mu.Unlock()
		return c.handOut(p), nil
	}
	p = p[:min(len(p), lookAheadBytes)]
	if c.framer.state == inBody {
		p = p[:min(int64(len(p)), c.framer.left)]
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, c.readFailed(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.framer.take(p[:n])
	if taken < n {
		c.keep(p[taken:n])
	}
	c.passBoundary()
	return taken, nil
}

// handOut copies bytes from the buffer to the server's.
func (c *conn) handOut(p []byte) int {
	c.offered = false
	n := c.framer.take(c.buffer[c.first:min(c.limit, c.first+len(p))])
	copy(p, c.buffer[c.first:c.first+n])
	c.first += n
	c.passBoundary()
	return n
}

// keep copies bytes to the buffer, which is empty. If there is no memory for reading
// ahead, the buffer has room only for these bytes, which have to be kept.
func (c *conn) keep(p []byte) {
	if c.pipeliner.reserve(lookAheadBytes) {
		c.buffer = c.pipeliner.buffers.Get().(*[lookAheadBytes]byte)[:]
	} else {
		c.buffer = make([]byte, len(p))
		c.pipeliner.held.Add(int64(len(p)))
		c.pipeliner.noMemory.Inc(1)
	}
	c.first, c.parsed = 0, 0
	c.limit = copy(c.buffer, p)
}

// passBoundary notes that bytes were handed out: if they end a head that was started
// ahead, its run is the one that the server begins next.
func (c *conn) passBoundary() {
	if c.first > c.parsed || c.buffer == nil {
		c.parsed, c.barred, c.counted = c.first, false, false
	}
	if !c.framer.atBoundary() || len(c.queue) == 0 {
		return
	}
	if c.reached != nil {
		c.reached.abort()
	}
	c.reached, c.queue = c.queue[0], c.queue[1:]
}

// readAhead reads into the buffer until the read is interrupted by its deadline, or the
// caller leaves; if there is no room, it only waits for these. On a connection without a
// socket it returns a byte if there is no room; the server then notices by its next write
// that the caller has left, as it does without this package.
func (c *conn) readAhead(p []byte) (int, error) {
	c.mu.Lock()
	if c.readErr != nil {
		defer c.mu.Unlock()
		return 0, c.readErr
	}
	if c.first == c.limit {
		c.mu.Unlock()
		n, err := c.Conn.Read(p)
		if n == 0 {
			return 0, c.readFailed(err)
		}
		c.mu.Lock()
		c.keep(p)
	}
	for {
		c.start()
		c.compact()
		if c.limit == len(c.buffer) {
			c.mu.Unlock()
			if err := waitUntilLeft(c.Conn); err != nil {
				return 0, c.readFailed(err)
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			p[0] = c.buffer[0]
			c.first = c.framer.take(p)
			c.offered = true
			return 1, nil
		}
		room := c.buffer[c.limit:]
		c.mu.Unlock()
		n, err := c.Conn.Read(room)
		if n == 0 {
			return 0, c.readFailed(err)
		}
		c.mu.Lock()
		c.limit += n
	}
}

// compact moves the buffered bytes to the beginning of the buffer.
func (c *conn) compact() {
	if c.first == 0 {
		return
	}
	copy(c.buffer, c.buffer[c.first:c.limit])
	c.limit -= c.first
	c.parsed -= c.first
	c.first = 0
}

// readFailed notes why nothing was read. After any error but that of a deadline the
// caller has left: nothing more is handed out, and its runs are canceled.
func (c *conn) readFailed(err error) error {
	if timeout, ok := err.(net.Error); err == nil || ok && timeout.Timeout() {
		return err
	}
	c.leave(err)
	return err
}

// leave cancels all runs. Reads return err from now on.
func (c *conn) leave(err error) {
	c.mu.Lock()
	if c.readErr == nil {
		c.readErr = err
	}
	canceled := append(c.queue, c.reached, c.current)
	c.queue, c.reached = nil, nil
	if !c.reading {
		c.freeBuffer()
	}
	cancel := c.cancelCtx
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	for _, r := range canceled {
		if r != nil {
			r.abort()
		}
	}
}

func (c *conn) freeBuffer() {
	if c.buffer == nil {
		return
	}
	if len(c.buffer) == lookAheadBytes {
		c.pipeliner.buffers.Put((*[lookAheadBytes]byte)(c.buffer))
	}
	c.pipeliner.release(len(c.buffer))
	c.buffer, c.first, c.limit, c.parsed, c.offered = nil, 0, 0, 0, false
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.leave(err)
	}
	return n, err
}

// NetConn returns the connection of the wrapped listener.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side, which the server does before it closes the
// connection after some errors.
func (c *conn) CloseWrite() error {
	c.leave(errClosed)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.leave(errClosed)
	return c.Conn.Close()
}

// HasUnread reports whether the connection holds bytes that the server has not read, or a
// request that was started ahead.
func (c *conn) HasUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0 || c.reached != nil || c.first < c.limit || c.offered
}

// hasAhead implements HasAhead.
func (c *conn) hasAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 || c.reached != nil {
		return true
	}
	if c.first == c.limit {
		return false
	}
	_, progress := findHeadEnd(c.buffer[c.first:c.limit], c.framer.lineEnd)
	return progress == headEnded
}

// begin notes that the server has called the handler. It returns the run of the request
// if it was started ahead.
func (c *conn) begin(r *http.Request) *run {
	_, upgrade := r.Header["Upgrade"]
	c.mu.Lock()
	defer c.mu.Unlock()
	started := c.reached
	c.reached = nil
	if started != nil && !started.isFor(r) {
		c.pipeliner.unmatched.Inc(1)
		started.abort()
		started = nil
	}
	c.current = started
	c.framer.expectBody(bodyLength(r))
	c.served = servedRequest{active: true, host: r.Host, path: r.URL.Path}
	switch {
	case started != nil:
		c.served.known, c.served.idempotent = true, true
	case upgrade || r.Close || !r.ProtoAtLeast(1, 1):
		c.served.known = true
	}
	c.start()
	return started
}

// bodyLength returns the length of a request's body, or -1 if it is chunked.
func bodyLength(r *http.Request) int64 {
	if len(r.TransferEncoding) > 0 {
		return -1
	}
	return r.ContentLength
}

// end notes that the handler has returned.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = nil
	c.served = servedRequest{}
	c.writer = directWriter{}
}

// settleClose is called before a response is sent. After a response that announces that
// the connection closes no more requests are started; the announcement is left to the
// last response that was started, since backend servers may be at work on all of them.
func (c *conn) settleClose(headers http.Header) {
	asks := asksToClose(headers)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || asks
	switch {
	case !c.closing:
	case len(c.queue) > 0:
		headers.Del("Connection")
	default:
		headers.Set("Connection", "close")
	}
}
