package roundtripper_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"magnoliahill.example/magnoliahill/internal/forwarder"
	"magnoliahill.example/magnoliahill/internal/roundtripper"
	"magnoliahill.example/magnoliahill/pkg/header"
)

var headerNames = header.Names{RequestID: "X-Id", NotRun: "X-Not-Run", ResponseStamp: "X-Signature", ExpectedInstance: "X-Instance"}

// script is what a backend server writes for each request on a connection, by their order;
// the last text repeats. If closes or resets is set it ends the connection after it.
type script struct {
	texts  []string
	closes bool
	resets bool
}

// serve starts a backend server that follows the script on every connection and returns
// its address and the number of connections so far.
func (s script) serve(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	dials := &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			dials.Add(1)
			t.Cleanup(func() { _ = conn.Close() })
			go s.answer(conn)
		}
	}()
	return listener.Addr().String(), dials
}

func (s script) answer(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for i := 0; ; i++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		text := s.texts[min(i, len(s.texts)-1)]
		_, err = io.WriteString(conn, text)
		if tcp, ok := conn.(*net.TCPConn); ok && s.resets {
			_ = tcp.SetLinger(0)
		}
		if err != nil || s.closes || s.resets {
			_ = conn.Close()
			return
		}
	}
}

// readCases reads the cases of a test from a data file.
func readCases(t testing.TB, file string, cases any) {
	t.Helper()
	data, err := os.ReadFile("testdata/" + file)
	if err != nil {
		t.Fatal(err)
	}
	if err := yaml.Unmarshal(data, cases); err != nil {
		t.Fatal(err)
	}
}

func newRequest(method, id string) *roundtripper.Request {
	body := forwarder.NewBody(io.NopCloser(strings.NewReader("")))
	return &roundtripper.Request{
		Method: method, RequestURI: "/", Host: "shop", ID: id, Header: http.Header{"X-Id": {id}}, Body: body, Idempotent: method == http.MethodGet,
	}
}

const ownResponse = "HTTP/1.1 200 OK\r\nX-Id: b\r\nX-Signature: s\r\nContent-Length: 3\r\n\r\nran"

// Guards against telling callers "not run" for a request that the backend server ran.
func TestRepeatedRefusalIsNotTakenForThatOfALaterRequest(t *testing.T) {
	var cases []struct {
		Name, ID, First, Again string
		Dials                  int64
	}
	readCases(t, "repeats.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			address, dials := script{texts: []string{c.First, c.Again + ownResponse}}.serve(t)
			rt := roundtripper.New(headerNames, 10)
			defer rt.Close()
			target := roundtripper.Target{Address: address, Instance: "i-1"}
			id := "a"
			if c.ID != "" {
				id = c.ID
			}
			_, _ = rt.RoundTrip(t.Context(), target, newRequest(http.MethodPost, id))
			resp, err := rt.RoundTrip(t.Context(), target, newRequest(http.MethodPost, "b"))
			if dials.Load() == 1 { // otherwise the server begins its script anew
				is.True(!errors.Is(err, forwarder.ErrShed))
				is.True(!errors.Is(err, roundtripper.ErrMisdirected))
				is.True(err != nil || string(resp.Body) == "ran")
			}
			is.Equal(dials.Load(), c.Dials) // connections
		})
	}
}

// Guards against waiting for another response where none can precede the first one.
func TestRefusalWithoutAnIDOnANewConnectionIsBelieved(t *testing.T) {
	is := is.New(t)
	address, _ := script{texts: []string{"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"}}.serve(t)
	rt := roundtripper.New(headerNames, 10)
	defer rt.Close()
	_, err := rt.RoundTrip(t.Context(), roundtripper.Target{Address: address, Instance: "i-1"}, newRequest(http.MethodPost, "a"))
	is.True(errors.Is(err, forwarder.ErrShed))
}

// Guards against connections that remember refusals without bound.
func TestConnectionIsReplacedAfterManyRefusals(t *testing.T) {
	is := is.New(t)
	texts := make([]string, 16)
	for i := range texts {
		texts[i] = "HTTP/1.1 503 Full\r\nX-Id: " + string(rune('a'+i)) + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	}
	address, dials := script{texts: texts}.serve(t)
	rt := roundtripper.New(headerNames, 10)
	defer rt.Close()
	for i := range 32 {
		_, err := rt.RoundTrip(t.Context(), roundtripper.Target{Address: address, Instance: "i-1"}, newRequest(http.MethodPost, string(rune('a'+i%16))))
		is.True(errors.Is(err, forwarder.ErrShed))
	}
	is.Equal(dials.Load(), int64(2))
}

// Guards against a response without memory that is counted twice.
func TestResponseWithoutMemoryAsksForItOnce(t *testing.T) {
	for _, head := range []string{"Content-Length: 100000", "Connection: close"} {
		t.Run(head, func(t *testing.T) {
			is := is.New(t)
			body := strings.Repeat("x", 100_000)
			address, _ := script{texts: []string{"HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: s\r\n" + head + "\r\n\r\n" + body}, closes: true}.serve(t)
			rt := roundtripper.New(headerNames, 10)
			defer rt.Close()
			refusals := 0
			req := newRequest(http.MethodGet, "a")
			req.Reserve = func(int64) bool {
				refusals++
				return false
			}
			resp, err := rt.RoundTrip(t.Context(), roundtripper.Target{Address: address, Instance: "i-1"}, req)
			is.NoErr(err)
			rest, err := io.ReadAll(resp.Rest)
			is.NoErr(err)
			is.NoErr(resp.Rest.Close())
			is.Equal(len(resp.Body)+len(rest), len(body))
			is.Equal(refusals, 1)
		})
	}
}

// steppedClock is a clock that moves only when the test sets it.
type steppedClock struct{ now atomic.Int64 }

func (c *steppedClock) Now() time.Duration { return time.Duration(c.now.Load()) }

// Guards against an order on a connection that the backend server closed while the host
// was suspended: the host would not know whether it ran.
func TestConnectionIsNotReusedAfterASuspension(t *testing.T) {
	for suspended, want := range map[time.Duration]int64{0: 1, time.Hour: 2} {
		t.Run(suspended.String(), func(t *testing.T) {
			is := is.New(t)
			address, dials := script{texts: []string{ownResponse}}.serve(t)
			clock := &steppedClock{}
			clock.now.Store(1)
			rt := roundtripper.New(headerNames, 10, roundtripper.WithClock(clock))
			defer rt.Close()
			target := roundtripper.Target{Address: address, Instance: "i-1"}
			_, err := rt.RoundTrip(t.Context(), target, newRequest(http.MethodPost, "b"))
			is.NoErr(err)
			clock.now.Add(int64(suspended))
			_, err = rt.RoundTrip(t.Context(), target, newRequest(http.MethodPost, "b"))
			is.NoErr(err)
			is.Equal(dials.Load(), want)
		})
	}
}
