package conductor

import (
	"net"
	"net/http"
	"sync"
)

// arrivals are the connections on which a request may have come that was not
// answered yet: new ones and those at work. A server that shuts down drops what
// comes on them.
type arrivals struct {
	mu   sync.Mutex
	open map[net.Conn]bool
}

func newArrivals() *arrivals { return &arrivals{open: map[net.Conn]bool{}} }

// track takes in the state of a connection.
func (a *arrivals) track(conn net.Conn, state http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state == http.StateNew || state == http.StateActive {
		a.open[conn] = true
		return
	}
	delete(a.open, conn)
}

// none reports whether there are no such connections.
func (a *arrivals) none() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.open) == 0
}
