package messenger_test

import (
	"testing"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/pkg/gossiper"
	"magnoliahill.example/magnoliahill/pkg/prioritizer"
)

func TestPrioritiesOfServicesAreSent(t *testing.T) {
	is := is.New(t)
	counts := map[int]prioritizer.Counts{-1: {Asked: 12.5, Refused: 3.1, Late: 0.4}, 2: {Asked: 1}}
	records := []gossiper.LoadRecord{{Scope: "zone/a", Load: gossiper.Load{Services: map[uint32]gossiper.ServiceLoad{
		7: {Free: 1, Priorities: counts}, 8: {Free: 2},
	}}}}
	got := messenger.DecodeLoadRecords(messenger.EncodeLoadRecords(records))[0].Services
	is.Equal(got[7].Priorities, counts)
	is.Equal(len(got[8].Priorities), 0)
}

// Entries that lack a part, and more priorities than a record holds, are left out.
func TestMalformedPrioritiesAreLeftOut(t *testing.T) {
	is := is.New(t)
	wire := []*peerv1.LoadRecord{{Scope: "zone/a", Origins: []*peerv1.Origin{
		{Service: 7, Priorities: []int32{0, 1}, Asked: []uint32{10, 20}, Refused: []uint32{5}, Late: []uint32{0, 0}},
		{Service: 8, Priorities: make([]int32, 100), Asked: make([]uint32, 100), Refused: make([]uint32, 100), Late: make([]uint32, 100)},
		{Service: 9, Priorities: []int32{0}},
	}}}
	for i := range wire[0].Origins[1].Priorities {
		wire[0].Origins[1].Priorities[i] = int32(i)
	}
	got := messenger.DecodeLoadRecords(wire)[0].Services
	is.Equal(got[7].Priorities, map[int]prioritizer.Counts{0: {Asked: 1, Refused: 0.5}})
	is.Equal(len(got[8].Priorities), 16)
	is.Equal(len(got[9].Priorities), 0)
}
