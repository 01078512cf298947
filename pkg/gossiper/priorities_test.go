package gossiper_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/gossiper"
	"magnoliahill.example/magnoliahill/pkg/prioritizer"
)

// Each host learns what all others counted by priority, once, and forgets it when gossip
// stops.
func TestPrioritiesReachAllHosts(t *testing.T) {
	is := is.New(t)
	const service = 5
	n := newNetwork(6, 4)
	for _, h := range n.hosts {
		h.load.Services = map[uint32]gossiper.ServiceLoad{service: {Priorities: map[int]prioritizer.Counts{
			0: {Asked: 2, Refused: 1}, 3: {Asked: 1, Late: 0.5},
		}}}
	}
	n.rounds(8)
	for _, h := range n.hosts {
		reports := h.gossiper.PriorityReports(n.now)[service]
		sum := map[int]prioritizer.Counts{}
		for _, r := range reports {
			is.True(r.Age < 3*time.Second) // records expire then
			for priority, counts := range r.Counts {
				sum[priority] = sum[priority].Add(counts)
			}
		}
		is.Equal(sum, map[int]prioritizer.Counts{0: {Asked: 46, Refused: 23}, 3: {Asked: 23, Late: 11.5}})
		is.Equal(len(reports), 3+5) // hosts of its zone, and other zones
		is.Equal(len(h.gossiper.PriorityReports(n.now+4*time.Second)), 0)
	}
}
