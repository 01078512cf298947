package messenger

import (
	"time"

	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/pkg/allocator"
)

// EncodeCharge encodes a charge at the owner of a limit.
func EncodeCharge(c allocator.Charge) *peerv1.ChargeRequest {
	return &peerv1.ChargeRequest{Limit: c.Limit, Advances: c.Advances, Advanced: c.Advanced}
}

// DecodeCharge decodes a charge of another host. Older builds use no advances.
func DecodeCharge(m *peerv1.ChargeRequest) allocator.Charge {
	return allocator.Charge{Limit: m.GetLimit(), Advances: m.GetAdvances(), Advanced: m.GetAdvanced()}
}

// EncodeChargeAnswer encodes the answer to a charge.
func EncodeChargeAnswer(a allocator.Answer) *peerv1.ChargeResponse {
	return &peerv1.ChargeResponse{
		Allowed: a.Allowed, Wait: uint32(a.Wait.Milliseconds()), Advance: uint32(a.Advance.Milliseconds()),
	}
}

// DecodeChargeAnswer decodes the answer of the owner of a limit. Older builds grant no
// advances.
func DecodeChargeAnswer(m *peerv1.ChargeResponse) allocator.Answer {
	return allocator.Answer{
		Allowed: m.GetAllowed(), Wait: time.Duration(m.GetWait()) * time.Millisecond,
		Advance: time.Duration(m.GetAdvance()) * time.Millisecond,
	}
}
