package pipeliner_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/pipeliner"
)

// dialLoopback returns a connection to a server with a Pipeliner over the loopback network.
func dialLoopback(t *testing.T, p *pipeliner.Pipeliner) net.Conn {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: p, ConnContext: p.ConnContext}
	go func() { _ = server.Serve(p.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// A caller that sends more than the look-ahead holds gets all answers in order.
func TestAnswersBehindAFullLookAhead(t *testing.T) {
	is := is.New(t)
	conn := dialLoopback(t, pipeliner.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
	}), everyRoute{}))
	var text strings.Builder
	for i := range 2000 {
		text.WriteString(get(fmt.Sprint("/read/", i)))
	}
	send(conn, text.String())
	reader := bufio.NewReader(conn)
	for i := range 2000 {
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(body), fmt.Sprint("/read/", i))
	}
}

// A caller that leaves ends all runs within half a second, also if it has sent more than
// the look-ahead holds.
func TestCallerThatLeavesBehindAFullLookAhead(t *testing.T) {
	for name, reset := range map[string]bool{"end of stream": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			began, ended := make(chan bool, 1000), make(chan bool, 1000)
			p := pipeliner.New(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				began <- true
				<-r.Context().Done()
				ended <- true
			}), everyRoute{})
			conn := dialLoopback(t, p)
			_, err := io.WriteString(conn, strings.Repeat(get("/read/1"), 1000))
			is.NoErr(err)
			for range 9 {
				<-began
			}
			if reset {
				is.NoErr(conn.(*net.TCPConn).SetLinger(0))
			}
			is.NoErr(conn.Close())
			timeout := time.After(500 * time.Millisecond)
			for i := range 9 {
				select {
				case <-ended:
				case <-timeout:
					t.Fatalf("%d of 9 requests ended", i)
				}
			}
			is.Equal(len(began), 0)
		})
	}
}
