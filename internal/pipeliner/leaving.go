package pipeliner

import (
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// waitUntilLeft waits on a connection from which nothing more is read until the caller
// has ended its stream or reset the connection, and returns io.EOF then. It returns the
// error of the connection's read deadline when that is over, and nil at once if the
// connection has no socket.
func waitUntilLeft(nc net.Conn) error {
	socket, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	// Read calls the function again whenever more has arrived.
	if err := raw.Read(hasLeft); err != nil {
		return err
	}
	return io.EOF
}

func hasLeft(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return n > 0 && err == nil // POLLERR and POLLHUP are always reported
}
