package pipeliner_test

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"magnoliahill.example/magnoliahill/internal/pipeliner"
)

// exchange sends bytes in segments to a server and returns what its handler got, in the
// order of the answers, and all bytes of the answers. Without memory there is no Pipeliner.
func exchange(t *testing.T, data, segments []byte, memory int64) (out string) {
	synctest.Test(t, func(*testing.T) {
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			time.Sleep(time.Millisecond) // what is behind this request is read in this time
			_, _ = fmt.Fprintf(w, "%s %q %q %q %q %v %v", r.Method, r.RequestURI, r.Host, r.Header, body, err, r.RemoteAddr)
		})
		listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ErrorLog: quiet}
		var accepting net.Listener = listener
		if memory > 0 {
			p := pipeliner.New(handler, everyRoute{}, pipeliner.WithMemory(memory))
			server.Handler, server.ConnContext = p, p.ConnContext
			accepting = p.Listener(listener)
		}
		go func() { _ = server.Serve(accepting) }()
		client, conn := net.Pipe()
		listener.conns <- conn
		go func() {
			for i := 0; len(data) > 0; i++ {
				n := len(data)
				if len(segments) > 0 {
					n = min(n, int(segments[i%len(segments)])+1)
				}
				if _, err := client.Write(data[:n]); err != nil {
					return
				}
				data = data[n:]
			}
		}()
		var answers strings.Builder
		time.AfterFunc(10*time.Second, func() { _ = client.Close() })
		_, _ = io.Copy(&answers, client)
		_ = client.Close()
		time.Sleep(time.Second)
		_ = server.Close()
		out = answers.String()
	})
	return out
}

var quiet = log.New(io.Discard, "", 0)

type everyRoute struct{}

func (everyRoute) Idempotent(string, string) bool { return true }

// FuzzBytes guards that the server gets exactly the bytes that came, in any segments, and
// gives the same answers in the same order as without a Pipeliner.
func FuzzBytes(f *testing.F) {
	long := get("/read/" + strings.Repeat("x", 1500))
	for _, seed := range []string{
		get("/a") + get("/b") + get("/c"),
		get("/a") + "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello" + get("/c") + get("/d"),
		"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;x\r\nhello\r\n0\r\n\r\n" + get("/c") + get("/d"),
		"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nh\r\n0\r\nA: b\r\n\r\n" + get("/c") + get("/d"),
		"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n\r\n" + get("/c") + "\r\n" + get("/d"),
		"GET /a HTTP/1.1\nHost: h\n\nGET /b HTTP/1.1\nHost: h\n\r\nGET /c HTTP/1.1\nHost: h\n x\n\n" + get("/d"),
		"OPTIONS * HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\na\n\nb" + get("/c") + get("/d"),
		get("/a", "Connection: close") + get("/b"),
		get("/a") + "GET /b HTTP/1.0\r\nHost: h\r\n\r\n" + get("/c"),
		get("/a") + "GET /b HTTP/1.1\r\n\r\n" + get("/c"),
		get("/a") + "GET /b HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n" + get("/c"),
		get("/a") + "GET http://x/b HTTP/1.1\r\nHost: h\r\n\r\n" + get("/c"),
		get("/a") + "HEAD /b HTTP/1.1\r\nHost: shop\r\n\r\n" + get("/c"),
		get("/a") + get("/b", "Expect: 100-continue") + get("/c"),
		get("/a") + get("/b", "Content-Length: 0") + get("/c"),
		get("/a") + "rubbish\n\n" + get("/c"),
		get("/a") + "GET /b HTTP/1.1\r\nHost: shop\r\nA: " + strings.Repeat("b", 7000) + "\r\n\r\n" + get("/c"),
		strings.Repeat(long, 20),
		strings.Repeat(get("/a"), 30),
	} {
		f.Add([]byte(seed), []byte{})
		f.Add([]byte(seed), []byte{0})
		f.Add([]byte(seed), []byte{17, 3, 200})
	}
	f.Fuzz(func(t *testing.T, data, segments []byte) {
		if len(data) > 64<<10 {
			t.Skip("no more than the look-ahead needs")
		}
		want := exchange(t, data, segments, 0)
		for _, memory := range []int64{1, 100_000, 8 << 20} {
			if got := exchange(t, data, segments, memory); want != got {
				t.Errorf("without a pipeliner:\n%s\nwith it and memory of %d bytes:\n%s", want, memory, got)
			}
		}
	})
}
