// Package forwarder sends a request to one backend server and tells for certain
// whether it can have run there.
package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/pkg/marker"
)

// Errors of a try. All others mean that the request may have run.
var (
	// ErrNotRun means that nothing of the request left this host, or that the
	// backend server said it did not run it.
	ErrNotRun = errors.New("request was not run")
	// ErrShed is the case of ErrNotRun where the backend server had no room.
	ErrShed = errors.New("backend server had no room")
	// ErrForeign means that the answer was to another request.
	ErrForeign = errors.New("answer belongs to another request")
)

const (
	dialTimeout      = time.Second
	keepAlive        = 15 * time.Second
	idleTimeout      = 60 * time.Second
	maxHeader        = 64 << 10 // bytes of an answer's header
	maxIdlePerServer = 64
)

// Forwarder keeps the connections to all backend servers.
type Forwarder struct {
	transport *http.Transport
	link      http.RoundTripper // the transport, or what a test put around it
}

// Option sets one property of a forwarder.
type Option func(*Forwarder)

// New returns a forwarder without connections.
func New(options ...Option) *Forwarder {
	f := &Forwarder{transport: &http.Transport{
		DialContext:            dialer(&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeader,
	}}
	f.link = f.transport
	for _, option := range options {
		option(f)
	}
	return f
}

// WithLink puts something around the transport, such as the delays and cuts of
// a demonstration.
func WithLink(around func(http.RoundTripper) http.RoundTripper) Option {
	return func(f *Forwarder) { f.link = around(f.transport) }
}

// Close ends the idle connections.
func (f *Forwarder) Close() { f.transport.CloseIdleConnections() }

// Probe reports whether a backend server answers its health check.
func (f *Forwarder) Probe(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return false
	}
	resp, err := f.link.RoundTrip(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode < http.StatusInternalServerError
}

// trace remembers the connection that a try went over.
type trace struct {
	mu   sync.Mutex
	conn *conn
	mark int64
	left bool // something left over an earlier connection of the try
}

func (t *trace) got(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.left = t.conn.seal(t.mark) || t.left
	}
	t.conn, _ = info.Conn.(*conn)
	if t.conn != nil {
		t.mark = t.conn.mark()
	}
}

// mayHaveLeft reports whether any byte of the try can have left, and makes sure
// that none leaves from now on.
func (t *trace) mayHaveLeft() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.left = t.conn.seal(t.mark) || t.left
	}
	return t.left
}

// Try sends a request once. The request's URL names the backend server, and its
// header carries the dispatch id. An error that is neither ErrNotRun nor
// ErrShed means that the request may have run.
func (f *Forwarder) Try(ctx context.Context, req *http.Request, body *Body) (*http.Response, error) {
	t := &trace{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.got})
	out := req.WithContext(ctx)
	// The transport resends a request by itself when it has no body or can
	// rewind it, and the method or an Idempotency-Key header makes it look
	// safe. A body that is not nil and has no GetBody prevents that.
	out.Body = body.Open()
	out.GetBody = nil
	if bodyless(req) {
		out.Body = nil
	}
	resp, err := f.link.RoundTrip(out)
	if err != nil {
		if out.Body != nil {
			_ = out.Body.Close()
		}
		if !t.mayHaveLeft() {
			return nil, errors.Wrap(ErrNotRun, err.Error())
		}
		return nil, errors.Wrap(err, "no answer from backend server")
	}
	if err := f.check(req, resp); err != nil {
		_, _ = io.CopyN(io.Discard, resp.Body, maxHeader)
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// bodyless reports whether a request surely has no body and is safe to send
// twice, so that the transport's own resending does no harm.
func bodyless(req *http.Request) bool {
	safe := req.Method == http.MethodGet || req.Method == http.MethodHead
	return safe && req.ContentLength == 0
}

func (f *Forwarder) check(req *http.Request, resp *http.Response) error {
	echoed := resp.Header.Get(marker.Dispatch)
	if echoed != "" && echoed != req.Header.Get(marker.Dispatch) {
		return ErrForeign
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(marker.NotRun) == "1" {
		return ErrShed
	}
	return nil
}
