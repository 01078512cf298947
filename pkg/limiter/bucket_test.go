package limiter_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"magnoliahill.example/magnoliahill/pkg/limiter"
)

func TestBucketEnforcesRateAndBurst(t *testing.T) {
	is := is.New(t)
	amount := limiter.Amount{Rate: 10 * limiter.Unit, Capacity: 3 * limiter.Unit}
	b := limiter.NewBucket(amount, amount.Capacity, 0)
	for range 3 {
		is.True(b.Take(0, limiter.Unit)) // the burst
	}
	is.True(!b.Take(0, limiter.Unit)) // no more than the burst
	wait, ok := b.Wait(0, limiter.Unit)
	is.True(ok)
	is.True(!b.Take(wait-2, limiter.Unit))
	is.True(b.Take(wait, limiter.Unit)) // the token is back after the time that Wait returned
	is.True(!b.Take(time.Hour, 4*limiter.Unit))
}

// Buckets that pass shares and tokens to each other, with a delay in transit,
// together admit no more than a single bucket with the whole limit.
func TestSplitBucketsAdmitNoMoreThanTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := limiter.Amount{Rate: 20 * limiter.Unit, Capacity: 10 * limiter.Unit}
		whole := limiter.NewBucket(total, total.Capacity, 0)
		split := []*limiter.Bucket{
			limiter.NewBucket(total, total.Capacity, 0),
			limiter.NewBucket(limiter.Amount{}, 0, 0),
			limiter.NewBucket(limiter.Amount{}, 0, 0),
		}
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, 200).Draw(t, "ms")) * time.Millisecond
			from := split[rapid.IntRange(0, 2).Draw(t, "from")]
			to := split[rapid.IntRange(0, 2).Draw(t, "to")]
			if rapid.Bool().Draw(t, "move") {
				share := from.Amount().Scale(rapid.Int64Range(0, 100).Draw(t, "percent"), 100)
				moved := from.Withdraw(now, share, rapid.Int64Range(0, share.Capacity).Draw(t, "tokens"))
				now += time.Duration(rapid.Int64Range(0, 500).Draw(t, "transit")) * time.Millisecond
				to.Deposit(now, share, moved)
				continue
			}
			if from.Take(now, limiter.Unit) && !whole.Take(now, limiter.Unit) {
				t.Fatalf("split buckets admitted more than the whole bucket at %v", now)
			}
		}
	})
}

// Guards against a process that ends because a limit is larger than its arithmetic holds.
func TestLimitsOfAnySizeAreHeld(t *testing.T) {
	is := is.New(t)
	for _, rate := range []float64{-1, 0, 1e-9, 1, 1e7, 1e9, 1e12, 1e300, math.Inf(1)} {
		for _, burst := range []float64{-1, 0, 1, 1e9, 1e300, math.Inf(1)} {
			amount := limiter.Amount{Rate: limiter.Units(rate), Capacity: limiter.Units(burst)}
			b := limiter.NewBucket(amount, 0, 0)
			is.Equal(b.Take(0, limiter.Unit), false) // it begins empty
			wait, ok := b.Wait(0, limiter.Unit)
			is.True(!ok || wait > 0)
			admitted := b.Take(100*time.Hour, limiter.Unit)
			is.Equal(admitted, rate >= 1 && burst >= 1)
			b.Charge(100*time.Hour, 1000*limiter.Unit)
			wait, ok = b.Wait(100*time.Hour, limiter.Unit)
			is.True(!ok || wait >= 0)
			is.True(b.Tokens(1e6*time.Hour) <= amount.Capacity)
		}
	}
}
