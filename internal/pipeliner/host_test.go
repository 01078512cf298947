package pipeliner_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"magnoliahill.example/magnoliahill/internal/pipeliner"
)

// pipeListener accepts the connections of dial.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// pathRoutes considers requests idempotent whose path begins with "/read/".
type pathRoutes struct{}

func (pathRoutes) Idempotent(host, path string) bool {
	return host == "shop" && strings.HasPrefix(path, "/read/")
}

// call is a request that the handler got.
type call struct {
	path     string
	at       time.Duration // since the test began
	canceled time.Duration // when its context ended; 0 if it did not before the handler returned
}

// testHost is a server whose handler takes the time that a request's path names, as in
// /read/100ms.
type testHost struct {
	server    *http.Server
	pipeliner *pipeliner.Pipeliner
	listener  *pipeListener
	cancel    func() // ends the base context of all requests
	began     time.Time
	bodySize  int // of responses
	answer    func(w http.ResponseWriter, r *http.Request)

	mu      sync.Mutex
	calls   []*call
	running int
	most    int // requests that ran side by side
}

// startHost starts a server in a synctest bubble.
func startHost(t *testing.T, options ...pipeliner.Option) *testHost {
	h := &testHost{listener: &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}, began: time.Now()}
	h.answer = func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path+strings.Repeat(".", h.bodySize))
	}
	h.pipeliner = pipeliner.New(h, pathRoutes{}, options...)
	base, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.server = &http.Server{
		Handler: h.pipeliner, ConnContext: h.pipeliner.ConnContext,
		ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 75 * time.Second,
		BaseContext: func(net.Listener) context.Context { return base },
	}
	go func() { _ = h.server.Serve(h.pipeliner.Listener(h.listener)) }()
	t.Cleanup(func() {
		_ = h.server.Close()
		cancel()
		synctest.Wait()
		if held := h.pipeliner.HeldBytes(); held != 0 {
			t.Errorf("%d bytes are held at the end", held)
		}
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *testHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	c := &call{path: r.URL.Path, at: time.Since(h.began)}
	h.calls = append(h.calls, c)
	h.running++
	h.most = max(h.most, h.running)
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.running--
	}()
	_, _ = io.Copy(io.Discard, r.Body)
	parts := strings.Split(r.URL.Path, "/")
	if d, err := time.ParseDuration(parts[2]); err == nil {
		select {
		case <-time.After(d):
		case <-r.Context().Done():
			h.mu.Lock()
			c.canceled = time.Since(h.began)
			h.mu.Unlock()
		}
	}
	h.answer(w, r)
}

func (h *testHost) paths() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var paths []string
	for _, c := range h.calls {
		paths = append(paths, c.path)
	}
	return paths
}

func (h *testHost) dial() net.Conn {
	client, server := net.Pipe()
	h.listener.conns <- server
	return client
}

// get returns a request.
func get(path string, headers ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: shop\r\n" + strings.Join(append(headers, ""), "\r\n") + "\r\n"
}

// send writes to a connection without waiting until the host has read it.
func send(conn net.Conn, text string) {
	go func() { _, _ = io.WriteString(conn, text) }()
}

// answer is a response that a caller got.
type answer struct {
	body  string
	at    time.Duration // since the host's start, when it was complete
	close bool
}

// read reads a number of responses, or fewer if the connection ends before.
func (h *testHost) read(conn net.Conn, n int) []answer {
	reader := bufio.NewReader(conn)
	var answers []answer
	for range n {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return answers
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return answers
		}
		answers = append(answers, answer{string(body), time.Since(h.began), resp.Close})
	}
	return answers
}

func (a answer) String() string {
	return fmt.Sprintf("%.40s at %v close=%v", a.body, a.at, a.close)
}
