package placer

import (
	"maps"
	"time"
)

// Initial run times, as shares of the latency goal: a warm run is assumed to
// take half of the goal, and a cold run to miss it.
const (
	initialWarm = 0.5
	initialCold = 1.5
)

// runTimesKey identifies requests that take about the same time.
type runTimesKey struct {
	service, route string
}

// runTimesOf returns the run times of requests like the query's.
func (p *Placer) runTimesOf(q Query) *runTimes {
	key := runTimesKey{service: q.Service, route: q.Route}
	times := p.runTimes[key]
	if times == nil {
		times = newRunTimes(q.Goal)
		p.runTimes[key] = times
	}
	return times
}

// LongestRun returns how long a request like the query's is expected to run at a server
// that is not warm for it.
func (p *Placer) LongestRun(q Query) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runTimesOf(q).expected(false)
}

// ForgetRoutes drops the run times of routes, by name, that are gone or whose names
// belong to other routes now.
func (p *Placer) ForgetRoutes(names []string) {
	forgotten := make(map[string]bool, len(names))
	for _, name := range names {
		forgotten[name] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.runTimes, func(key runTimesKey, _ *runTimes) bool { return forgotten[key.route] })
}

// runTimes holds the moving averages of the run times of a route's requests at a
// service, and of the bytes that a request and its response have together.
type runTimes struct {
	warm, cold time.Duration
	bytes      float64
}

func newRunTimes(goal time.Duration) *runTimes {
	return &runTimes{
		warm: time.Duration(initialWarm * float64(goal)),
		cold: time.Duration(initialCold * float64(goal)),
	}
}

func (t *runTimes) expected(warm bool) time.Duration {
	if warm {
		return t.warm
	}
	return max(t.cold, t.warm)
}

// observe adds the time of one run. It counts as a warm run if the server is
// known to be warm, or if the time is closer to the warm average than to the
// cold one, since other hosts may have made the server warm.
func (t *runTimes) observe(knownWarm bool, took time.Duration) {
	average := &t.cold
	if knownWarm || took < (t.warm+t.cold)/2 {
		average = &t.warm
	}
	*average += time.Duration(runTimeWeight * float64(took-*average))
}

const runTimeWeight = 0.05 // weight of a new sample in a route's run times
