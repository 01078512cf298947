// Package dispatcher serves the requests of callers: it finds the route, checks the
// key, charges the rate limit, chooses a backend server and forwards the
// response. It responds to every request exactly once, and reports a request as
// not run only if it certainly was not executed.
package dispatcher

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"magnoliahill.example/magnoliahill/internal/recorder"
	"magnoliahill.example/magnoliahill/internal/roundtripper"
	"magnoliahill.example/magnoliahill/internal/timekeeper"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/header"
	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/placer"
	"magnoliahill.example/magnoliahill/pkg/quarantiner"
)

// Phase is a stage in the life of a host, which determines what requests it
// accepts.
type Phase int

// Phases of a host.
const (
	Starting  Phase = iota // refuses all requests; no configuration is loaded yet
	Serving                // accepts all requests
	Leaving                // accepts requests and asks callers to close their connections
	Finishing              // refuses new requests and completes those in flight
)

// String returns the phase's name.
func (p Phase) String() string {
	return [...]string{"starting", "serving", "leaving", "finishing"}[p]
}

// Snapshot holds the configuration and phase that a request is served under. It
// is immutable.
type Snapshot struct {
	catalog   *cataloger.Catalog // nil before the first configuration
	phase     Phase
	appliedAt time.Duration // when the configuration was applied, on the host's clock
	stop      StopSchedule
}

// StopSchedule holds the times of a planned stop, on the host's clock. It is zero
// unless the host is stopping.
type StopSchedule struct {
	// AcceptUntil is the time until which requests are accepted that may take longer than
	// the stop, if they seldom do.
	AcceptUntil time.Duration
	// CompleteBy is the time by which all requests are complete. Once the host accepts
	// no others, it accepts those whose deadline is not later.
	CompleteBy time.Duration
}

// NewSnapshot returns a snapshot of a configuration that was applied at the given
// time.
func NewSnapshot(catalog *cataloger.Catalog, phase Phase, appliedAt time.Duration, stop StopSchedule) *Snapshot {
	return &Snapshot{catalog: catalog, phase: phase, appliedAt: appliedAt, stop: stop}
}

// accepts reports whether a request that arrives with the given time limit is accepted.
func (s *Snapshot) accepts(now, limit time.Duration) bool {
	return s.phase != Leaving || now <= s.stop.AcceptUntil || now+limit <= s.stop.CompleteBy
}

// allows reports whether an accepted request may be sent to a backend server: its deadline
// is not later than the end of the stop, or it is not expected to take that long. A host
// that breaks off a request leaves its caller with an unknown outcome.
func (s *Snapshot) allows(now, deadline, expected time.Duration) bool {
	return s.phase != Leaving || deadline <= s.stop.CompleteBy || now+expected <= s.stop.CompleteBy
}

// HeaderCodec decodes and formats header values in the format of the deployment.
type HeaderCodec interface {
	// DecodeReport decodes what a backend server reports of itself in the headers of a
	// response with a status. Malformed parts are unknown.
	DecodeReport(status int, headers http.Header) placer.Load
	FormatRetryAfter(d time.Duration) string
}

// RateLimiter charges requests to the rate limits of workspaces.
type RateLimiter interface {
	Take(ctx context.Context, now time.Duration, limit string) (bool, time.Duration)
	Refund(now time.Duration, limit string)
}

// Placer chooses a backend server for each attempt and receives its outcome.
type Placer interface {
	Choose(now time.Duration, q placer.Query) (placer.Pick, placer.Verdict, time.Duration)
	Done(now time.Duration, pick placer.Pick, outcome placer.Outcome, load placer.Load)
	LongestRun(q placer.Query) time.Duration
	Reachable(now time.Duration, except string, n int) []placer.Endpoint
	Leaves(pick placer.Pick) bool
	RespondedSince(since time.Duration, service string) bool
	CheckTargets(now time.Duration, service string, n int, random bool) []placer.Endpoint
}

// RoundTripper sends a request to a backend server once, or checks whether a backend
// server accepts connections.
type RoundTripper interface {
	RoundTrip(ctx context.Context, target roundtripper.Target, req *roundtripper.Request) (*roundtripper.Response, error)
	Check(ctx context.Context, target roundtripper.Target) error
}

// Quarantine keeps requests that crash backend servers away from them.
type Quarantine interface {
	Empty() bool // there is nothing to enter or to clear
	Enter(ctx context.Context, d quarantiner.Digest) quarantiner.Verdict
	Leave(d quarantiner.Digest)
	Crashed(now time.Duration, d quarantiner.Digest, run, route string)
	Answered(now time.Duration, d quarantiner.Digest)
	Claim(now time.Duration, d quarantiner.Digest) (quarantiner.Trial, bool)
	EndClaim(trial quarantiner.Trial, granted bool) quarantiner.Verdict
	RetryAfter(now time.Duration, d quarantiner.Digest) time.Duration
}

// TrialClaimer claims a trial of a quarantined request for this host alone. It returns
// false if another host has it, or if the outcome is not known.
type TrialClaimer interface {
	ClaimTrial(ctx context.Context, trial quarantiner.Trial) bool
}

// Reach tells which services the host reaches over its own links.
type Reach interface {
	Suspect(now time.Duration, service string) bool
	Checked(now time.Duration, service string, passed bool) bool
	UsesOwnLinks(now time.Duration, service string, draw float64) bool
}

// Relays chooses the other hosts that requests are relayed to, and sends them there.
type Relays interface {
	// Relay returns a host that reaches backend servers, in one of the regions unless
	// these are nil, and not among those with the given names.
	Relay(regions, except []string) (roundtripper.Target, bool)
	RoundTrip(ctx context.Context, target roundtripper.Target, req *roundtripper.Request) (*roundtripper.Response, error)
}

// Retries limits the number of retries of a service's requests.
type Retries struct {
	Ratio float64 // retries per first attempt
	Burst float64 // retries that may be made in a burst beyond that ratio
}

// Dispatcher is the HTTP handler that forwards requests to backend servers.
type Dispatcher struct {
	headerNames  header.Names
	codec        HeaderCodec
	clock        *timekeeper.Clock
	rateLimiter  RateLimiter
	placer       Placer
	roundTripper RoundTripper
	latency      *recorder.Latency
	scope        tally.Scope
	snapshot     atomic.Pointer[Snapshot]
	inFlight     atomic.Int64 // requests being served; never negative
	retries      Retries
	mu           sync.Mutex
	budgets      map[string]*limiter.RetryBudget // by service
	splitter     *splitter
	bodies       bodyBudget
	crashes      *crashDetector
	quarantine   Quarantine
	trialClaimer TrialClaimer // nil if quarantined requests get no trials
	reach        Reach        // nil if the host always uses its own links
	relays       Relays       // nil if reach is
	onReach      func(service string)
	name         string // of the host, for those that it relays requests to
}

// Option sets one property of a dispatcher.
type Option func(*Dispatcher)

// WithRetries limits the retries of each service's requests.
func WithRetries(r Retries) Option {
	return func(c *Dispatcher) { c.retries = r }
}

// WithBodyMemory limits the bytes of request and response bodies that the host holds at
// one time. Requests whose bodies do not fit are refused, and responses are forwarded while
// they arrive.
func WithBodyMemory(bytes int64) Option {
	return func(c *Dispatcher) { c.bodies.limit = bytes }
}

// WithQuarantine sets the quarantine, which other parts of the host share, and what
// claims the trials of quarantined requests. Without it the dispatcher has a quarantine
// of its own and no trials.
func WithQuarantine(q Quarantine, claimer TrialClaimer) Option {
	return func(c *Dispatcher) { c.quarantine, c.trialClaimer = q, claimer }
}

// WithRelays makes the dispatcher of the named host send requests of services that the
// host does not reach to other hosts. It calls onReach when a service is lost or begins
// to return, from any goroutine.
func WithRelays(name string, reach Reach, relays Relays, onReach func(service string)) Option {
	return func(c *Dispatcher) { c.name, c.reach, c.relays, c.onReach = name, reach, relays, onReach }
}

// New returns a dispatcher that refuses all requests until a snapshot is set.
func New(headerNames header.Names, codec HeaderCodec, clock *timekeeper.Clock, rateLimiter RateLimiter, placer Placer, roundTripper RoundTripper, rec *recorder.Recorder, options ...Option) *Dispatcher {
	c := &Dispatcher{
		headerNames: headerNames, codec: codec, clock: clock, rateLimiter: rateLimiter, placer: placer, roundTripper: roundTripper,
		latency: rec.Latency(), scope: rec.Scope(),
		budgets:  map[string]*limiter.RetryBudget{},
		splitter: newSplitter(),
		crashes:  newCrashDetector(clock, placer, roundTripper),

		quarantine: quarantiner.New(func() {}),
	}
	for _, option := range options {
		option(c)
	}
	c.snapshot.Store(&Snapshot{})
	return c
}

// SetSnapshot replaces the snapshot that new requests are served under.
func (c *Dispatcher) SetSnapshot(s *Snapshot) {
	if before := c.snapshot.Swap(s); s.catalog != nil && s.catalog != before.catalog {
		c.splitter.retain(s.catalog.Routes())
	}
}

// SetRetries changes the limit on retries.
func (c *Dispatcher) SetRetries(r Retries) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retries = r
	for _, budget := range c.budgets {
		budget.SetRatio(r.Ratio)
		budget.Resize(r.Burst)
	}
}

// InFlight returns the number of requests being served.
func (c *Dispatcher) InFlight() int64 { return c.inFlight.Load() }

// BodyBytes returns the bytes of request bodies that the host holds.
func (c *Dispatcher) BodyBytes() int64 { return c.bodies.held.Load() - c.bodies.responses.Load() }

// ResponseBytes returns the bytes of response bodies that the host holds.
func (c *Dispatcher) ResponseBytes() int64 { return c.bodies.responses.Load() }

// Idempotent reports whether requests with this Host header and path may be executed
// more than once. It is false if there is no route for them.
func (c *Dispatcher) Idempotent(host, path string) bool {
	catalog := c.snapshot.Load().catalog
	if catalog == nil {
		return false
	}
	route := catalog.Route(hostName(host), path)
	return route != nil && route.Idempotent()
}

// budget returns the retry budget of a service, which it creates on first use.
func (c *Dispatcher) budget(service string) *limiter.RetryBudget {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.budgets[service]
	if b == nil {
		b = limiter.NewRetryBudget(c.retries.Ratio, c.retries.Burst)
		c.budgets[service] = b
	}
	return b
}

// ServeHTTP implements http.Handler.
func (c *Dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	c.newCall(w, r).serve()
}

func (c *Dispatcher) newCall(w http.ResponseWriter, r *http.Request) *call {
	return &call{dispatcher: c, w: w, r: r, startedAt: c.clock.Now(), snapshot: c.snapshot.Load(), id: r.Header.Get(c.headerNames.RequestID)}
}
