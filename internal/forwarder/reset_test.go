package forwarder_test

import (
	"net/http"
	"strings"
	"testing"

	"magnoliahill.example/magnoliahill/internal/forwarder"
	"magnoliahill.example/magnoliahill/internal/standin/target"
)

// Guards against a part of a response that is passed on as whole: the system reports a
// reset once, and the sender of the request's body may get it before the reader.
func TestResponseWithoutALengthThatIsResetDuringAnUploadIsNotWhole(t *testing.T) {
	const (
		uploads = 60
		size    = 4 << 20
	)
	listener, err := target.ListenAndReset("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	f := forwarder.New()
	defer f.Close()
	for range uploads {
		request := newRequest(&rawServer{listener: listener}, http.MethodPost)
		if err := send(f, request, strings.Repeat("x", size)); err == nil {
			t.Error("a response that was reset is taken as whole")
		}
	}
}
