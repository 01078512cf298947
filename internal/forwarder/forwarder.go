// Package forwarder sends a request to one backend server and distinguishes
// failures in which the request certainly was not executed from those in which
// it may have been.
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

	"magnoliahill.example/magnoliahill/internal/verifier"
	"magnoliahill.example/magnoliahill/pkg/header"
)

// Errors of an attempt. Only the first two prove that the request was not
// executed; after any other error it may have been.
var (
	// ErrNotRun means that no byte of the request was sent, so that the backend
	// server cannot have executed it.
	ErrNotRun = errors.New("request was not run")
	// ErrShed means that the backend server was overloaded and reported that it
	// did not execute the request.
	ErrShed = errors.New("backend server shed the request")
	// ErrMismatched means that the response belongs to another request.
	ErrMismatched = errors.New("answer belongs to another request")
)

const (
	dialTimeout       = time.Second
	keepAlive         = 15 * time.Second
	idleTimeout       = 60 * time.Second
	maxResponseHeader = 64 << 10 // bytes of a response header
	maxIdlePerServer  = 64       // connections
)

// Forwarder sends requests over a pool of connections to all backend servers.
type Forwarder struct {
	transport    *http.Transport
	roundTripper http.RoundTripper // the transport, possibly wrapped
}

// Option sets one property of a forwarder.
type Option func(*Forwarder)

// New returns a forwarder without connections.
func New(options ...Option) *Forwarder {
	f := &Forwarder{transport: &http.Transport{
		DialContext:            dialContext(&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeader,
	}}
	f.roundTripper = f.transport
	for _, option := range options {
		option(f)
	}
	return f
}

// WithTransportWrapper wraps the transport, for example to simulate network
// delays and partitions.
func WithTransportWrapper(wrap func(http.RoundTripper) http.RoundTripper) Option {
	return func(f *Forwarder) { f.roundTripper = wrap(f.transport) }
}

// Close closes the idle connections.
func (f *Forwarder) Close() { f.transport.CloseIdleConnections() }

// Probe sends a health check and reports whether the backend server responded
// with a status below 500.
func (f *Forwarder) Probe(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return false
	}
	resp, err := f.roundTripper.RoundTrip(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return verifier.CheckHead(resp) == nil && resp.StatusCode < http.StatusInternalServerError
}

// trace records the connection of an attempt and whether any byte was written.
type trace struct {
	mu     sync.Mutex
	reused bool // the connection has carried an earlier request
	conn   *conn
	mark   int64 // bytes written on conn before the attempt
	wrote  bool  // bytes of the attempt were written on a connection that is sealed now
}

// gotConn is the GotConn hook of the client trace. The transport may call it more
// than once, because it may switch to another connection within an attempt.
func (t *trace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.wrote = t.conn.seal(t.mark) || t.wrote
	}
	t.reused = info.Reused
	t.conn, _ = info.Conn.(*conn)
	if t.conn != nil {
		t.mark = t.conn.mark()
	}
}

// onReusedConn reports whether the connection has carried an earlier request.
func (t *trace) onReusedConn() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reused
}

// sealAndReportWritten seals the connection, so that no further bytes of the
// attempt are sent, and reports whether any were written before.
func (t *trace) sealAndReportWritten() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.wrote = t.conn.seal(t.mark) || t.wrote
	}
	return t.wrote
}

// RoundTrip sends a request once. The request's URL addresses the backend server,
// and its header contains the dispatch ID. An error that is neither ErrNotRun nor
// ErrShed means that the request may have been executed.
func (f *Forwarder) RoundTrip(ctx context.Context, req *http.Request, body *Body) (*http.Response, error) {
	t := &trace{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
	out := req.WithContext(ctx)
	// The transport retries a request by itself when the method or an
	// Idempotency-Key header marks it as idempotent and the body is nil or can
	// be rewound. A body that is not nil and has no GetBody prevents this.
	out.Body = body.Open()
	out.GetBody = nil
	if safeWithoutBody(req) {
		out.Body = nil
	}
	resp, err := f.roundTripper.RoundTrip(out)
	if err != nil {
		if out.Body != nil {
			_ = out.Body.Close()
		}
		if !t.sealAndReportWritten() {
			return nil, errors.Wrap(ErrNotRun, err.Error())
		}
		return nil, errors.Wrap(err, "no answer from backend server")
	}
	if err := verifier.CheckHead(resp); err != nil {
		t.sealAndReportWritten() // where the next response begins is not known
		_ = resp.Body.Close()
		return nil, errors.Wrap(err, "no answer from backend server")
	}
	if err := f.checkResponse(req, resp, t.onReusedConn()); err != nil {
		_, _ = io.CopyN(io.Discard, resp.Body, maxResponseHeader)
		_ = resp.Body.Close()
		return nil, err
	}
	resp.Body = &checkedBody{ReadCloser: resp.Body, resp: resp}
	return resp, nil
}

// checkedBody is the body of a response whose trailers are checked at its end.
type checkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if invalid := verifier.CheckFields(b.resp.Trailer); invalid != nil {
			return n, invalid
		}
	}
	return n, err
}

// safeWithoutBody reports whether a request has no body and a safe method, so
// that a retry by the transport is harmless.
func safeWithoutBody(req *http.Request) bool {
	safe := req.Method == http.MethodGet || req.Method == http.MethodHead
	return safe && req.ContentLength == 0
}

// checkResponse returns an error if the response belongs to another request or
// reports that the request was shed. Without an ID, a refusal on a connection that was
// used before may be a copy of an earlier one.
func (f *Forwarder) checkResponse(req *http.Request, resp *http.Response, reused bool) error {
	echoed := resp.Header.Get(header.DispatchID)
	shed := resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(header.NotRun) == "1"
	switch {
	case echoed != "" && echoed != req.Header.Get(header.DispatchID), shed && echoed == "" && reused:
		return ErrMismatched
	case shed:
		return ErrShed
	}
	return nil
}
