// Package router selects the backend server for each request of a service. It
// considers zones from near to far, and within a zone takes the less loaded of
// two random servers. It does no I/O.
package router

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

// Headroom limits the requests in flight for a service in each zone, over all
// hosts.
type Headroom interface {
	Take(now time.Duration, limit string, n int64) bool
	Release(now time.Duration, limit string, n int64)
}

// StateChart is the state machine of a backend server.
type StateChart interface {
	Step(from, trigger string) (string, error)
}

// Result is the outcome of one attempt.
type Result int

// Only Failed counts against a backend server's health.
const (
	Answered Result = iota
	Shed            // not run, because the backend server is overloaded
	Failed
	Canceled
)

const million = 1_000_000 // shares are in millionths

type zone struct {
	name     string
	region   string
	limit    string // name of the limit that hosts share
	distance time.Duration
	targets  []*Target
}

// Router holds the backend servers of one service as seen from one host.
type Router struct {
	mu           sync.Mutex
	service      string
	ownZone      string // zone of the host
	coldStart    time.Duration
	zones        []*zone // nearest first
	shift        Shift
	shiftedZones []*zone // zones of the region that the shift goes to, then the others; each nearest first
	chart        StateChart
	headroom     Headroom
	random       *rand.Rand
}

// Pick is a slot at a backend server, reserved for one request. Every pick must
// be released by Done.
type Pick struct {
	target    *Target
	zone      *zone
	startedAt time.Duration
}

// Server returns the selected backend server.
func (p Pick) Server() *cataloger.BackendServer { return p.target.server }

// LimitName returns the name of the limit on the requests in flight for a
// service in a zone. Hosts share it.
func LimitName(service, zone string) string { return "headroom/" + service + "/" + zone }

// New returns a router for a service, as seen from the host's zone. It has no
// backend servers before the first Update.
func New(service, ownZone string, chart StateChart, headroom Headroom, seed uint64) *Router {
	return &Router{
		service:  service,
		ownZone:  ownZone,
		chart:    chart,
		headroom: headroom,
		random:   rand.New(rand.NewPCG(seed, seed)),
	}
}

// Update applies a configuration. Backend servers that stay keep their state.
// New ones start cold, except in the first configuration, where the host is new
// and not the servers.
func (r *Router) Update(now time.Duration, catalog *cataloger.Catalog, service *cataloger.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.targets()
	initial := r.zones == nil
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
				distance: catalog.Distance(r.ownZone, server.Zone()),
			}
			byZone[server.Zone()] = z
			r.zones = append(r.zones, z)
		}
		z.targets = append(z.targets, r.targetFor(now, server, known, !initial))
	}
	sort.SliceStable(r.zones, func(i, j int) bool {
		if r.zones[i].distance != r.zones[j].distance {
			return r.zones[i].distance < r.zones[j].distance
		}
		return r.zones[i].name < r.zones[j].name
	})
	r.updateShiftedZones()
}

// Shift is a share of a region's requests that goes to another region first.
type Shift struct {
	From, To string // regions; "" for no shift
	PPM      int64  // share in millionths
}

// SetShift sets the shift that a planned move requires at present.
func (r *Router) SetShift(shift Shift) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if shift == r.shift {
		return
	}
	r.shift = shift
	r.updateShiftedZones()
}

func (r *Router) updateShiftedZones() {
	r.shiftedZones = append([]*zone(nil), r.zones...)
	sort.SliceStable(r.shiftedZones, func(i, j int) bool {
		return r.shiftedZones[i].region == r.shift.To && r.shiftedZones[j].region != r.shift.To
	})
}

// zoneOrder returns the zones in the order in which one request considers them.
func (r *Router) zoneOrder() []*zone {
	if r.shift.PPM == 0 || len(r.zones) == 0 || r.zones[0].region != r.shift.From {
		return r.zones
	}
	if r.random.Int64N(million) < r.shift.PPM {
		return r.shiftedZones
	}
	return r.zones
}

// MaxLatency returns the highest average latency among a region's backend
// servers, or 0 when there are none.
func (r *Router) MaxLatency(region string) time.Duration {
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

// targetFor returns the known target at the server's address, or a new one,
// which starts cold if cold is set and ready otherwise.
func (r *Router) targetFor(now time.Duration, server *cataloger.BackendServer, known map[string]*Target, cold bool) *Target {
	t := known[server.Address()]
	if t == nil {
		t = &Target{state: Ready, stateSince: now}
		if cold {
			t.state = Cold
		}
	}
	t.server = server
	switch {
	case server.Draining() && t.state != Leaving:
		r.transition(now, t, Leave)
	case !server.Draining() && t.state == Leaving:
		r.transition(now, t, Return)
	}
	return t
}

func (r *Router) transition(now time.Duration, t *Target, trigger string) bool {
	next, err := r.chart.Step(string(t.state), trigger)
	if err != nil {
		return false
	}
	t.state = State(next)
	t.stateSince = now
	return true
}

// Pick selects a backend server whose address is not in attempted, and takes one
// request of its zone's headroom. It returns false when no zone has both headroom
// and a usable backend server.
func (r *Router) Pick(now time.Duration, attempted []string) (Pick, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, z := range r.zoneOrder() {
		target := r.lessLoaded(now, z, attempted)
		if target == nil || !r.headroom.Take(now, z.limit, 1) {
			continue
		}
		target.inFlight++
		return Pick{target: target, zone: z, startedAt: now}, true
	}
	return Pick{}, false
}

// lessLoaded returns the less loaded of two random targets that canPick accepts,
// or nil when there are none.
func (r *Router) lessLoaded(now time.Duration, z *zone, attempted []string) *Target {
	var first, second *Target
	seen := 0
	for _, t := range z.targets {
		if !r.canPick(now, t, attempted) {
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

func (r *Router) canPick(now time.Duration, t *Target, attempted []string) bool {
	if t.state == Cold && now-t.stateSince >= r.coldStart {
		r.transition(now, t, Warm)
	}
	if !t.usable() || float64(t.inFlight) >= t.capacity(now, r.coldStart) {
		return false
	}
	for _, address := range attempted {
		if address == t.server.Address() {
			return false
		}
	}
	return true
}

// Done releases a pick with the result of the attempt, and reports whether this
// result ejected the backend server.
func (r *Router) Done(now time.Duration, p Pick, result Result) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.headroom.Release(now, p.zone.limit, 1)
	t := p.target
	t.inFlight--
	switch result {
	case Answered:
		t.consecutiveFailures = 0
		t.latency += (now - p.startedAt - t.latency) / latencySmoothing
	case Shed:
		t.shedAt = now
	case Failed:
		t.consecutiveFailures++
		return t.consecutiveFailures >= ejectAfterFailures && r.eject(now, t)
	}
	return false
}

// eject ejects a target, unless fewer than half of the targets of its zone would
// stay usable.
func (r *Router) eject(now time.Duration, t *Target) bool {
	for _, z := range r.zones {
		usable, inZone := 0, false
		for _, other := range z.targets {
			inZone = inZone || other == t
			if other.usable() {
				usable++
			}
		}
		if inZone && 2*(usable-1) < len(z.targets) {
			return false
		}
	}
	return r.transition(now, t, Eject)
}

// RecordLoad records the number of running requests that a backend server reported
// with its response.
func (r *Router) RecordLoad(now time.Duration, p Pick, running int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.target.reportedRunning = running
	p.target.reportedAt = now
}

// Ejected returns the ejected backend servers, which need a probe.
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

// RecordProbeSuccess records a successful probe of a backend server. It returns
// false when no ejected backend server has the address.
func (r *Router) RecordProbeSuccess(now time.Duration, address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, z := range r.zones {
		for _, t := range z.targets {
			if t.server.Address() == address && t.state == Ejected {
				t.consecutiveFailures = 0
				return r.transition(now, t, ProbePassed)
			}
		}
	}
	return false
}

// View is the state of one backend server, for operators.
type View struct {
	Name     string
	Zone     string
	State    State
	InFlight int
	Latency  time.Duration
}

// Views returns the states of all backend servers, nearest zone first.
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

// StartedAt returns the time at which the slot was reserved.
func (p Pick) StartedAt() time.Duration { return p.startedAt }
