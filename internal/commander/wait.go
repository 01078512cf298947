package commander

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/timekeeper"
)

const (
	pollInterval     = 200 * time.Millisecond
	progressInterval = 2 * time.Second
)

// waitForGeneration waits until a generation is active on all hosts. If that
// takes longer than limit, it prints the hosts that are pending, including those
// that do not respond, and returns an error with ExitPending.
func waitForGeneration(ctx context.Context, out *output, fleet *fleetOptions, generation int64, limit time.Duration) error {
	start := time.Now()
	lastProgress := start
	for {
		responses, err := fleet.callAll(ctx, fetchStatus)
		if err != nil {
			return err
		}
		pending := pendingHosts(responses, generation)
		if len(pending) == 0 {
			_, _ = fmt.Fprintf(out.stdout, "generation %d is active on %d hosts after %d ms\n",
				generation, len(responses), time.Since(start).Milliseconds())
			return nil
		}
		if time.Since(start) >= limit {
			for _, text := range pending {
				_, _ = fmt.Fprintln(out.stdout, "pending: "+text)
			}
			return withExitCode(ExitPending, errors.Errorf("generation %d is not active on all hosts after %v", generation, limit))
		}
		if time.Since(lastProgress) >= progressInterval {
			lastProgress = time.Now()
			_, _ = fmt.Fprintf(out.stderr, "waiting for %d hosts\n", len(pending))
		}
		if err := timekeeper.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// pendingHosts describes the hosts on which a generation is not active yet,
// sorted by zone.
func pendingHosts(responses []hostResponse, generation int64) []string {
	var pending []string
	for _, r := range responses {
		switch {
		case r.Err != nil:
			pending = append(pending, fmt.Sprintf("zone %s, host %s: does not respond", r.Zone, r.Address))
		case r.Status.GetGeneration() < generation:
			pending = append(pending, fmt.Sprintf("zone %s, host %s: has generation %d, last contact with the store %d ms ago",
				r.Zone, r.Status.GetId().GetName(), r.Status.GetGeneration(), r.Status.GetStoreSilentMs()))
		}
	}
	sort.Strings(pending)
	return pending
}
