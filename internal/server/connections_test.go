package server_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against clients that take all connections of a host and send nothing.
func TestSilentConnectionsLeaveRoomForOthers(t *testing.T) {
	const limit = 5
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	t.Cleanup(backend.Close)
	h := startHostWith(t, "max-connections: 5", backendServers, strings.TrimPrefix(backend.URL, "http://"))
	for name, address := range map[string]string{"callers": h.dataAddress, "other hosts": h.control} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var silent []net.Conn
			for range 4 * limit {
				conn, err := net.Dial("tcp", address)
				is.NoErr(err)
				t.Cleanup(func() { _ = conn.Close() })
				silent = append(silent, conn)
			}
			open := 0
			for _, conn := range silent {
				is.NoErr(conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond)))
				_, err := conn.Read(make([]byte, 1))
				if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
					open++
				}
			}
			is.True(open <= limit)
			// The silent connections are old enough to be closed for new ones now.
			resp, err := h.call(http.MethodGet, "/", "")
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.NoErr(resp.Body.Close())
		})
	}
}
