package tracker_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// Builds that rank all hosts and builds that only look for the first one elect the same owner.
func TestFirstIsTheFirstOfTheRanking(t *testing.T) {
	is := is.New(t)
	var hosts []tracker.Host
	for i := range 40 {
		hosts = append(hosts, tracker.Host{Heartbeat: tracker.Heartbeat{ID: tracker.HostID{Name: fmt.Sprint("h", i)}}})
		for role := range 20 {
			name := fmt.Sprint("limit/", role)
			is.Equal(tracker.First(name, hosts), tracker.Rank(name, hosts)[0])
		}
	}
}
