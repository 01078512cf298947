package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that a host with a long grace period takes long after its callers
// should use another host, and breaks off at the end.
func TestStopAcceptsNoLongRequestsOnceLookupsHaveExpired(t *testing.T) {
	is := is.New(t)
	for _, grace := range []time.Duration{4 * time.Second, 6 * time.Second, 10 * time.Second, 20 * time.Second} {
		began := 7 * time.Second
		stop := newStopSchedule(began, grace)
		is.True(stop.AcceptUntil <= began+lookupTTL)
		is.True(stop.AcceptUntil <= began+grace/2)
		is.True(stop.CompleteBy+finishPeriod <= began+grace-stopMargin) // before the platform ends the process
	}
}
