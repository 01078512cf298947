package server_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/header"
)

// startBackend starts a backend server and returns its address.
func startBackend(t testing.TB, handler http.HandlerFunc) string {
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// outcome returns the outcome and the reason in a response.
func outcome(resp *http.Response) string {
	return resp.Header.Get(header.Outcome) + " " + resp.Header.Get(header.Reason)
}

func TestPostThatMayHaveRunIsNotRetried(t *testing.T) {
	is := is.New(t)
	var ran atomic.Int64
	broken := func(http.ResponseWriter, *http.Request) {
		ran.Add(1)
		panic(http.ErrAbortHandler)
	}
	h := startHost(t, "retry-budget: 1\n"+backendServers, startBackend(t, broken), startBackend(t, broken))
	resp, err := h.call(http.MethodPost, "/order", "brooms")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusBadGateway)
	is.Equal(outcome(resp), "unknown connection-broken")
	is.Equal(ran.Load(), int64(1))
}

func TestGetIsRetriedAtAnotherBackendServer(t *testing.T) {
	is := is.New(t)
	bad := startBackend(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	good := startBackend(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "42") })
	h := startHost(t, "retry-budget: 1\n"+backendServers, bad, good)
	for range 20 {
		resp, err := h.call(http.MethodGet, "/stock", "")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
}

func TestRetriesStayWithinTheirBudget(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int64
	bad := func(http.ResponseWriter, *http.Request) {
		attempts.Add(1)
		panic(http.ErrAbortHandler)
	}
	h := startHost(t, "retry-budget: 0.1\n"+backendServers, startBackend(t, bad), startBackend(t, bad))
	const sent = 40
	for range sent {
		_, err := h.call(http.MethodGet, "/stock", "")
		is.NoErr(err)
	}
	is.True(attempts.Load() <= sent+sent/10)
}

func TestShedPostRunsOnceElsewhere(t *testing.T) {
	is := is.New(t)
	var ran atomic.Int64
	full := startBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(header.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	free := startBackend(t, func(http.ResponseWriter, *http.Request) { ran.Add(1) })
	h := startHost(t, "retry-budget: 1\n"+backendServers, full, free)
	const orders = 10
	for range orders {
		resp, err := h.call(http.MethodPost, "/order", "brooms")
		is.NoErr(err)
		is.Equal(outcome(resp), "answered ")
	}
	is.Equal(ran.Load(), int64(orders))
}

func TestTruncatedResponseEndsWithAnError(t *testing.T) {
	is := is.New(t)
	h := startHost(t, backendServers, startBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "half of ")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	resp, err := h.call(http.MethodGet, "/stock", "")
	is.NoErr(err)
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil) // a clean end would hide the truncation
}

func TestResponseIsStreamed(t *testing.T) {
	is := is.New(t)
	more := make(chan struct{})
	h := startHost(t, backendServers, startBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "first\n")
		_ = http.NewResponseController(w).Flush()
		<-more
		_, _ = io.WriteString(w, "second\n")
	}))
	resp, err := h.call(http.MethodGet, "/stock", "")
	is.NoErr(err)
	reader := bufio.NewReader(resp.Body)
	line, err := reader.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "first\n") // before the backend server sends the rest
	close(more)
	line, err = reader.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "second\n")
}

func TestTimeoutBeforeAndAfterDispatch(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	h := startHost(t, "queue-timeout: 50ms\nrequest-timeout: 200ms\n"+backendServers,
		startBackend(t, func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}))
	results := make(chan string, 3)
	for range 3 { // the backend server has two slots
		go func() {
			resp, err := h.call(http.MethodPost, "/order", "x")
			if err != nil {
				results <- err.Error()
				return
			}
			results <- outcome(resp)
		}()
	}
	got := map[string]int{}
	for range 3 {
		got[<-results]++
	}
	is.Equal(got["unknown deadline"], 2)      // it may have run
	is.Equal(got["not-run queue-timeout"], 1) // never sent
}

func TestKeyWithdrawnWhileRequestIsQueued(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	started := make(chan struct{}, 10)
	var ran atomic.Int64
	h := startHost(t, backendServers, startBackend(t, func(http.ResponseWriter, *http.Request) {
		ran.Add(1)
		started <- struct{}{}
		<-release
	}))
	results := make(chan string, 3)
	send := func() {
		resp, err := h.call(http.MethodPost, "/order", "x")
		if err != nil {
			results <- err.Error()
			return
		}
		results <- outcome(resp)
	}
	go send()
	go send()
	<-started
	<-started // both slots are taken
	go send()
	for h.server.QueuedRequests("orders") == 0 {
		time.Sleep(time.Millisecond)
	}
	h.publish(map[string]string{"keys.yaml": "kind: keys\nkeys-of: w\nkeys: []"})
	for h.server.Generation() < 2 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	got := map[string]int{}
	for range 3 {
		got[<-results]++
	}
	is.Equal(got["answered "], 2)           // running requests are finished
	is.Equal(got["not-run key-unknown"], 1) // the queued request is never sent
	is.Equal(ran.Load(), int64(2))
}

// Guards against a planned stop that cuts off a running request, or that ends
// before it has finished.
func TestPlannedStopCutsOffNoRequest(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	h := startHost(t, backendServers, startBackend(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "first\n")
		_ = http.NewResponseController(w).Flush()
		<-release
		_, _ = io.WriteString(w, "last\n")
	}))
	resp, err := h.call(http.MethodGet, "/stock", "")
	is.NoErr(err)
	reader := bufio.NewReader(resp.Body)
	_, err = reader.ReadString('\n')
	is.NoErr(err)
	h.server.Stop()
	for { // until the listener is closed
		again, err := h.call(http.MethodGet, "/stock", "")
		if err != nil {
			break
		}
		_ = again.Body.Close()
	}
	select {
	case <-h.done:
		t.Fatal("the host stopped while a request ran")
	default:
	}
	close(release)
	line, err := reader.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "last\n")
	is.NoErr(<-h.done)
}

// Guards against refusals that say "not run" of a request whose first attempt may have run.
func TestRequestThatMayHaveRunIsNotRefusedAsNotRun(t *testing.T) {
	shed := func(w http.ResponseWriter) {
		w.Header().Set(header.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	for name, backends := range map[string]int{"another server is full": 2, "the same server is full": 1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var attempts atomic.Int64
			handler := func(w http.ResponseWriter, _ *http.Request) {
				if attempts.Add(1) == 1 {
					panic(http.ErrAbortHandler)
				}
				shed(w)
			}
			var addresses []string
			for range backends {
				addresses = append(addresses, startBackend(t, handler))
			}
			h := startHost(t, "retry-budget: 1\n"+backendServers, addresses...)
			resp, err := h.call(http.MethodPut, "/order", "brooms")
			is.NoErr(err)
			is.Equal(attempts.Load(), int64(2))
			is.Equal(outcome(resp), "unknown connection-broken")
			is.Equal(resp.StatusCode, http.StatusBadGateway)
			is.Equal(resp.Header.Get("Retry-After"), "")
			is.Equal(h.server.InvariantViolations(), int64(0))
		})
	}
}

// Guards against a 503, which callers take for "not run", when the caller has closed its side
// of the connection while a backend server runs the request.
func TestCallerThatOnlyReadsIsNotToldThatItsOrderWasNotRun(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	h := startHost(t, backendServers, startBackend(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		<-r.Context().Done()
	}))
	conn, err := net.Dial("tcp", h.dataAddress)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /order HTTP/1.1\r\nHost: orders\r\nMagnoliahill-Key: %s\r\nContent-Length: 6\r\n\r\nbrooms", testKey)
	is.NoErr(err)
	<-started
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(outcome(resp), "unknown canceled")
	is.Equal(resp.StatusCode, http.StatusBadGateway)
}

// The outcome says whether a request has run, and not the status: a backend server's own
// 408, 421, 429 or 503 is its answer.
func TestOwnStatusOfABackendServerIsAnAnswer(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			is := is.New(t)
			h := startHost(t, backendServers, startBackend(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(header.Outcome, header.OutcomeNotRun) // a backend server cannot say so in this way
				w.WriteHeader(status)
			}))
			resp, err := h.call(http.MethodPost, "/order", "brooms")
			is.NoErr(err)
			is.Equal(resp.StatusCode, status)
			is.Equal(outcome(resp), "answered ")
		})
	}
}
