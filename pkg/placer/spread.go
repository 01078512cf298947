package placer

import (
	"maps"
	"slices"
)

// minLoadDifference is the difference in requests per slot from which one server counts as
// less loaded than another. Estimates differ a little long after a server was busy.
const minLoadDifference = 0.1

// spread returns all usable servers for a request without an object, which takes the
// same time at each of them. The region is divided as for objects. Servers in the host's
// own availability zone come first, if that has its share of the slots, then those in the
// region, in a random order. The first is the less loaded of two, so that neither one
// server gets all such requests nor all hosts turn to the one that they believe idle.
func (c *choice) spread() []candidate {
	home := c.placer.location.Region
	if c.placer.draw() >= c.pool.split.localShare {
		home = c.pool.drawRegion(c.placer.draw())
	}
	var near [3][]*server // in the zone, in the region, elsewhere
	for _, s := range c.pool.servers {
		switch {
		case !c.eligible(s) || !s.usable(c.now):
		case s.region != home:
			near[2] = append(near[2], s)
		case s.Zone() == c.placer.location.Zone && c.pool.zoneHasShare():
			near[0] = append(near[0], s)
		default:
			near[1] = append(near[1], s)
		}
	}
	list := make([]candidate, 0, len(c.pool.servers))
	for _, servers := range near {
		c.shuffle(servers)
		if len(servers) > 1 && c.requestsPerSlot(servers[0])-c.requestsPerSlot(servers[1]) >= minLoadDifference {
			servers[0], servers[1] = servers[1], servers[0]
		}
		for _, s := range servers {
			found := c.candidate(objectKey{}, s, len(list))
			if s.region == home && home != c.placer.location.Region {
				found.cost -= regionRoundTrip // the division among regions has weighed it
			}
			list = append(list, found)
		}
	}
	return list
}

// drawRegion returns a region for a request that the host's own region leaves to others,
// in proportion to their shares. The draw is in [0, 1).
func (p *pool) drawRegion(draw float64) string {
	for _, region := range slices.Sorted(maps.Keys(p.split.regionShares)) {
		draw -= p.split.regionShares[region]
		if draw < 0 {
			return region
		}
	}
	return p.location.Region
}

func (c *choice) shuffle(servers []*server) {
	for i := len(servers) - 1; i > 0; i-- {
		j := int(c.placer.draw() * float64(i+1))
		servers[i], servers[j] = servers[j], servers[i]
	}
}

// requestsPerSlot returns the load of a server by which it is compared with others.
func (c *choice) requestsPerSlot(s *server) float64 {
	if c.placer.averaging() {
		return s.utilization
	}
	return s.load(c.now) / float64(max(s.Slots(), 1))
}
