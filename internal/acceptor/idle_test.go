package acceptor_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/acceptor"
	"magnoliahill.example/magnoliahill/internal/pipeliner"
)

// Guards against connections that are closed for new ones as idle when their handler has
// returned but the response is not written yet.
func TestConnectionWithAnUnwrittenResponseIsNotIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := startHost(t, acceptor.WithMaxConns(1))
		answered := h.connect(get("/")) // the write of the response waits until the client reads
		is.Equal(h.connect(get("/")).status(), 0)
		is.Equal(answered.status(), http.StatusOK)
		synctest.Wait()
		is.Equal(h.connect(get("/")).status(), http.StatusOK) // now it is idle
		is.True(!answered.isOpen())
	})
}

// orders is a table of routes whose requests may be executed once.
type orders struct{}

func (orders) Idempotent(string, string) bool { return false }

// Guards against connections that are closed for new ones as idle when a part of the next
// request was read ahead.
func TestConnectionWithARequestReadAheadIsNotIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := startHostBehind(t, func(h *host) net.Listener {
			p := pipeliner.New(h.server.Handler, orders{})
			connContext := h.server.ConnContext
			h.server.Handler = p
			h.server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
				return p.ConnContext(connContext(ctx, nc), nc)
			}
			return p.Listener(h.acceptor)
		}, acceptor.WithMaxConns(1))
		c := h.connect(get("/") + "GET / HTTP")
		is.Equal(c.status(), http.StatusOK)
		synctest.Wait()
		is.Equal(h.connect(get("/")).status(), 0)
		c.send("/1.1\r\nHost: shop\r\n\r\n")
		is.Equal(c.status(), http.StatusOK)
	})
}

// lateConn is a connection whose read returns bytes that arrived before it was closed.
type lateConn struct {
	net.Conn
	arrived chan string
}

func (c *lateConn) Read(p []byte) (int, error) { return copy(p, <-c.arrived), nil }

// Guards against requests that are executed although their connection was closed for a new
// one when their first bytes were read.
func TestClosedConnectionHandsOutNoBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &host{t: t, conns: make(chan net.Conn), closed: make(chan struct{})}
		a := acceptor.New(h, acceptor.WithMaxConns(1))
		accept := func(nc net.Conn) net.Conn {
			go func() { h.conns <- nc }()
			accepted, err := a.Accept()
			is.NoErr(err)
			return accepted
		}
		local, remote := net.Pipe()
		defer func() { _ = local.Close() }()
		late := &lateConn{Conn: remote, arrived: make(chan string)}
		first := accept(late)
		time.Sleep(2 * time.Second)
		_, second := net.Pipe()
		other := accept(second)
		defer func() { _ = other.Close() }()
		go func() { late.arrived <- get("/") }()
		n, err := first.Read(make([]byte, 100))
		is.Equal(n, 0)
		is.True(errors.Is(err, net.ErrClosed))
	})
}

// deadlineConn is a connection whose read returns a byte that arrived before its deadline,
// and which records the deadline that is in force.
type deadlineConn struct {
	net.Conn
	arrived  chan struct{}
	deadline atomic.Pointer[time.Time]
}

func (c *deadlineConn) Read(p []byte) (int, error) {
	<-c.arrived
	return copy(p, "G"), nil
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.deadline.Store(&t)
	return nil
}

// Guards against kept connections on which the server reads nothing for seconds: it ends its
// read after a response by a deadline, and the first byte of the next request comes just
// before that.
func TestReadAtTheStartOfAHeadKeepsTheDeadlineOfTheServer(t *testing.T) {
	for name, deadline := range map[string]time.Duration{"past": -time.Hour, "sooner than the limit": time.Second} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := &host{t: t, conns: make(chan net.Conn), closed: make(chan struct{})}
			a := acceptor.New(h)
			a.SetHeadLimits(acceptor.HeadLimits{Timeout: time.Minute})
			raw := &deadlineConn{arrived: make(chan struct{})}
			go func() { h.conns <- raw }()
			accepted, err := a.Accept()
			is.NoErr(err)
			read := make(chan error)
			go func() {
				_, err := accepted.Read(make([]byte, 1))
				read <- err
			}()
			want := time.Now().Add(deadline)
			is.NoErr(accepted.SetReadDeadline(want))
			raw.arrived <- struct{}{}
			is.NoErr(<-read)
			is.True(raw.deadline.Load().Equal(want))
		})
	}
}
