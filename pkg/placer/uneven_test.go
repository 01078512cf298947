package placer_test

import (
	"testing"

	"github.com/matryer/is"
)

// The callers of a region with a tenth of the servers and a third of the requests get no
// less than 0.7 of what all callers get on time, also while the demand of the regions
// rises and falls one after the other.
func TestCallersOfASmallRegion(t *testing.T) {
	t.Parallel()
	var workloads []workload
	readCases(t, "uneven.yaml", &workloads)
	for _, w := range workloads {
		t.Run(w.Name, func(t *testing.T) {
			is := is.New(t)
			got := newSimulation(w, 1).run()
			t.Logf("on time %.3f, callers of the worst region %.3f of that, worst window %.3f of the whole",
				float64(got.onTime)/float64(got.requests), got.worstRegion(), got.worstWindow())
			is.True(got.worstRegion() >= 0.7)
		})
	}
}
