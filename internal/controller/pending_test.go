package controller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/pipeliner"
)

type idempotentRoutes struct{}

func (idempotentRoutes) Idempotent(string, string) bool { return true }

// A planned stop does not consider a connection idle between two requests of which the
// second was sent ahead.
func TestConnectionWithRequestsAheadIsPending(t *testing.T) {
	is := is.New(t)
	pending, empty := newPendingConns(), make(chan bool, 10)
	p := pipeliner.New(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), idempotentRoutes{})
	server := &http.Server{Handler: p, ConnContext: p.ConnContext, ConnState: func(conn net.Conn, state http.ConnState) {
		pending.track(conn, state)
		if state == http.StateIdle {
			empty <- pending.isEmpty()
		}
	}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(p.Listener(listener)) }()
	defer func() { _ = server.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: shop\r\n\r\n", 3))
	is.NoErr(err)
	reader := bufio.NewReader(conn)
	for i := range 3 {
		_, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.Equal(<-empty, i == 2)
	}
}
