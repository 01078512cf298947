package placer

import (
	"slices"
	"time"
)

const (
	regionRoundTrip    = 40 * time.Millisecond  // between regions, in both deployments
	zoneRoundTrip      = 2 * time.Millisecond   // between zones of a region
	failurePenalty     = 2.0                    // cost of a failed attempt, in latency goals
	warmCopies         = 1                      // number of servers at the head of an object's order that are assumed to have it warm
	switchCostRatio    = 0.85                   // a later server must cost less than this share of an earlier one
	spareUtilization   = 0.7                    // requests per slot of a service up to which a request runs cold rather than be refused
	maxLateWait        = 0.3                    // longest wait of a request that will miss its latency goal, as a share of the goal
	noServerRetryDelay = 500 * time.Millisecond // registrations change about this often when servers come back
	largeExchange      = 32 << 10               // bytes of a request and its response from which they should stay in their availability zone
	zonalCandidates    = 2                      // servers of the zone that precede the others then
	maxRetryDelay      = 2 * time.Second        // callers wait no longer than a third of their time
)

// Pick is a reserved place at a backend server. Done releases it.
type Pick struct {
	server      *server // guarded by the placer's lock
	seq         uint64  // sequence number among the placer's picks
	id          string
	address     string
	runName     string
	region      string
	object      objectKey
	runTimes    *runTimes
	began       time.Duration // when the place was reserved
	run         time.Duration // expected run time
	wait        time.Duration // expected wait before the run
	knownWarm   bool          // this host saw the server handle the object recently
	regionBound bool          // the request may run in certain regions only
	priority    int           // of the request
	goal        time.Duration // of the request
	rank        int           // position in the object's order; 0 is first
	load        float64       // estimated requests at the server when it was chosen
}

// ID returns the backend server's ID.
func (p Pick) ID() string { return p.id }

// Address returns the backend server's host:port.
func (p Pick) Address() string { return p.address }

// RunName returns the name of the backend server's run.
func (p Pick) RunName() string { return p.runName }

// Region returns the backend server's region.
func (p Pick) Region() string { return p.region }

// Rank returns the server's position in the object's order; 0 is first.
func (p Pick) Rank() int { return p.rank }

// Load returns the estimated number of requests at the server when it was
// chosen.
func (p Pick) Load() float64 { return p.load }

// Expected returns the expected time to the answer, including the wait for a
// slot.
func (p Pick) Expected() time.Duration { return p.run + p.wait }

// StartedAt returns when the place was reserved.
func (p Pick) StartedAt() time.Duration { return p.began }

// observeBytes adds the size of an exchange to the route's average.
func (p Pick) observeBytes(bytes int64) {
	p.runTimes.bytes += runTimeWeight * (float64(bytes) - p.runTimes.bytes)
}

// observeRunTime adds the time of an answered request to the route's run
// times. Requests that were expected to wait are left out, since their time
// includes the wait.
func (p Pick) observeRunTime(now time.Duration) {
	if p.wait == 0 {
		p.runTimes.observe(p.knownWarm, now-p.began)
	}
}

// choice is the search for a server for one request.
type choice struct {
	placer   *Placer
	pool     *pool
	now      time.Duration
	query    Query
	runTimes *runTimes
	limit    float64 // longest queue in requests per slot that the request may join by its priority; infinite for any
	ownLimit float64 // the same by itself
	home     string  // region that the request leaves only within the limit; empty if it may run anywhere
}

// candidate is a server with the expected cost of sending the request there.
type candidate struct {
	server *server
	rank   int
	run    time.Duration
	wait   time.Duration
	cost   time.Duration
}

// best returns the cheapest server that may be used. Without one, the duration
// is the time by which the request would wait too long, or 0 if no server may
// be used at all. On a large fleet a busy server may decline the request, and the next
// cheapest is taken. A request that would wait too long at its best server is not
// sent to one where it would run cold: a cold run takes several times the
// work, at a time when capacity is short. Ejected servers are used only if
// there is no other.
func (c *choice) best() (candidate, bool, time.Duration) {
	key := objectKey{c.query.Route, c.query.Object}
	candidates := c.candidates(key)
	c.home = c.homeRegion(key, candidates)
	candidates, avoided := c.withoutColdRuns(key, c.withoutSpill(candidates))
	if avoided {
		c.pool.coldAvoided++
	}
	declined := false
	for len(candidates) > 0 {
		i := cheapest(candidates)
		found := candidates[i]
		if c.declines(found.server) {
			if !declined {
				c.pool.declined++
			}
			declined = true
			candidates = slices.Delete(candidates, i, i+1)
			continue
		}
		if excess := c.excess(found); excess > 0 {
			if spare, ok := c.spare(key); ok {
				return spare, true, 0
			}
			return candidate{}, false, excess
		}
		if c.placer.takeAllowance(c.now, found.server) {
			return found, true, 0
		}
		candidates = slices.Delete(candidates, i, i+1)
	}
	if !declined {
		return candidate{}, false, 0
	}
	if spare, ok := c.spare(key); ok {
		return spare, true, 0
	}
	return candidate{}, false, c.runTimes.expected(true)
}

// spare returns the first server of the object's order that has a free slot, if
// the service as a whole has enough of them. On a large fleet without enough it may
// return an idle server.
func (c *choice) spare(key objectKey) (candidate, bool) {
	if key.object == "" {
		return candidate{}, false
	}
	if !c.hasSpareSlots() {
		return c.idleServer(key)
	}
	for i, s := range c.pool.order(key).all {
		if !c.eligible(s) || !s.usable(c.now) || c.heldBack(s) {
			continue
		}
		next := c.candidate(key, s, i)
		if next.wait == 0 && c.excess(next) == 0 && !c.declines(s) && c.placer.takeAllowance(c.now, s) {
			return next, true
		}
	}
	return candidate{}, false
}

// hasSpareSlots reports whether the service as a whole has enough free slots for cold
// runs.
func (c *choice) hasSpareSlots() bool {
	if c.placer.averaging() {
		return c.pool.utilization <= spareUtilization
	}
	return c.pool.load(c.now) <= spareUtilization*float64(c.pool.slots)
}

// cheapest returns the index of the cheapest candidate. A later candidate
// counts as cheaper only if it costs less than switchCostRatio of the earlier
// one.
func cheapest(candidates []candidate) int {
	best := 0
	for i := range candidates {
		if float64(candidates[i].cost) < switchCostRatio*float64(candidates[best].cost) {
			best = i
		}
	}
	return best
}

// candidates returns the first usable servers in the object's order. Without
// an object it returns all usable servers, in an order of this request.
func (c *choice) candidates(key objectKey) []candidate {
	var list []candidate
	if key.object == "" {
		list = c.spread()
	} else {
		order := c.pool.order(key)
		first, second := order.all, order.local
		if order.draw < c.pool.split.localShare {
			first, second = order.local, order.all
		}
		list = make([]candidate, 0, 2*orderCandidates)
		if c.placer.averaging() && c.runTimes.bytes >= largeExchange && c.pool.zoneHasShare() {
			list = c.appendCandidates(list, key, order.zonal, zonalCandidates)
		}
		list = c.appendCandidates(list, key, first, orderCandidates)
		list = c.appendCandidates(list, key, second, orderCandidates)
		if len(list) < orderCandidates {
			list = c.appendCandidates(list, key, order.all, len(order.all))
		}
	}
	if len(list) == 0 {
		return c.lastResort(key)
	}
	return list
}

// appendCandidates appends up to limit usable servers that are not in the
// list.
func (c *choice) appendCandidates(list []candidate, key objectKey, servers []*server, limit int) []candidate {
	for _, s := range servers {
		if limit == 0 {
			break
		}
		if !c.eligible(s) || !s.usable(c.now) || contains(list, s) {
			continue
		}
		limit--
		list = append(list, c.candidate(key, s, len(list)))
	}
	return list
}

// lastResort returns the eligible servers that have no request of this host,
// even if they are ejected: they may have recovered.
func (c *choice) lastResort(key objectKey) []candidate {
	var list []candidate
	for _, s := range c.pool.servers {
		if c.eligible(s) && s.running == 0 {
			list = append(list, c.candidate(key, s, len(list)))
		}
	}
	return list
}

func contains(list []candidate, s *server) bool {
	return slices.ContainsFunc(list, func(c candidate) bool { return c.server == s })
}

// eligible reports whether the request may run at a server now: the server was not
// attempted before, its region is allowed, and the server takes a request now by its
// request limit and its Retry-After.
func (c *choice) eligible(s *server) bool {
	return c.mayRun(s) && s.pauseWait(c.now) == 0 && c.placer.withinLimit(c.now, s)
}

// mayRun reports whether the request may run at a server: the server was not attempted
// before, and its region is allowed.
func (c *choice) mayRun(s *server) bool {
	if slices.Contains(c.query.Attempted, s.ID()) {
		return false
	}
	return c.query.AllowedRegions == nil || slices.Contains(c.query.AllowedRegions, s.region)
}

// retryDelay returns the time after which a request that no server takes now may be
// taken, by the request limits and the Retry-After of the servers.
func (c *choice) retryDelay() time.Duration {
	delay, known := maxRetryDelay, false
	for _, s := range c.pool.servers {
		if !c.mayRun(s) {
			continue
		}
		limitWait, ok := c.placer.limitWait(c.now, s)
		if wait := max(limitWait, s.pauseWait(c.now)); ok && wait > 0 {
			delay, known = min(delay, wait), true
		}
	}
	if !known {
		return noServerRetryDelay
	}
	return delay
}

func (c *choice) candidate(key objectKey, s *server, rank int) candidate {
	slowness := s.slowness(c.now)
	warm := key.object == "" || rank < warmCopies || s.warm(c.now, key)
	run := time.Duration(slowness * float64(c.runTimes.expected(warm)))
	wait := time.Duration(slowness * float64(c.expectedWait(s)))
	failures := time.Duration(failurePenalty * s.failureRate(c.now) * float64(c.query.Goal))
	return candidate{server: s, rank: rank, run: run, wait: wait, cost: c.distance(s) + wait + run + failures}
}

// expectedWait returns how long a request would wait for a slot of the server.
func (c *choice) expectedWait(s *server) time.Duration {
	load := s.load(c.now)
	if c.placer.averaging() {
		load = s.utilization * float64(s.Slots())
	}
	queued := load - float64(s.Slots()) + 1
	if queued <= 0 {
		return 0
	}
	return time.Duration(queued / float64(s.Slots()) * float64(c.runTimes.expected(true)))
}

// distance returns the round-trip time to the server.
func (c *choice) distance(s *server) time.Duration {
	switch {
	case s.region != c.placer.location.Region:
		return regionRoundTrip
	case s.Zone() != c.placer.location.Zone:
		return zoneRoundTrip
	}
	return 0
}

// excess returns by how much the request would wait too long, or 0 if it is to
// be accepted. A request that would miss its latency goal is accepted only if
// its wait is short: the requests queued behind it would be late as well, and
// a long queue makes all answers late for as long as it lasts.
func (c *choice) excess(found candidate) time.Duration {
	if found.wait > c.query.TimeLeft-found.run/2 {
		return found.wait
	}
	if c.placer.averaging() {
		return 0 // declines keeps queues short
	}
	if yield := c.yieldWait(found); yield > 0 {
		return yield
	}
	onTime := found.wait+found.run+c.distance(found.server) <= c.query.Goal
	maxWait := time.Duration(maxLateWait * float64(c.query.Goal))
	if onTime || found.wait <= maxWait {
		return 0
	}
	return found.wait - maxWait
}

// reserve takes a place at the server of the candidate.
func (c *choice) reserve(found candidate) Pick {
	s := found.server
	load := s.load(c.now)
	s.running++
	c.placer.spill.observe(c.now, c.leavesHome(s), c.placer.shiftCap)
	c.placer.pickCount++
	key := objectKey{c.query.Route, c.query.Object}
	pick := Pick{
		server: s, seq: c.placer.pickCount, id: s.ID(), address: s.Address(), runName: s.Run(), region: s.region, object: key, runTimes: c.runTimes, knownWarm: s.warm(c.now, key),
		began: c.now, run: found.run, wait: found.wait, rank: found.rank, load: load,
		regionBound: c.query.AllowedRegions != nil, priority: c.query.Priority, goal: c.query.Goal,
	}
	s.openAttempts = append(s.openAttempts, openAttempt{pick: pick, dueRatio: overdueRatio})
	return pick
}
