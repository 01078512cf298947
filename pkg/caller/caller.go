// Package caller is the client library. It looks up the entry hosts to use, caches
// them until the response expires, fails over between them, and retries a request
// only when it was certainly not run or its method is safe.
package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/forwarder"
	"magnoliahill.example/magnoliahill/pkg/header"
)

// ErrOutcomeUnknown means that a request that must not run twice may have run.
var ErrOutcomeUnknown = errors.New("request may or may not have run")

// ErrBodyTooLong means that a request was answered with a body of over 8 MiB, which the
// library does not read. The request has run.
var ErrBodyTooLong = errors.New("response body is too long")

const (
	maxAttempts      = 6 // per request, over all hosts
	maxBodyBytes     = 8 << 20
	defaultRetryWait = 500 * time.Millisecond // when the host sends no Retry-After
)

// Caller sends the requests of one workspace.
type Caller struct {
	directory    *directory
	forwarder    *forwarder.Forwarder
	key          string
	maxRetryWait time.Duration // longest wait before one retry
}

// Option sets one property of a caller.
type Option func(*Caller)

// WithKey sets the key that is sent with each request.
func WithKey(key string) Option { return func(c *Caller) { c.key = key } }

// WithZone sets the availability zone nearest to the caller.
func WithZone(zone string) Option { return func(c *Caller) { c.directory.zone = zone } }

// WithWorkspace sets the workspace sent in look-ups, so that all callers of the
// workspace use the same few hosts.
func WithWorkspace(name string) Option { return func(c *Caller) { c.directory.workspace = name } }

// WithMaxRetryWait sets the longest wait before a refused request is retried. A
// refusal that requires a longer wait is returned at once. With 0, that is any
// refusal that requires a wait.
func WithMaxRetryWait(d time.Duration) Option { return func(c *Caller) { c.maxRetryWait = d } }

// New returns a caller with the addresses of some entry hosts. One reachable host
// among them is enough to look up the others.
func New(seeds []string, options ...Option) *Caller {
	f := forwarder.New()
	c := &Caller{
		directory:    &directory{seeds: seeds, forwarder: f},
		forwarder:    f,
		maxRetryWait: 5 * time.Second,
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Close closes idle connections.
func (c *Caller) Close() { c.forwarder.Close() }

// Request is one request to a service.
type Request struct {
	Service string
	Method  string
	Path    string // including the query
	Body    []byte
	ID      string // request ID, or "" to let the entry host generate one
	Header  http.Header
}

// Response is the complete response to a request.
type Response struct {
	Status   int
	Header   http.Header
	Body     []byte
	Host     string // entry host that answered
	Attempts int
	Outcome  string // answered, not-run or unknown
	Reason   string // of a refusal
}

// Do sends a request until it is answered, a refusal does not allow a retry, the
// attempts are used up, or the context ends. When every attempt fails, it returns
// the last refusal, if any. The error reports an unknown outcome when the request
// may have run and must not run twice.
func (c *Caller) Do(ctx context.Context, r Request) (*Response, error) {
	var (
		lastErr     error
		lastRefusal *Response
	)
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		host, err := c.directory.selectHost(ctx, attempt)
		if err != nil {
			return nil, err
		}
		response, err := c.send(ctx, host, r)
		switch {
		case err == nil && response.Outcome != header.OutcomeNotRun:
			response.Attempts = attempt
			return response, unknownOutcome(response, r.Method)
		case err == nil:
			response.Attempts = attempt
			lastRefusal = response
			if retry, waitErr := c.waitForRetry(ctx, host, response); !retry {
				return response, waitErr
			}
		case errors.Is(err, ErrBodyTooLong):
			return nil, err
		case errors.Is(err, forwarder.ErrNotRun) || isSafe(r.Method):
			c.directory.markFailed(host)
			lastErr = err
		default:
			return nil, errors.Wrap(ErrOutcomeUnknown, err.Error())
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	if lastRefusal != nil {
		return lastRefusal, nil
	}
	return nil, errors.Wrapf(lastErr, "no response after %d attempts", maxAttempts)
}

func unknownOutcome(response *Response, method string) error {
	if response.Outcome == header.OutcomeUnknown && !isSafe(method) {
		return errors.Wrap(ErrOutcomeUnknown, response.Reason)
	}
	return nil
}

// waitForRetry reports whether a refused request may be retried, after waiting for
// as long as the host requires.
func (c *Caller) waitForRetry(ctx context.Context, host string, response *Response) (bool, error) {
	switch response.Reason {
	case header.ReasonStopping, header.ReasonNoConfig:
		c.directory.markFailed(host)
		return true, nil
	case header.ReasonOverRate, header.ReasonNoMemory, header.ReasonQueueFull, header.ReasonQueueTimeout,
		header.ReasonNoBackend, header.ReasonShed:
	default:
		return false, nil
	}
	wait := defaultRetryWait
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		wait = time.Duration(seconds) * time.Second
	}
	if wait > c.maxRetryWait {
		return false, nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func (c *Caller) send(ctx context.Context, host string, r Request) (*Response, error) {
	target, err := url.Parse("http://" + host + r.Path)
	if err != nil {
		return nil, errors.Wrapf(err, "path %q is malformed", r.Path)
	}
	req := &http.Request{
		Method: r.Method, URL: target, Host: host,
		Header: http.Header{}, ContentLength: int64(len(r.Body)),
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	req.Header.Set(header.Service, r.Service)
	if c.key != "" {
		req.Header.Set(header.Key, c.key)
	}
	if r.ID != "" {
		req.Header.Set(header.RequestID, r.ID)
	}
	resp, err := c.forwarder.RoundTrip(ctx, req, forwarder.NewBody(bytes.NewReader(r.Body)))
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "response body was cut short")
	}
	if len(body) > maxBodyBytes {
		return nil, ErrBodyTooLong
	}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Body: body,
		Host:    resp.Header.Get(header.Host),
		Outcome: resp.Header.Get(header.Outcome),
		Reason:  resp.Header.Get(header.Reason),
	}, nil
}
