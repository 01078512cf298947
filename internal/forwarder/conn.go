package forwarder

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

var errSealed = errors.New("connection is sealed after a failed request")

// conn counts what was written, so that a failed request can be proven not to
// have left the host.
type conn struct {
	net.Conn
	mu      sync.Mutex
	written int64 // bytes handed to the kernel; grows only
	sealed  bool
}

// Write writes unless the connection was sealed.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, errSealed
	}
	// Counted first: a failed write may have sent a part.
	c.written += int64(len(p))
	return c.Conn.Write(p)
}

func (c *conn) mark() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal forbids all later writes and reports whether any were made since a mark.
func (c *conn) seal(mark int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written > mark
}

func dialer(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: raw}, nil
	}
}
