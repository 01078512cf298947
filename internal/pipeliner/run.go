package pipeliner

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// run is a request that is served in the background. It is the handler's
// http.ResponseWriter, and holds the response until the server writes it.
type run struct {
	conn    *conn
	request *http.Request
	cancel  context.CancelFunc
	header  http.Header // the handler's; only its goroutine uses it

	mu       sync.Mutex
	changed  *sync.Cond  // one of the fields below has changed
	status   int         // 0 until the handler has written it
	sent     http.Header // headers when the status was written
	body     []byte      // not yet taken by copyTo
	held     int         // bytes of the body that are reserved; at least len(body), at most maxRunBytes
	adopted  bool        // copyTo has begun
	copied   bool        // copyTo has ended
	done     bool        // the handler has returned
	broken   bool        // the handler panicked; the response is not complete
	aborted  bool        // the response is not wanted any more
	released bool        // what was reserved is released
}

func newRun(c *conn, r *http.Request, cancel context.CancelFunc) *run {
	started := &run{conn: c, request: r, cancel: cancel, header: http.Header{}}
	started.changed = sync.NewCond(&started.mu)
	return started
}

// isFor reports whether a request of the server is the one that the run was started for.
func (u *run) isFor(r *http.Request) bool {
	return u.request.Method == r.Method && u.request.RequestURI == r.RequestURI && u.request.Host == r.Host
}

// serve calls the handler.
func (u *run) serve() {
	defer u.cancel()
	defer func() {
		cause := recover()
		if cause != nil && cause != http.ErrAbortHandler {
			klog.ErrorS(errors.Errorf("%v", cause), "panic serving request", "caller", u.request.RemoteAddr, "stack", string(debug.Stack()))
		}
		u.finish(cause != nil)
	}()
	u.conn.pipeliner.handler.ServeHTTP(u, u.request)
}

// finish notes that the handler has returned.
func (u *run) finish(broken bool) {
	if !broken && u.status == 0 {
		u.WriteHeader(http.StatusOK)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.done, u.broken = true, broken
	u.releaseUnused()
	u.changed.Broadcast()
}

// abort cancels the request; its response is dropped.
func (u *run) abort() {
	u.cancel()
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.aborted {
		return
	}
	u.aborted = true
	if !u.adopted {
		u.conn.pipeliner.canceled.Inc(1)
	}
	u.body = nil
	u.releaseUnused()
	u.changed.Broadcast()
}

// releaseUnused releases what was reserved if nothing of the response is in use any
// more. The caller holds u.mu.
func (u *run) releaseUnused() {
	if !u.done || u.released || !u.copied && (u.adopted || !u.aborted) {
		return
	}
	u.released = true
	u.conn.pipeliner.release(RunCost + u.held)
	u.held = 0
}

// Header implements http.ResponseWriter.
func (u *run) Header() http.Header { return u.header }

// WriteHeader implements http.ResponseWriter. Informational statuses are dropped.
func (u *run) WriteHeader(status int) {
	if u.status != 0 || status < http.StatusOK {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.status, u.sent = status, u.header.Clone()
	u.changed.Broadcast()
}

var errAborted = errors.New("response is not wanted any more")

// Write implements http.ResponseWriter. Once the response takes as much memory as it
// may, Write waits until the server writes it.
func (u *run) Write(p []byte) (int, error) {
	if u.status == 0 {
		u.WriteHeader(http.StatusOK)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	written := 0
	for written < len(p) && !u.aborted {
		n := u.reserve(len(p) - written)
		if n == 0 {
			u.wait(len(p) - written)
			continue
		}
		u.body = append(u.body, p[written:written+n]...)
		written += n
		u.changed.Broadcast()
	}
	if u.aborted {
		return written, errAborted
	}
	return written, nil
}

// SetWriteDeadline is for http.ResponseController. The connection's deadline would hold for
// earlier responses as well, so the run ends when its own has passed.
func (u *run) SetWriteDeadline(t time.Time) error {
	if !t.After(time.Now()) {
		u.abort()
	}
	return nil
}

// reserve reserves memory for up to n bytes of the body and returns for how many.
func (u *run) reserve(n int) int {
	n = min(n, maxRunBytes-u.held)
	if n > 0 && !u.conn.pipeliner.reserve(n) {
		if !u.adopted || u.held > 0 {
			return 0
		}
		n = min(n, minStep)
		u.conn.pipeliner.held.Add(int64(n))
	}
	u.held += n
	return n
}

// wait waits until the run has changed. The bytes that the handler waits to write are
// counted as held, up to a share of the memory.
func (u *run) wait(pending int) {
	counted := min(int64(pending), u.conn.pipeliner.memory/waitingDivisor)
	u.conn.pipeliner.held.Add(counted)
	u.changed.Wait()
	u.conn.pipeliner.held.Add(-counted)
}

// copyTo writes the response to the server's writer as it comes. It panics as a handler
// does if the response is broken.
func (u *run) copyTo(w http.ResponseWriter) {
	defer u.endCopy()
	if !u.awaitHead() {
		panic(http.ErrAbortHandler)
	}
	headers := w.Header()
	for name, values := range u.sent {
		headers[name] = values
	}
	u.conn.settleClose(headers)
	w.WriteHeader(u.status)
	for body := u.takeBody(); len(body) > 0; body = u.takeBody() {
		_, err := w.Write(body)
		u.freeBody(len(body))
		if err != nil {
			return // the caller has left
		}
	}
	if !u.isComplete() {
		panic(http.ErrAbortHandler)
	}
}

// awaitHead waits for the status and headers, which do not change any more then. It
// returns false if there will be none.
func (u *run) awaitHead() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.adopted = true
	u.changed.Broadcast()
	for u.status == 0 && !u.done {
		u.changed.Wait()
	}
	return u.status != 0
}

// takeBody waits for bytes of the body and takes them. It returns none at the end.
func (u *run) takeBody() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	for len(u.body) == 0 && !u.done && !u.aborted {
		u.changed.Wait()
	}
	body := u.body
	u.body = nil
	return body
}

// freeBody releases bytes of the body that were taken.
func (u *run) freeBody(n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.held -= n
	u.conn.pipeliner.release(n)
	u.changed.Broadcast()
}

func (u *run) isComplete() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.broken && !u.aborted
}

// endCopy drops what is left of the response.
func (u *run) endCopy() {
	u.cancel()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.copied, u.aborted, u.body = true, true, nil
	u.releaseUnused()
	u.changed.Broadcast()
}
