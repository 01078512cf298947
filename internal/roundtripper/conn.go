package roundtripper

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

const readBufferSize = 4 << 10 // bytes

// persistConn is a reusable connection to a backend server.
type persistConn struct {
	net.Conn
	reader    *bufio.Reader
	key       string        // pool key of the backend server
	idleSince time.Time     // when the connection was returned to the pool
	maxIdle   time.Duration // how long the connection may be idle and still be reused
}

func newPersistConn(conn net.Conn, key string) *persistConn {
	return &persistConn{Conn: conn, key: key, reader: bufio.NewReaderSize(conn, readBufferSize)}
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
