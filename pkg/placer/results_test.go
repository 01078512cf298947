package placer_test

import "time"

type results struct {
	requests, onTime, late, lost, refused, shed int
	windows                                     map[int]*windowResult // by number, from the start
	runs                                        []regionRun           // accepted requests, by time
}

// windowResult counts the requests that arrived within a window.
type windowResult struct{ requests, onTime int }

const (
	resultWindow = 2 * time.Second
	warmUp       = 4 * time.Second // windows before it are not judged: all runs are cold
)

func (r *results) window(arrived time.Duration) *windowResult {
	number := int(arrived / resultWindow)
	if r.windows[number] == nil {
		r.windows[number] = &windowResult{}
	}
	return r.windows[number]
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
