package demonstrator

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"magnoliahill.example/magnoliahill/pkg/limiter"
)

// auditor checks that all hosts together never admit more requests than the rate
// and burst of a limit allow, in any window of time. It sorts the admissions by
// time, since hosts report them late and out of order.
type auditor struct {
	mu         sync.Mutex
	admissions map[string][]time.Time
}

func newAuditor() *auditor { return &auditor{admissions: map[string][]time.Time{}} }

// RecordAdmission implements server.Auditor.
func (a *auditor) RecordAdmission(limit string, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admissions[limit] = append(a.admissions[limit], at)
}

// check returns a text that describes the first admission over a limit, or nil.
func (a *auditor) check(limit string, rate, burst int) []string {
	a.mu.Lock()
	times := append([]time.Time(nil), a.admissions[limit]...)
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
