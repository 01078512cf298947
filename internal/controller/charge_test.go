package controller

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1/peerv1connect"
	"magnoliahill.example/magnoliahill/pkg/allocator"
)

// A host without a configuration grants no charges of other hosts.
func TestChargeOfAnUnknownLimitIsAnError(t *testing.T) {
	is := is.New(t)
	c := newTestLoop(t, "a").controller
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(&peerService{controller: c}))
	server := httptest.NewServer(mux)
	defer server.Close()
	m := messenger.New()
	defer m.Close()
	charge := func() (bool, error) {
		answer, err := m.Charge(t.Context(), server.Listener.Addr().String(), allocator.Charge{Limit: "w", Advances: true})
		return answer.Allowed, err
	}
	ok, err := charge()
	is.True(!ok)
	is.True(errors.Is(err, allocator.ErrUnknownLimit))
	c.allocator.SetLimits(c.clock.Now(), []allocator.Limit{{Name: "w", Rate: 100, Burst: 100}})
	ok, err = charge()
	is.NoErr(err)
	is.True(ok)
}
