// Package backend is a stand-in for a backend server: slots, a connection
// limit, cold start, shedding, load reports that may lie, and a count of how
// often each request ran.
package backend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"magnoliahill.example/magnoliahill/pkg/marker"
)

// Backend answers requests as a backend server would.
type Backend struct {
	name        string
	slots       int
	connections int
	service     time.Duration // time one request takes when warm
	coldStart   time.Duration // until this long after the start, requests take longer
	started     time.Time
	running     atomic.Int64
	open        atomic.Int64
	executed    atomic.Int64
	shed        atomic.Int64
	lie         atomic.Int64 // reported in place of the true load when not negative
	breakAfter  atomic.Int64 // this many requests run, then their connection breaks
	keysSeen    atomic.Int64 // requests that carried anything like a key
	mu          sync.Mutex
	runs        map[string]int // executions by the caller's request id
}

// Option sets one property of a backend server.
type Option func(*Backend)

// WithSlots sets how many requests run at once; more are shed.
func WithSlots(n int) Option { return func(b *Backend) { b.slots = n } }

// WithConnections sets how many connections are accepted.
func WithConnections(n int) Option { return func(b *Backend) { b.connections = n } }

// WithServiceTime sets how long one request takes when warm.
func WithServiceTime(d time.Duration) Option { return func(b *Backend) { b.service = d } }

// WithColdStart sets how long requests are slower after the start.
func WithColdStart(d time.Duration) Option { return func(b *Backend) { b.coldStart = d } }

// New returns a backend server with a name.
func New(name string, options ...Option) *Backend {
	b := &Backend{
		name:        name,
		slots:       8,
		connections: 330,
		service:     2 * time.Millisecond,
		started:     time.Now(),
		runs:        map[string]int{},
	}
	b.lie.Store(-1)
	for _, option := range options {
		option(b)
	}
	return b
}

// Name returns the backend server's name.
func (b *Backend) Name() string { return b.name }

// Executed returns how many requests ran.
func (b *Backend) Executed() int64 { return b.executed.Load() }

// Shed returns how many requests were turned away without running.
func (b *Backend) Shed() int64 { return b.shed.Load() }

// KeysSeen returns how many requests carried a key header.
func (b *Backend) KeysSeen() int64 { return b.keysSeen.Load() }

// Lie makes load reports say n running requests; -1 makes them true again.
func (b *Backend) Lie(n int64) { b.lie.Store(n) }

// BreakNext lets the next n requests run and then breaks their connection.
func (b *Backend) BreakNext(n int64) { b.breakAfter.Store(n) }

// Runs returns how often the request with an id ran.
func (b *Backend) Runs(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// RanTwice returns the number of request ids that ran more than once.
func (b *Backend) RanTwice() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	twice := 0
	for _, n := range b.runs {
		if n > 1 {
			twice++
		}
	}
	return twice
}

// Each calls f with every request id and how often it ran.
func (b *Backend) Each(f func(id string, runs int)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, n := range b.runs {
		f(id, n)
	}
}

// ConnState counts open connections; give it to http.Server. Connections over
// the limit are closed at once.
func (b *Backend) ConnState(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if b.open.Add(1) > int64(b.connections) {
			_ = conn.Close()
		}
	case http.StateClosed, http.StateHijacked:
		b.open.Add(-1)
	}
}

// ServeHTTP runs one request, or sheds it when no slot is free.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(marker.Key) != "" || r.Header.Get("Authorization") != "" {
		b.keysSeen.Add(1)
	}
	if id := r.Header.Get(marker.Dispatch); id != "" {
		w.Header().Set(marker.Dispatch, id)
	}
	running := b.running.Add(1)
	defer b.running.Add(-1)
	w.Header().Set(marker.Load, strconv.FormatInt(b.report(running), 10))
	if r.URL.Path == "/healthz" {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if running > int64(b.slots) {
		b.shed.Add(1)
		w.Header().Set(marker.NotRun, "1")
		http.Error(w, "no slot is free", http.StatusServiceUnavailable)
		return
	}
	b.run(w, r)
}

func (b *Backend) report(running int64) int64 {
	if lie := b.lie.Load(); lie >= 0 {
		return lie
	}
	return running - 1
}

func (b *Backend) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case <-time.After(b.duration()):
	case <-r.Context().Done():
		return
	}
	b.executed.Add(1)
	if id := r.Header.Get(marker.RequestID); id != "" {
		b.mu.Lock()
		b.runs[id]++
		b.mu.Unlock()
	}
	if b.breakAfter.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "%s %s by %s for %s, %d bytes\n",
		r.Method, r.URL.Path, b.name, r.Header.Get(marker.Workspace), len(body))
}

func (b *Backend) duration() time.Duration {
	d := b.service
	age := time.Since(b.started)
	if age < b.coldStart {
		d += 3 * b.service * (b.coldStart - age) / b.coldStart
	}
	return d
}
