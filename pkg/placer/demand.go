package placer

import (
	"math"
	"time"
)

const (
	demandDecay      = 3 * time.Second // demand reported this long ago has a weight of 1/e
	busyUtilization  = 0.9             // requests per slot above which some requests of a region wait
	minImbalance     = 0.25            // difference in requests per slot between regions that is worth the cold runs of moved objects
	localUtilization = 0.6             // requests per slot up to which a region keeps its own callers
	shiftWindow      = 2 * time.Second // time within which no more than the cap of a region's requests may move
	shiftCapShare    = 0.5             // share of the cap that is used, since hosts have different views and traffic changes as well
	deadband         = 0.03            // smaller changes of a share are ignored
	reorderThreshold = 0.06            // smaller changes of a region's share keep the orders
)

// Demand is the number of requests that hosts have in flight for a service.
type Demand struct {
	Free  int            // requests that may run in any region
	Bound map[string]int // requests limited to certain regions, by the region they run in
}

// Demand returns the requests that this host has in flight, by service.
func (p *Placer) Demand() map[string]Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]Demand{}
	for _, s := range p.list {
		for _, attempt := range s.openAttempts {
			demand, ok := all[s.Service()]
			if !ok {
				demand.Bound = map[string]int{}
			}
			if attempt.pick.regionBound {
				demand.Bound[s.region]++
			} else {
				demand.Free++
			}
			all[s.Service()] = demand
		}
	}
	return all
}

// SetDemand updates the demand of all hosts, by service and by region of the
// hosts, and adjusts how requests are divided among the regions.
func (p *Placer) SetDemand(now time.Duration, all map[string]map[string]Demand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for service, demand := range all {
		if pool := p.pools[service]; pool != nil && pool.slots > 0 {
			pool.setDemand(now, demand, p.shiftCap)
		}
	}
}

// regionSplit is how a pool divides requests among regions. Demand and
// utilization are moving averages.
type regionSplit struct {
	updatedAt    time.Duration      // when the demand was last updated
	free         map[string]float64 // demand that may run in any region, by region of the hosts
	bound        map[string]float64 // demand limited to certain regions, by the region it runs in
	utilization  map[string]float64 // requests per slot, by the region they run in
	localShare   float64            // share of objects that are served first in the region of the host
	regionShares map[string]float64 // share of each region in the other objects; the shares add up to 1
}

func newRegionSplit() *regionSplit {
	return &regionSplit{free: map[string]float64{}, bound: map[string]float64{}, utilization: map[string]float64{}, regionShares: map[string]float64{}}
}

// setDemand moves the shares towards the targets for the demand, no faster
// than the cap allows.
func (p *pool) setDemand(now time.Duration, demand map[string]Demand, shiftCap float64) {
	split := p.split
	elapsed := now - split.updatedAt
	split.updatedAt = now
	split.observe(p.allRegions(), demand, 1-decay(elapsed, demandDecay))
	if !p.imbalanced(now, 1-decay(elapsed, demandDecay)) {
		return
	}
	localShare, regionShares := p.targetShares()
	step := shiftCap * shiftCapShare * min(1, float64(elapsed)/float64(shiftWindow))
	split.localShare = stepToward(split.localShare, localShare, step)
	for region := range p.allRegions() {
		split.regionShares[region] = stepToward(split.regionShares[region], regionShares[region], step)
	}
	p.refreshOrders()
}

// imbalanced reports whether requests wait in one region while another has
// free slots. Moving objects costs cold runs, so nothing is moved without
// need.
func (p *pool) imbalanced(now time.Duration, weight float64) bool {
	regionLoads := map[string]float64{}
	for _, s := range p.servers {
		regionLoads[s.region] += s.load(now)
	}
	least, most := math.Inf(1), 0.0
	for region, slots := range p.regionSlots {
		p.split.utilization[region] += weight * (regionLoads[region]/float64(slots) - p.split.utilization[region])
		least = min(least, p.split.utilization[region])
		most = max(most, p.split.utilization[region])
	}
	return most > busyUtilization && most-least > minImbalance
}

// observe updates the average demand. The weight is that of the new values.
func (s *regionSplit) observe(regions map[string]bool, demand map[string]Demand, weight float64) {
	bound := map[string]int{}
	for _, d := range demand {
		for region, count := range d.Bound {
			bound[region] += count
		}
	}
	for region := range regions {
		s.free[region] += weight * (float64(demand[region].Free) - s.free[region])
		s.bound[region] += weight * (float64(bound[region]) - s.bound[region])
	}
}

func (s *regionSplit) total() float64 {
	sum := 0.0
	for region := range s.free {
		sum += s.free[region] + s.bound[region]
	}
	return sum
}

// targetShares divides the demand so that the slots of all regions are equally
// utilized, counting first the requests that must run in a region. A region
// whose utilization is low keeps its own callers. It returns the local share
// and the region shares.
func (p *pool) targetShares() (float64, map[string]float64) {
	total := p.split.total()
	localShare, shares := 1.0, map[string]float64{}
	sum := 0.0
	for region := range p.allRegions() {
		fair := total * float64(p.regionSlots[region]) / float64(p.slots)
		own := max(fair, localUtilization*float64(p.regionSlots[region])) - p.split.bound[region]
		if region == p.location.Region && p.split.free[region] > 0 {
			localShare = min(1, max(0, own)/p.split.free[region])
		}
		shares[region] = max(0, fair-p.split.bound[region]-p.split.free[region])
		sum += shares[region]
	}
	for region := range shares {
		shares[region] /= max(sum, minShareSum)
	}
	return localShare, shares
}

// stepToward moves a share towards its target by at most step, and leaves it
// unchanged within the deadband.
func stepToward(share, target, step float64) float64 {
	if math.Abs(target-share) <= deadband {
		return share
	}
	return share + min(max(target-share, -step), step)
}

// refreshOrders discards the cached orders when the region shares have changed
// enough.
func (p *pool) refreshOrders() {
	for region, share := range p.split.regionShares {
		if math.Abs(share-p.orderShares[region]) > reorderThreshold {
			p.setOrderShares(p.split.regionShares)
			clear(p.orders)
			return
		}
	}
}
