package dispatcher

import (
	"time"

	"magnoliahill.example/magnoliahill/internal/admitter"
	"magnoliahill.example/magnoliahill/pkg/header"
)

// Requests that may outlast a planned stop are sent if so many times their expected run time
// is left. Orders cannot be repeated once they were broken off.
const (
	longRunShare   = 2.0
	longOrderShare = 4.0
)

// refuseIfStopping returns a refusal if the host began to stop and would break the request
// off. The host may have accepted the request before: its body, its charge or another copy
// of it took time.
func (c *call) refuseIfStopping(now time.Duration) *admitter.Refusal {
	current := c.dispatcher.snapshot.Load()
	if current.phase != Leaving {
		return nil
	}
	share := longRunShare
	if !c.route.Idempotent() {
		share = longOrderShare
	}
	expected := time.Duration(share * float64(c.dispatcher.placer.LongestRun(c.query(c.deadline-now))))
	if current.allows(now, c.deadline, expected) {
		return nil
	}
	return unavailable(header.ReasonStopping, "the host is stopping, use another", stoppingRetryAfter)
}
