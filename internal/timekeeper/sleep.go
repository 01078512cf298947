package timekeeper

import (
	"context"
	"time"
)

// Sleep waits for a duration. It returns the context's error if the context ends
// first.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
