package exchanger

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

const readBuffer = 4 << 10 // bytes

// link is one connection to a backend server.
type link struct {
	net.Conn
	reader  *bufio.Reader
	key     string        // pool it belongs to
	idle    time.Time     // since when it is in the pool
	allowed time.Duration // how long it may stay idle and still be used
}

func newLink(conn net.Conn, key string) *link {
	return &link{Conn: conn, key: key, reader: bufio.NewReaderSize(conn, readBuffer)}
}

// clean reports whether the connection is open with nothing to read: bytes that
// came while it was idle belong to no request.
func (l *link) clean() bool {
	if l.reader.Buffered() > 0 {
		return false
	}
	raw, ok := l.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = err == syscall.EAGAIN
		return true
	})
	return err == nil && waiting
}
