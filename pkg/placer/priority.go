package placer

import (
	"time"

	"magnoliahill.example/magnoliahill/pkg/prioritizer"
)

// prioritizer returns the one of a service.
func (p *Placer) prioritizer(service string) *prioritizer.Prioritizer {
	own := p.priorities[service]
	if own == nil {
		own = prioritizer.New()
		p.priorities[service] = own
	}
	return own
}

// PriorityCounts returns the requests that this host counted by service and priority.
// Services of which it knows of priority 0 only are left out.
func (p *Placer) PriorityCounts(now time.Duration) map[string]map[int]prioritizer.Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[string]map[int]prioritizer.Counts, len(p.priorities))
	for service, own := range p.priorities {
		if counts := own.Counts(now); len(counts) > 0 {
			all[service] = counts
		}
	}
	return all
}

// TakePriorities returns how each service that has several priorities, or had when this
// was last called, decides by them.
func (p *Placer) TakePriorities(now time.Duration) map[string]prioritizer.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]prioritizer.State{}
	for service, own := range p.priorities {
		if state, ok := own.TakeState(now); ok {
			all[service] = state
		}
	}
	return all
}

// SetPriorityReports replaces what other hosts counted, by service.
func (p *Placer) SetPriorityReports(now time.Duration, reports map[string][]prioritizer.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service := range p.pools {
		if all := reports[service]; len(all) > 0 || p.priorities[service] != nil {
			p.prioritizer(service).SetReports(now, all)
		}
	}
	for service := range p.priorities {
		if p.pools[service] == nil {
			delete(p.priorities, service)
		}
	}
}

// ask counts the request and sets the longest queue that it may join by its priority.
func (c *choice) ask() {
	c.ownLimit = c.queueLimit()
	c.limit = c.placer.prioritizer(c.query.Service).Ask(c.now, c.query.Priority, c.ownLimit)
}

// countOutcome counts what became of a request at its server.
func (p *Placer) countOutcome(now time.Duration, pick Pick, outcome Outcome) {
	switch {
	case outcome == Shed:
		p.prioritizer(pick.server.Service()).Refuse(pick.priority, false)
	case outcome == Answered && pick.run <= pick.goal && now-pick.began > pick.goal:
		p.prioritizer(pick.server.Service()).Late(pick.priority)
	}
}

// queueLimit returns the longest queue in requests per slot that the request would join
// by itself at a near server.
func (c *choice) queueLimit() float64 {
	if c.placer.averaging() {
		return c.ownDeclineLoad(0)
	}
	run := c.runTimes.expected(true)
	maxWait := max(c.query.Goal-run, time.Duration(maxLateWait*float64(c.query.Goal)))
	return float64(maxWait) / float64(max(run, time.Millisecond))
}

// refuse counts that the request is refused for lack of room.
func (c *choice) refuse() {
	c.placer.prioritizer(c.query.Service).Refuse(c.query.Priority, c.limit < c.ownLimit)
}

// yieldWait returns by how much the candidate's queue is longer than the request may
// join by its priority, or 0. It may use a free slot at any time.
func (c *choice) yieldWait(found candidate) time.Duration {
	if c.limit >= c.ownLimit {
		return 0
	}
	perRequest := found.server.slowness(c.now) * float64(c.runTimes.expected(true))
	maxWait := max(0, time.Duration(c.limit*perRequest)-c.distance(found.server))
	return max(0, found.wait-maxWait)
}
