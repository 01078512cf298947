package placer_test

import "time"

type results struct {
	requests, onTime, late, lost, refused, shed int
	windows                                     map[int]*windowResult    // by number, from the start
	regions                                     map[string]*windowResult // by the callers' region, after the warm-up
	runs                                        []regionRun              // accepted requests, by time
}

// windowResult counts the requests that arrived within a window.
type windowResult struct{ requests, onTime int }

const (
	resultWindow = 2 * time.Second
	warmUp       = 4 * time.Second // windows before it are not judged: all runs are cold
)

// countRequest counts a request of a region's callers.
func (r *results) countRequest(arrived time.Duration, region string) {
	r.window(arrived).requests++
	r.region(region, arrived).requests++
}

// countOnTime counts the answer to a request of a region's callers.
func (r *results) countOnTime(arrived time.Duration, region string) {
	r.window(arrived).onTime++
	r.region(region, arrived).onTime++
}

func (r *results) window(arrived time.Duration) *windowResult {
	number := int(arrived / resultWindow)
	if r.windows[number] == nil {
		r.windows[number] = &windowResult{}
	}
	return r.windows[number]
}

// region counts the requests of one region's callers that arrived after the warm-up.
func (r *results) region(name string, arrived time.Duration) *windowResult {
	if arrived < warmUp {
		return &windowResult{}
	}
	if r.regions[name] == nil {
		r.regions[name] = &windowResult{}
	}
	return r.regions[name]
}

// worstRegion returns the smallest share of requests on time of any region's callers, as
// a multiple of the share of all.
func (r *results) worstRegion() float64 {
	sum, worst := windowResult{}, 1.0
	for _, region := range r.regions {
		sum.requests += region.requests
		sum.onTime += region.onTime
		worst = min(worst, float64(region.onTime)/float64(region.requests))
	}
	return worst * float64(sum.requests) / float64(max(sum.onTime, 1))
}

// worstWindow returns the smallest share of requests on time in any window, as a
// multiple of the share over all windows.
func (r *results) worstWindow() float64 {
	sum, worst := windowResult{}, 1.0
	for number, w := range r.windows {
		if number >= int(warmUp/resultWindow) {
			sum.requests += w.requests
			sum.onTime += w.onTime
			worst = min(worst, float64(w.onTime)/float64(w.requests))
		}
	}
	return worst * float64(sum.requests) / float64(max(sum.onTime, 1))
}
