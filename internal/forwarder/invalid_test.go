package forwarder_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.yaml.in/yaml/v3"

	"magnoliahill.example/magnoliahill/internal/forwarder"
)

// Guards against bytes that are no response of the protocol and reach a caller as one.
func TestInvalidHeadIsNoResponse(t *testing.T) {
	data, err := os.ReadFile("../verifier/testdata/heads.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name, Text     string
		Valid, Library bool
	}
	if err := yaml.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			s := startRawServer(t, func(_ int64, _ *http.Request, conn net.Conn) bool {
				_, _ = io.WriteString(conn, strings.ReplaceAll(c.Text, "$ID", ""))
				return false
			})
			f := forwarder.New()
			defer f.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second) // a body may not end
			defer cancel()
			request := newRequest(s, http.MethodPost).WithContext(ctx)
			request.ContentLength = int64(len("brooms"))
			resp, err := f.RoundTrip(ctx, request, forwarder.NewBody(strings.NewReader("brooms")))
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			is.Equal(err == nil, c.Valid || c.Library)
			is.True(!errors.Is(err, forwarder.ErrNotRun)) // it may have run
		})
	}
}
