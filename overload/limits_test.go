package overload_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"magnoliahill.example/magnoliahill/platform"
)

// TestHeadsBeyondTheConfiguredLimitAreRejected: the configuration allows heads of 16 KB.
func TestHeadsBeyondTheConfiguredLimitAreRejected(t *testing.T) {
	h := startHost(t, limits{MemoryMB: 96, Descriptors: 456})
	for size, want := range map[int]int{15 << 10: http.StatusOK, 30 << 10: http.StatusRequestHeaderFieldsTooLarge} {
		if got := h.sendHead(size); got != want {
			t.Errorf("status %d for a head of %d bytes, want %d", got, size, want)
		}
	}
}

// sendHead sends a request with a head of about size bytes and returns the status.
func (h *host) sendHead(size int) int {
	h.t.Helper()
	conn, err := (&clients{addresses: []string{h.listener("Front")}}).connect()
	h.must(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "GET /read/ HTTP/1.1\r\nHost: shop\r\n%s: head-%d\r\nX-Filler: %s\r\n\r\n",
		platform.HeaderNames().RequestID, size, strings.Repeat("x", size))
	h.must(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	h.must(err)
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}
