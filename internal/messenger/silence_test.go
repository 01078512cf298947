package messenger_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1/peerv1connect"
)

// silentPeer answers only on connections that were opened after all others fell silent.
type silentPeer struct {
	peerv1connect.UnimplementedPeerServiceHandler
	silent *atomic.Bool
}

type openedSilent struct{}

func (p *silentPeer) Objects(ctx context.Context, _ *connect.Request[peerv1.ObjectsRequest]) (*connect.Response[peerv1.ObjectsResponse], error) {
	if p.silent.Load() && ctx.Value(openedSilent{}) == false {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return connect.NewResponse(&peerv1.ObjectsResponse{}), nil
}

// After all idle connections have fallen silent, one fetch fails, and the next one, from
// another host, does not.
func TestFetchAfterConnectionsFellSilent(t *testing.T) {
	is := is.New(t)
	var silent atomic.Bool
	start := func() string {
		mux := http.NewServeMux()
		mux.Handle(peerv1connect.NewPeerServiceHandler(&silentPeer{silent: &silent}))
		server := httptest.NewUnstartedServer(mux)
		server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, openedSilent{}, silent.Load())
		}
		server.Start()
		t.Cleanup(server.Close)
		return server.Listener.Addr().String()
	}
	m := messenger.New()
	defer m.Close()
	fetch := func(address string, within time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), within)
		defer cancel()
		_, err := m.Objects(ctx, address, nil)
		return err
	}
	first, second := start(), start()
	is.NoErr(fetch(first, time.Minute))
	is.NoErr(fetch(second, time.Minute))
	silent.Store(true)
	is.True(fetch(first, 50*time.Millisecond) != nil)
	is.NoErr(fetch(second, 5*time.Second))
}
