package placer

import (
	"slices"
	"time"
)

const (
	betweenRegions = 40 * time.Millisecond  // there and back between regions of both deployments
	betweenZones   = 2 * time.Millisecond   // the same between zones of a region
	failureCost    = 2.0                    // a failure costs so many times the latency goal
	copies         = 1                      // servers of an object that are taken to have it warm; 2 and 3 measured worse
	stayMargin     = 0.85                   // a later server must cost less than this share of an earlier one; 0.7 and 1 measured worse
	lateWait       = 0.3                    // a request that will be late waits at most this share of its goal; 0.1 and 1 measured worse
	noServerWait   = 500 * time.Millisecond // registrations change about so often when servers come back
	longestWait    = 2 * time.Second        // callers wait no longer than a third of their time
)

// Pick is a place at a backend server, to be given back by Done.
type Pick struct {
	server *server // guarded by the placer's lock
	number uint64  // of all picks of the placer
	id     string
	at     string // address
	region string
	object objectKey
	times  *times
	began  time.Duration
	run    time.Duration // expected time at work
	wait   time.Duration // expected wait before it
	seen   bool          // this host saw the server handle the object lately
	bound  bool          // it may run in certain regions only
	rank   int           // place in the object's order; 0 is first
	load   float64       // requests there when it was chosen
}

// ID returns the backend server's id.
func (p Pick) ID() string { return p.id }

// Address returns the backend server's host:port.
func (p Pick) Address() string { return p.at }

// Region returns where the backend server is.
func (p Pick) Region() string { return p.region }

// Rank returns the place in the object's order of servers; 0 is first.
func (p Pick) Rank() int { return p.rank }

// Load returns the requests that were believed to be there.
func (p Pick) Load() float64 { return p.load }

// Expected returns the time that the answer was expected to take.
func (p Pick) Expected() time.Duration { return p.run + p.wait }

// Began returns when the place was taken.
func (p Pick) Began() time.Duration { return p.began }

// learn takes in how long the route's requests take when nothing waits.
func (p Pick) learn(now time.Duration) {
	if p.wait == 0 {
		p.times.learn(p.seen, now-p.began)
	}
}

// choice is the search for one request's server.
type choice struct {
	placer *Placer
	pool   *pool
	now    time.Duration
	query  Query
	times  *times
}

// candidate is a server with what it would cost.
type candidate struct {
	server *server
	rank   int
	run    time.Duration
	wait   time.Duration
	cost   time.Duration
}

// best returns the cheapest server that may be used. Without one the duration
// says by how much the request would wait too long there, and is 0 when no
// server may be used at all. A request that finds the queue too long at its best
// server is not sent to one where it would run cold: that takes several times
// the work, which is short just then. Servers that were ejected are used only
// when there is no other.
func (c *choice) best() (candidate, bool, time.Duration) {
	key := objectKey{c.query.Route, c.query.Object}
	candidates := c.candidates(key)
	for len(candidates) > 0 {
		i := cheapest(candidates)
		found := candidates[i]
		if excess := c.excess(found); excess > 0 {
			return candidate{}, false, excess
		}
		if c.placer.allows(c.now, found.server) {
			return found, true, 0
		}
		candidates = slices.Delete(candidates, i, i+1)
	}
	return candidate{}, false, 0
}

func cheapest(candidates []candidate) int {
	best := 0
	for i := range candidates {
		if float64(candidates[i].cost) < stayMargin*float64(candidates[best].cost) {
			best = i
		}
	}
	return best
}

// candidates returns the first servers in the object's order that may be used.
// Without an object all of them are.
func (c *choice) candidates(key objectKey) []candidate {
	var list []candidate
	if key.object == "" {
		list = c.among(key, c.pool.servers, len(c.pool.servers))
	} else {
		o := c.pool.order(key)
		first, second := o.all, o.near
		if o.draw < c.pool.flow.nearby {
			first, second = o.near, o.all
		}
		list = c.among(key, first, nearest)
		list = c.extend(list, key, second, nearest)
		if len(list) < nearest {
			list = c.extend(list, key, o.all, len(o.all))
		}
	}
	if len(list) == 0 {
		return c.lastResort(key)
	}
	return list
}

func (c *choice) among(key objectKey, servers []*server, most int) []candidate {
	return c.extend(make([]candidate, 0, 2*nearest), key, servers, most)
}

func (c *choice) extend(list []candidate, key objectKey, servers []*server, most int) []candidate {
	for _, s := range servers {
		if most == 0 {
			break
		}
		if !c.fits(s) || !s.usable(c.now) || holds(list, s) {
			continue
		}
		most--
		list = append(list, c.candidate(key, s, len(list)))
	}
	return list
}

// lastResort returns ejected servers: they may be back.
func (c *choice) lastResort(key objectKey) []candidate {
	var list []candidate
	for _, s := range c.pool.servers {
		if c.fits(s) && s.running == 0 {
			list = append(list, c.candidate(key, s, len(list)))
		}
	}
	return list
}

func holds(list []candidate, s *server) bool {
	return slices.ContainsFunc(list, func(c candidate) bool { return c.server == s })
}

// fits reports whether a request may run at a server at all.
func (c *choice) fits(s *server) bool {
	if slices.Contains(c.query.Tried, s.ID()) {
		return false
	}
	return c.query.Homes == nil || slices.Contains(c.query.Homes, s.region)
}

func (c *choice) candidate(key objectKey, s *server, rank int) candidate {
	slow := s.slowness(c.now)
	run := time.Duration(slow * float64(c.times.expected(rank < copies || s.warm(c.now, key))))
	wait := time.Duration(slow * float64(c.waitAt(s)))
	failures := time.Duration(failureCost * s.failing(c.now) * float64(c.query.Goal))
	return candidate{server: s, rank: rank, run: run, wait: wait, cost: c.distance(s) + wait + run + failures}
}

// waitAt returns how long a request would wait for a slot.
func (c *choice) waitAt(s *server) time.Duration {
	before := s.load(c.now) - float64(s.Slots()) + 1
	if before <= 0 {
		return 0
	}
	return time.Duration(before / float64(s.Slots()) * float64(c.times.expected(true)))
}

func (c *choice) distance(s *server) time.Duration {
	switch {
	case s.region != c.placer.place.Region:
		return betweenRegions
	case s.Zone() != c.placer.place.Zone:
		return betweenZones
	}
	return 0
}

// excess returns by how much a request would wait too long, or 0 when it is to
// be taken. An answer that comes late anyway is not worth a long queue: what
// waits behind it would be late as well, and a queue that has grown long makes
// all answers late for as long as it lasts. So a request that would miss its
// goal is taken only when it hardly waits.
func (c *choice) excess(found candidate) time.Duration {
	if found.wait > c.query.Left-found.run/2 {
		return found.wait
	}
	onTime := found.wait+found.run+c.distance(found.server) <= c.query.Goal
	bearable := time.Duration(lateWait * float64(c.query.Goal))
	if onTime || found.wait <= bearable {
		return 0
	}
	return found.wait - bearable
}

func (c *choice) take(found candidate) Pick {
	s := found.server
	load := s.load(c.now)
	s.running++
	c.placer.picks++
	key := objectKey{c.query.Route, c.query.Object}
	pick := Pick{
		server: s, number: c.placer.picks, id: s.ID(), at: s.Address(), region: s.region, object: key, times: c.times, seen: s.warm(c.now, key),
		began: c.now, run: found.run, wait: found.wait, rank: found.rank, load: load,
		bound: c.query.Homes != nil,
	}
	s.open = append(s.open, openTry{pick: pick, due: overdueFrom})
	return pick
}
