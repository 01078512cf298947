// Package roundtripper sends a request to one backend server over HTTP/1.1 and
// reads the response, using its own connection pool. It never sends a request
// twice, distinguishes failures in which the request certainly was not executed,
// and rejects responses to other requests by their request ID.
package roundtripper

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/forwarder"
	"magnoliahill.example/magnoliahill/internal/timekeeper"
	"magnoliahill.example/magnoliahill/pkg/header"
)

// Errors of an attempt, in addition to ShedError and the forwarder's error for a
// response to another request. Each of them except ErrBadResponse proves that the
// request was not executed.
var (
	// ErrUnreachable means that no connection could be opened.
	ErrUnreachable = errors.New("backend server is unreachable")
	// ErrRefused means that no process listens at the address. Only Check returns it.
	ErrRefused = errors.New("connection to backend server is refused")
	// ErrMisdirected means that the address now belongs to another backend
	// server.
	ErrMisdirected = errors.New("address belongs to another backend server")
	// ErrBadResponse means that the response is missing, truncated, unsigned or
	// not valid HTTP. The request may have been executed.
	ErrBadResponse = errors.New("missing or invalid response from backend server")
)

const (
	maxBufferedBody        = 1 << 20  // bytes of a response that are read before any are forwarded
	maxInitialBuffer       = 64 << 10 // maximum bytes allocated for a response body before it is read
	minBuffer              = 4 << 10  // bytes of a response body that are read without a reservation
	maxHeadBytes           = 64 << 10 // bytes of the heads that are read for one request; the limit for callers' heads is the same
	maxMismatched          = 4        // responses to other requests that are skipped
	nonIdempotentIdleShare = 0.5      // share of its maximum idle time after which a connection is not reused
	idempotentIdleShare    = 0.8      // the same for idempotent requests, which can be retried
	statedIdleShare        = 0.6      // share of the backend server's stated idle timeout that is used
	maxInterim             = 8        // interim (1xx) responses that are skipped

	// After a reused connection broke without a response, requests that cannot be
	// retried use no connection that was idle for longer than cautiousIdle: backend
	// servers or the network drop idle connections.
	cautiousPeriod = 10 * time.Second
	cautiousIdle   = 100 * time.Millisecond
)

// Target identifies one incarnation of a backend server.
type Target struct {
	Address  string // host:port
	Instance string // instance ID; connections are not shared between instances
}

// key returns the pool key of the target's connections.
func (t Target) key() string { return t.Address + "/" + t.Instance }

// Request is a caller's request, prepared for forwarding.
type Request struct {
	Method     string
	RequestURI string // path and query, unmodified
	Host       string
	ID         string // request ID; echoed in the response
	Header     http.Header
	Body       *forwarder.Body
	Length     int64 // of the body in bytes; -1 if unknown
	Idempotent bool
	// Reserve reserves memory for the body of the response, which the sender of the request
	// releases with it, and reports whether there is any. If it is nil there always is.
	Reserve func(bytes int64) bool
	// ReserveBuffer is the same for a larger receive buffer of the connection.
	ReserveBuffer func(bytes int64) bool
}

func (r *Request) reserve(bytes int) bool { return r.Reserve == nil || r.Reserve(int64(bytes)) }

// Response is the response of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte        // the whole body, or its beginning if Rest is set
	Rest   io.ReadCloser // the rest of a long body, or nil; the reader must close it
	Length int64         // of the whole body in bytes; -1 if unknown
}

// RoundTripper sends requests over a pool of connections to all backend servers.
type RoundTripper struct {
	headerNames header.Names
	pool        *pool
	clock       Clock
	brokenAt    atomic.Int64 // when a reused connection last broke without a response, on the clock; 0 if none did
}

// Clock returns the time since an arbitrary start, which includes the time for which the
// machine was suspended.
type Clock interface {
	Now() time.Duration
}

// Option sets one property of a round tripper.
type Option func(*RoundTripper)

// WithDialer replaces the dialer of the operating system's connections.
func WithDialer(d Dialer) Option {
	return func(t *RoundTripper) { t.pool.dialer = d }
}

// WithClock replaces the clock of the process.
func WithClock(c Clock) Option { return func(t *RoundTripper) { t.clock = c } }

// New returns a round tripper that keeps at most maxIdle idle connections in total.
func New(headerNames header.Names, maxIdle int, options ...Option) *RoundTripper {
	t := &RoundTripper{headerNames: headerNames, pool: newPool(maxIdle), clock: timekeeper.New()}
	for _, option := range options {
		option(t)
	}
	return t
}

// DialCounts returns the number of dialed connections by cause, including failed
// ones.
func (t *RoundTripper) DialCounts() map[string]int64 {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	counts := make(map[string]int64, dialCauses)
	for cause, count := range t.pool.dialCount {
		counts[dialCause(cause).String()] = count
	}
	return counts
}

// CloseExpired closes connections that have exceeded their maximum idle time.
func (t *RoundTripper) CloseExpired() { t.pool.closeExpired(t.clock.Now()) }

// Retain closes the idle connections to all backend servers that are not listed.
func (t *RoundTripper) Retain(targets []Target) {
	wanted := make(map[string]bool, len(targets))
	for _, t := range targets {
		wanted[t.key()] = true
	}
	t.pool.closeExcept(func(key string) bool { return wanted[key] })
}

// Close closes all idle connections.
func (t *RoundTripper) Close() { t.pool.closeExcept(func(string) bool { return false }) }

// RoundTrip sends a request once and returns the response. Canceling the context
// aborts the request and the reading of a long response body.
func (t *RoundTripper) RoundTrip(ctx context.Context, target Target, req *Request) (*Response, error) {
	conn, err := t.connect(ctx, target, req)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	x := &exchange{ctx: ctx, roundTripper: t, conn: conn, req: req, stopCancel: stop}
	resp, err := x.roundTrip()
	if err != nil && !x.released {
		stop()
		_ = conn.Close()
	}
	if errors.Is(err, ErrBadResponse) && conn.idleSince != 0 && conn.limiter.received == 0 && ctx.Err() == nil {
		t.brokenAt.Store(int64(t.clock.Now()))
	}
	return resp, err
}

// Check reports whether a connection to a backend server can be opened. It returns
// ErrRefused if no process listens there, and ErrUnreachable if there is no answer. The
// connection is kept for a later request.
func (t *RoundTripper) Check(ctx context.Context, target Target) error {
	conn, err := t.pool.dial(ctx, target.Address, target.key(), reachability)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.Wrap(ErrRefused, err.Error())
	}
	if err != nil {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	conn.maxIdle = defaultMaxIdle
	t.pool.put(conn, t.clock.Now())
	return nil
}

// connect returns a pooled connection, or a new one when none can be reused. The
// backend server may close an idle connection at the moment a request is sent,
// so requests that cannot be retried reuse only recently used connections.
func (t *RoundTripper) connect(ctx context.Context, target Target, req *Request) (*persistConn, error) {
	now := t.clock.Now()
	share, longest := nonIdempotentIdleShare, time.Duration(math.MaxInt64)
	if req.Idempotent {
		share = idempotentIdleShare
	} else if brokenAt := time.Duration(t.brokenAt.Load()); brokenAt != 0 && now-brokenAt < cautiousPeriod {
		longest = cautiousIdle
	}
	conn, cause := t.pool.get(target.key(), now, share, longest)
	if conn != nil && !conn.hasRefused(req.ID) {
		return conn, nil
	}
	if conn != nil {
		_ = conn.Close()
	}
	conn, err := t.pool.dial(ctx, target.Address, target.key(), cause)
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	return conn, nil
}

// exchange is the state of one request and its response on one connection.
type exchange struct {
	ctx          context.Context
	roundTripper *RoundTripper
	conn         *persistConn
	req          *Request
	stopCancel   func() bool // detaches the context; false if it was already canceled
	sendResult   chan error  // result of sending a long body; nil if the body was sent with the head
	released     bool        // the connection was closed or belongs to the pool again; only the pool may use it
}

// roundTrip sends the request and returns the response. After an error the
// connection is not used again unless it was released.
func (x *exchange) roundTrip() (*Response, error) {
	x.conn.requests++
	if err := x.send(); err != nil {
		return nil, errors.Wrap(ErrBadResponse, err.Error())
	}
	resp, err := x.readHead()
	if err != nil {
		return nil, err
	}
	if err := x.notRunError(resp); err != nil {
		x.conn.addRefused(x.req.ID)
		x.drain(resp)
		return nil, err
	}
	if !x.signed(resp) && resp.StatusCode < http.StatusMultipleChoices {
		// Its body may never end, and no caller is given it.
		return nil, errors.Wrapf(ErrBadResponse, "status %d without a signature", resp.StatusCode)
	}
	return x.readBody(resp)
}

// send writes the request head together with a body that fits into the buffer. A
// longer body is sent concurrently with reading the response.
func (x *exchange) send() error {
	var head bytes.Buffer
	req := x.req
	head.WriteString(req.Method + " " + req.RequestURI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if err := req.Header.Write(&head); err != nil {
		return errors.Wrap(err, "writing request header")
	}
	complete, err := req.Body.Prefetch()
	if err != nil {
		return errors.Wrap(err, "reading request body")
	}
	if complete {
		body := req.Body.Buffered()
		if len(body) > 0 || req.Length >= 0 && bodyExpected(req.Method) {
			head.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
		}
		head.WriteString("\r\n")
		head.Write(body)
		_, err = x.conn.Write(head.Bytes())
		return err
	}
	if req.Length >= 0 {
		head.WriteString("Content-Length: " + strconv.FormatInt(req.Length, 10) + "\r\n\r\n")
	} else {
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	}
	if _, err := x.conn.Write(head.Bytes()); err != nil {
		return err
	}
	x.sendResult = make(chan error, 1)
	go func() { x.sendResult <- x.sendBody() }()
	return nil
}

// bodyExpected reports whether an empty body needs an explicit Content-Length.
func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// sendBody writes a long body, chunked if its length is unknown.
func (x *exchange) sendBody() error {
	body := x.req.Body.Open()
	defer func() { _ = body.Close() }()
	if x.req.Length >= 0 {
		n, err := io.Copy(x.conn, body)
		if err == nil && n != x.req.Length {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	buffer := make([]byte, chunkSize)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, werr := io.WriteString(x.conn, strconv.FormatInt(int64(n), 16)+"\r\n"+string(buffer[:n])+"\r\n"); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			_, err = io.WriteString(x.conn, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

const chunkSize = 16 << 10 // maximum bytes per chunk
