package router

import (
	"time"

	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

// State is a backend server's state in the backend state chart.
type State string

// States of the backend state chart.
const (
	Cold    State = "cold"
	Ready   State = "ready"
	Ejected State = "ejected"
	Leaving State = "leaving"
)

// Triggers of the backend state chart.
const (
	Warm        = "warm"
	Eject       = "eject"
	ProbePassed = "probe-passed"
	Leave       = "leave"
	Return      = "return"
)

// Target holds the state of one backend server as seen from one host. The lock
// of its router guards it.
type Target struct {
	server              *cataloger.BackendServer
	state               State
	stateSince          time.Duration // when it entered its state
	inFlight            int           // requests of this host; never negative
	consecutiveFailures int           // since the last answer or successful probe
	reportedRunning     int           // requests running at the server, by its last load report
	reportedAt          time.Duration // time of that report; 0 before the first
	shedAt              time.Duration // time of the last shed request; 0 before the first
	latency             time.Duration // moving average of answered requests
}

// Server returns the backend server.
func (t *Target) Server() *cataloger.BackendServer { return t.server }

const (
	shedPenaltyTime    = 100 * time.Millisecond // for which a server that shed a request counts as busier
	maxReportAge       = 2 * time.Second        // older load reports are ignored
	ejectAfterFailures = 5                      // consecutive failures
	latencySmoothing   = 8                      // each answer has a weight of 1/8 in the average latency
	coldStartShare     = 0.1                    // share of its slots that a cold server starts with
)

// usable reports whether new requests may go to the target.
func (t *Target) usable() bool { return t.state == Cold || t.state == Ready }

// capacity returns how many requests of this host the target accepts: all its slots
// when ready; when cold, a share that grows linearly over coldStart, at least 1.
func (t *Target) capacity(now, coldStart time.Duration) float64 {
	slots := float64(t.server.Slots())
	if t.state == Ready || coldStart <= 0 {
		return slots
	}
	share := coldStartShare + (1-coldStartShare)*float64(now-t.stateSince)/float64(coldStart)
	return max(1, slots*min(1, share))
}

// load returns the share of its capacity that the target uses with one more
// request. The requests of this host are counted exactly. Those of other hosts
// are estimated from the last load report, whose weight falls with its age. A
// report never lowers the load below the requests of this host.
func (t *Target) load(now, coldStart time.Duration) float64 {
	busy := float64(t.inFlight)
	if t.reportedAt > 0 && now-t.reportedAt < maxReportAge {
		age := float64(now-t.reportedAt) / float64(maxReportAge)
		busy += max(0, float64(t.reportedRunning)-busy) * (1 - age) / 2
	}
	if t.shedAt > 0 && now-t.shedAt < shedPenaltyTime {
		busy += float64(t.server.Slots())
	}
	return (busy + 1) / t.capacity(now, coldStart)
}
