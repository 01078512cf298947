package placer

import "time"

// Until answers were seen, a warm run is taken to use half of the latency goal,
// and a cold one to miss it.
const (
	firstWarm = 0.5
	firstCold = 1.5
)

// times are what a route's requests have been seen to take.
type times struct {
	warm, cold time.Duration
}

func newTimes(goal time.Duration) *times {
	return &times{
		warm: time.Duration(firstWarm * float64(goal)),
		cold: time.Duration(firstCold * float64(goal)),
	}
}

func (t *times) expected(warm bool) time.Duration {
	if warm {
		return t.warm
	}
	return max(t.cold, t.warm)
}

// learn takes in one run. One of an object that only other hosts sent to the
// server is told by its time.
func (t *times) learn(seen bool, took time.Duration) {
	average := &t.cold
	if seen || took < (t.warm+t.cold)/2 {
		average = &t.warm
	}
	*average += time.Duration(learnRoute * float64(took-*average))
}

const learnRoute = 0.05 // weight of a new sample in a route's times
