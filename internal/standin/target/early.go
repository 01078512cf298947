package target

import (
	"io"
	"net"
	"net/http"
	"strings"
)

const earlyMidwayBytes = 100_000

// respondEarly writes a response when the beginning of the body has arrived, reads on, and
// reports whether the connection stays open.
func (t *Responder) respondEarly(conn net.Conn, r *http.Request, beginning int64, response string) bool {
	var body strings.Builder
	_, err := io.CopyN(&body, r.Body, beginning)
	ok := err == nil && t.write(conn, response)
	if ok {
		_, err = io.Copy(&body, r.Body)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unexecuted = append(t.unexecuted, body.String())
	return ok && err == nil
}

// Unexecuted returns the bodies, or their beginnings, of the requests to which the target
// responded early. They are known once the body or its connection has ended.
func (t *Responder) Unexecuted() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.unexecuted...)
}
