package placer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	maxOrders       = 8192 // cached orders per service
	orderCandidates = 3    // candidates taken from each order
)

// pool holds the usable backend servers of one service.
type pool struct {
	location    Location
	regions     map[string]string
	servers     []*server // sorted by ID
	slots       int
	utilization float64            // moving average of the requests per slot of all servers as of averagedAt
	averagedAt  time.Duration      // on the host's clock
	idle        idleSlots          // slots that nobody uses
	declined    int                // requests that a server declined, since they were last taken
	coldAvoided int                // requests that did not run cold for lack of room, since they were last taken
	regionSlots map[string]int     // slots by region
	zoneSlots   int                // slots in the host's availability zone
	split       *regionSplit       // current division of requests among regions
	orderShares map[string]float64 // region shares that the cached orders were built with
	orders      map[objectKey]*order
	scores      []score // reused for new orders
}

// order lists the servers for an object, best first.
type order struct {
	all   []*server // weighted by the spare slots of their regions
	local []*server // only the first few in the host's region
	zonal []*server // only the first few in the host's availability zone
	draw  float64   // in (0, 1); the local servers precede all others if it is below the local share
}

func newPool(location Location, regions map[string]string) *pool {
	return &pool{
		location: location, regions: regions,
		regionSlots: map[string]int{}, split: newRegionSplit(), orderShares: map[string]float64{}, orders: map[objectKey]*order{},
	}
}

func (p *pool) add(s *server) {
	p.servers = append(p.servers, s)
	p.slots += s.Slots()
	p.regionSlots[s.region] += s.Slots()
	if s.Zone() == p.location.Zone {
		p.zoneSlots += s.Slots()
	}
}

// finish sorts the servers and sets the initial shares, once all servers are
// added. Until demand is known it is assumed to be equal in all regions: each
// region serves as much of its own demand as it can, and the rest goes to
// regions with spare slots.
func (p *pool) finish() {
	slices.SortFunc(p.servers, func(a, b *server) int { return cmp.Compare(a.ID(), b.ID()) }) // mostly sorted already
	if p.slots == 0 {
		return
	}
	regions := p.allRegions()
	even := 1 / float64(len(regions))
	sum := 0.0
	for region := range regions {
		share := float64(p.regionSlots[region]) / float64(p.slots)
		p.split.regionShares[region] = max(0, share-even)
		sum += p.split.regionShares[region]
		if region == p.location.Region {
			p.split.localShare = min(1, share/even)
		}
	}
	for region := range regions {
		p.split.regionShares[region] /= max(sum, minShareSum)
	}
	p.setOrderShares(p.split.regionShares)
}

// zoneHasShare reports whether the host's availability zone has as many slots as the
// zones have on average. With fewer it can't serve its own callers.
func (p *pool) zoneHasShare() bool { return p.zoneSlots*len(p.regions) >= p.slots }

// load estimates the requests at all servers.
func (p *pool) load(now time.Duration) float64 {
	sum := 0.0
	for _, s := range p.servers {
		sum += s.load(now)
	}
	return sum
}

const minShareSum = 1e-6 // prevents a division by 0 when no region has spare slots

func (p *pool) allRegions() map[string]bool {
	regions := map[string]bool{}
	for _, region := range p.regions {
		regions[region] = true
	}
	return regions
}

func (p *pool) setOrderShares(shares map[string]float64) { p.orderShares = maps.Clone(shares) }

// inherit takes over the shares of an earlier pool if the slots of each region
// are unchanged, and its orders if it has the same servers. It takes over the
// averages of demand and utilization in any case.
func (p *pool) inherit(old *pool) {
	p.utilization, p.averagedAt = old.utilization, old.averagedAt
	p.declined, p.coldAvoided, p.idle = old.declined, old.coldAvoided, old.idle
	if maps.Equal(p.regionSlots, old.regionSlots) {
		p.split = old.split
		p.setOrderShares(old.orderShares)
	} else {
		p.split.free, p.split.bound, p.split.utilization, p.split.updatedAt = old.split.free, old.split.bound, old.split.utilization, old.split.updatedAt
	}
	if len(p.servers) != len(old.servers) {
		return
	}
	for i, s := range p.servers {
		if s != old.servers[i] {
			return
		}
	}
	p.orders = old.orders
}

// order returns the order of servers for an object. Orders are cached.
func (p *pool) order(key objectKey) *order {
	if cached := p.orders[key]; cached != nil {
		return cached
	}
	if len(p.orders) >= maxOrders {
		clear(p.orders)
	}
	o := &order{all: p.rankServers(key)}
	for _, s := range o.all {
		if s.region == p.location.Region && len(o.local) < orderCandidates {
			o.local = append(o.local, s)
		}
		if s.Zone() == p.location.Zone && len(o.zonal) < orderCandidates {
			o.zonal = append(o.zonal, s)
		}
	}
	o.draw = unitFloat(hash("home", key.route, key.object))
	p.orders[key] = o
	return o
}

// rankServers orders the servers by weighted rendezvous hashing (Schindelhauer
// and Schomaker, 2005): a server comes first in proportion to its slots and to
// the spare slots of its region, and adding or removing a server does not
// reorder the others.
func (p *pool) rankServers(key objectKey) []*server {
	p.scores = p.scores[:0]
	text := append(append(append(append([]byte{}, key.route...), 0), key.object...), 0) // as hash does, for all servers at once
	prefix := len(text)
	for i, s := range p.servers {
		text = append(append(text[:prefix], s.ID()...), 0)
		u := unitFloat(xxhash.Sum64(text))
		share := p.orderShares[s.region]
		weight := float64(s.Slots())
		if share > 0 {
			weight *= share / float64(p.regionSlots[s.region])
		}
		p.scores = append(p.scores, score{int32(i), share > 0, -weight / math.Log(u)})
	}
	slices.SortFunc(p.scores, func(a, b score) int {
		if a.hasSpare != b.hasSpare {
			if a.hasSpare {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.value, a.value)
	})
	ranked := make([]*server, 0, len(p.scores))
	for _, s := range p.scores {
		ranked = append(ranked, p.servers[s.index])
	}
	return ranked
}

// score is the place of a server in an order that is being made.
type score struct {
	index    int32 // in the servers of the pool
	hasSpare bool  // its region has spare slots; such servers come first
	value    float64
}

// unitFloat maps a hash to the open interval (0, 1).
func unitFloat(h uint64) float64 {
	return (float64(h>>11) + 0.5) / (1 << 53)
}
