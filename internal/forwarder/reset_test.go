package forwarder_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"magnoliahill.example/magnoliahill/internal/forwarder"
)

// Guards against a part of a response that is passed on as whole: the system reports a
// reset once, and the sender of the request's body may get it before the reader.
func TestResponseWithoutALengthThatIsResetDuringAnUploadIsNotWhole(t *testing.T) {
	const (
		uploads = 60
		size    = 4 << 20
	)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = io.ReadFull(conn, make([]byte, 1000))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello")
				time.Sleep(5 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	f := forwarder.New()
	defer f.Close()
	for range uploads {
		request := newRequest(&rawServer{listener: listener}, http.MethodPost)
		if err := send(f, request, strings.Repeat("x", size)); err == nil {
			t.Error("a response that was reset is taken as whole")
		}
	}
}
