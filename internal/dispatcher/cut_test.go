package dispatcher_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"magnoliahill.example/magnoliahill/internal/standin/target"
)

// Guards against callers that get a part of a response framed as the whole one, from a
// backend server or from another host that relayed the request.
func TestCallersNeverGetACutResponseAsWhole(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Id: id\r\nX-Signature: s.id\r\n"
	long := strings.Repeat("x", 300<<10)
	for name, c := range map[string]struct{ head, body, text string }{
		"with a length": {head: head + "Content-Length: 11\r\n\r\n", body: "hello world", text: "hello world"},
		"chunked":       {head: head + "Transfer-Encoding: chunked\r\n\r\n", body: "hello world", text: "6\r\nhello \r\n5\r\nworld\r\n0\r\n\r\n"},
		"long":          {head: head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(long)), body: long, text: long},
		"long, chunked": {head: head + "Transfer-Encoding: chunked\r\n\r\n", body: long, text: fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(long), long)},
	} {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, relayed %t", name, relayed), func(t *testing.T) {
				p := newRelayPair(t, 1, false)
				host := p.far
				if relayed {
					host = p.near
				}
				whole := c.head + c.text
				cuts := []int{len(whole)}
				for cut := range min(len(whole), len(c.head)+40) {
					cuts = append(cuts, cut)
				}
				if len(whole) > 1000 {
					cuts = append(cuts, 64<<10, 256<<10, len(whole)-2, len(whole)-1)
				}
				for _, cut := range cuts {
					p.far.backends[0].SetRawResponse(whole[:cut])
					p.far.backends[0].QueueFaults(target.RawResponse)
					got := host.send(http.MethodPost, "/order/", "id", "brooms")
					p.far.backends[0].DropFaults()
					switch complete := got.status == http.StatusOK && !got.broken; {
					case complete && got.body != c.body:
						t.Errorf("cut after %d of %d bytes: the caller gets %d bytes as the whole body", cut, len(whole), len(got.body))
					case !complete && cut == len(whole):
						t.Errorf("the whole response does not arrive: status %d", got.status)
					}
				}
			})
		}
	}
}
