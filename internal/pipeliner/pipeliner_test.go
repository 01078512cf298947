package pipeliner_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.yaml.in/yaml/v3"

	"magnoliahill.example/magnoliahill/internal/pipeliner"
)

// orderCase is a case of the data file: what a caller sends at once, and the answers.
type orderCase struct {
	Name    string
	Send    []string
	Memory  int64    // bytes that may be held; 0 for as many as usual
	Split   int      // bytes of each segment; 0 for all at once
	Answers []string // paths in order
	At      []int    // milliseconds at which each answer is complete
	Ran     []string // paths that the handler got, each once, if not Answers
	Last    bool     // the last answer announces that the connection closes
}

// Guards the order of answers, and which requests run side by side, in the time of a
// synctest bubble.
func TestRequestsSentAhead(t *testing.T) {
	data, err := os.ReadFile("testdata/orders.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []orderCase
	if err := yaml.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) { synctest.Test(t, c.play) })
	}
}

// request returns the bytes of an entry of Send.
func request(entry string) string {
	if raw, ok := strings.CutPrefix(entry, "raw:"); ok {
		return raw
	}
	head, body, _ := strings.Cut(entry, "\n\n")
	lines := strings.Split(head, "\n")
	lines[0] += " HTTP/1.1\r\nHost: shop"
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

func (c orderCase) play(t *testing.T) {
	is := is.New(t)
	var options []pipeliner.Option
	if c.Memory > 0 {
		options = append(options, pipeliner.WithMemory(c.Memory))
	}
	h := startHost(t, options...)
	h.answer = func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/closes") {
			w.Header().Set("Connection", "close")
		}
		if strings.HasSuffix(r.URL.Path, "/breaks") {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}
	conn := h.dial()
	defer func() { _ = conn.Close() }()
	go func() {
		text := ""
		for _, entry := range c.Send {
			text += request(entry)
		}
		step := c.Split
		if step == 0 {
			step = len(text)
		}
		for ; len(text) > 0; text = text[min(step, len(text)):] {
			_, _ = io.WriteString(conn, text[:min(step, len(text))])
		}
	}()
	defer time.AfterFunc(time.Minute, func() { _ = conn.Close() }).Stop()
	var paths []string
	var at []int
	answers := h.read(conn, len(c.Answers)+1)
	for _, a := range answers {
		paths = append(paths, a.body)
		at = append(at, int(a.at.Milliseconds()))
	}
	is.Equal(paths, c.Answers)
	is.Equal(at, c.At)
	if len(answers) > 0 {
		is.Equal(answers[len(answers)-1].close, c.Last)
	}
	if c.Ran == nil {
		c.Ran = c.Answers
	}
	is.Equal(slices.Sorted(slices.Values(h.paths())), slices.Sorted(slices.Values(c.Ran)))
	_ = conn.Close()
	synctest.Wait()
}

// A caller that leaves ends all runs, and nothing behind them is started.
func TestCallerThatLeavesCancelsAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := startHost(t)
		conn := h.dial()
		send(conn, get("/read/10s/1")+get("/read/10s/2")+get("/read/10s/3")+get("/order/0s/4"))
		time.Sleep(time.Second)
		_ = conn.Close()
		synctest.Wait()
		is.Equal(len(h.paths()), 3)
		for _, c := range h.calls {
			is.Equal(c.canceled, time.Second)
		}
	})
}

// A connection that breaks under an answer ends the runs behind it within half a second.
func TestBrokenAnswerCancelsTheRunsBehindIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := startHost(t)
		h.answer = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
		conn := h.dial()
		send(conn, get("/read/1s/1")+get("/read/10s/2")+get("/read/10s/3")+get("/order/0s/4"))
		is.Equal(len(h.read(conn, 1)), 0)
		synctest.Wait()
		is.Equal(len(h.paths()), 3)
		for _, c := range h.calls {
			is.True(c.path == "/read/1s/1" || c.canceled >= time.Second && c.canceled <= 1500*time.Millisecond)
		}
	})
}

// A caller that sends 10,000 requests and reads no answer has nine of them running and
// little memory; another one is served as ever.
func TestCallerThatReadsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := startHost(t)
		h.bodySize = 200_000
		conn := h.dial()
		send(conn, strings.Repeat(get("/read/100ms/1"), 10_000))
		time.Sleep(time.Minute)
		is.Equal(len(h.paths()), 9)
		is.True(h.pipeliner.HeldBytes() <= 16<<10+8*(32<<10+64<<10+200_100))
		other := h.dial()
		send(other, get("/read/100ms/2")+get("/read/100ms/3"))
		answers := h.read(other, 2)
		is.Equal(len(answers), 2)
		is.Equal(answers[1].at, time.Minute+100*time.Millisecond)
		_ = other.Close()
		_ = conn.Close()
		synctest.Wait()
		is.Equal(h.running, 0)
	})
}

// With memory for the look-ahead and one run, two requests run side by side and no more.
func TestMemoryForOneRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const memory = 16<<10 + 32<<10 + 500
		h := startHost(t, pipeliner.WithMemory(memory))
		h.answer = func(w http.ResponseWriter, r *http.Request) {
			if held := h.pipeliner.HeldBytes(); held > memory {
				t.Errorf("%d bytes are held", held)
			}
			_, _ = io.WriteString(w, r.URL.Path)
		}
		conn := h.dial()
		send(conn, get("/read/100ms/1")+get("/read/100ms/2")+get("/read/100ms/3")+get("/read/100ms/4"))
		answers := h.read(conn, 4)
		is.Equal(len(answers), 4)
		for i, a := range answers {
			is.Equal(a.body, fmt.Sprint("/read/100ms/", i+1))
		}
		is.Equal(answers[1].at, 100*time.Millisecond)
		is.True(answers[3].at < 400*time.Millisecond) // the time that they take one after the other
		is.Equal(h.most, 2)
		is.Equal(len(h.paths()), 4)
		_ = conn.Close()
		synctest.Wait()
	})
}

// All answers arrive whole at a caller that reads them late, although they are larger
// than what is held of them.
func TestSlowReaderGetsWholeAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := startHost(t)
		h.bodySize = 300_000
		conn := h.dial()
		send(conn, strings.Repeat(get("/read/100ms/1"), 30))
		time.Sleep(10 * time.Second)
		answers := h.read(conn, 30)
		is.Equal(len(answers), 30)
		for _, a := range answers {
			is.Equal(len(a.body), 300_000+len("/read/100ms/1"))
		}
		_ = conn.Close()
		synctest.Wait()
	})
}

// The server's limits for a silent caller hold also for bytes that were read ahead.
func TestTimeoutsOfTheServer(t *testing.T) {
	for rest, closedAfter := range map[string]time.Duration{"": 75 * time.Second, "GET /read": 10 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			h := startHost(t)
			conn := h.dial()
			defer func() { _ = conn.Close() }()
			send(conn, get("/read/1s/1")+get("/read/1s/2")+rest)
			is.Equal(len(h.read(conn, 2)), 2)
			_, _ = io.Copy(io.Discard, conn) // the server may say what is wrong
			is.Equal(time.Since(h.began), time.Second+closedAfter)
		})
	}
}

// A run has the context, the addresses and the request that the server would have given
// it.
func TestRunsHaveTheContextOfTheServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := startHost(t)
		var seen []string
		h.answer = func(_ http.ResponseWriter, r *http.Request) {
			server := r.Context().Value(http.ServerContextKey) == h.server
			local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
			h.mu.Lock()
			defer h.mu.Unlock()
			seen = append(seen, fmt.Sprintln(server, local, r.RemoteAddr, r.RequestURI, r.Host, r.Header, r.Body == http.NoBody))
		}
		conn := h.dial()
		send(conn, get("/read/1s/1?a=%20", "A: b")+get("/read/1s/1?a=%20", "A: b")+get("/read/5s/2"))
		is.Equal(len(h.read(conn, 2)), 2)
		is.Equal(seen[0], "true pipe pipe /read/1s/1?a=%20 shop map[A:[b]] true\n")
		is.Equal(seen[1], seen[0])
		h.cancel() // as a planned stop does at its end
		is.Equal(h.read(conn, 1)[0].at, time.Second)
		_ = conn.Close()
		synctest.Wait()
	})
}
