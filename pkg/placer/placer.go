// Package placer chooses the backend server for each request. Backend servers
// handle an object faster when they handled it recently, so each object has a
// stable order of servers that is the same on all hosts. A request moves down
// that order only when waiting at an earlier server costs more than a cold run
// at a later one. The package does no I/O.
//
// It is meant for services whose requests would need more slots than there are
// if all of them ran cold: they fit only because objects stay at warm servers.
package placer

import (
	"math/rand/v2"
	"sync"
	"time"

	"magnoliahill.example/magnoliahill/pkg/prioritizer"
	"magnoliahill.example/magnoliahill/pkg/registrar"
)

// Location is the location of a host or backend server.
type Location struct {
	Zone   string
	Region string
}

// Service holds the properties of a service that affect placement.
type Service struct {
	Name      string
	ColdRate  float64       // requests per second from all hosts together that a cold backend server can handle; 0 if unknown
	ColdStart time.Duration // time after its start during which a backend server is cold
}

// Query describes a request to be placed.
type Query struct {
	Service        string
	Route          string        // requests of one route take about the same time at one service
	Object         string        // object that the request is about; empty if unknown
	Priority       int           // 0 is the most urgent
	Goal           time.Duration // latency up to which the answer has its full value
	TimeLeft       time.Duration // time until the caller gives up
	AllowedRegions []string      // regions in which the request may run; nil allows all
	Attempted      []string      // IDs of backend servers already attempted
}

// Verdict is the result of choosing a server.
type Verdict int

// Verdicts of a choice.
const (
	Chosen   Verdict = iota
	NoServer         // no usable server where the request may run
	NoRoom           // no server would answer in time
)

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	Answered    Outcome = iota
	Failed              // the answer was an error, broken or missing
	Shed                // the server refused the request because it had no room
	Unreachable         // no connection could be established
	Misdirected         // a different backend server has the address
	Canceled            // ended for a reason unrelated to the backend server
)

// Placer holds a host's view of all backend servers and chooses among them. It
// is safe for concurrent use.
type Placer struct {
	mu          sync.Mutex
	self        string
	hosts       []string // all that may send requests, reachable or not
	location    Location
	regions     map[string]string // region of each availability zone
	services    []Service
	pools       map[string]*pool
	servers     map[string]*server
	list        []*server // the same servers, for what passes over all of them
	limitsKnown bool      // some server may have a request limit to report
	leaveKnown  bool      // some server may have said that it leaves
	runTimes    map[runTimesKey]*runTimes
	coldLimiter coldLimiter
	evacuated   map[string]bool // availability zones that receive no requests
	pickCount   uint64          // number of picks made
	draw        func() float64  // random numbers in [0, 1)
	shiftCap    float64         // share of a region's requests that may move to another region within two seconds

	priorities map[string]*prioritizer.Prioritizer // by service
	spill      spill
}

// Option sets a property of a placer.
type Option func(*Placer)

// WithColdLimit sets the limit on the requests per second that all hosts
// together send to a cold backend server: its cold rate times factor, plus
// slack.
func WithColdLimit(factor, slack float64) Option {
	return func(p *Placer) { p.coldLimiter.factor, p.coldLimiter.slack = factor, slack }
}

// WithShiftCap sets the share of a region's requests that may move to another
// region within two seconds.
func WithShiftCap(share float64) Option {
	return func(p *Placer) { p.shiftCap = share }
}

// WithRandom sets the source of random numbers in [0, 1). It is called under the
// placer's lock.
func WithRandom(draw func() float64) Option {
	return func(p *Placer) { p.draw = draw }
}

// New returns a placer for the host self, without backend servers. The map
// holds the region of each availability zone.
func New(self string, location Location, regions map[string]string, options ...Option) *Placer {
	p := &Placer{
		self: self, location: location, regions: regions,
		pools:       map[string]*pool{},
		servers:     map[string]*server{},
		runTimes:    map[runTimesKey]*runTimes{},
		evacuated:   map[string]bool{},
		coldLimiter: coldLimiter{factor: 1},
		shiftCap:    1,
		draw:        rand.Float64,
		priorities:  map[string]*prioritizer.Prioritizer{},
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// SetHosts sets the names of all hosts that may send requests, whether
// reachable or not.
func (p *Placer) SetHosts(names []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = names
	for _, s := range p.servers {
		s.allowance = nil
		s.limit.rank = -1
	}
}

// Update replaces the services, the registered backend servers and the
// evacuated zones. A backend server that is still the same run keeps its
// state.
func (p *Placer) Update(now time.Duration, services []Service, all []registrar.Registered, evacuated []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setEvacuated(now, evacuated, services)
	known := make(map[string]Service, len(services))
	for _, service := range services {
		known[service.Name] = service
	}
	servers, list := make(map[string]*server, len(all)), make([]*server, 0, len(all))
	for _, r := range all {
		service, ok := known[r.Service()]
		if !ok {
			service = Service{Name: r.Service()}
		}
		s := p.serverFor(now, r, service)
		servers[r.ID()] = s
		list = append(list, s)
	}
	p.servers, p.list = servers, list
	p.services = services
	p.rebuildPools(services)
}

// setEvacuated replaces the evacuated zones. Backend servers in a zone that is
// no longer evacuated are treated as cold for the cold start time of their
// service, since they may have become cold.
func (p *Placer) setEvacuated(now time.Duration, evacuated []string, services []Service) {
	coldStart := map[string]time.Duration{}
	for _, service := range services {
		coldStart[service.Name] = service.ColdStart
	}
	next := make(map[string]bool, len(evacuated))
	for _, zone := range evacuated {
		next[zone] = true
	}
	for _, s := range p.list {
		zone := s.Zone()
		if p.evacuated[zone] && !next[zone] {
			s.assumeColdUntil = max(s.assumeColdUntil, now+coldStart[s.Service()])
		}
	}
	p.evacuated = next
}

// serverFor returns the state of a registered instance: the existing one if it
// is the same run, otherwise a new one.
func (p *Placer) serverFor(now time.Duration, r registrar.Registered, service Service) *server {
	s := p.servers[r.ID()]
	if s == nil || !s.SameIncarnation(r.Instance) {
		restarted := s != nil
		s = newServer(now, r, p.regions[r.Zone()])
		if restarted {
			s.limit.observedAt = now // what other hosts heard before concerns the earlier run
		}
	}
	if s.State() == registrar.Draining && r.State() == registrar.Ready {
		s.leaving = false // it does not leave after all
	}
	s.Registered = r
	s.coldRate = service.ColdRate
	return s
}

// rebuildPools builds a pool for each service from its ready servers outside
// evacuated zones, without those that leave. Each pool inherits from the previous
// pool of the service.
func (p *Placer) rebuildPools(services []Service) {
	pools := make(map[string]*pool, len(services))
	for _, service := range services {
		pools[service.Name] = newPool(p.location, p.regions)
	}
	for _, s := range p.list {
		if pools[s.Service()] == nil {
			pools[s.Service()] = newPool(p.location, p.regions)
		}
		if s.State() == registrar.Ready && !s.leaving && !p.evacuated[s.Zone()] {
			pools[s.Service()].add(s)
		}
	}
	for name, next := range pools {
		next.finish()
		if old := p.pools[name]; old != nil {
			next.inherit(old)
		}
	}
	p.pools = pools
}

// Choose returns the backend server for a request and reserves a place there.
// If none is chosen, the duration is the time after which a retry may succeed.
func (p *Placer) Choose(now time.Duration, q Query) (Pick, Verdict, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.pools[q.Service]
	if pool == nil || len(pool.servers) == 0 {
		return Pick{}, NoServer, noServerRetryDelay
	}
	c := &choice{placer: p, pool: pool, now: now, query: q, runTimes: p.runTimesOf(q)}
	c.ask()
	best, found, excess := c.best()
	switch {
	case found:
		return c.reserve(best), Chosen, 0
	case excess > 0:
		c.refuse()
		return Pick{}, NoRoom, min(excess, maxRetryDelay)
	}
	return Pick{}, NoServer, c.retryDelay()
}

// Done records how an attempt ended and releases its place.
func (p *Placer) Done(now time.Duration, pick Pick, outcome Outcome, load Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pick.server.done(now, pick, outcome, load)
	p.countOutcome(now, pick, outcome)
	p.limitsKnown = p.limitsKnown || pick.server.limit.observed
	if load.RetryAfter > 0 {
		pick.server.pause(now, load.RetryAfter, p.self)
	}
	if load.Leaving {
		p.markLeaving(pick.server)
	}
	if outcome == Answered {
		pick.observeRunTime(now)
		pick.observeBytes(load.Bytes)
	}
}

// Running returns the number of requests that this host has at each backend
// server. Servers without any are left out.
func (p *Placer) Running() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	running := map[string]int{}
	for _, s := range p.list {
		if s.running > 0 {
			running[s.ID()] = s.running
		}
	}
	return running
}

// SetRemoteRunning sets the number of requests that other hosts have at each
// backend server, and updates the average loads. Servers that are left out have none.
func (p *Placer) SetRemoteRunning(now time.Duration, running map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.list {
		s.otherRunning = running[s.ID()]
	}
	for _, pool := range p.pools {
		pool.updateUtilization(now)
	}
}

// Summary is a host's view of one backend server.
type Summary struct {
	ID          string
	Service     string
	Zone        string
	Running     int     // requests of this host
	Load        float64 // estimated requests of all hosts
	Slowness    float64 // time taken, as a multiple of the expected time
	FailureRate float64 // share of recent attempts that failed
	Ejected     bool
	Slots       int // registered
	// ReportedSlots are the slots in the latest load report; 0 if it had none.
	ReportedSlots int
}

// Summaries returns the host's view of all backend servers, in no particular
// order.
func (p *Placer) Summaries(now time.Duration) []Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]Summary, 0, len(p.servers))
	for _, s := range p.list {
		all = append(all, Summary{
			ID: s.ID(), Service: s.Service(), Zone: s.Zone(), Running: s.running,
			Load: s.load(now), Slowness: s.slowness(now), FailureRate: s.failureRate(now), Ejected: now < s.ejectedUntil,
			Slots: s.Slots(), ReportedSlots: s.reportedSlots,
		})
	}
	return all
}
