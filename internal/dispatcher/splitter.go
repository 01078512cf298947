package dispatcher

import (
	"fmt"
	"math"
	"sync"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

// splitter divides the requests of a route among services by their weights. It sends
// the requests for an object to the same service as far as the weights allow, because
// that service is warm for the object.
//
// The weights divide the interval [0, 1) among the services. The objects, in the order of
// a hash that is the same on all hosts, divide it by the demand for them. A request lies
// at some point of its object's interval, or of [0, 1) if its object is rarely asked for.
// These points are uniform, whatever the objects are, so the services get their shares of
// any requests: of the first ones under new weights, and of few requests on many hosts. No
// choice depends on earlier choices.
type splitter struct {
	mu      sync.Mutex
	demands map[demandKey]*objectDemand // of routes with several services
}

// demandKey identifies what callers ask for. The names of routes are reused.
type demandKey struct {
	host, prefix string
}

func newSplitter() *splitter {
	return &splitter{demands: map[demandKey]*objectDemand{}}
}

// splitChoice is the service chosen for a request of a route with several services, and
// what decided it.
type splitChoice struct {
	service  string
	divided  bool     // the route has several services
	interval interval // of the request's object
	point    float64  // of the request, in its object's interval
}

// String returns the choice as the log line of the request shows it; it is empty for a
// route with one service.
func (c splitChoice) String() string {
	if !c.divided {
		return ""
	}
	return fmt.Sprintf("point=%.3f object=%.3f+%.3f", c.point, c.interval.start, c.interval.length)
}

// choose returns the service for a request. The draw is a random number in [0, 1).
func (s *splitter) choose(route *cataloger.Route, object string, draw float64) splitChoice {
	splits := route.Splits()
	if len(splits) == 1 {
		return splitChoice{service: splits[0].Service()}
	}
	key := demandKey{host: route.Host(), prefix: route.Prefix()}
	s.mu.Lock()
	demand := s.demands[key]
	if demand == nil {
		demand = &objectDemand{position: draw}
		s.demands[key] = demand
	}
	place, position := interval{length: 1}, demand.nextPosition()
	forgotten := 0
	if object != "" {
		place, forgotten = demand.add(xxhash.Sum64String(route.Prefix() + "\x00" + object))
	}
	s.mu.Unlock()
	if forgotten > 0 {
		klog.InfoS("demand for objects forgotten", "route", route.Name(), "host", key.host, "prefix", key.prefix, "requests", forgotten)
	}
	point := place.start + place.length*position
	service := serviceAt(splits, point)
	return splitChoice{service: service, divided: true, interval: place, point: point}
}

// retain forgets the demand on routes that do not exist or have one service.
func (s *splitter) retain(routes []*cataloger.Route) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.demands) == 0 {
		return
	}
	kept := make(map[demandKey]*objectDemand, len(s.demands))
	for _, route := range routes {
		key := demandKey{host: route.Host(), prefix: route.Prefix()}
		if demand := s.demands[key]; demand != nil && len(route.Splits()) > 1 {
			kept[key] = demand
		}
	}
	s.demands = kept
}

// serviceAt returns the service whose interval contains the point, where the intervals of
// the services divide [0, 1) by their weights. Weights below 0 count as 0.
func serviceAt(splits []cataloger.Split, point float64) string {
	largest, total := 0.0, 0.0
	for _, split := range splits {
		largest = max(largest, split.Weight())
	}
	if largest <= 0 {
		return splits[0].Service()
	}
	for _, split := range splits {
		total += max(split.Weight(), 0) / largest // no sum of weights overflows
	}
	service := ""
	for _, split := range splits {
		length := max(split.Weight(), 0) / largest / total
		if length > 0 {
			service = split.Service()
		}
		if point < length {
			break
		}
		point -= length
	}
	return service
}

const (
	bucketBits    = 10 // of an object's hash; objects with the same ones are treated as one
	buckets       = 1 << bucketBits
	minDemand     = 20   // requests of which the demand for objects can be told
	maxDemand     = 400  // requests that count; the older ones count less
	recentDemand  = 4    // latest requests, which may show that callers turned to other objects
	maxLikelihood = 1e3  // how many times likelier these may be under a demand of their own
	rareShare     = 0.05 // share of the requests, those for the rarest objects, that are divided without regard to the object
	positionStep  = math.Phi - 1
)

// interval is a part of [0, 1).
type interval struct {
	start, length float64
}

// objectDemand is the demand for the objects of a route, in the order of their hashes. An
// object's bucket is the highest bits of its hash.
type objectDemand struct {
	counts     [buckets]float64     // recent requests by bucket
	sums       [buckets]float64     // Fenwick tree of the counts
	total      float64              // of all counts
	position   float64              // of the latest request in its object's interval
	recent     [recentDemand]uint64 // buckets of the latest requests; the oldest one is replaced
	requests   int                  // since the demand was last forgotten
	likelihood float64              // of the latest requests under their own demand, against that of the counts; at least 1
}

// nextPosition returns the position of the next request in its object's interval, as a
// share of the interval. Positions are an additive sequence with a random start.
func (d *objectDemand) nextPosition() float64 {
	d.position = math.Mod(d.position+positionStep, 1)
	return d.position
}

// add counts a request for an object and returns the interval of that object. It is the
// whole of [0, 1) while the demand is not known. If the request shows that callers turned
// to other objects, add forgets the demand and returns the number of requests since it
// began.
func (d *objectDemand) add(hash uint64) (place interval, forgotten int) {
	bucket := hash >> (64 - bucketBits)
	d.count(bucket)
	d.compare(bucket)
	switch {
	case d.likelihood > maxLikelihood:
		forgotten = d.requests
		*d = objectDemand{position: d.position}
		return interval{length: 1}, forgotten
	case d.total < minDemand || d.isRare(bucket):
		return interval{length: 1}, 0
	}
	return interval{start: d.countBefore(bucket) / d.total, length: d.counts[bucket] / d.total}, 0
}

// isRare reports whether the requests for this bucket and all that are asked for no more
// often are a small share of all. It may be that of an object to which callers have just
// turned, whose interval does not tell the demand for it.
func (d *objectDemand) isRare(bucket uint64) bool {
	most, rest := d.counts[bucket], rareShare*d.total
	if most >= rest {
		return false
	}
	for _, count := range d.counts {
		if count <= most {
			if rest -= count; rest <= 0 {
				return false
			}
		}
	}
	return true
}

// count adds a request for a bucket.
func (d *objectDemand) count(bucket uint64) {
	if d.total >= maxDemand {
		for i := range d.counts {
			d.counts[i] /= 2
			d.sums[i] /= 2
		}
		d.total /= 2
	}
	d.counts[bucket]++
	d.total++
	for i := bucket; i < buckets; i |= i + 1 {
		d.sums[i]++
	}
}

// countBefore returns the sum of the counts of all lower buckets.
func (d *objectDemand) countBefore(bucket uint64) float64 {
	sum := 0.0
	for i := bucket; i > 0; i &= i - 1 {
		sum += d.sums[i-1]
	}
	return sum
}

// compare updates the likelihood with a request for a bucket, which is counted already.
// Where callers have turned to other objects, the demand gives one service all of their
// requests, on all hosts alike.
func (d *objectDemand) compare(bucket uint64) {
	same := 0
	for _, other := range d.recent[:min(d.requests, recentDemand)] {
		if other == bucket {
			same++
		}
	}
	d.recent[d.requests%recentDemand] = bucket
	d.requests++
	own := float64(same) / recentDemand
	d.likelihood = max(1, d.likelihood*(1+own/(d.counts[bucket]/d.total))/2)
}
