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
	"magnoliahill.example/magnoliahill/pkg/marker"
)

// rawServer answers connections by hand, so that it can break them anywhere.
type rawServer struct {
	listener net.Listener
	requests atomic.Int64
}

// serve calls handle with the number of each request, from 1. A connection is
// closed when handle returns false.
func serve(t *testing.T, handle func(n int64, r *http.Request, conn net.Conn) bool) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
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
			go s.connection(conn, handle)
		}
	}()
	return s
}

func (s *rawServer) connection(conn net.Conn, handle func(int64, *http.Request, net.Conn) bool) {
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

func answer(conn net.Conn, head string) bool {
	_, err := io.WriteString(conn, "HTTP/1.1 "+head+"\r\nContent-Length: 2\r\n\r\nok")
	return err == nil
}

func request(s *rawServer, method string, header ...string) *http.Request {
	r := &http.Request{
		Method: method,
		URL:    &url.URL{Scheme: "http", Host: s.listener.Addr().String(), Path: "/order"},
		Header: http.Header{},
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

func send(f *forwarder.Forwarder, r *http.Request, body string) error {
	r.ContentLength = int64(len(body))
	resp, err := f.Try(context.Background(), r, forwarder.NewBody(strings.NewReader(body)))
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return err
}

// A backend server that reads an order on a kept-alive connection, runs it and
// closes must not get it a second time, whatever makes it look repeatable.
func TestOrderIsNeverResent(t *testing.T) {
	for _, c := range []struct{ name, body, header string }{
		{"with a body", "brooms", ""},
		{"without a body", "", ""},
		{"with an idempotency key", "", "Idempotency-Key"},
		{"with an idempotency key and a body", "brooms", "Idempotency-Key"},
		{"with the older name of it", "", "X-Idempotency-Key"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, func(n int64, _ *http.Request, conn net.Conn) bool {
				return n == 1 && answer(conn, "200 OK")
			})
			f := forwarder.New()
			is.NoErr(send(f, request(s, http.MethodGet), "")) // leaves a kept-alive connection
			r := request(s, http.MethodPost)
			if c.header != "" {
				r.Header.Set(c.header, "1")
			}
			err := send(f, r, c.body)
			is.True(err != nil)
			is.True(!errors.Is(err, forwarder.ErrNotRun)) // it ran, so nothing may say it did not
			is.Equal(s.requests.Load(), int64(2))
		})
	}
}

func TestProofThatNothingRan(t *testing.T) {
	is := is.New(t)
	f := forwarder.New()

	gone := serve(t, nil)
	_ = gone.listener.Close()
	is.True(errors.Is(send(f, request(gone, http.MethodPost), "x"), forwarder.ErrNotRun)) // nothing listens

	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	s := serve(t, func(_ int64, _ *http.Request, conn net.Conn) bool { return answer(conn, "200 OK") })
	_, err := f.Try(canceled, request(s, http.MethodPost), forwarder.NewBody(strings.NewReader("x")))
	is.True(errors.Is(err, forwarder.ErrNotRun)) // canceled before it was sent
	is.Equal(s.requests.Load(), int64(0))

	shedding := serve(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
		return answer(conn, "503 Busy\r\n"+marker.NotRun+": 1")
	})
	is.True(errors.Is(send(f, request(shedding, http.MethodPost), "x"), forwarder.ErrShed))

	// A 503 without the agreed header may have run.
	busy := serve(t, func(_ int64, _ *http.Request, conn net.Conn) bool { return answer(conn, "503 Busy") })
	is.NoErr(send(f, request(busy, http.MethodPost), "x")) // passed on as the answer
}

func TestAnswerToAnotherRequestIsDropped(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
		return answer(conn, "200 OK\r\n"+marker.Dispatch+": another")
	})
	r := request(s, http.MethodGet, marker.Dispatch, "mine")
	is.True(errors.Is(send(forwarder.New(), r, ""), forwarder.ErrForeign))
}

func TestBodyIsReplayedUpToItsLimit(t *testing.T) {
	is := is.New(t)
	small := forwarder.NewBody(strings.NewReader("brooms"))
	for range 2 {
		got, err := io.ReadAll(small.Open())
		is.NoErr(err)
		is.Equal(string(got), "brooms")
	}
	is.True(small.Replayable())
	large := forwarder.NewBody(strings.NewReader(strings.Repeat("x", 100<<10)))
	got, err := io.ReadAll(large.Open())
	is.NoErr(err)
	is.Equal(len(got), 100<<10)
	is.True(!large.Replayable())
}
