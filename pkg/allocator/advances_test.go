package allocator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/allocator"
)

const full = time.Minute // the bursts of these tests are full by then

// newOwner returns the owner of a limit of the given burst that ten hosts pool.
func newOwner(burst, slack float64) *allocator.Allocator {
	a := allocator.New(10, 0, allocator.WithSlack(slack))
	a.SetLimits(0, []allocator.Limit{{Name: "w", Rate: 1, Burst: burst}})
	a.SetFleet(0, allocator.Fleet{Hosts: 10, PoolHosts: 10, Live: 10})
	return a
}

// spend plays the worst order of charges: the owner grants as many advances as it will, all
// other tokens are spent, and then all advances are used. It returns the requests that were
// admitted and those of them that used an advance.
func spend(a *allocator.Allocator, now time.Duration) (admitted, advanced int) {
	for {
		answer, err := a.TakeForOther(now, allocator.Charge{Limit: "w", Advances: true})
		if err != nil || !answer.Allowed {
			break
		}
		admitted++
		if answer.Advance > 0 {
			advanced++
		}
	}
	for range advanced {
		_, _ = a.TakeForOther(now, allocator.Charge{Limit: "w", Advanced: true})
	}
	return admitted + advanced, advanced
}

// Requests that are admitted ahead of their charges never exceed the burst by more than the
// slack, in whatever order the charges arrive.
func TestAdvancesAreCoveredByTokensAndSlack(t *testing.T) {
	for _, burst := range []float64{1, 2, 3, 8, 20, 39} {
		for _, slack := range []float64{0, 3, 10} {
			is := is.New(t)
			now := full
			admitted, advanced := spend(newOwner(burst, slack), now)
			t.Log(burst, slack, admitted, advanced)
			is.True(admitted >= int(burst))
			is.True(admitted <= int(burst+slack))
			is.True(advanced > 0 || burst < 4)
		}
	}
}

// Tokens that advances reserve are free again after the advances have ended.
func TestUnusedAdvancesEnd(t *testing.T) {
	is := is.New(t)
	a := newOwner(20, 0)
	now := full
	admitted := 0
	for {
		answer, err := a.TakeForOther(now, allocator.Charge{Limit: "w", Advances: true})
		is.NoErr(err)
		if !answer.Allowed {
			break
		}
		admitted++
	}
	is.True(admitted < 20)
	ok, _ := a.Take(now, "w")
	is.True(!ok) // neither does the owner take what is reserved
	now += 3*time.Second + allocator.AdvanceChargeTimeout
	for range 20 - admitted {
		ok, _ := a.Take(now, "w")
		is.True(ok)
	}
}

// A host that uses no advances, as an older build, gets none.
func TestAdvancesAreGrantedOnlyToHostsThatUseThem(t *testing.T) {
	is := is.New(t)
	a := newOwner(20, 10)
	for range 20 {
		answer, err := a.TakeForOther(full, allocator.Charge{Limit: "w"})
		is.NoErr(err)
		is.True(answer.Allowed)
		is.Equal(answer.Advance, time.Duration(0))
	}
}

// A host uses only advances of the present owner, in their time, and none of an owner that
// did not answer.
func TestAdvancesEndWithTheirOwner(t *testing.T) {
	is := is.New(t)
	a := newOwner(20, 0)
	hold := func(owner string) { a.HoldAdvance(0, "w", owner, time.Second) }
	hold("a")
	is.True(!a.UseAdvance(0, "w", "b"))
	is.True(a.UseAdvance(0, "w", "a"))
	is.True(!a.UseAdvance(0, "w", "a"))
	hold("a")
	is.True(!a.UseAdvance(time.Second, "w", "a"))
	hold("a")
	hold("b")
	is.True(!a.UseAdvance(0, "w", "a"))
	a.ForgetAdvances("b")
	is.True(!a.UseAdvance(0, "w", "b"))
	hold("b")
	a.SetLimits(0, []allocator.Limit{{Name: "w", Rate: 0.001, Burst: 10}})
	is.True(!a.UseAdvance(0, "w", "b"))
}
