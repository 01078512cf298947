package overload_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"time"

	"magnoliahill.example/magnoliahill/platform"
)

// checkSlowCaller checks that a caller that reads a number of bytes after each pause gets
// its whole response.
func (h *host) checkSlowCaller(size, each int, pause time.Duration) {
	h.t.Helper()
	conn, err := (&clients{addresses: []string{h.listener("Front")}, crowd: crowd{Buffer: 4096}}).connect()
	h.must(err)
	defer func() { _ = conn.Close() }()
	headers := platform.HeaderNames()
	_, err = fmt.Fprintf(conn, "GET /read/?size=%d HTTP/1.1\r\nHost: shop\r\n%s: slow\r\n%s: 60000\r\n\r\n", size, headers.RequestID, headers.Deadline)
	h.must(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	h.must(err)
	defer func() { _ = resp.Body.Close() }()
	read := 0
	for err == nil {
		var n int64
		time.Sleep(pause)
		n, err = io.CopyN(io.Discard, resp.Body, int64(each))
		read += int(n)
	}
	if read != size || err != io.EOF || resp.StatusCode != http.StatusOK {
		h.t.Errorf("status %d, %d of %d bytes: %v", resp.StatusCode, read, size, err)
	}
}
