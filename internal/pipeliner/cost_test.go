package pipeliner_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"magnoliahill.example/magnoliahill/internal/pipeliner"
)

// sequential sends a request after the answer to the one before on a connection of the
// loopback network.
type sequential struct {
	t      testing.TB
	conn   net.Conn
	reader *bufio.Reader
}

func newSequential(t testing.TB, wrapped bool) *sequential {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	accepting := listener
	if wrapped {
		p := pipeliner.New(handler, everyRoute{})
		server.Handler, server.ConnContext = p, p.ConnContext
		accepting = p.Listener(listener)
	}
	go func() { _ = server.Serve(accepting) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &sequential{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

var sequentialRequest = []byte(get("/read/1"))

func (s *sequential) exchange() {
	if _, err := s.conn.Write(sequentialRequest); err != nil {
		s.t.Fatal(err)
	}
	for blank := 0; blank < 1; {
		line, err := s.reader.ReadSlice('\n')
		if err != nil {
			s.t.Fatal(err)
		}
		if len(line) == 2 {
			blank++
		}
	}
	if _, err := s.reader.Discard(len("/read/1")); err != nil {
		s.t.Fatal(err)
	}
}

// repeatingConn is a connection on which the same request comes again and again, each
// after a read in vain.
type repeatingConn struct {
	net.Conn
	request []byte
	silent  bool
}

func (c *repeatingConn) Read(p []byte) (int, error) {
	c.silent = !c.silent
	if c.silent {
		return copy(p, c.request), nil
	}
	return 0, os.ErrDeadlineExceeded
}

// oneListener accepts one connection.
type oneListener struct {
	net.Listener
	conn net.Conn
}

func (l oneListener) Accept() (net.Conn, error) { return l.conn, nil }

// writerStub is a response that is not sent.
type writerStub struct{ headers http.Header }

func (w writerStub) Header() http.Header         { return w.headers }
func (w writerStub) Write(p []byte) (int, error) { return len(p), nil }
func (w writerStub) WriteHeader(int)             {}

// A caller that sends no request ahead costs no allocation for each request beside the
// server's: the reads of the server and its call of the handler allocate nothing.
func TestNoAllocationsWithoutRequestsAhead(t *testing.T) {
	body, headers := []byte("answer"), writerStub{http.Header{}}
	p := pipeliner.New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header()["Content-Type"] = nil
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(body)
	}), everyRoute{})
	conn, err := p.Listener(oneListener{conn: &repeatingConn{request: sequentialRequest}}).Accept()
	if err != nil {
		t.Fatal(err)
	}
	r := httptest.NewRequestWithContext(p.ConnContext(t.Context(), conn), http.MethodGet, "/read/1", nil)
	var writer http.ResponseWriter = headers
	buffer, single := make([]byte, 4096), make([]byte, 1)
	allocations := testing.AllocsPerRun(1000, func() {
		if n, err := conn.Read(buffer); n != len(sequentialRequest) || err != nil {
			t.Fatal(n, err)
		}
		p.ServeHTTP(writer, r)
		if n, err := conn.Read(single); n != 0 || err == nil {
			t.Fatal(n, err)
		}
	})
	if allocations != 0 {
		t.Errorf("%v allocations for each request", allocations)
	}
}

func BenchmarkSequentialPlain(b *testing.B)     { benchmarkSequential(b, false) }
func BenchmarkSequentialPipelined(b *testing.B) { benchmarkSequential(b, true) }

func benchmarkSequential(b *testing.B, wrapped bool) {
	s := newSequential(b, wrapped)
	b.ReportAllocs()
	for b.Loop() {
		s.exchange()
	}
}
