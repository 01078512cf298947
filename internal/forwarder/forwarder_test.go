package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/forwarder"
	"magnoliahill.example/magnoliahill/internal/standin/target"
	"magnoliahill.example/magnoliahill/pkg/header"
)

// rawServer reads requests from plain TCP connections and lets the test write
// the responses, so that a test can close a connection at any point.
type rawServer struct {
	listener net.Listener
	requests atomic.Int64
}

// startRawServer starts a server that calls handle for each request with its
// number, starting at 1. It closes the connection when handle returns false.
func startRawServer(t *testing.T, handle func(n int64, r *http.Request, conn net.Conn) bool) *rawServer {
	l, err := target.Listen()
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serveConn(conn, handle)
		}
	}()
	return s
}

func (s *rawServer) serveConn(conn net.Conn, handle func(int64, *http.Request, net.Conn) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if !handle(s.requests.Add(1), r, conn) {
			return
		}
	}
}

func respond(conn net.Conn, head string) bool {
	_, err := io.WriteString(conn, "HTTP/1.1 "+head+"\r\nContent-Length: 2\r\n\r\nok")
	return err == nil
}

func newRequest(s *rawServer, method string, headers ...string) *http.Request {
	r := &http.Request{
		Method: method,
		URL:    &url.URL{Scheme: "http", Host: s.listener.Addr().String(), Path: "/order"},
		Header: http.Header{},
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

func send(f *forwarder.Forwarder, r *http.Request, body string) error {
	r.ContentLength = int64(len(body))
	resp, err := f.RoundTrip(context.Background(), r, forwarder.NewBody(strings.NewReader(body)))
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return err
}

// Guards against a request being executed twice: the backend server reads a POST
// on a reused connection, executes it and closes the connection without a
// response. The transport must not resend the request, even if it has no body or
// an idempotency key.
func TestNonIdempotentRequestIsNeverResent(t *testing.T) {
	for _, c := range []struct{ name, body, headerName string }{
		{"with a body", "brooms", ""},
		{"without a body", "", ""},
		{"with an idempotency key", "", "Idempotency-Key"},
		{"with an idempotency key and a body", "brooms", "Idempotency-Key"},
		{"with an X-Idempotency-Key header", "", "X-Idempotency-Key"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := startRawServer(t, func(n int64, _ *http.Request, conn net.Conn) bool {
				return n == 1 && respond(conn, "200 OK")
			})
			f := forwarder.New()
			is.NoErr(send(f, newRequest(s, http.MethodGet), "")) // leaves a kept-alive connection
			r := newRequest(s, http.MethodPost)
			if c.headerName != "" {
				r.Header.Set(c.headerName, "1")
			}
			err := send(f, r, c.body)
			is.True(err != nil)
			is.True(!errors.Is(err, forwarder.ErrNotRun)) // the request was executed
			is.Equal(s.requests.Load(), int64(2))
		})
	}
}

func TestNotRunErrors(t *testing.T) {
	is := is.New(t)
	f := forwarder.New()

	gone := startRawServer(t, nil)
	_ = gone.listener.Close()
	is.True(errors.Is(send(f, newRequest(gone, http.MethodPost), "x"), forwarder.ErrNotRun)) // nothing listens

	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	s := startRawServer(t, func(_ int64, _ *http.Request, conn net.Conn) bool { return respond(conn, "200 OK") })
	_, err := f.RoundTrip(canceled, newRequest(s, http.MethodPost), forwarder.NewBody(strings.NewReader("x")))
	is.True(errors.Is(err, forwarder.ErrNotRun)) // canceled before it was sent
	is.Equal(s.requests.Load(), int64(0))

	shedding := startRawServer(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
		return respond(conn, "503 Busy\r\n"+header.NotRun+": 1")
	})
	is.True(errors.Is(send(f, newRequest(shedding, http.MethodPost), "x"), forwarder.ErrShed))

	// A request that gets a 503 without the not-run header may have been executed.
	busy := startRawServer(t, func(_ int64, _ *http.Request, conn net.Conn) bool { return respond(conn, "503 Busy") })
	is.NoErr(send(f, newRequest(busy, http.MethodPost), "x")) // returned as a regular response
}

func TestResponseToAnotherRequestIsRejected(t *testing.T) {
	is := is.New(t)
	s := startRawServer(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
		return respond(conn, "200 OK\r\n"+header.DispatchID+": another")
	})
	r := newRequest(s, http.MethodGet, header.DispatchID, "mine")
	is.True(errors.Is(send(forwarder.New(), r, ""), forwarder.ErrMismatched))
}

// Guards against telling callers "not run" for a request that the backend server ran.
func TestRepeatedRefusalWithoutAnIDIsNotBelieved(t *testing.T) {
	is := is.New(t)
	s := startRawServer(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
		return respond(conn, "503 Busy\r\n"+header.NotRun+": 1")
	})
	f := forwarder.New()
	is.True(errors.Is(send(f, newRequest(s, http.MethodPost, header.DispatchID, "first"), "x"), forwarder.ErrShed))
	err := send(f, newRequest(s, http.MethodPost, header.DispatchID, "second"), "x") // on the same connection
	is.True(err != nil)
	is.True(!errors.Is(err, forwarder.ErrShed))
}

func TestBodyIsReplayableUpToLimit(t *testing.T) {
	is := is.New(t)
	small := forwarder.NewBody(strings.NewReader("brooms"))
	for range 2 {
		got, err := io.ReadAll(small.Open())
		is.NoErr(err)
		is.Equal(string(got), "brooms")
	}
	is.True(small.Rewind())
	large := forwarder.NewBody(strings.NewReader(strings.Repeat("x", 100<<10)))
	got, err := io.ReadAll(large.Open())
	is.NoErr(err)
	is.Equal(len(got), 100<<10)
	is.True(!large.Rewind())
}
