package roundtripper_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/forwarder"
	"magnoliahill.example/magnoliahill/internal/roundtripper"
	"magnoliahill.example/magnoliahill/internal/standin/target"
)

const responseWithoutLength = "HTTP/1.1 200 OK\r\nX-Id: b\r\nX-Signature: s\r\n\r\n"

// Guards against a part of a response that is passed on as whole: the system reports a
// reset once, and the sender of the request's body may get it before the reader.
func TestResponseWithoutALengthThatIsResetDuringAnUploadIsNotWhole(t *testing.T) {
	const uploads = 60
	for _, part := range []int{5, 100_000} {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			listener, err := target.ListenAndReset(responseWithoutLength + strings.Repeat("x", part))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			rt := roundtripper.New(headerNames, 10)
			defer rt.Close()
			for range uploads {
				if err := upload(t, rt, listener.Addr().String()); err == nil {
					t.Error("a response that was reset is taken as whole")
				}
			}
		})
	}
}

// The other side of the check above: such a response is whole if the connection ends in order.
func TestResponseWithoutALengthThatEndsDuringAnUploadIsWhole(t *testing.T) {
	listener, err := target.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.ReadFull(conn, make([]byte, 1000))
		_, _ = io.WriteString(conn, responseWithoutLength+"hello")
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	}()
	rt := roundtripper.New(headerNames, 10)
	defer rt.Close()
	is.New(t).NoErr(upload(t, rt, listener.Addr().String()))
}

// upload sends 4 MB and returns the error of the response or of its body.
func upload(t *testing.T, rt *roundtripper.RoundTripper, address string) error {
	const size = 4 << 20
	req := newRequest(http.MethodPost, "b")
	req.Body = forwarder.NewBody(strings.NewReader(strings.Repeat("x", size)))
	req.Length = size
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	resp, err := rt.RoundTrip(ctx, roundtripper.Target{Address: address, Instance: "i"}, req)
	if err != nil || resp.Rest == nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Rest)
	if closeErr := resp.Rest.Close(); err == nil {
		err = closeErr
	}
	return err
}
