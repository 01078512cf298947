package forwarder

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/verifier"
)

var errSealed = errors.New("connection is sealed after a failed request")

// conn counts the bytes written to a connection. When no byte of a failed request
// was written, the request cannot have reached the backend server.
type conn struct {
	net.Conn
	mu      sync.Mutex
	written int64 // bytes passed to Conn.Write; never decreases
	sealed  bool  // all later writes fail
}

// Write implements io.Writer. It fails if the connection was sealed.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, errSealed
	}
	// Count before writing, because a failed write may have sent some bytes.
	c.written += int64(len(p))
	return c.Conn.Write(p)
}

// mark returns the number of bytes written so far, for a later call of seal.
func (c *conn) mark() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal makes all later writes fail and reports whether any bytes were written
// since the mark.
func (c *conn) seal(mark int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written > mark
}

// dialContext returns a DialContext function that wraps connections in a conn.
func dialContext(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	dial := verifier.Dial(d.DialContext)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: raw}, nil
	}
}
