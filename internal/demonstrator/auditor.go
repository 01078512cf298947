package demonstrator

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"magnoliahill.example/magnoliahill/pkg/limiter"
)

// auditor checks that all hosts together admit no more than each rate and
// burst, in every window. It sorts by the time of admission, since hosts report
// late.
type auditor struct {
	mu       sync.Mutex
	admitted map[string][]time.Time
}

func newAuditor() *auditor { return &auditor{admitted: map[string][]time.Time{}} }

// Admitted implements server.Auditor.
func (a *auditor) Admitted(limit string, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admitted[limit] = append(a.admitted[limit], at)
}

// check returns a text for each admission over a limit.
func (a *auditor) check(limit string, rate, burst int) []string {
	a.mu.Lock()
	times := append([]time.Time(nil), a.admitted[limit]...)
	a.mu.Unlock()
	if len(times) == 0 {
		return nil
	}
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	amount := limiter.Amount{Rate: int64(rate) * limiter.Unit, Capacity: int64(burst) * limiter.Unit}
	bucket := limiter.NewBucket(amount, amount.Capacity, 0)
	for i, at := range times {
		now := at.Sub(times[0])
		if !bucket.Take(now, limiter.Unit) {
			return []string{fmt.Sprintf("%s admitted more than %d/s with burst %d: request %d after %v", limit, rate, burst, i+1, now)}
		}
	}
	return nil
}
