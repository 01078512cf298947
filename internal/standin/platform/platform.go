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
	maxValue   = 1 << 20 // bytes
	maxWait    = time.Minute
	readsRate  = 2000 // calls a second
	writesRate = 500  // calls a second
)

// Platform answers the platform's HTTP protocol.
type Platform struct {
	store     *store
	hosts     *hostList
	handler   http.Handler
	reads     *rate.Limiter
	writes    *rate.Limiter
	calls     atomic.Int64
	out       atomic.Bool
	delay     atomic.Int64 // nanoseconds added to each call
	loseReply atomic.Int64 // this many writes take effect but get no answer
}

// Option sets one property of the stand-in.
type Option func(*Platform)

// WithHostLag sets how late the host list shows a change.
func WithHostLag(d time.Duration) Option {
	return func(p *Platform) { p.hosts.lag = d }
}

// WithRates sets the calls a second that the platform takes.
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

// ServeHTTP answers one call, after the faults that were asked for.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.calls.Add(1)
	if delay := time.Duration(p.delay.Load()); delay > 0 {
		time.Sleep(delay)
	}
	if p.out.Load() {
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
func (p *Platform) SetOutage(out bool) { p.out.Store(out) }

// SetDelay makes every call slower.
func (p *Platform) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

// LoseReplies lets the next n writes take effect without an answer.
func (p *Platform) LoseReplies(n int64) { p.loseReply.Store(n) }

// Calls returns how many calls came in.
func (p *Platform) Calls() int64 { return p.calls.Load() }

// SetHost adds a host to the list or changes its state.
func (p *Platform) SetHost(host Host) {
	p.hosts.record(hostChange{at: time.Now(), host: host})
}

// RemoveHost takes a host off the list.
func (p *Platform) RemoveHost(id string) {
	p.hosts.record(hostChange{at: time.Now(), host: Host{ID: id}, gone: true})
}

func objectKey(r *http.Request) string {
	return strings.TrimPrefix(r.URL.Path, "/v1/objects/")
}

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
			if p.out.Load() {
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
	w.Header().Set("ETag", tag(found.version))
	_, _ = w.Write(found.value)
}

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
	now, ok := p.store.put(objectKey(r), value, version)
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	if p.loseReply.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", tag(now))
}

func (p *Platform) listHosts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p.hosts.seen(time.Now()))
}

func tag(version int64) string {
	return `"` + strconv.FormatInt(version, 10) + `"`
}
