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
	own     int     // slots in the host's region
	nearby  float64 // share of objects that are served in the host's region first
	orders  map[objectKey]*order
}

// order is the servers of an object, best first.
type order struct {
	all  []*server
	near []*server // those in the host's region, first of them only
	home bool      // near goes before all
}

func newPool(place Place, regions map[string]string) *pool {
	return &pool{place: place, regions: regions, orders: map[objectKey]*order{}}
}

func (p *pool) add(s *server) {
	p.servers = append(p.servers, s)
	p.slots += s.Slots()
	if s.region == p.place.Region {
		p.own += s.Slots()
	}
}

// finish works out which share of the objects the host's region can bear, if
// all regions have about the same demand.
func (p *pool) finish() {
	sort.Slice(p.servers, func(i, j int) bool { return p.servers[i].ID() < p.servers[j].ID() })
	if p.slots == 0 {
		return
	}
	regions := map[string]bool{}
	for _, region := range p.regions {
		regions[region] = true
	}
	p.nearby = min(1, float64(p.own)*float64(len(regions))/float64(p.slots))
}

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
// Schomaker, 2005): a server comes first in proportion to its slots, and one
// that comes or goes changes the order of no others.
func (p *pool) ranked(key objectKey) []*server {
	type scored struct {
		server *server
		score  float64
	}
	list := make([]scored, 0, len(p.servers))
	for _, s := range p.servers {
		u := unit(hash(key.route, key.object, s.ID()))
		list = append(list, scored{s, -float64(s.Slots()) / math.Log(u)})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].score > list[j].score })
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
