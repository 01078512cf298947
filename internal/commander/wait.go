package commander

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/clocker"
)

const (
	waitPoll     = 200 * time.Millisecond
	waitProgress = 2 * time.Second
)

// awaitInForce waits until all hosts have a generation in force, and reports
// each zone. Zones that do not answer are named as pending.
func awaitInForce(ctx context.Context, out *output, fleet *fleetOptions, generation int64, limit time.Duration) error {
	began := time.Now()
	said := began
	for {
		answers, err := fleet.ask(ctx, askStatus)
		if err != nil {
			return err
		}
		pending := pendingZones(answers, generation)
		if len(pending) == 0 {
			_, _ = fmt.Fprintf(out.stdout, "generation %d is in force on %d hosts after %d ms\n",
				generation, len(answers), time.Since(began).Milliseconds())
			return nil
		}
		if time.Since(began) >= limit {
			for _, text := range pending {
				_, _ = fmt.Fprintln(out.stdout, "pending: "+text)
			}
			return failed(ExitPending, errors.Errorf("generation %d is not in force everywhere after %v", generation, limit))
		}
		if time.Since(said) >= waitProgress {
			said = time.Now()
			_, _ = fmt.Fprintf(out.stderr, "waiting for %d hosts\n", len(pending))
		}
		if err := clocker.Sleep(ctx, waitPoll); err != nil {
			return err
		}
	}
}

func pendingZones(answers []hostAnswer, generation int64) []string {
	var pending []string
	for _, a := range answers {
		switch {
		case a.Err != nil:
			pending = append(pending, fmt.Sprintf("zone %s, host %s: does not answer", a.Zone, a.Address))
		case a.Status.GetGeneration() < generation:
			pending = append(pending, fmt.Sprintf("zone %s, host %s: has generation %d, store silent for %d ms",
				a.Zone, a.Status.GetId().GetName(), a.Status.GetGeneration(), a.Status.GetStoreSilentMs()))
		}
	}
	sort.Strings(pending)
	return pending
}
