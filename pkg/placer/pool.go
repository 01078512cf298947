package placer

import (
	"maps"
	"math"
	"sort"
)

const (
	mostOrders = 8192 // orders that are kept for one service
	nearest    = 3    // candidates from each order
)

// pool is the usable backend servers of one service.
type pool struct {
	place   Place
	regions map[string]string
	servers []*server // by id
	slots   int
	room    map[string]int     // slots by region
	flow    *flow              // as it is to become
	parts   map[string]float64 // of each region of the objects that are not served nearby, as the orders have it
	orders  map[objectKey]*order
}

// order is the servers of an object, best first.
type order struct {
	all  []*server // weighted by the room that regions can spare
	near []*server // those in the host's region, first of them only
	draw float64   // near goes before all when this is less than the share served nearby
}

func newPool(place Place, regions map[string]string) *pool {
	return &pool{
		place: place, regions: regions,
		room: map[string]int{}, flow: newFlow(), parts: map[string]float64{}, orders: map[objectKey]*order{},
	}
}

func (p *pool) add(s *server) {
	p.servers = append(p.servers, s)
	p.slots += s.Slots()
	p.room[s.region] += s.Slots()
}

// finish divides the demand, taken to be the same in all regions until more is
// known, among the regions' slots: each region serves what it can of its own,
// and the rest goes to where room is left.
func (p *pool) finish() {
	sort.Slice(p.servers, func(i, j int) bool { return p.servers[i].ID() < p.servers[j].ID() })
	if p.slots == 0 {
		return
	}
	regions := p.allRegions()
	even := 1 / float64(len(regions))
	sum := 0.0
	for region := range regions {
		share := float64(p.room[region]) / float64(p.slots)
		p.flow.parts[region] = max(0, share-even)
		sum += p.flow.parts[region]
		if region == p.place.Region {
			p.flow.nearby = min(1, share/even)
		}
	}
	for region := range regions {
		p.flow.parts[region] /= max(sum, leastShare)
	}
	p.setParts(p.flow.parts)
}

const leastShare = 1e-6 // keeps a region without slots from dividing by 0

func (p *pool) allRegions() map[string]bool {
	regions := map[string]bool{}
	for _, region := range p.regions {
		regions[region] = true
	}
	return regions
}

func (p *pool) setParts(parts map[string]float64) { p.parts = maps.Clone(parts) }

// inherit takes over the shares of an earlier pool whose slots are where they
// were, and its orders when it has the same servers.
func (p *pool) inherit(old *pool) {
	if maps.Equal(p.room, old.room) {
		p.flow = old.flow
		p.setParts(old.parts)
	} else {
		p.flow.free, p.flow.bound, p.flow.used, p.flow.at = old.flow.free, old.flow.bound, old.flow.used, old.flow.at
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

// order returns the order of servers of an object.
func (p *pool) order(key objectKey) *order {
	if known := p.orders[key]; known != nil {
		return known
	}
	if len(p.orders) >= mostOrders {
		clear(p.orders)
	}
	made := &order{all: p.ranked(key)}
	for _, s := range made.all {
		if s.region == p.place.Region && len(made.near) < nearest {
			made.near = append(made.near, s)
		}
	}
	made.draw = unit(hash("home", key.route, key.object))
	p.orders[key] = made
	return made
}

// ranked orders the servers by weighted rendezvous hashing (Schindelhauer and
// Schomaker, 2005): a server comes first in proportion to its slots and to what
// its region can spare, and one that comes or goes changes the order of no
// others.
func (p *pool) ranked(key objectKey) []*server {
	type scored struct {
		server *server
		spared bool
		score  float64
	}
	list := make([]scored, 0, len(p.servers))
	for _, s := range p.servers {
		u := unit(hash(key.route, key.object, s.ID()))
		part := p.parts[s.region]
		weight := float64(s.Slots())
		if part > 0 {
			weight *= part / float64(p.room[s.region])
		}
		list = append(list, scored{s, part > 0, -weight / math.Log(u)})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].spared != list[j].spared {
			return list[i].spared
		}
		return list[i].score > list[j].score
	})
	ranked := make([]*server, 0, len(list))
	for _, one := range list {
		ranked = append(ranked, one.server)
	}
	return ranked
}

// unit maps a hash to the open interval from 0 to 1.
func unit(h uint64) float64 {
	return (float64(h>>11) + 0.5) / (1 << 53)
}
