package placer

import (
	"math"
	"time"
)

const (
	demandFade = 3 * time.Second // demand told so long ago counts for 1/e
	busy       = 0.9             // a region that has more requests than this for each slot makes some wait
	uneven     = 0.25            // it is worth cold runs to move them where there are so many less
	easy       = 0.6             // a region keeps its own callers while its slots are used up to this share
	shiftSpan  = 2 * time.Second // time in which no more than the cap of a region's requests may move
	shiftShare = 0.5             // part of the cap that is used: hosts differ, and traffic changes as well
	deadband   = 0.03            // smaller changes of a share move nothing
	reorder    = 0.06            // smaller changes of a region's part change no orders
)

// Demand is what hosts have under way for a service.
type Demand struct {
	Free  int            // requests that may run in any region
	Bound map[string]int // requests that may not, by the region they run in
}

// Demand returns what this host has under way, by service.
func (p *Placer) Demand() map[string]Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]Demand{}
	for _, s := range p.servers {
		for _, try := range s.open {
			one, ok := all[s.Service()]
			if !ok {
				one.Bound = map[string]int{}
			}
			if try.pick.bound {
				one.Bound[s.region]++
			} else {
				one.Free++
			}
			all[s.Service()] = one
		}
	}
	return all
}

// SetDemand takes in what all hosts have under way, by service and by the region
// of the hosts.
func (p *Placer) SetDemand(now time.Duration, all map[string]map[string]Demand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, demand := range all {
		if pool := p.pools[service]; pool != nil && pool.slots > 0 {
			pool.setDemand(now, demand, p.shiftCap)
		}
	}
}

// flow is how a pool divides requests among regions.
type flow struct {
	at     time.Duration      // when demand was last told
	free   map[string]float64 // by the region of the hosts
	bound  map[string]float64 // by the region they run in
	used   map[string]float64 // requests for each slot, by the region they run in
	nearby float64            // share of objects that are served in the host's region first
	parts  map[string]float64 // of each region of the other objects; they add up to 1
}

func newFlow() *flow {
	return &flow{free: map[string]float64{}, bound: map[string]float64{}, used: map[string]float64{}, parts: map[string]float64{}}
}

// setDemand moves the shares towards what the demand asks for, no faster than the
// cap allows.
func (p *pool) setDemand(now time.Duration, demand map[string]Demand, shiftCap float64) {
	f := p.flow
	elapsed := now - f.at
	f.at = now
	f.learn(p.allRegions(), demand, 1-fade(elapsed, demandFade))
	if !p.uneven(now, 1-fade(elapsed, demandFade)) {
		return
	}
	nearby, parts := p.wanted()
	step := shiftCap * shiftShare * min(1, float64(elapsed)/float64(shiftSpan))
	f.nearby = toward(f.nearby, nearby, step)
	for region := range p.allRegions() {
		f.parts[region] = toward(f.parts[region], parts[region], step)
	}
	p.reweigh()
}

// uneven reports whether requests wait in one region while another has room.
// Moving objects costs cold runs, so that nothing is moved without need.
func (p *pool) uneven(now time.Duration, weight float64) bool {
	loads := map[string]float64{}
	for _, s := range p.servers {
		loads[s.region] += s.load(now)
	}
	least, most := math.Inf(1), 0.0
	for region, room := range p.room {
		p.flow.used[region] += weight * (loads[region]/float64(room) - p.flow.used[region])
		least = min(least, p.flow.used[region])
		most = max(most, p.flow.used[region])
	}
	return most > busy && most-least > uneven
}

func (f *flow) learn(regions map[string]bool, demand map[string]Demand, weight float64) {
	bound := map[string]int{}
	for _, one := range demand {
		for region, count := range one.Bound {
			bound[region] += count
		}
	}
	for region := range regions {
		f.free[region] += weight * (float64(demand[region].Free) - f.free[region])
		f.bound[region] += weight * (float64(bound[region]) - f.bound[region])
	}
}

func (f *flow) total() float64 {
	sum := 0.0
	for region := range f.free {
		sum += f.free[region] + f.bound[region]
	}
	return sum
}

// wanted divides the demand so that the slots of all regions are used alike,
// those that must run in a region before others. A region whose slots are hardly
// used keeps its own callers.
func (p *pool) wanted() (float64, map[string]float64) {
	total := p.flow.total()
	nearby, spare := 1.0, map[string]float64{}
	sum := 0.0
	for region := range p.allRegions() {
		fair := total * float64(p.room[region]) / float64(p.slots)
		own := max(fair, easy*float64(p.room[region])) - p.flow.bound[region]
		if region == p.place.Region && p.flow.free[region] > 0 {
			nearby = min(1, max(0, own)/p.flow.free[region])
		}
		spare[region] = max(0, fair-p.flow.bound[region]-p.flow.free[region])
		sum += spare[region]
	}
	for region := range spare {
		spare[region] /= max(sum, leastShare)
	}
	return nearby, spare
}

// toward moves a share by a step at most, and not at all when it is close.
func toward(share, wanted, step float64) float64 {
	if math.Abs(wanted-share) <= deadband {
		return share
	}
	return share + min(max(wanted-share, -step), step)
}

// reweigh makes the orders anew when the regions' parts have changed enough.
func (p *pool) reweigh() {
	for region, part := range p.flow.parts {
		if math.Abs(part-p.parts[region]) > reorder {
			p.setParts(p.flow.parts)
			clear(p.orders)
			return
		}
	}
}
