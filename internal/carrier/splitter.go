package carrier

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

const (
	splitSlack = 0.02  // part of the requests by which a service may be off its weight
	splitFade  = 0.995 // for each request: about the last 200 count
	splitLeast = 10    // requests before the weights are held exactly
)

// splitter divides the requests of a route among services by their weights. It
// keeps an object with one service as far as the weights allow, since that
// service has it warm.
type splitter struct {
	mu     sync.Mutex
	counts map[string]map[string]float64 // requests by route and service, fading
}

func newSplitter() *splitter {
	return &splitter{counts: map[string]map[string]float64{}}
}

// service returns the service of a request.
func (s *splitter) service(route *cataloger.Route, object string, chance float64) string {
	splits := route.Splits()
	if len(splits) == 1 {
		return splits[0].Service()
	}
	if object != "" {
		chance = float64(xxhash.Sum64String(route.Name()+"\x00"+object)>>11) / (1 << 53)
	}
	total := 0.0
	for _, split := range splits {
		total += split.Weight()
	}
	if total <= 0 {
		return splits[0].Service()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts[route.Name()]
	if counts == nil {
		counts = map[string]float64{}
		s.counts[route.Name()] = counts
	}
	chosen := pick(splits, chance*total)
	if behind := mostBehind(splits, counts, total, chosen); behind != "" {
		chosen = behind
	}
	for service := range counts {
		counts[service] *= splitFade
	}
	counts[chosen]++
	return chosen
}

// pick returns the service whose part of the weights holds a point.
func pick(splits []cataloger.Split, point float64) string {
	for _, split := range splits {
		if point < split.Weight() {
			return split.Service()
		}
		point -= split.Weight()
	}
	return splits[len(splits)-1].Service()
}

// mostBehind returns the service that is furthest below its weight when the
// chosen one is too far above its own, and else "".
func mostBehind(splits []cataloger.Split, counts map[string]float64, total float64, chosen string) string {
	sum := 0.0
	for _, split := range splits {
		sum += counts[split.Service()]
	}
	if sum < splitLeast {
		return ""
	}
	behind, most := "", 0.0
	over := false
	for _, split := range splits {
		off := counts[split.Service()]/sum - split.Weight()/total
		if split.Service() == chosen && off > splitSlack {
			over = true
		}
		if off < most {
			behind, most = split.Service(), off
		}
	}
	if !over {
		return ""
	}
	return behind
}
