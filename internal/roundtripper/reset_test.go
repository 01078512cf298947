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
)

// Guards against a part of a response that is passed on as whole: the system reports a
// reset once, and the sender of the request's body may get it before the reader.
func TestResponseWithoutALengthThatIsResetDuringAnUploadIsNotWhole(t *testing.T) {
	const uploads = 60
	for _, part := range []int{5, 100_000} {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			address := serveResets(t, part, true)
			rt := roundtripper.New(headerNames, 10)
			defer rt.Close()
			for range uploads {
				if err := upload(t, rt, address); err == nil {
					t.Error("a response that was reset is taken as whole")
				}
			}
		})
	}
}

// The other side of the check above: such a response is whole if the connection ends in order.
func TestResponseWithoutALengthThatEndsDuringAnUploadIsWhole(t *testing.T) {
	address := serveResets(t, 5, false)
	rt := roundtripper.New(headerNames, 10)
	defer rt.Close()
	is.New(t).NoErr(upload(t, rt, address))
}

// serveResets starts a backend server that answers uploads at once, without a length, and
// returns its address. It sends a part of the body and then resets the connection, or ends
// the response and reads on.
func serveResets(t *testing.T, part int, resets bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = io.ReadFull(conn, make([]byte, 1000))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: b\r\nX-Signature: s\r\n\r\n"+strings.Repeat("x", part))
				if !resets {
					_ = conn.(*net.TCPConn).CloseWrite()
					_, _ = io.Copy(io.Discard, conn)
					return
				}
				time.Sleep(5 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return listener.Addr().String()
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
