package dispatcher

import (
	"fmt"
	"math"
	"sync"

	"github.com/cespare/xxhash/v2"

	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

// splitter divides the requests of a route among services by their weights. It sends
// the requests for an object to the same service as far as the weights allow, because
// that service is warm for the object.
//
// The weights divide the interval [0, 1) among the services. The objects, in the order of
// a hash that is the same on all hosts, divide it by the demand for them. A request lies
// at some point of its object's interval. These points are uniform, whatever the
// objects are, so the services get their shares of any requests: of the first ones under
// new weights, and of few requests on many hosts. No choice depends on earlier choices.
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
	if object != "" {
		place = demand.add(xxhash.Sum64String(route.Prefix() + "\x00" + object))
	}
	point := place.start + place.length*position
	service, share := serviceAt(splits, point)
	demand.observe(service, share)
	s.mu.Unlock()
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

// serviceAt returns the service whose interval contains the point, and the length of that
// interval. The intervals of the services divide [0, 1) by their weights; those below 0
// count as 0.
func serviceAt(splits []cataloger.Split, point float64) (service string, length float64) {
	largest, total := 0.0, 0.0
	for _, split := range splits {
		largest = max(largest, split.Weight())
	}
	if largest <= 0 {
		return splits[0].Service(), 1
	}
	for _, split := range splits {
		total += max(split.Weight(), 0) / largest // no sum of weights overflows
	}
	for _, split := range splits {
		own := max(split.Weight(), 0) / largest / total
		if own > 0 {
			service, length = split.Service(), own
		}
		if point < own {
			break
		}
		point -= own
	}
	return service, length
}

const (
	bucketBits   = 8   // of an object's hash; objects with the same ones are treated as one
	minDemand    = 20  // requests of which the demand for objects can be told
	maxDemand    = 400 // requests that count; the older ones count less
	positionStep = math.Phi - 1
	// improbable is the probability of a series of requests for one service from which it
	// shows that callers turned to other objects.
	improbable = 0.001
)

// interval is a part of [0, 1).
type interval struct {
	start, length float64
}

// objectDemand is the demand for the objects of a route, in the order of their hashes.
type objectDemand struct {
	counts   [1 << bucketBits]float64 // recent requests, by the highest bits of the object's hash
	total    float64                  // of all counts
	position float64                  // of the latest request in its object's interval
	service  string                   // of the latest request
	series   float64                  // probability of the latest requests for that service in a row, by its weight
}

// nextPosition returns the position of the next request in its object's interval, as a
// share of the interval. Positions are an additive sequence with a random start.
func (d *objectDemand) nextPosition() float64 {
	d.position = math.Mod(d.position+positionStep, 1)
	return d.position
}

// observe records the service of a request, which has a share of the weights. It forgets
// the demand if too many requests in a row are for one service: since callers have turned
// to other objects, the intervals are not those of their demand.
func (d *objectDemand) observe(service string, share float64) {
	if service != d.service {
		d.service, d.series = service, 1
	}
	if d.series *= share; d.series < improbable {
		clear(d.counts[:])
		d.total, d.series = 0, 1
	}
}

// add counts a request for an object and returns the interval of that object. It is the
// whole of [0, 1) while the demand is not known.
func (d *objectDemand) add(hash uint64) interval {
	if d.total >= maxDemand {
		for i := range d.counts {
			d.counts[i] /= 2
		}
		d.total /= 2
	}
	bucket := hash >> (64 - bucketBits)
	d.counts[bucket]++
	d.total++
	if d.total < minDemand {
		return interval{length: 1}
	}
	before := 0.0
	for _, count := range d.counts[:bucket] {
		before += count
	}
	return interval{start: before / d.total, length: d.counts[bucket] / d.total}
}
