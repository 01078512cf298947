package roundtripper

import (
	"bufio"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"magnoliahill.example/magnoliahill/internal/verifier"
)

const readBufferSize = 4 << 10 // bytes

// errHeadTooLong is returned by reads beyond the limit on response heads.
var errHeadTooLong = errors.New("response head is too long")

// persistConn is a reusable connection to a backend server.
type persistConn struct {
	net.Conn
	reader    *bufio.Reader // reads from the connection through limiter
	limiter   *readLimiter
	key       string        // pool key of the backend server
	idleSince time.Duration // when the connection was returned to the pool, on the round tripper's clock; 0 if it never was
	maxIdle   time.Duration // how long the connection may be idle and still be reused
	requests  int           // that were sent on the connection
	refused   []uint64      // hashes of the ids of requests that were refused; at most maxRefused
	grown     bool          // the receive buffer is larger than receiveBuffer
	onClose   func()        // called at the first Close
	closeOnce sync.Once
}

const (
	// receiveBuffer is the size in bytes of a connection's receive buffer. The system may
	// hold up to 1.5 times as much of a response that is not read.
	receiveBuffer = 16 << 10
	// longReceiveBuffer is the same for a long response, so that it is not slowed down
	// by the distance of its server. It takes a reservation of longReceiveCost bytes.
	longReceiveBuffer = 64 << 10
	longReceiveCost   = 2 * longReceiveBuffer
)

// growBuffer makes the receive buffer larger.
func (c *persistConn) growBuffer() {
	if c.setBuffer(longReceiveBuffer) {
		c.grown = true
	}
}

// resetBuffer returns the receive buffer to its usual size.
func (c *persistConn) resetBuffer() {
	if c.grown && c.setBuffer(receiveBuffer) {
		c.grown = false
	}
}

// setBuffer sets the size of the receive buffer and reports whether it is in effect.
func (c *persistConn) setBuffer(size int) bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
		// The window of a connection with a fixed buffer has a limit of its own.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, 2*size)
	})
	return err == nil && optErr == nil
}

// Close implements net.Conn.
func (c *persistConn) Close() error {
	c.closeOnce.Do(c.onClose)
	return c.Conn.Close()
}

// maxRefused is the number of refusals after which a connection is not used again.
const maxRefused = 16

// addRefused records that a request was refused. The backend server may write that refusal
// once more when a later request is under way.
func (c *persistConn) addRefused(id string) {
	c.refused = append(c.refused, xxhash.Sum64String(id))
}

// hasRefused reports whether a request with the id may have been refused before, so that
// a repeated refusal could not be told from one of this request.
func (c *persistConn) hasRefused(id string) bool {
	return slices.Contains(c.refused, xxhash.Sum64String(id))
}

func newPersistConn(conn net.Conn, key string, onClose func()) *persistConn {
	limiter := &readLimiter{conn: conn, left: unlimited}
	return &persistConn{Conn: conn, key: key, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferSize), onClose: onClose}
}

// readLimiter bounds the bytes that are read for response heads, which the HTTP
// library reads into memory without a limit of its own.
type readLimiter struct {
	conn     net.Conn
	left     int // bytes that may still be read; unlimited outside of heads
	received int // bytes read since the current request was sent
	scanner  verifier.HeadScanner
}

const unlimited = -1

// Read implements io.Reader.
func (l *readLimiter) Read(p []byte) (int, error) {
	if l.left == 0 {
		return 0, errHeadTooLong
	}
	if l.left != unlimited {
		p = p[:min(len(p), l.left)]
	}
	n, err := l.conn.Read(p)
	l.received += n
	if l.left != unlimited {
		l.left -= n
	}
	if n, invalid := l.scanner.Scan(p[:n]); invalid != nil {
		return n, invalid
	}
	return n, verifier.ReadError(l.conn, err)
}

// expectHead makes the scanner expect the head of a response, the beginning of which may have
// been read together with what came before it.
func (c *persistConn) expectHead() error {
	c.limiter.scanner.Expect()
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	_, err = c.limiter.scanner.Scan(buffered)
	return err
}

// usable reports whether the connection is open and has no unread bytes. Bytes
// that arrived while it was idle belong to no request.
func (c *persistConn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	nothingToRead := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothingToRead = err == syscall.EAGAIN
		return true
	})
	return err == nil && nothingToRead
}
