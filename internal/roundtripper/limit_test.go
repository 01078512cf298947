package roundtripper_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/roundtripper"
)

// Guards against connections to backend servers that take all descriptors, and against idle
// ones that keep a request from getting a connection.
func TestConnectionsOfSeveralRoundTrippersAreBounded(t *testing.T) {
	is := is.New(t)
	limit := roundtripper.WithConnLimit(roundtripper.NewConnLimit(2))
	first, second := roundtripper.New(headerNames, 10, limit), roundtripper.New(headerNames, 10, limit)
	defer first.Close()
	defer second.Close()
	silent, _ := script{texts: []string{"HTTP/1.1 200 OK\r\nX-Id: b\r\nX-Signature: s\r\n\r\n" + strings.Repeat("x", 20_000)}}.serve(t)
	address, dials := script{texts: []string{ownResponse}}.serve(t)
	other, _ := script{texts: []string{ownResponse}}.serve(t)
	send := func(rt *roundtripper.RoundTripper, address string) error {
		_, err := rt.RoundTrip(t.Context(), roundtripper.Target{Address: address, Instance: "i"}, newRequest(http.MethodPost, "b"))
		return err
	}
	is.NoErr(send(first, address))
	is.NoErr(send(second, other))
	is.NoErr(send(second, address)) // closes the one that the first has idle
	is.NoErr(send(second, other))
	is.NoErr(send(first, address)) // closes the one of the second to the same server
	is.Equal(dials.Load(), int64(3))
	// Two responses that do not end are in the way of a third request.
	var held []*roundtripper.Response
	for range 2 {
		req := newRequest(http.MethodPost, "b")
		req.Reserve = func(int64) bool { return false }
		resp, err := first.RoundTrip(t.Context(), roundtripper.Target{Address: silent, Instance: "i"}, req)
		is.NoErr(err)
		held = append(held, resp)
	}
	is.True(errors.Is(send(second, address), roundtripper.ErrUnreachable))
	is.NoErr(held[0].Rest.Close())
	is.NoErr(send(second, address))
	is.NoErr(held[1].Rest.Close())
}
