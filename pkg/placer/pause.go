package placer

import "time"

const (
	maxPause     = time.Hour              // longest Retry-After that is kept to; a new run of the server ends it sooner
	resumeSpread = 500 * time.Millisecond // over which hosts that paused together resume
	resumeStep   = 250 * time.Millisecond // after which a resuming host may have one more request in flight
	resumeTime   = 3 * time.Second        // after which it may have any number
)

// pause stops requests of this host to the server, which asked for that with a
// Retry-After. When the time has passed, the number of requests in flight grows step
// by step, from one.
func (s *server) pause(now time.Duration, retryAfter time.Duration, self string) {
	spread := time.Duration(unitFloat(hash("resume", s.ID(), self)) * float64(resumeSpread))
	s.pausedUntil = max(s.pausedUntil, now+min(retryAfter, maxPause)+spread)
}

// pauseWait returns the time for which the server gets no further request of this host
// because of a Retry-After, and 0 if it may get one now.
func (s *server) pauseWait(now time.Duration) time.Duration {
	resumed := now - s.pausedUntil
	switch {
	case s.pausedUntil == 0 || resumed >= resumeTime:
		return 0
	case resumed < 0:
		return -resumed
	case s.running > int(resumed/resumeStep):
		return resumeStep - resumed%resumeStep
	}
	return 0
}
