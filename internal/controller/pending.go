package controller

import (
	"net"
	"net/http"
	"sync"

	"magnoliahill.example/magnoliahill/internal/pipeliner"
)

// pendingConns holds the connections that may carry a request without a response:
// new and active ones, and those whose caller sent requests ahead, which the server
// considers idle between two of them. A server that shuts down drops requests that
// arrive on them.
type pendingConns struct {
	mu   sync.Mutex
	open map[net.Conn]bool
}

func newPendingConns() *pendingConns { return &pendingConns{open: map[net.Conn]bool{}} }

// track records a state change of a connection; it is an http.Server.ConnState
// callback.
func (a *pendingConns) track(conn net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state == http.StateNew || state == http.StateActive || state == http.StateIdle && pipeliner.HasAhead(conn) {
		a.open[conn] = true
		return
	}
	delete(a.open, conn)
}

// isEmpty reports whether there are no pending connections.
func (a *pendingConns) isEmpty() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.open) == 0
}
