package acceptor

import (
	"container/list"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// maxWrite is the most that is written at a time, so that a slow client of a long response
// is seen to make progress.
const maxWrite = 64 << 10

const headTooLong = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// After a head that is too long so much is read on, for so long at most.
const (
	rejectBytes   = 256 << 10
	rejectTimeout = 500 * time.Millisecond
)

// errHeadTooLong is of a kind to which the server adds no response of its own.
var errHeadTooLong error = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("request head is longer than the limit")}

// conn is a client's connection. The acceptor's lock guards the fields from place to grown.
type conn struct {
	net.Conn
	acceptor  *Acceptor
	place     *list.Element // in a list of the acceptor; nil while a request is served
	since     time.Time     // when the connection was accepted, or the head under way began
	serving   bool          // a request was read, and the server does not wait for the next one yet
	answered  bool          // a request was served
	headBytes int64         // read of the head under way
	bodyBytes int64         // read while the request is served
	grown     bool          // the receive buffer is that for long bodies

	writingSince atomic.Int64 // nanoseconds after the acceptor's start since which a write waits; 0 if none does

	readSince atomic.Bool // bytes were read since the last write

	rejected atomic.Bool // the client was told that the head is too long; nothing else is read or written

	// The deadline in force is never later than the one that the server has set.
	mu         sync.Mutex
	readLimit  time.Time // deadline of reads that the server has set; zero if there is none
	writeLimit time.Time // the same of writes
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.rejected.Load() {
		return 0, errHeadTooLong
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.readSince.Store(true)
	limits, first, headErr := c.acceptor.addHead(c, n)
	if headErr == errHeadTooLong {
		c.reject()
	}
	if headErr != nil {
		return 0, headErr
	}
	if first && limits.Timeout > 0 {
		c.limitHead(time.Now().Add(limits.Timeout))
	}
	return n, err
}

// reject responds to a request whose head is too long, and reads on for a moment: closing a
// connection with unread bytes resets it, which may destroy the response.
func (c *conn) reject() {
	c.rejected.Store(true)
	// All of these fail if the client has left, and then have no effect.
	_ = c.Conn.SetDeadline(time.Now().Add(rejectTimeout))
	_, _ = io.WriteString(c.Conn, headTooLong)
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.Conn, rejectBytes)
}

// SetReadDeadline implements net.Conn. Within a head the deadline is not later than the limit
// on the head's time.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.acceptor.mu.Lock()
	within, timeout := c.headBytes > 0, c.acceptor.limits.Timeout
	c.acceptor.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readLimit = t
	if latest := time.Now().Add(timeout); within && timeout > 0 && t.After(latest) {
		t = latest
	}
	return c.Conn.SetReadDeadline(t)
}

// limitHead sets the deadline of reads to the latest end of a head, unless the server has set
// an earlier one: it ends reads that it waits for in this way.
func (c *conn) limitHead(latest time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readLimit.IsZero() || c.readLimit.After(latest) {
		_ = c.Conn.SetReadDeadline(latest) // fails on a closed connection, as the next read does
	}
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeLimit = t
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Write implements net.Conn. It fails if the client takes no byte for the stall timeout: if
// nothing was written and nothing more was acknowledged between two deadlines.
func (c *conn) Write(p []byte) (int, error) {
	if c.rejected.Load() {
		return 0, errHeadTooLong
	}
	c.readSince.Store(false)
	defer c.writingSince.Store(0)
	written, unsent := 0, notKnown // unsent is that at the last deadline, if nothing was written since
	for {
		now := time.Now()
		c.writingSince.Store(max(1, int64(now.Sub(c.acceptor.start))))
		limited, err := c.extendWriteDeadline(now)
		if err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+maxWrite)])
		written += n
		switch {
		case err == nil && written == len(p):
			return written, nil
		case err == nil:
			unsent = notKnown
			continue
		case limited || !errors.Is(err, os.ErrDeadlineExceeded):
			return written, err
		}
		before := unsent
		unsent = c.unsent()
		if n == 0 && before != notKnown && unsent >= before {
			return written, err
		}
	}
}

const notKnown = -1

// extendWriteDeadline sets the deadline of a write, and reports whether it is the one that
// the server has set.
func (c *conn) extendWriteDeadline(now time.Time) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	timeout := c.acceptor.stallTimeout
	latest := now.Add(timeout)
	if timeout == 0 || !c.writeLimit.IsZero() && c.writeLimit.Before(latest) {
		return true, c.Conn.SetWriteDeadline(c.writeLimit)
	}
	return false, c.Conn.SetWriteDeadline(latest)
}

// setReadBuffer sets the size of the receive buffer in bytes; 0 leaves it as it is.
func (c *conn) setReadBuffer(bytes int) {
	if tcp, ok := c.Conn.(interface{ SetReadBuffer(int) error }); ok && bytes > 0 {
		_ = tcp.SetReadBuffer(bytes) // fails if the client has left, as the next read does
	}
}

// unsent returns the bytes that were written and that the client has not acknowledged, or 0
// if that is not known.
func (c *conn) unsent() int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	if err := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil || n < 0 {
		return 0
	}
	return n
}

var errNoSocket = errors.New("connection has no socket")

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	return socket.SyscallConn()
}

// CloseWrite closes the sending side, which the server does before it closes the connection
// after some errors.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.acceptor.mu.Lock()
	c.acceptor.remove(c)
	c.acceptor.mu.Unlock()
	return c.Conn.Close()
}
