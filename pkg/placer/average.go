package placer

import "time"

const (
	// manyHosts is the number of hosts from which one of them sees too few of a
	// server's responses to know its load: what it knows is as old as gossip.
	manyHosts        = 24
	utilizationDecay = 200 * time.Millisecond // a load this old has a weight of 1/e in the average
	declineRange     = 2.0                    // requests per slot between a server that declines none and one that declines all
	declineShare     = 0.75                   // share of that range below the load at which a request waits as long as it may
	minDeclineLoad   = 1.0                    // requests per slot up to which a server declines none
	maxDeclineLoad   = 2.0                    // requests per slot from which it declines some: its own queue has room for about three
)

// averaging reports whether decisions are based on average loads. Many hosts that
// decide at once by the same old loads all turn to a server, and all turn away from it
// when they hear of the result.
func (p *Placer) averaging() bool { return len(p.hosts) >= manyHosts }

// updateUtilization adds the present load estimates to the averages.
func (p *pool) updateUtilization(now time.Duration) {
	weight := 1 - decay(now-p.averagedAt, utilizationDecay)
	p.averagedAt = now
	busy := 0.0
	for _, s := range p.servers {
		s.utilization += weight * (s.load(now)/float64(max(s.Slots(), 1)) - s.utilization)
		busy += s.utilization * float64(s.Slots())
	}
	p.utilization = busy / float64(max(p.slots, 1))
	p.updateIdle(now)
}

// declines reports whether a request is kept away from a server. The share of such
// requests grows with the server's average load, and the draw differs from request to
// request, so that the hosts together adapt what they send without agreeing on it.
func (c *choice) declines(s *server) bool {
	if !c.placer.averaging() {
		return false
	}
	return c.placer.draw() < (s.utilization-c.declineLoad(s))/declineRange
}

// declineLoad returns the requests per slot from which a server declines requests of
// this kind. When it declines declineShare of them, a request waits as long as
// its latency goal allows.
func (c *choice) declineLoad(s *server) float64 {
	return min(c.ownDeclineLoad(c.distance(s)), c.limit)
}

// ownDeclineLoad is the same by the request itself, at a server at a distance.
func (c *choice) ownDeclineLoad(distance time.Duration) float64 {
	run := c.runTimes.expected(true)
	maxWait := max(c.query.Goal-run-distance, time.Duration(maxLateWait*float64(c.query.Goal)))
	load := 1 + float64(maxWait)/float64(max(run, time.Millisecond)) - declineShare*declineRange
	return min(max(load, minDeclineLoad), maxDeclineLoad)
}

// withoutColdRuns leaves out the servers at which the request would run cold while the
// service has little room: a cold run takes the time of several warm ones and displaces
// an object that is warm. The first server that does not start stays, with those before
// it. It also reports whether the cheapest server is left out.
func (c *choice) withoutColdRuns(key objectKey, candidates []candidate) ([]candidate, bool) {
	if !c.placer.averaging() || key.object == "" || len(candidates) == 0 || c.hasSpareSlots() {
		return candidates, false
	}
	preferred := candidates[cheapest(candidates)].server
	kept := candidates[:0]
	leading := true // all servers so far may be starting, and take no request of this host
	for _, found := range candidates {
		if leading || found.server.warm(c.now, key) {
			kept = append(kept, found)
		}
		leading = leading && found.server.maybeCold(c.now)
	}
	return kept, !contains(kept, preferred)
}

// ServiceLoad is a host's view of the average load of one service.
type ServiceLoad struct {
	Service     string
	Utilization float64 // requests per slot of all servers
	HasRoom     bool    // there is room for cold runs
	Declined    int     // requests that a server declined; they may have run at another one
	ColdAvoided int     // requests whose cheapest server was left out because they would run cold there
	IdleRuns    int     // requests that ran cold at an idle server in place of being refused
}

// TakeServiceLoads returns the average loads by which servers are chosen, in no
// particular order, with the requests counted since the last call. It is empty on fleets
// that do not decide by average loads.
func (p *Placer) TakeServiceLoads() []ServiceLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.averaging() {
		return nil
	}
	all := make([]ServiceLoad, 0, len(p.pools))
	for name, pool := range p.pools {
		all = append(all, ServiceLoad{
			Service: name, Utilization: pool.utilization, HasRoom: pool.utilization <= spareUtilization,
			Declined: pool.declined, ColdAvoided: pool.coldAvoided, IdleRuns: pool.idle.runs,
		})
		pool.declined, pool.coldAvoided, pool.idle.runs = 0, 0, 0
	}
	return all
}
