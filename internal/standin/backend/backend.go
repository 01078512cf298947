// Package backend is a stand-in for a backend server. It has slots, a connection
// limit and a cold start, sheds requests, can report a wrong load, and counts how
// often it executed each request.
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

	"magnoliahill.example/magnoliahill/pkg/header"
)

// Backend handles requests in the way a backend server does.
type Backend struct {
	name         string
	slots        int           // requests that run at once; more are shed
	connections  int           // limit on open connections
	serviceTime  time.Duration // duration of one request when warm
	coldStart    time.Duration // time after the start during which requests take longer
	started      time.Time
	running      atomic.Int64
	open         atomic.Int64
	executed     atomic.Int64
	shed         atomic.Int64
	reportedLoad atomic.Int64 // reported instead of the actual load unless negative
	breakNext    atomic.Int64 // number of next requests whose connection breaks after their execution
	keysSeen     atomic.Int64 // number of requests with a key or Authorization header
	mu           sync.Mutex
	runs         map[string]int // number of executions by the caller's request id
}

// Option sets one property of a backend server.
type Option func(*Backend)

// WithSlots sets how many requests run at once; more are shed.
func WithSlots(n int) Option { return func(b *Backend) { b.slots = n } }

// WithConnections sets the limit on open connections.
func WithConnections(n int) Option { return func(b *Backend) { b.connections = n } }

// WithServiceTime sets the duration of one request when warm.
func WithServiceTime(d time.Duration) Option { return func(b *Backend) { b.serviceTime = d } }

// WithColdStart sets the time after the start during which requests take longer.
func WithColdStart(d time.Duration) Option { return func(b *Backend) { b.coldStart = d } }

// New returns a backend server with a name.
func New(name string, options ...Option) *Backend {
	b := &Backend{
		name:        name,
		slots:       8,
		connections: 330,
		serviceTime: 2 * time.Millisecond,
		started:     time.Now(),
		runs:        map[string]int{},
	}
	b.reportedLoad.Store(-1)
	for _, option := range options {
		option(b)
	}
	return b
}

// Name returns the backend server's name.
func (b *Backend) Name() string { return b.name }

// Executed returns the number of executed requests.
func (b *Backend) Executed() int64 { return b.executed.Load() }

// Shed returns the number of requests refused without execution.
func (b *Backend) Shed() int64 { return b.shed.Load() }

// RequestsWithKey returns the number of requests with a key or Authorization
// header.
func (b *Backend) RequestsWithKey() int64 { return b.keysSeen.Load() }

// SetReportedLoad makes the backend report n running requests instead of the actual
// load; -1 restores the actual load.
func (b *Backend) SetReportedLoad(n int64) { b.reportedLoad.Store(n) }

// BreakNext makes the backend execute the next n requests and break their
// connections without a response.
func (b *Backend) BreakNext(n int64) { b.breakNext.Store(n) }

// Runs returns how often the request with an id was executed.
func (b *Backend) Runs(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// ExecutedTwice returns the number of request ids executed more than once.
func (b *Backend) ExecutedTwice() int {
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

// EachRequest calls f with every request id and how often it was executed.
func (b *Backend) EachRequest(f func(id string, runs int)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, n := range b.runs {
		f(id, n)
	}
}

// ConnState counts open connections and closes those over the limit at once. It is
// meant for the ConnState field of http.Server.
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

// ServeHTTP executes one request, or sheds it if no slot is free.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(header.Key) != "" || r.Header.Get("Authorization") != "" {
		b.keysSeen.Add(1)
	}
	if id := r.Header.Get(header.DispatchID); id != "" {
		w.Header().Set(header.DispatchID, id)
	}
	running := b.running.Add(1)
	defer b.running.Add(-1)
	w.Header().Set(header.Load, strconv.FormatInt(b.loadReport(running), 10))
	if r.URL.Path == "/healthz" {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if running > int64(b.slots) {
		b.shed.Add(1)
		w.Header().Set(header.NotRun, "1")
		http.Error(w, "no slot is free", http.StatusServiceUnavailable)
		return
	}
	b.run(w, r)
}

// loadReport returns the load to report in the response to one of the running
// requests.
func (b *Backend) loadReport(running int64) int64 {
	if override := b.reportedLoad.Load(); override >= 0 {
		return override
	}
	return running - 1
}

// run executes one request and writes the response.
func (b *Backend) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case <-time.After(b.serviceDuration()):
	case <-r.Context().Done():
		return
	}
	b.executed.Add(1)
	if id := r.Header.Get(header.RequestID); id != "" {
		b.mu.Lock()
		b.runs[id]++
		b.mu.Unlock()
	}
	if b.breakNext.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "%s %s by %s for %s, %d bytes\n",
		r.Method, r.URL.Path, b.name, r.Header.Get(header.Workspace), len(body))
}

// serviceDuration returns the duration of a request that starts now. It is 4
// times the service time at the start and falls linearly to the service time
// during the cold start.
func (b *Backend) serviceDuration() time.Duration {
	d := b.serviceTime
	age := time.Since(b.started)
	if age < b.coldStart {
		d += 3 * b.serviceTime * (b.coldStart - age) / b.coldStart
	}
	return d
}
