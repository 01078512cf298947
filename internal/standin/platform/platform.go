package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/alexedwards/flow"
	"golang.org/x/time/rate"
)

const (
	maxValue   = 1 << 20     // bytes of an object
	maxWait    = time.Minute // limit on the wait of a watch
	readsRate  = 2000        // calls a second
	writesRate = 500         // calls a second
)

// Platform serves the platform's HTTP interface.
type Platform struct {
	store       *store
	hosts       *hostList
	handler     http.Handler
	reads       *rate.Limiter
	writes      *rate.Limiter
	calls       atomic.Int64
	outage      atomic.Bool
	delay       atomic.Int64 // nanoseconds added to each call
	loseReplies atomic.Int64 // number of next writes that take effect but get no response
}

// Option sets one property of the stand-in.
type Option func(*Platform)

// WithHostLag sets the delay before the host list shows a change.
func WithHostLag(d time.Duration) Option {
	return func(p *Platform) { p.hosts.lag = d }
}

// WithRates sets how many reads and writes a second are accepted. Calls beyond that
// fail with status 429.
func WithRates(reads, writes float64) Option {
	return func(p *Platform) {
		p.reads = rate.NewLimiter(rate.Limit(reads), int(reads)+1)
		p.writes = rate.NewLimiter(rate.Limit(writes), int(writes)+1)
	}
}

// New returns a platform without objects or hosts.
func New(options ...Option) *Platform {
	p := &Platform{store: newStore(), hosts: &hostList{}}
	WithRates(readsRate, writesRate)(p)
	for _, option := range options {
		option(p)
	}
	mux := flow.New()
	mux.HandleFunc("/v1/objects/...", p.getObject, http.MethodGet)
	mux.HandleFunc("/v1/objects/...", p.putObject, http.MethodPut)
	mux.HandleFunc("/v1/hosts", p.listHosts, http.MethodGet)
	p.handler = mux
	return p
}

// ServeHTTP serves one call, unless a simulated fault or a rate limit makes it
// fail.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.calls.Add(1)
	if delay := time.Duration(p.delay.Load()); delay > 0 {
		time.Sleep(delay)
	}
	if p.outage.Load() {
		http.Error(w, "platform outage", http.StatusServiceUnavailable)
		return
	}
	limit := p.reads
	if r.Method == http.MethodPut {
		limit = p.writes
	}
	if !limit.Allow() {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return
	}
	p.handler.ServeHTTP(w, r)
}

// SetOutage starts or ends an outage.
func (p *Platform) SetOutage(outage bool) { p.outage.Store(outage) }

// SetDelay sets a delay before each call is served.
func (p *Platform) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

// LoseReplies makes the next n writes take effect without a response.
func (p *Platform) LoseReplies(n int64) { p.loseReplies.Store(n) }

// Calls returns the number of calls received.
func (p *Platform) Calls() int64 { return p.calls.Load() }

// SetHost adds a host to the list or replaces its entry.
func (p *Platform) SetHost(host Host) {
	p.hosts.record(hostChange{at: time.Now(), host: host})
}

// RemoveHost removes a host from the list.
func (p *Platform) RemoveHost(id string) {
	p.hosts.record(hostChange{at: time.Now(), host: Host{ID: id}, removed: true})
}

// objectKey returns the key of the object that a request is for.
func objectKey(r *http.Request) string {
	return strings.TrimPrefix(r.URL.Path, "/v1/objects/")
}

// getObject serves an object, or waits for a version after the given one if the
// call has a wait.
func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for {
		found, changed := p.store.get(objectKey(r))
		if found.version > after || wait == 0 {
			p.writeObject(w, found)
			return
		}
		select {
		case <-changed:
			if p.outage.Load() {
				http.Error(w, "platform outage", http.StatusServiceUnavailable)
				return
			}
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) writeObject(w http.ResponseWriter, found object) {
	if found.version == 0 {
		http.Error(w, "object does not exist", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", formatETag(found.version))
	_, _ = w.Write(found.value)
}

// putObject replaces an object if its version matches If-Match, or creates it if
// the call has no If-Match.
func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	if err != nil || len(value) > maxValue {
		http.Error(w, "value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	version := int64(0)
	if match := r.Header.Get("If-Match"); match != "" {
		version, err = strconv.ParseInt(strings.Trim(match, `"`), 10, 64)
		if err != nil {
			http.Error(w, "If-Match is not a version", http.StatusBadRequest)
			return
		}
	}
	newVersion, ok := p.store.put(objectKey(r), value, version)
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	if p.loseReplies.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", formatETag(newVersion))
}

func (p *Platform) listHosts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p.hosts.visible(time.Now()))
}

// formatETag returns the ETag header of a version.
func formatETag(version int64) string {
	return `"` + strconv.FormatInt(version, 10) + `"`
}
