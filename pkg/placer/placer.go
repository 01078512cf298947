// Package placer chooses the backend server for a request. Backend servers are
// faster with objects that they handled lately, so each object has a stable
// order of servers, the same on all hosts, and is moved down that order only
// when the wait there costs more than a cold run elsewhere. It does no I/O.
//
// It answers the load of a service whose requests, run cold, need more slots
// than there are: keeping objects where they are warm is what makes them fit.
package placer

import (
	"sync"
	"time"

	"magnoliahill.example/magnoliahill/pkg/registrar"
)

// Place is where a host or backend server is.
type Place struct {
	Zone   string
	Region string
}

// Service is what the placer has to know of a service.
type Service struct {
	Name      string
	ColdRate  float64       // requests a second that a cold backend server bears, from all hosts; 0 when not known
	ColdStart time.Duration // how long a backend server is cold after its start
}

// Query describes one request.
type Query struct {
	Service string
	Route   string        // requests of one route take about as long as one another
	Object  string        // what the request is about; empty when not known
	Goal    time.Duration // latency within which the answer has its full worth
	Left    time.Duration // time that the caller still waits
	Homes   []string      // regions it may run in; nil means all
	Tried   []string      // ids of backend servers that it was sent to
}

// Verdict is why no backend server was chosen.
type Verdict int

// Verdicts of a choice.
const (
	Chosen   Verdict = iota
	NoServer         // none is registered where the request may run
	NoRoom           // none would answer in time
)

// Outcome is how a try ended.
type Outcome int

// Outcomes of a try.
const (
	Answered    Outcome = iota
	Failed              // an answer that is a failure, broken or missing
	Shed                // refused for want of room
	Unreachable         // no connection came about
	Misdirected         // another backend server has the address
	Canceled            // ended for reasons that say nothing of the backend server
)

// Placer holds what a host believes of all backend servers. It is safe for
// concurrent use.
type Placer struct {
	mu       sync.Mutex
	self     string
	place    Place
	regions  map[string]string // region of each availability zone
	pools    map[string]*pool
	servers  map[string]*server
	times    map[string]*times // by route
	guard    guard
	evacuate map[string]bool // availability zones that get nothing
	picks    uint64          // made so far
	shiftCap float64         // share of a region's requests that may change their region within two seconds
}

// Option sets one property of a placer.
type Option func(*Placer)

// WithColdBound sets by what factor and by how many requests a second all hosts
// together may exceed what a cold backend server bears.
func WithColdBound(factor, slack float64) Option {
	return func(p *Placer) { p.guard.factor, p.guard.slack = factor, slack }
}

// WithShiftCap sets what share of a region's requests may change the region they
// run in within two seconds.
func WithShiftCap(share float64) Option {
	return func(p *Placer) { p.shiftCap = share }
}

// New returns a placer of a host that knows no backend servers.
func New(self string, place Place, regions map[string]string, options ...Option) *Placer {
	p := &Placer{
		self: self, place: place, regions: regions,
		pools:    map[string]*pool{},
		servers:  map[string]*server{},
		times:    map[string]*times{},
		evacuate: map[string]bool{},
		guard:    guard{factor: 1},
		shiftCap: 1,
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// SetHosts names all hosts that may send requests, reachable or not.
func (p *Placer) SetHosts(names []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.guard.hosts = names
	for _, s := range p.servers {
		s.allowance = nil
	}
}

// Update takes in the services, the registered backend servers and the zones
// that are to get nothing.
func (p *Placer) Update(now time.Duration, services []Service, all []registrar.Registered, evacuated []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.takeBack(now, evacuated, services)
	known := make(map[string]Service, len(services))
	for _, service := range services {
		known[service.Name] = service
	}
	servers := make(map[string]*server, len(all))
	for _, r := range all {
		service, ok := known[r.Service()]
		if !ok {
			service = Service{Name: r.Service()}
		}
		servers[r.ID()] = p.server(now, r, service)
	}
	p.servers = servers
	p.rebuild(services)
}

// takeBack guards the backend servers of zones that are no longer evacuated:
// they may have become cold.
func (p *Placer) takeBack(now time.Duration, evacuated []string, services []Service) {
	coldStart := map[string]time.Duration{}
	for _, service := range services {
		coldStart[service.Name] = service.ColdStart
	}
	next := make(map[string]bool, len(evacuated))
	for _, zone := range evacuated {
		next[zone] = true
	}
	for _, s := range p.servers {
		zone := s.Zone()
		if p.evacuate[zone] && !next[zone] {
			s.guardUntil = max(s.guardUntil, now+coldStart[s.Service()])
		}
	}
	p.evacuate = next
}

// server returns the state of an instance: the one at hand if it is the same
// run, and else a new one.
func (p *Placer) server(now time.Duration, r registrar.Registered, service Service) *server {
	s := p.servers[r.ID()]
	if s == nil || !s.SameRun(r.Instance) {
		s = newServer(now, r, p.regions[r.Zone()])
	}
	s.Registered = r
	s.coldRate = service.ColdRate
	return s
}

func (p *Placer) rebuild(services []Service) {
	pools := make(map[string]*pool, len(services))
	for _, service := range services {
		pools[service.Name] = newPool(p.place, p.regions)
	}
	for _, s := range p.servers {
		if pools[s.Service()] == nil {
			pools[s.Service()] = newPool(p.place, p.regions)
		}
		if s.State() == registrar.Ready && !p.evacuate[s.Zone()] {
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

// Choose returns the backend server for a request, and takes a place there. The
// duration says after what time another try may succeed when none is chosen.
func (p *Placer) Choose(now time.Duration, q Query) (Pick, Verdict, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.pools[q.Service]
	if pool == nil || len(pool.servers) == 0 {
		return Pick{}, NoServer, noServerWait
	}
	c := &choice{placer: p, pool: pool, now: now, query: q, times: p.routeTimes(q)}
	best, found, excess := c.best()
	switch {
	case found:
		return c.take(best), Chosen, 0
	case excess > 0:
		return Pick{}, NoRoom, min(excess, longestWait)
	}
	return Pick{}, NoServer, noServerWait
}

func (p *Placer) routeTimes(q Query) *times {
	t := p.times[q.Route]
	if t == nil {
		t = newTimes(q.Goal)
		p.times[q.Route] = t
	}
	return t
}

// Done takes in how a try ended, and gives its place back.
func (p *Placer) Done(now time.Duration, pick Pick, outcome Outcome, load Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pick.server.done(now, pick, outcome, load)
	if outcome == Answered {
		pick.learn(now)
	}
}

// Running returns the requests of this host by backend server, where there are
// any.
func (p *Placer) Running() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	running := map[string]int{}
	for id, s := range p.servers {
		if s.running > 0 {
			running[id] = s.running
		}
	}
	return running
}

// SetOthers takes in the requests that other hosts have under way, by backend
// server.
func (p *Placer) SetOthers(running map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.servers {
		s.told = running[id]
	}
}

// Summary is what a host believes of one backend server.
type Summary struct {
	ID       string
	Service  string
	Zone     string
	Running  int     // requests of this host
	Load     float64 // requests of all hosts, as far as known
	Slowness float64 // time taken as a multiple of the time expected
	Failures float64 // share of recent tries that failed
	Ejected  bool
}

// Summaries returns what the host believes of all backend servers.
func (p *Placer) Summaries(now time.Duration) []Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]Summary, 0, len(p.servers))
	for _, s := range p.servers {
		all = append(all, Summary{
			ID: s.ID(), Service: s.Service(), Zone: s.Zone(), Running: s.running,
			Load: s.load(now), Slowness: s.slowness(now), Failures: s.failing(now), Ejected: now < s.ejectedUntil,
		})
	}
	return all
}
