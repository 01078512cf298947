package messenger

import (
	"maps"
	"math"
	"slices"

	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/pkg/prioritizer"
)

// maxPriorities is the number of priorities of a service that a load record holds.
const maxPriorities = 16

// encodePriorities adds what was counted of a service to its wire type, the most urgent
// priorities first.
func encodePriorities(wire *peerv1.Origin, counts map[int]prioritizer.Counts) {
	for _, priority := range slices.Sorted(maps.Keys(counts)) {
		if len(wire.Priorities) >= maxPriorities || priority < math.MinInt32 || priority > math.MaxInt32 {
			continue
		}
		c := counts[priority]
		wire.Priorities = append(wire.Priorities, int32(priority))
		wire.Asked = append(wire.Asked, encodeRate(c.Asked))
		wire.Refused = append(wire.Refused, encodeRate(c.Refused))
		wire.Late = append(wire.Late, encodeRate(c.Late))
	}
}

// decodePriorities returns what was counted of a service, or nil if nothing was. Entries
// that lack a part are left out.
func decodePriorities(wire *peerv1.Origin) map[int]prioritizer.Counts {
	n := min(len(wire.GetPriorities()), len(wire.GetAsked()), len(wire.GetRefused()), len(wire.GetLate()), maxPriorities)
	if n == 0 {
		return nil
	}
	counts := make(map[int]prioritizer.Counts, n)
	for i, priority := range wire.GetPriorities()[:n] {
		counts[int(priority)] = prioritizer.Counts{
			Asked:   float64(wire.GetAsked()[i]) / demandScale,
			Refused: float64(wire.GetRefused()[i]) / demandScale,
			Late:    float64(wire.GetLate()[i]) / demandScale,
		}
	}
	return counts
}

func encodeRate(rate float64) uint32 {
	return uint32(min(rate*demandScale+0.5, math.MaxUint32))
}
