package allocator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/allocator"
)

// Guards against hosts that end because a workspace's rate is larger than a bucket holds.
func TestRatesOfAnySizeAreDivided(t *testing.T) {
	is := is.New(t)
	for _, rate := range []float64{1e7, 1e9, 1e12, 1e300} {
		for _, burst := range []float64{0, 1, 1e300} {
			a := allocator.New(11, 0.1)
			a.SetLimits(0, []allocator.Limit{{Name: "w", Rate: rate, Burst: burst}})
			admitted := 0
			for hour := range 10 {
				now := time.Duration(hour+1) * time.Hour
				a.SetFleet(now, allocator.Fleet{Hosts: 11, PoolHosts: 3, Live: 11})
				if ok, _ := a.Take(now, "w"); ok {
					admitted++
				}
			}
			is.Equal(admitted, 10) // the rate allows them all
		}
	}
}
