package acceptor_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"magnoliahill.example/magnoliahill/internal/acceptor"
)

// host is an HTTP server behind an Acceptor, on connections in memory.
type host struct {
	t        *testing.T
	acceptor *acceptor.Acceptor
	conns    chan net.Conn
	closed   chan struct{}
	server   *http.Server
}

// startHost starts a server whose response to /wait ends a minute later, to /long has a
// megabyte, and to others is empty.
func startHost(t *testing.T, options ...acceptor.Option) *host {
	return startHostBehind(t, func(h *host) net.Listener { return h.acceptor }, options...)
}

// startHostBehind is startHost for a server that serves another listener in front of the
// Acceptor, which wrap returns.
func startHostBehind(t *testing.T, wrap func(h *host) net.Listener, options ...acceptor.Option) *host {
	h := &host{t: t, conns: make(chan net.Conn), closed: make(chan struct{})}
	h.acceptor = acceptor.New(h, options...)
	h.server = &http.Server{
		ReadHeaderTimeout: time.Minute, ConnContext: h.acceptor.ConnContext, ConnState: h.acceptor.ConnState,
		Handler: h.acceptor.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/wait":
				select {
				case <-time.After(time.Minute):
				case <-r.Context().Done():
				}
			case "/long":
				_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
			}
		})),
	}
	listener := wrap(h)
	go func() { _ = h.server.Serve(listener) }()
	t.Cleanup(func() { _ = h.server.Close() })
	return h
}

// Accept implements net.Listener.
func (h *host) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *host) Close() error { close(h.closed); return nil }

// Addr implements net.Listener.
func (h *host) Addr() net.Addr { return &net.TCPAddr{} }

// client is one connection to a host.
type client struct {
	net.Conn
	h      *host
	reader *bufio.Reader
}

// connect opens a connection and sends a text on it.
func (h *host) connect(text string) *client {
	local, remote := net.Pipe()
	h.conns <- remote
	c := &client{Conn: local, h: h, reader: bufio.NewReader(local)}
	c.send(text)
	return c
}

func (c *client) send(text string) {
	go func() { _, _ = io.WriteString(c.Conn, text) }() // fails if the host has closed the connection
	synctest.Wait()
}

// isOpen reports whether the host has left the connection open and silent.
func (c *client) isOpen() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// status reads a response and returns its status, or 0 if there is none.
func (c *client) status() int {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
