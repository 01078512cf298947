package roundtripper_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/roundtripper"
)

// Guards against bytes that are no response of the protocol and reach a caller as one.
func TestInvalidHeadIsNoResponse(t *testing.T) {
	var cases []struct {
		Name, Text string
		Valid      bool
	}
	readCases(t, "../../verifier/testdata/heads.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			text := strings.ReplaceAll(c.Text, "$ID", "X-Id: b\r\nX-Signature: s\r\n")
			address, dials := script{texts: []string{text, ownResponse}}.serve(t)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second) // a body may not end
			defer cancel()
			rt := roundtripper.New(headerNames, 10)
			defer rt.Close()
			target := roundtripper.Target{Address: address, Instance: "i-1"}
			resp, err := rt.RoundTrip(ctx, target, newRequest(http.MethodPost, "b"))
			if c.Valid {
				is.NoErr(err)
				is.Equal(string(resp.Body), "ok")
				return
			}
			is.True(errors.Is(err, roundtripper.ErrBadResponse))
			resp, err = rt.RoundTrip(ctx, target, newRequest(http.MethodPost, "b"))
			is.True(err != nil || resp.Status == http.StatusOK) // the second connection begins anew
			is.Equal(dials.Load(), int64(2))
		})
	}
}

// Guards against the same behind a response to another request, with which it is read.
func TestInvalidHeadBehindASkippedResponse(t *testing.T) {
	is := is.New(t)
	skipped := "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nno"
	address, _ := script{texts: []string{skipped + "HTTP/1.0 200 OK\r\nX-Id: b\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"}}.serve(t)
	rt := roundtripper.New(headerNames, 10)
	defer rt.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second) // the body would not end
	defer cancel()
	_, err := rt.RoundTrip(ctx, roundtripper.Target{Address: address, Instance: "i-1"}, newRequest(http.MethodPost, "b"))
	is.True(errors.Is(err, roundtripper.ErrBadResponse))
	is.NoErr(ctx.Err())
}
