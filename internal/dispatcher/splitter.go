package dispatcher

import (
	"fmt"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

const (
	maxExcessShare = 0.02  // share of the requests by which a service may exceed its weight
	countDecay     = 0.995 // factor applied per request; about the last 200 requests count
	minCount       = 10    // decayed number of requests before deviations are corrected
)

// splitter divides the requests of a route among services by their weights. It
// sends the requests for an object to the same service as far as the weights
// allow, because that service is warm for the object.
type splitter struct {
	mu     sync.Mutex
	counts map[string]map[string]float64 // decayed request counts by route and service
}

func newSplitter() *splitter {
	return &splitter{counts: map[string]map[string]float64{}}
}

// splitChoice is the service chosen for a request of a route with several services, and
// what decided it.
type splitChoice struct {
	service   string
	point     float64 // of the request in the weights' intervals, in [0, 1)
	corrected bool    // another service was behind its weight
	counts    string  // earlier requests of the route on this host, by service
}

// String returns the choice as the log line of the request shows it; it is empty for a
// route with one service.
func (c splitChoice) String() string {
	if c.counts == "" {
		return ""
	}
	return fmt.Sprintf("point=%.3f corrected=%t counted=%s", c.point, c.corrected, c.counts)
}

// choose returns the service for a request. The draw, a random number in [0, 1),
// decides if the request has no object; otherwise a hash of the object does.
func (s *splitter) choose(route *cataloger.Route, object string, draw float64) splitChoice {
	splits := route.Splits()
	if len(splits) == 1 {
		return splitChoice{service: splits[0].Service()}
	}
	if object != "" {
		draw = float64(xxhash.Sum64String(route.Name()+"\x00"+object)>>11) / (1 << 53)
	}
	total := 0.0
	for _, split := range splits {
		total += split.Weight()
	}
	if total <= 0 {
		return splitChoice{service: splits[0].Service()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts[route.Name()]
	if counts == nil {
		counts = map[string]float64{}
		s.counts[route.Name()] = counts
	}
	choice := splitChoice{service: serviceAt(splits, draw*total), point: draw, counts: formatCounts(splits, counts)}
	if lagging := furthestBelowWeight(splits, counts, total, choice.service); lagging != "" {
		choice.service, choice.corrected = lagging, true
	}
	for service := range counts {
		counts[service] *= countDecay
	}
	counts[choice.service]++
	return choice
}

// formatCounts returns the request counts of services for the log.
func formatCounts(splits []cataloger.Split, counts map[string]float64) string {
	texts := make([]string, len(splits))
	for i, split := range splits {
		texts[i] = fmt.Sprintf("%s:%.1f", split.Service(), counts[split.Service()])
	}
	return strings.Join(texts, "+")
}

// serviceAt returns the service whose interval contains the point, where the
// intervals of the services follow one another and are as long as their weights.
func serviceAt(splits []cataloger.Split, point float64) string {
	for _, split := range splits {
		if point < split.Weight() {
			return split.Service()
		}
		point -= split.Weight()
	}
	return splits[len(splits)-1].Service()
}

// furthestBelowWeight returns the service whose share of the requests is furthest
// below its weight if the chosen service exceeds its own weight by too much.
// Otherwise it returns "".
func furthestBelowWeight(splits []cataloger.Split, counts map[string]float64, total float64, chosen string) string {
	sum := 0.0
	for _, split := range splits {
		sum += counts[split.Service()]
	}
	if sum < minCount {
		return ""
	}
	lagging, lowestDeviation := "", 0.0
	over := false
	for _, split := range splits {
		deviation := counts[split.Service()]/sum - split.Weight()/total
		if split.Service() == chosen && deviation > maxExcessShare {
			over = true
		}
		if deviation < lowestDeviation {
			lagging, lowestDeviation = split.Service(), deviation
		}
	}
	if !over {
		return ""
	}
	return lagging
}
