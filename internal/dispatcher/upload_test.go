package dispatcher_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/standin/target"
	"magnoliahill.example/magnoliahill/pkg/header"
)

const (
	uploadID         = "id-1"
	transferEncoding = "Transfer-Encoding"
)

// uploadCase is one case of the data file.
type uploadCase struct {
	Name          string
	Chunked       bool
	Relayed, Host bool
	First, Second target.Fault
	Status        int
}

// upload is an upload that is sent piece by piece.
type upload struct {
	conn    net.Conn
	chunked bool
	rest    string // what was not sent yet
}

// startUpload sends the head of a request with a body, in chunks if a header says so.
func startUpload(t *testing.T, address, text, path string, headers ...string) *upload {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	u := &upload{conn: conn, rest: text}
	head := "POST " + path + " HTTP/1.1\r\nHost: shop\r\n" + headerNames.RequestID + ": " + uploadID + "\r\n"
	for i := 0; i+1 < len(headers); i += 2 {
		head += headers[i] + ": " + headers[i+1] + "\r\n"
		u.chunked = u.chunked || headers[i] == transferEncoding
	}
	if !u.chunked {
		head += fmt.Sprint("Content-Length: ", len(text), "\r\n")
	}
	u.write(t, head+"\r\n")
	return u
}

func (u *upload) write(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(u.conn, text); err != nil {
		t.Fatal(err)
	}
}

// send sends the next bytes.
func (u *upload) send(t *testing.T, size int) {
	t.Helper()
	piece := u.rest[:min(size, len(u.rest))]
	u.rest = u.rest[len(piece):]
	if u.chunked {
		piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
	}
	u.write(t, piece)
}

// finish sends the rest in small pieces.
func (u *upload) finish(t *testing.T) {
	t.Helper()
	for u.rest != "" {
		u.send(t, 8<<10)
	}
	if u.chunked {
		u.write(t, "0\r\n\r\n")
	}
}

func (u *upload) response(t *testing.T) *http.Response {
	t.Helper()
	_ = u.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(u.conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// prepare starts the hosts of a case, and returns the address for callers and the host whose
// backend servers run the upload.
func (c uploadCase) prepare(t *testing.T) (string, *testHost) {
	t.Helper()
	if !c.Relayed {
		s := newTestHost(t, 1)
		s.planFaults([]target.Fault{c.First, c.Second})
		return s.server.Listener.Addr().String(), s
	}
	p := newRelayPair(t, 1, false)
	if c.Host {
		refusing, err := target.Start("refusing", headerNames)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(refusing.Close)
		refusing.SetExtraHeader(header.Reason, header.ReasonStopping)
		refusing.QueueFaults(target.EarlyShed)
		p.relays.addresses = append([]string{refusing.Address()}, p.relays.addresses...)
	} else {
		p.far.planFaults([]target.Fault{c.First, c.Second})
	}
	return p.near.server.Listener.Addr().String(), p.far
}

// earlyResponses returns the number of early responses of the backend servers.
func (c uploadCase) earlyResponses() int {
	n := 0
	for _, fault := range []target.Fault{c.First, c.Second} {
		if fault != target.None {
			n++
		}
	}
	return n
}

// unexecuted waits until the backend servers have read the bodies to which they responded
// early, and returns these.
func (c uploadCase) unexecuted(s *testHost) []string {
	for {
		var all []string
		for _, backend := range s.backends {
			all = append(all, backend.Unexecuted()...)
		}
		if len(all) >= c.earlyResponses() {
			return all
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against uploads that run with a part missing after an early rejection, and against
// other bytes where the rest of a body is due.
func TestUploadThatIsSentAgainIsWhole(t *testing.T) {
	var cases []uploadCase
	readCases(t, "uploads.yaml", &cases)
	var lines strings.Builder
	for i := range 12_000 {
		fmt.Fprintf(&lines, "line %06d of an upload\n", i)
	}
	text := lines.String()
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			address, s := c.prepare(t)
			var headers []string
			if c.Chunked {
				headers = []string{transferEncoding, "chunked"}
			}
			u := startUpload(t, address, text, "/slow/", headers...)
			u.send(t, 62<<10)
			second := s.backends[len(s.backends)-1]
			for second.Requests() == 0 {
				time.Sleep(time.Millisecond)
			}
			u.finish(t)
			is.Equal(u.response(t).StatusCode, c.Status)
			for _, run := range s.executions() {
				is.True(run.Body == text)
			}
			unexecuted := c.unexecuted(s)
			is.Equal(len(unexecuted), c.earlyResponses())
			for _, body := range unexecuted {
				is.True(strings.HasPrefix(text, body))
			}
		})
	}
}
