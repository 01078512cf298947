package cataloger

import "time"

// Region is a named group of availability zones.
type Region struct {
	Origin
	name  string
	zones []string // names, unique over all regions
}

// NewRegion returns a region with its zones.
func NewRegion(origin Origin, name string, zones []string) *Region {
	return &Region{Origin: origin, name: name, zones: zones}
}

// Name returns the region's name.
func (r *Region) Name() string { return r.name }

// Zones returns the names of its availability zones.
func (r *Region) Zones() []string { return r.zones }

// Link is what a pair of regions shares.
type Link struct {
	Origin
	from, to string
	capacity int64         // bytes a second, each way
	latency  time.Duration // one way
}

// NewLink returns the link between two regions, with capacity in bytes a second.
func NewLink(origin Origin, from, to string, capacity int64, latency time.Duration) *Link {
	return &Link{Origin: origin, from: from, to: to, capacity: capacity, latency: latency}
}

// From returns one end.
func (l *Link) From() string { return l.from }

// To returns the other end.
func (l *Link) To() string { return l.to }

// Capacity returns bytes a second, each way.
func (l *Link) Capacity() int64 { return l.capacity }

// Latency returns the one-way latency.
func (l *Link) Latency() time.Duration { return l.latency }

const (
	sameRegion  = time.Millisecond // counted between availability zones of one region
	unreachable = time.Hour        // counted between regions without a link
)

// Distance returns the one-way latency that is counted between two availability
// zones.
func (c *Catalog) Distance(from, to string) time.Duration {
	if from == to {
		return 0
	}
	a, b := c.RegionOf(from), c.RegionOf(to)
	if a == b {
		return sameRegion
	}
	if link := c.Link(a, b); link != nil {
		return sameRegion + link.Latency()
	}
	return unreachable
}
