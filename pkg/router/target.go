package router

import (
	"time"

	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

// State is where a backend server stands in the backend chart.
type State string

// States of the backend chart.
const (
	Cold    State = "cold"
	Ready   State = "ready"
	Ejected State = "ejected"
	Leaving State = "leaving"
)

// Triggers of the backend chart.
const (
	Warm        = "warm"
	Eject       = "eject"
	ProbePassed = "probe-passed"
	Leave       = "leave"
	Return      = "return"
)

// Target is what one host knows of one backend server. Its router's lock
// guards it.
type Target struct {
	server   *cataloger.BackendServer
	state    State
	since    time.Duration // when it entered its state
	inFlight int           // own requests running there; never negative
	failures int           // failed requests in a row
	reported int           // last load report
	reportAt time.Duration // when the report came; 0 before the first
	shedAt   time.Duration // last shed reply; 0 before the first
	latency  time.Duration // moving average of answered requests
}

// Server returns the backend server.
func (t *Target) Server() *cataloger.BackendServer { return t.server }

const (
	shedPause    = 100 * time.Millisecond // a backend server that shed counts as busier for this long
	reportAge    = 2 * time.Second        // older load reports say nothing
	failureLimit = 5                      // failures in a row until ejection
	averageOver  = 8                      // answers over which latency is averaged
	coldStep     = 0.1                    // a cold backend server starts at this share of its slots
)

// usable reports whether new work may go to the target.
func (t *Target) usable() bool { return t.state == Cold || t.state == Ready }

// room returns how many requests of this host the target takes: all slots when
// ready, a share that grows with time when cold.
func (t *Target) room(now, coldStart time.Duration) float64 {
	slots := float64(t.server.Slots())
	if t.state == Ready || coldStart <= 0 {
		return slots
	}
	grown := coldStep + (1-coldStep)*float64(now-t.since)/float64(coldStart)
	return max(1, slots*min(1, grown))
}

// load returns how busy the target is, as a share of its room. Own requests are
// certain; what others run is taken from fresh reports only, and never read as
// less than the own requests.
func (t *Target) load(now, coldStart time.Duration) float64 {
	busy := float64(t.inFlight)
	if t.reportAt > 0 && now-t.reportAt < reportAge {
		age := float64(now-t.reportAt) / float64(reportAge)
		busy += max(0, float64(t.reported)-busy) * (1 - age) / 2
	}
	if t.shedAt > 0 && now-t.shedAt < shedPause {
		busy += float64(t.server.Slots())
	}
	return (busy + 1) / t.room(now, coldStart)
}
