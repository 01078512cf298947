package placer

import (
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
	nearby  float64            // share of objects that are served in the host's region first
	spare   map[string]float64 // weight of each region for the other objects
	orders  map[objectKey]*order
}

// order is the servers of an object, best first.
type order struct {
	all  []*server // weighted by the room that regions can spare
	near []*server // those in the host's region, first of them only
	home bool      // near goes before all
}

func newPool(place Place, regions map[string]string) *pool {
	return &pool{
		place: place, regions: regions,
		room: map[string]int{}, spare: map[string]float64{}, orders: map[objectKey]*order{},
	}
}

func (p *pool) add(s *server) {
	p.servers = append(p.servers, s)
	p.slots += s.Slots()
	p.room[s.region] += s.Slots()
}

// finish divides the demand, taken to be the same in all regions, among the
// regions' slots: each region serves what it can of its own, and the rest goes
// to where room is left.
func (p *pool) finish() {
	sort.Slice(p.servers, func(i, j int) bool { return p.servers[i].ID() < p.servers[j].ID() })
	if p.slots == 0 {
		return
	}
	regions := map[string]bool{}
	for _, region := range p.regions {
		regions[region] = true
	}
	even := 1 / float64(len(regions))
	for region := range regions {
		share := float64(p.room[region]) / float64(p.slots)
		p.spare[region] = max(0, share-even) / max(share, leastShare)
		if region == p.place.Region {
			p.nearby = min(1, share/even)
		}
	}
}

const leastShare = 1e-6 // keeps a region without slots from dividing by 0

// inherit takes over the orders of an earlier pool with the same servers.
func (p *pool) inherit(old *pool) {
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
	made.home = unit(hash("home", key.route, key.object)) < p.nearby
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
		spare := p.spare[s.region]
		weight := float64(s.Slots())
		if spare > 0 {
			weight *= spare
		}
		list = append(list, scored{s, spare > 0, -weight / math.Log(u)})
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
