package server

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/loader"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
)

// Guards against two hosts that are both cut off from the store and confirm
// each other's keys forever: a confirmation counts only from the time at which
// the store gave it.
func TestKeyLeaseStartsAtStoreConfirmation(t *testing.T) {
	is := is.New(t)
	settings, err := loader.Parse("h.yaml", []byte(`
host: {name: h, zone: z}
listen: {data: "127.0.0.1:1", control: "127.0.0.1:2"}
platform: {url: "http://127.0.0.1:3"}
keys: {lease: 30s}
`))
	is.NoErr(err)
	s, err := New(settings)
	is.NoErr(err)
	is.Equal(s.loop.configAge(time.Minute), int64(-1)) // never confirmed
	(&headUnchanged{sent: 100 * time.Second}).apply(s.loop, 110*time.Second)
	is.Equal(s.loop.configAge(130*time.Second), int64(30_000))
	applyResponse := func(age int64, sent time.Duration) {
		(&exchangeFinished{address: "peer", sent: sent, resp: &peerv1.ExchangeResponse{ConfigAgeMs: age}}).apply(s.loop, sent)
	}
	applyResponse(60_000, 140*time.Second) // older than what is known
	is.Equal(s.loop.configAge(140*time.Second), int64(40_000))
	applyResponse(5_000, 140*time.Second)
	is.Equal(s.loop.configAge(140*time.Second), int64(5_001))
	applyResponse(-1, 150*time.Second)
	is.Equal(s.loop.configAge(150*time.Second), int64(15_001))
}
