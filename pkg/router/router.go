// Package router chooses the backend server for a request: zones from near to
// far, and within a zone the better of two by load. It does no I/O.
package router

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

// Headroom is the shared count of requests that each zone takes for a service.
type Headroom interface {
	Take(now time.Duration, limit string, n int64) bool
	Release(now time.Duration, limit string, n int64)
}

// Chart moves backend servers through their states.
type Chart interface {
	Step(from, trigger string) (string, error)
}

// Result is what became of one try.
type Result int

// Only Failed speaks against a backend server's health.
const (
	Answered Result = iota
	Shed            // not run; load information
	Failed
	Canceled
)

const million = 1_000_000 // shares are counted in millionths

type zone struct {
	name     string
	region   string
	limit    string // name of the shared headroom
	distance time.Duration
	targets  []*Target
}

// Router knows the backend servers of one service as one host sees them.
type Router struct {
	mu        sync.Mutex
	service   string
	from      string // zone of the host
	coldStart time.Duration
	zones     []*zone // nearest first
	shift     Shift
	shifted   []*zone // the zones of the region that takes the shift first, then as in zones
	chart     Chart
	headroom  Headroom
	random    *rand.Rand
}

// Pick is a place for one request. Every pick must be given back by Done.
type Pick struct {
	target *Target
	zone   *zone
	began  time.Duration
}

// Server returns the backend server picked.
func (p Pick) Server() *cataloger.BackendServer { return p.target.server }

// LimitName returns the name of the headroom that hosts share for a service in
// a zone.
func LimitName(service, zone string) string { return "headroom/" + service + "/" + zone }

// New returns a router for a service, seen from a zone, without backend servers.
func New(service, from string, chart Chart, headroom Headroom, seed uint64) *Router {
	return &Router{
		service:  service,
		from:     from,
		chart:    chart,
		headroom: headroom,
		random:   rand.New(rand.NewPCG(seed, seed)),
	}
}

// Update takes over a configuration. What is known of backend servers that stay
// is kept. New ones count as cold, but for those of the first configuration:
// then the host is new, not they.
func (r *Router) Update(now time.Duration, catalog *cataloger.Catalog, service *cataloger.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.targets()
	first := r.zones == nil
	r.coldStart = service.ColdStart()
	r.zones = nil
	byZone := map[string]*zone{}
	for _, server := range service.BackendServers() {
		z := byZone[server.Zone()]
		if z == nil {
			z = &zone{
				name:     server.Zone(),
				region:   catalog.RegionOf(server.Zone()),
				limit:    LimitName(service.Name(), server.Zone()),
				distance: catalog.Distance(r.from, server.Zone()),
			}
			byZone[server.Zone()] = z
			r.zones = append(r.zones, z)
		}
		z.targets = append(z.targets, r.adopt(now, server, known, !first))
	}
	sort.SliceStable(r.zones, func(i, j int) bool {
		if r.zones[i].distance != r.zones[j].distance {
			return r.zones[i].distance < r.zones[j].distance
		}
		return r.zones[i].name < r.zones[j].name
	})
	r.reorder()
}

// Shift is the share of a region's work that goes to another region first.
type Shift struct {
	From, To string // regions; "" for no shift
	PPM      int64  // share in millionths
}

// SetShift sets the shift that a planned move wants now.
func (r *Router) SetShift(shift Shift) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if shift == r.shift {
		return
	}
	r.shift = shift
	r.reorder()
}

func (r *Router) reorder() {
	r.shifted = append([]*zone(nil), r.zones...)
	sort.SliceStable(r.shifted, func(i, j int) bool {
		return r.shifted[i].region == r.shift.To && r.shifted[j].region != r.shift.To
	})
}

// order returns the zones in the order to try for one request.
func (r *Router) order() []*zone {
	if r.shift.PPM == 0 || len(r.zones) == 0 || r.zones[0].region != r.shift.From {
		return r.zones
	}
	if r.random.Int64N(million) < r.shift.PPM {
		return r.shifted
	}
	return r.zones
}

// LatencyIn returns the longest average latency of a region's backend servers.
func (r *Router) LatencyIn(region string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	longest := time.Duration(0)
	for _, z := range r.zones {
		if z.region != region {
			continue
		}
		for _, t := range z.targets {
			longest = max(longest, t.latency)
		}
	}
	return longest
}

// targets returns all targets by address. The caller holds the lock.
func (r *Router) targets() map[string]*Target {
	known := map[string]*Target{}
	for _, z := range r.zones {
		for _, t := range z.targets {
			known[t.server.Address()] = t
		}
	}
	return known
}

// adopt returns the known target at the server's address, or a new one. Those
// of the first configuration count as warm: the host is new, not they.
func (r *Router) adopt(now time.Duration, server *cataloger.BackendServer, known map[string]*Target, cold bool) *Target {
	t := known[server.Address()]
	if t == nil {
		t = &Target{state: Ready, since: now}
		if cold {
			t.state = Cold
		}
	}
	t.server = server
	switch {
	case server.Leaving() && t.state != Leaving:
		r.step(now, t, Leave)
	case !server.Leaving() && t.state == Leaving:
		r.step(now, t, Return)
	}
	return t
}

func (r *Router) step(now time.Duration, t *Target, trigger string) bool {
	next, err := r.chart.Step(string(t.state), trigger)
	if err != nil {
		return false
	}
	t.state = State(next)
	t.since = now
	return true
}

// Pick chooses a backend server that has not been tried and takes its headroom.
// It reports false when no zone has both headroom and a usable backend server.
func (r *Router) Pick(now time.Duration, tried []string) (Pick, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, z := range r.order() {
		target := r.better(now, z, tried)
		if target == nil || !r.headroom.Take(now, z.limit, 1) {
			continue
		}
		target.inFlight++
		return Pick{target: target, zone: z, began: now}, true
	}
	return Pick{}, false
}

// better returns the less loaded of two random usable targets.
func (r *Router) better(now time.Duration, z *zone, tried []string) *Target {
	var first, second *Target
	seen := 0
	for _, t := range z.targets {
		if !r.open(now, t, tried) {
			continue
		}
		seen++
		// Reservoir sampling of two.
		switch {
		case first == nil:
			first = t
		case second == nil:
			second = t
		default:
			if i := r.random.IntN(seen); i == 0 {
				first = t
			} else if i == 1 {
				second = t
			}
		}
	}
	if second != nil && second.load(now, r.coldStart) < first.load(now, r.coldStart) {
		return second
	}
	return first
}

func (r *Router) open(now time.Duration, t *Target, tried []string) bool {
	if t.state == Cold && now-t.since >= r.coldStart {
		r.step(now, t, Warm)
	}
	if !t.usable() || float64(t.inFlight) >= t.room(now, r.coldStart) {
		return false
	}
	for _, address := range tried {
		if address == t.server.Address() {
			return false
		}
	}
	return true
}

// Done gives a pick back with its result, and reports whether the backend
// server was ejected by it.
func (r *Router) Done(now time.Duration, p Pick, result Result) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.headroom.Release(now, p.zone.limit, 1)
	t := p.target
	t.inFlight--
	switch result {
	case Answered:
		t.failures = 0
		t.latency += (now - p.began - t.latency) / averageOver
	case Shed:
		t.shedAt = now
	case Failed:
		t.failures++
		return t.failures >= failureLimit && r.eject(now, t)
	}
	return false
}

// eject takes a target out unless fewer than half of its zone would be left.
func (r *Router) eject(now time.Duration, t *Target) bool {
	for _, z := range r.zones {
		usable, holds := 0, false
		for _, other := range z.targets {
			holds = holds || other == t
			if other.usable() {
				usable++
			}
		}
		if holds && 2*(usable-1) < len(z.targets) {
			return false
		}
	}
	return r.step(now, t, Eject)
}

// Report takes in a load report that came with an answer.
func (r *Router) Report(now time.Duration, p Pick, running int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.target.reported = running
	p.target.reportAt = now
}

// Ejected returns the backend servers that need a probe.
func (r *Router) Ejected() []*cataloger.BackendServer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var servers []*cataloger.BackendServer
	for _, t := range r.targets() {
		if t.state == Ejected {
			servers = append(servers, t.server)
		}
	}
	return servers
}

// Passed takes in that a probe of an ejected backend server succeeded.
func (r *Router) Passed(now time.Duration, address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, z := range r.zones {
		for _, t := range z.targets {
			if t.server.Address() == address && t.state == Ejected {
				t.failures = 0
				return r.step(now, t, ProbePassed)
			}
		}
	}
	return false
}

// View is one backend server as an operator sees it.
type View struct {
	Name     string
	Zone     string
	State    State
	InFlight int
	Latency  time.Duration
}

// Views returns all backend servers, nearest zone first.
func (r *Router) Views() []View {
	r.mu.Lock()
	defer r.mu.Unlock()
	var views []View
	for _, z := range r.zones {
		for _, t := range z.targets {
			views = append(views, View{
				Name: t.server.Name(), Zone: z.name, State: t.state,
				InFlight: t.inFlight, Latency: t.latency,
			})
		}
	}
	return views
}

// Began returns when the place was taken.
func (p Pick) Began() time.Duration { return p.began }
