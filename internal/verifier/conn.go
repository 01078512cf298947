package verifier

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// tcpClose is the state TCP_CLOSE of a socket: of one that this process has not closed, it
// says that the other side has reset the connection.
const tcpClose = 7

// End is what is known of the end of a connection.
type End int

// Ends of a connection of which a read has returned io.EOF.
const (
	EndUnknown End = iota
	EndOrderly     // the other side has closed its direction, and has not reset the connection since
	EndReset
)

// EndOf returns how the other side has ended a connection. The system reports a reset once,
// to whichever call comes first; if that is a write, the next read returns io.EOF.
func EndOf(conn net.Conn) End {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return EndUnknown
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return EndUnknown
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	switch {
	case controlErr != nil:
		return EndReset // this process closes a connection while it reads only after a failed write
	case err != nil:
		return EndUnknown
	case info.State == tcpClose:
		return EndReset
	}
	return EndOrderly
}

// ReadError returns the error of a read from a connection: that of a reset instead of io.EOF
// if the connection was reset.
func ReadError(conn net.Conn, err error) error {
	if err == io.EOF && EndOf(conn) == EndReset {
		return errors.Wrap(syscall.ECONNRESET, "reading after a reset")
	}
	return err
}

// Conn is a connection of an HTTP client. Its reads return io.EOF only if the other side has
// not reset it, as far as that is known, and ErrInvalid in a head whose framing is faulty.
type Conn struct {
	net.Conn
	scanner HeadScanner // of the reader
	wrote   atomic.Bool // since the reader last looked
	invalid error       // of the reader; nothing is read after it
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.wrote.Store(true)
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.invalid != nil {
		return 0, c.invalid
	}
	n, err := c.Conn.Read(p)
	if c.wrote.Swap(false) && c.scanner.Ended() {
		c.scanner.Expect()
	}
	if n, c.invalid = c.scanner.Scan(p[:n]); c.invalid != nil {
		return n, c.invalid
	}
	return n, ReadError(c.Conn, err)
}

// DialFunc opens connections, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that opens connections of type Conn.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: conn}, nil
	}
}
