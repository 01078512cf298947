package cataloger

import "time"

// Region is a named group of availability zones.
type Region struct {
	Origin
	name  string
	zones []string // names, unique over all regions
}

// NewRegion returns a region with the names of its availability zones.
func NewRegion(origin Origin, name string, zones []string) *Region {
	return &Region{Origin: origin, name: name, zones: zones}
}

// Name returns the region's name.
func (r *Region) Name() string { return r.name }

// Zones returns the names of its availability zones.
func (r *Region) Zones() []string { return r.zones }

// Link is the network link between a pair of regions.
type Link struct {
	Origin
	from, to string
	capacity int64         // bytes per second in each direction
	latency  time.Duration // in one direction
}

// NewLink returns the link between two regions, with its capacity in bytes per
// second and its one-way latency.
func NewLink(origin Origin, from, to string, capacity int64, latency time.Duration) *Link {
	return &Link{Origin: origin, from: from, to: to, capacity: capacity, latency: latency}
}

// From returns the region at one end.
func (l *Link) From() string { return l.from }

// To returns the region at the other end.
func (l *Link) To() string { return l.to }

// Capacity returns the capacity in bytes per second in each direction.
func (l *Link) Capacity() int64 { return l.capacity }

// Latency returns the one-way latency.
func (l *Link) Latency() time.Duration { return l.latency }

const (
	sameRegionLatency  = time.Millisecond // assumed between availability zones of one region
	unreachableLatency = time.Hour        // assumed between regions without a link
)

// Distance returns the one-way latency that is assumed between two availability
// zones: 0 within a zone, and an hour between regions without a link.
func (c *Catalog) Distance(from, to string) time.Duration {
	if from == to {
		return 0
	}
	fromRegion, toRegion := c.RegionOf(from), c.RegionOf(to)
	if fromRegion == toRegion {
		return sameRegionLatency
	}
	if link := c.Link(fromRegion, toRegion); link != nil {
		return sameRegionLatency + link.Latency()
	}
	return unreachableLatency
}
