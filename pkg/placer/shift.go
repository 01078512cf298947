package placer

import (
	"slices"
	"time"
)

const (
	spillCapShare    = 0.25 // part of the cap that load may use: shares of the regions use half, and refusals change the mix as well
	maxSpillTokens   = 1.0  // requests that a host may send out of their region at once
	avoidingSlowness = 2.0  // slowness of a server from which requests leave its region without limit
)

// spill limits how fast the share of a host's requests grows that leave the region where
// the order of their object puts them because its servers are busy. Each request that is
// placed adds the share of the last two seconds and a part of the cap, and one that leaves
// its region takes a token.
type spill struct {
	tokens float64       // at most maxSpillTokens
	placed float64       // requests of the last two seconds, as a decaying sum as of at
	left   float64       // those of them that left their region
	at     time.Duration // on the host's clock
	held   int           // requests whose cheapest server was left out, since they were last taken
}

// observe counts a request that was placed.
func (l *spill) observe(now time.Duration, left bool, shiftCap float64) {
	weight := decay(now-l.at, shiftWindow)
	l.at = now
	l.placed, l.left = weight*l.placed, weight*l.left
	l.tokens = min(l.tokens+l.left/max(l.placed, 1)+spillCapShare*shiftCap, maxSpillTokens)
	l.placed++
	if left {
		l.left++
		l.tokens = max(l.tokens-1, 0)
	}
}

// homeRegion returns the region where the object's order puts a request: that of the first
// candidate. Candidates are usable, so servers that crash or are evacuated move requests at
// once. It is empty, and the request may run anywhere, if the order says nothing, if that
// server starts, or if it is slow or fails without being full: requests that wait too long
// at a full server fail as well.
func (c *choice) homeRegion(key objectKey, candidates []candidate) string {
	if key.object == "" || c.placer.shiftCap >= 1 || len(candidates) == 0 {
		return ""
	}
	s := candidates[0].server
	impaired := s.slowness(c.now) >= avoidingSlowness || s.failureRate(c.now) > impairedFailureRate
	if !s.maybeCold(c.now) && (!impaired || s.load(c.now) >= float64(s.Slots())) {
		return s.region
	}
	return ""
}

// withoutSpill leaves out the servers to which the request may not move now.
func (c *choice) withoutSpill(candidates []candidate) []candidate {
	if len(candidates) > 0 && c.heldBack(candidates[cheapest(candidates)].server) {
		c.placer.spill.held++
	}
	return slices.DeleteFunc(candidates, func(found candidate) bool { return c.heldBack(found.server) })
}

// heldBack reports whether the request may not move to a server now, since it is outside
// the home region and too many have left theirs.
func (c *choice) heldBack(s *server) bool {
	return c.leavesHome(s) && c.placer.spill.tokens < 1
}

// leavesHome reports whether a server is outside the home region.
func (c *choice) leavesHome(s *server) bool { return c.home != "" && s.region != c.home }

// TakeHeldBack returns the number of requests since the last call whose cheapest server was
// left out since too many had left their region.
func (p *Placer) TakeHeldBack() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.spill.held
	p.spill.held = 0
	return held
}
