// Package carrier takes one request of a caller through the host: route, key,
// rate, backend server, answer. It answers every request exactly once, and says
// of none that it was not run unless that is certain.
package carrier

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"magnoliahill.example/magnoliahill/internal/clocker"
	"magnoliahill.example/magnoliahill/internal/exchanger"
	"magnoliahill.example/magnoliahill/internal/recorder"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/marker"
	"magnoliahill.example/magnoliahill/pkg/placer"
)

// Phase is what the host does with requests.
type Phase int

// Phases of a host.
const (
	Starting  Phase = iota // refuses: it knows no configuration yet
	Serving                // answers
	Leaving                // answers, and asks callers to go elsewhere
	Finishing              // refuses what is new and finishes what runs
)

// String returns the phase's name.
func (p Phase) String() string {
	return [...]string{"starting", "serving", "leaving", "finishing"}[p]
}

// View is what requests read. It never changes once it is set.
type View struct {
	catalog *cataloger.Catalog // nil before the first configuration
	phase   Phase
	since   time.Duration // when the configuration was adopted
	stop    Stop
}

// Stop is when a planned stop runs its course; zero unless the host stops.
type Stop struct {
	Takes time.Duration // until then all requests are taken
	Ends  time.Duration // by then all of them are answered; later ones are taken only if they surely are
}

// NewView returns a view of a configuration adopted at a time.
func NewView(catalog *cataloger.Catalog, phase Phase, since time.Duration, stop Stop) *View {
	return &View{catalog: catalog, phase: phase, since: since, stop: stop}
}

// takes reports whether a request that may last for a while is still taken.
func (v *View) takes(now, lasts time.Duration) bool {
	return v.phase != Leaving || now <= v.stop.Takes || now+lasts <= v.stop.Ends
}

// Dialect reads and writes header values as the deployment spells them.
type Dialect interface {
	DecodeLoad(header string) placer.Load
	FormatRetryAfter(d time.Duration) string
}

// Rates charges requests to the rates of workspaces.
type Rates interface {
	Take(ctx context.Context, now time.Duration, limit string) (bool, time.Duration)
	Refund(now time.Duration, limit string)
}

// Places chooses backend servers.
type Places interface {
	Choose(now time.Duration, q placer.Query) (placer.Pick, placer.Verdict, time.Duration)
	Done(now time.Duration, pick placer.Pick, outcome placer.Outcome, load placer.Load)
}

// Link sends a request to a backend server once.
type Link interface {
	Try(ctx context.Context, target exchanger.Target, req *exchanger.Request) (*exchanger.Answer, error)
}

// Retries bounds how often requests are sent again.
type Retries struct {
	Ratio float64 // retries as a share of first tries
	Size  float64 // retries beyond that share in a window
}

// Carrier serves requests.
type Carrier struct {
	words   marker.Vocabulary
	dialect Dialect
	clock   *clocker.Clock
	rates   Rates
	places  Places
	link    Link
	latency *recorder.Latency
	scope   tally.Scope
	view    atomic.Pointer[View]
	running atomic.Int64 // requests being served; never negative
	retries Retries
	mu      sync.Mutex
	budgets map[string]*limiter.Budget // by service
	splits  *splitter
}

// Option sets one property of a carrier.
type Option func(*Carrier)

// WithRetries bounds how often requests of a service are sent again.
func WithRetries(r Retries) Option {
	return func(c *Carrier) { c.retries = r }
}

// New returns a carrier that refuses all requests until it has a view.
func New(words marker.Vocabulary, dialect Dialect, clock *clocker.Clock, rates Rates, places Places, link Link, rec *recorder.Recorder, options ...Option) *Carrier {
	c := &Carrier{
		words: words, dialect: dialect, clock: clock, rates: rates, places: places, link: link,
		latency: rec.Latency(), scope: rec.Scope(),
		budgets: map[string]*limiter.Budget{},
		splits:  newSplitter(),
	}
	for _, option := range options {
		option(c)
	}
	c.view.Store(&View{})
	return c
}

// SetView replaces what requests read.
func (c *Carrier) SetView(v *View) { c.view.Store(v) }

// SetRetries changes the bound on retries.
func (c *Carrier) SetRetries(r Retries) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retries = r
	for _, budget := range c.budgets {
		budget.Resize(r.Size)
	}
}

// Running returns the requests being served.
func (c *Carrier) Running() int64 { return c.running.Load() }

func (c *Carrier) budget(service string) *limiter.Budget {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.budgets[service]
	if b == nil {
		b = limiter.NewBudget(c.retries.Ratio, c.retries.Size)
		c.budgets[service] = b
	}
	return b
}

// ServeHTTP serves one request.
func (c *Carrier) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.running.Add(1)
	defer c.running.Add(-1)
	one := &call{carrier: c, w: w, r: r, began: c.clock.Now(), view: c.view.Load(), id: r.Header.Get(c.words.RequestID)}
	one.serve()
}
