package placer

import "time"

const (
	idleUtilization = 0.15        // requests per slot below which a server counts as idle
	idleDecay       = time.Second // a load this old has a weight of 1/e in the average that is compared with it
	idleDrawAge     = time.Second // for which time at most a draw stands; about the age of the news
)

// idleSlots is what a host knows of the idle servers of a service.
type idleSlots struct {
	slots     int // of the idle servers as of updatedAt
	updatedAt time.Duration
	drawnAt   time.Duration // when a request last drew for a slot
	runs      int           // requests that got one, since they were last taken
}

// updateIdle adds the present load estimates to the long averages and counts the slots of
// the idle servers.
func (p *pool) updateIdle(now time.Duration) {
	weight := 1 - decay(now-p.idle.updatedAt, idleDecay)
	p.idle.updatedAt = now
	p.idle.slots = 0
	for _, s := range p.servers {
		s.longUtilization += weight * (s.load(now)/float64(max(s.Slots(), 1)) - s.longUtilization)
		if s.idle(now) {
			p.idle.slots += s.Slots()
		}
	}
}

// idle reports whether a server has had so few requests for longer than the news of it
// is old that a cold run there takes no slot from others.
func (s *server) idle(now time.Duration) bool {
	return s.longUtilization < idleUtilization && !s.maybeCold(now)
}

// idleServer returns an idle server for a request that would be refused for lack of room
// at the servers where its object is warm. It runs cold there, and those that follow find
// the object warm. All hosts may see the same server idle for as long as their news is
// old, so each sends its part of what the idle slots can run in that time.
func (c *choice) idleServer(key objectKey) (candidate, bool) {
	if !c.placer.averaging() || c.pool.idle.slots == 0 {
		return candidate{}, false
	}
	elapsed := min(c.now-c.pool.idle.drawnAt, idleDrawAge)
	c.pool.idle.drawnAt = c.now
	run := max(c.runTimes.expected(false), time.Millisecond)
	runs := float64(c.pool.idle.slots) * elapsed.Seconds() / run.Seconds()
	if c.placer.draw() >= runs/float64(len(c.placer.hosts)) {
		return candidate{}, false
	}
	found, ok := c.firstIdle(key)
	if !ok || !c.placer.takeAllowance(c.now, found.server) {
		return candidate{}, false
	}
	c.pool.idle.runs++
	return found, true
}

// firstIdle returns the first idle server of the object's order in the host's region, or
// elsewhere if the region has none.
func (c *choice) firstIdle(key objectKey) (candidate, bool) {
	order := c.pool.order(key).all
	elsewhere := -1
	for i, s := range order {
		if !s.idle(c.now) || !c.eligible(s) || !s.usable(c.now) || c.heldBack(s) {
			continue
		}
		if s.region == c.placer.location.Region {
			return c.candidate(key, s, i), true
		}
		if elsewhere < 0 {
			elsewhere = i
		}
	}
	if elsewhere < 0 {
		return candidate{}, false
	}
	return c.candidate(key, order[elsewhere], elsewhere), true
}
