package placer

import (
	"math"
	"slices"
	"time"

	"magnoliahill.example/magnoliahill/pkg/registrar"
)

const (
	sampleWeight         = 0.25                   // weight of a new sample in moving averages: four bad answers in a row have a clear effect
	reportDecay          = time.Second            // a load report this old has a weight of 1/e
	slownessDecay        = 5 * time.Second        // the same for slowness, so that a slow server is attempted again
	failureDecay         = 4 * time.Second        // the same for failures
	maxSlowness          = 12.0                   // upper bound of a sample: the worst slowdown in both deployments
	minEjection          = 300 * time.Millisecond // less than the time that a dial takes to fail
	maxEjection          = 3 * time.Second        // a crashed server is back in four to five seconds
	coldAfterUnreachable = 4 * time.Second        // an unreachable server may have restarted and be cold
	warmTTL              = 2 * time.Minute        // time for which a handled object is assumed to be warm
	maxObjects           = 4096                   // objects remembered per server
)

// Load is the load that a backend server reported, in requests.
type Load struct {
	Running int
	Waiting int
	Slots   int          // 0 if the server did not say
	Known   bool         // false if the server reported no load
	Limit   RequestLimit // known or not independently of the load
	Leaving bool         // the server said that it leaves
	Bytes   int64        // of the bodies of the request and of the response, as far as they are known
	// RetryAfter is for how long the server, which turned the request away, wants
	// nothing from this host; 0 if it did not say.
	RetryAfter time.Duration
}

// objectKey identifies an object of a route.
type objectKey struct {
	route, object string
}

// server is a host's view of one run of a backend server.
type server struct {
	registrar.Registered
	region   string
	coldRate float64 // requests per second from all hosts together that it can handle when cold; 0 if unknown

	running         int // requests of this host; never negative
	otherRunning    int // requests that other hosts reported; 0 if none did
	reportedLoad    int // requests running and waiting in its latest load report
	reportedAt      time.Duration
	reportedSlots   int     // slots in its latest load report; 0 if it did not say
	ownAtReport     int     // requests of this host at the time of that report
	utilization     float64 // moving average of the requests per slot
	longUtilization float64 // the same over a longer time (idleDecay)
	slownessAvg     float64 // moving average as of slownessAt
	slownessAt      time.Duration
	failureAvg      float64 // moving average of the share of failures as of failureAt
	failureAt       time.Duration
	ejections       int // consecutive
	ejectedUntil    time.Duration
	assumeColdUntil time.Duration               // until then the server is treated as cold
	limit           serverLimit                 // of the requests of all hosts
	leaving         bool                        // it said in an answer that it leaves; stays set for this run
	pausedUntil     time.Duration               // the server wants nothing from this host before; 0 if it never said so
	allowance       *allowance                  // nil until needed
	handled         map[objectKey]time.Duration // when the server last handled an object
	openAttempts    []openAttempt               // one for each of running
	respondedAt     time.Duration               // when it last responded to this host; 0 if it never did
	pendingReport   HealthReport                // attempts of this host that it has not reported yet
}

func newServer(now time.Duration, r registrar.Registered, region string) *server {
	return &server{
		Registered: r, region: region,
		slownessAvg: 1, slownessAt: now, failureAt: now, reportedAt: now,
		handled: map[objectKey]time.Duration{},
		limit:   serverLimit{rank: -1},
	}
}

// decay returns the weight of a value of the given age; it falls to 1/e after
// the time constant.
func decay(age, constant time.Duration) float64 {
	return math.Exp(-float64(max(age, 0)) / float64(constant))
}

// load estimates the requests at the server, including those of other hosts.
// It relies on the latest report of the server at first, and on what the other
// hosts reported as that report ages.
func (s *server) load(now time.Duration) float64 {
	others := float64(s.otherRunning)
	reported := float64(max(s.reportedLoad-s.ownAtReport, 0))
	return others + (reported-others)*decay(now-s.reportedAt, reportDecay) + float64(s.running)
}

// slowness returns the time that requests take as a multiple of the expected
// time. It decays towards 1.
func (s *server) slowness(now time.Duration) float64 {
	return 1 + (s.slownessAvg-1)*decay(now-s.slownessAt, slownessDecay)
}

// failureRate returns the share of recent attempts that failed. It decays
// towards 0.
func (s *server) failureRate(now time.Duration) float64 {
	return s.failureAvg * decay(now-s.failureAt, failureDecay)
}

// maybeCold reports whether the server is or may be cold.
func (s *server) maybeCold(now time.Duration) bool {
	return now < s.ColdUntil() || now < s.assumeColdUntil
}

// warm reports whether this host saw the server handle an object recently.
func (s *server) warm(now time.Duration, key objectKey) bool {
	at, ok := s.handled[key]
	return ok && now-at < warmTTL
}

// done records how an attempt ended and removes it from those in flight.
func (s *server) done(now time.Duration, pick Pick, outcome Outcome, load Load) {
	s.running--
	s.openAttempts = slices.DeleteFunc(s.openAttempts, func(a openAttempt) bool { return a.pick.seq == pick.seq })
	if load.Known {
		s.reportedLoad = min(load.Running+load.Waiting, maxReportedPerSlot*max(s.Slots(), 1))
		s.reportedSlots = load.Slots
		s.reportedAt = now
		s.ownAtReport = s.running
	}
	// An answer without a limit ends it only if the request was sent after the limit
	// was known: the answer to an earlier one may have been on its way.
	if load.Limit.Known && (load.Limit.Limited || pick.began >= s.limit.observedAt) {
		s.limit.observe(now, load.Limit.Limited, load.Limit.PerSecond)
	}
	if outcome == Answered || outcome == Shed || outcome == Misdirected {
		s.respondedAt = now
	}
	switch outcome {
	case Answered:
		s.ejections = 0
		s.ejectedUntil = 0
		s.observeFailure(now, 0)
		s.observeSlowness(now, pick.timeRatio(now))
		s.pendingReport = s.pendingReport.Add(HealthReport{Attempts: 1, Slowness: pick.timeRatio(now)})
		s.markHandled(now, pick.object)
	case Shed:
		s.observeShed(now, load)
	case Failed:
		s.observeFailure(now, 1)
		ratio := max(1, pick.timeRatio(now)) // a failure may arrive sooner than an answer
		s.observeSlowness(now, ratio)
		s.pendingReport = s.pendingReport.Add(HealthReport{Attempts: 1, Failed: 1, Slowness: ratio})
		s.markHandled(now, pick.object)
	case Unreachable, Misdirected:
		s.eject(now)
	case Canceled:
	}
}

// observeShed records a request that was refused for lack of room. It counts
// as a failure if the server reports free slots. A server that reports no load
// is assumed to be full. One that says how long it wants nothing is paused for that
// time, and neither has failed nor is full after it.
func (s *server) observeShed(now time.Duration, load Load) {
	if load.RetryAfter > 0 {
		return
	}
	if load.Known && load.Running < s.Slots() {
		s.observeFailure(now, 1)
		return
	}
	if !load.Known {
		s.reportedLoad = max(s.reportedLoad, shedLoadPerSlot*s.Slots())
		s.reportedAt = now
		s.ownAtReport = s.running
	}
}

const (
	shedLoadPerSlot    = 3 // approximate requests per slot at a server that sheds
	maxReportedPerSlot = 4 // requests per slot that are believed: more fit into no queue
)

// observeFailure adds a sample to the average: 1 for a failure, 0 for a
// success.
func (s *server) observeFailure(now time.Duration, sample float64) {
	s.failureAvg = s.failureRate(now)
	s.failureAvg += sampleWeight * (sample - s.failureAvg)
	s.failureAt = now
}

// markHandled records that the server handled an object.
func (s *server) markHandled(now time.Duration, key objectKey) {
	if key.object == "" {
		return
	}
	if len(s.handled) >= maxObjects {
		clear(s.handled)
	}
	s.handled[key] = now
}

// eject stops requests to the server for a time that doubles with each
// consecutive ejection, up to maxEjection. The server may have restarted, so
// it is also treated as cold for a while.
func (s *server) eject(now time.Duration) {
	duration := min(minEjection<<min(s.ejections, 8), maxEjection)
	s.ejections++
	s.ejectedUntil = now + duration
	s.assumeColdUntil = max(s.assumeColdUntil, now+coldAfterUnreachable)
}

// usable reports whether the server may be attempted. A server that was
// ejected gets a single request of this host at a time until it answers.
func (s *server) usable(now time.Duration) bool {
	if now < s.ejectedUntil {
		return false
	}
	return s.ejections == 0 || s.running == 0
}
