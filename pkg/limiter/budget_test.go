package limiter_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"magnoliahill.example/magnoliahill/pkg/limiter"
)

// In any interval of first attempts and retries, the retries stay within the size
// plus ratio times the first attempts of the interval.
func TestBudgetBoundsRetriesOverAnyInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		size := rapid.Float64Range(0, 20).Draw(t, "size")
		b := limiter.NewRetryBudget(ratio, size)
		var firsts, retries []float64
		earned, spent := 0.0, 0.0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "first") {
				b.Earn()
				earned++
			} else if b.Spend() {
				spent++
			}
			firsts, retries = append(firsts, earned), append(retries, spent)
		}
		for i := range retries {
			for j := i; j < len(retries); j++ {
				if retries[j]-retries[i] > size+ratio*(firsts[j]-firsts[i])+1e-9 {
					t.Fatalf("%v retries for %v first attempts", retries[j]-retries[i], firsts[j]-firsts[i])
				}
			}
		}
	})
}

func TestResizeLowersBalance(t *testing.T) {
	is := is.New(t)
	b := limiter.NewRetryBudget(0, 5)
	b.Resize(2)
	is.True(b.Spend())
	is.True(b.Spend())
	is.True(!b.Spend())
}

func TestEmptyBudgetAllowsNoRetryUntilEarned(t *testing.T) {
	is := is.New(t)
	b := limiter.NewRetryBudget(0, 2, limiter.WithEmptyBalance())
	is.True(!b.Spend())
	b.SetRatio(0.5)
	b.Earn()
	is.True(!b.Spend())
	b.Earn()
	is.True(b.Spend())
	is.True(!b.Spend())
}
