package messenger_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/pkg/allocator"
)

func TestChargesAndAnswersKeepTheirMeaning(t *testing.T) {
	is := is.New(t)
	charge := allocator.Charge{Limit: "w", Advances: true, Advanced: true}
	is.Equal(messenger.DecodeCharge(messenger.EncodeCharge(charge)), charge)
	answer := allocator.Answer{Wait: 250 * time.Millisecond, Advance: 3 * time.Second}
	is.Equal(messenger.DecodeChargeAnswer(messenger.EncodeChargeAnswer(answer)), answer)
}

// An older build's charge asks for no advance, and its answer grants none.
func TestOlderBuildsUseNoAdvances(t *testing.T) {
	is := is.New(t)
	charge := &peerv1.ChargeRequest{}
	is.NoErr(proto.Unmarshal(readFile(t, "charge-request.binpb"), charge))
	is.Equal(messenger.DecodeCharge(charge), allocator.Charge{Limit: charge.GetLimit()})
	answer := &peerv1.ChargeResponse{}
	is.NoErr(proto.Unmarshal(readFile(t, "charge-response.binpb"), answer))
	is.True(messenger.DecodeChargeAnswer(answer).Allowed)
	is.Equal(messenger.DecodeChargeAnswer(answer).Advance, time.Duration(0))
}
