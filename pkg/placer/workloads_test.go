package placer_test

import (
	"testing"

	"github.com/matryer/is"
)

// testWorkloads simulates the workloads of a file and checks their bounds.
func testWorkloads(t *testing.T, file string) {
	var workloads []workload
	readCases(t, file, &workloads)
	for _, l := range workloads {
		t.Run(l.Name, func(t *testing.T) {
			is := is.New(t)
			got := newSimulation(l, 1).run()
			total := float64(got.requests)
			t.Logf("worst window %.3f of the whole", got.worstWindow())
			t.Logf("requests %d, on time %.3f, late %.3f, lost %.3f, refused %.3f, shed %.3f", got.requests, float64(got.onTime)/total,
				float64(got.late)/total, float64(got.lost)/total, float64(got.refused)/total, float64(got.shed)/total)
			is.True(float64(got.onTime) >= l.MinOnTime*total)
			is.True(float64(got.late) <= l.MaxLate*total)
			is.True(float64(got.lost) <= l.MaxLost*total)
			is.True(got.worstWindow() >= l.MinWindow)
			is.True(l.MaxRefused == 0 || float64(got.refused) <= l.MaxRefused*total)
		})
	}
}

// TestWorkloads checks the shares of answers that are on time, late and lost.
func TestWorkloads(t *testing.T) {
	t.Parallel()
	testWorkloads(t, "loads.yaml")
}

// TestOldNews lets many hosts choose at once by what they heard some time ago. In no
// two seconds may callers get less than 0.7 of what they get on the whole.
func TestOldNews(t *testing.T) {
	t.Parallel()
	testWorkloads(t, "stale.yaml")
}

// TestBurstWithOldNews is the same with more load than there is room for.
func TestBurstWithOldNews(t *testing.T) {
	t.Parallel()
	testWorkloads(t, "stale-burst.yaml")
}
