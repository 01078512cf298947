package messenger

import (
	"math"
	"time"

	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/pkg/quarantiner"
)

// EncodeSuspects converts records of suspected requests to their wire type.
func EncodeSuspects(states []quarantiner.State) []*peerv1.SuspectedRequest {
	wire := make([]*peerv1.SuspectedRequest, 0, len(states))
	for _, s := range states {
		wire = append(wire, &peerv1.SuspectedRequest{
			Digest: uint64(s.Digest), Term: s.Term, Crashes: s.Crashes, Age: uint32(min(s.Age.Milliseconds(), math.MaxUint32)),
		})
	}
	return wire
}

// DecodeSuspects converts records of suspected requests from their wire type.
func DecodeSuspects(wire []*peerv1.SuspectedRequest) []quarantiner.State {
	states := make([]quarantiner.State, 0, len(wire))
	for _, w := range wire {
		states = append(states, quarantiner.State{
			Digest: quarantiner.Digest(w.GetDigest()), Term: w.GetTerm(), Crashes: w.GetCrashes(), Age: time.Duration(w.GetAge()) * time.Millisecond,
		})
	}
	return states
}
