// Package caller is the client library: it asks the system which entry hosts to
// use, keeps the answer for as long as it may, fails over, and sends a request
// again only when it was surely not run.
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
	"magnoliahill.example/magnoliahill/pkg/marker"
)

// ErrUnknown means that a request that must not run twice may have run.
var ErrUnknown = errors.New("request may or may not have run")

const (
	maxTries    = 6 // tries of one request over all hosts
	maxBody     = 8 << 20
	defaultWait = 500 * time.Millisecond // before another try when no host says when
)

// Caller sends requests of one workspace.
type Caller struct {
	directory *directory
	forwarder *forwarder.Forwarder
	key       string
	patience  time.Duration // longest wait for one Retry-After
}

// Option sets one property of a caller.
type Option func(*Caller)

// WithKey sets the key that is sent along.
func WithKey(key string) Option { return func(c *Caller) { c.key = key } }

// WithZone sets the availability zone that the caller is near to.
func WithZone(zone string) Option { return func(c *Caller) { c.directory.zone = zone } }

// WithWorkspace sets the workspace named in look-ups, which puts its callers on
// the same few hosts.
func WithWorkspace(name string) Option { return func(c *Caller) { c.directory.workspace = name } }

// WithPatience sets the longest wait before a request is sent again. With 0 a
// refusal is returned at once.
func WithPatience(d time.Duration) Option { return func(c *Caller) { c.patience = d } }

// New returns a caller that knows some entry hosts by address. Any one of them
// suffices to learn of the others.
func New(seeds []string, options ...Option) *Caller {
	f := forwarder.New()
	c := &Caller{
		directory: &directory{seeds: seeds, forwarder: f},
		forwarder: f,
		patience:  5 * time.Second,
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Close ends the idle connections.
func (c *Caller) Close() { c.forwarder.Close() }

// Request is one request to a service.
type Request struct {
	Service string
	Method  string
	Path    string // with the query
	Body    []byte
	ID      string // request id, or "" for one made by the entry host
	Header  http.Header
}

// Answer is the whole answer to a request.
type Answer struct {
	Status  int
	Header  http.Header
	Body    []byte
	Host    string // entry host that answered
	Tries   int
	Outcome string // one of the outcomes of package marker
	Reason  string // of a refusal
}

// Do sends a request until it is answered, refused for good, or the context
// ends. The error is ErrUnknown when the request must not be sent again and it
// is not known whether it ran.
func (c *Caller) Do(ctx context.Context, r Request) (*Answer, error) {
	var (
		last    error
		refused *Answer
	)
	for try := 1; try <= maxTries; try++ {
		host, err := c.directory.pick(ctx, try)
		if err != nil {
			return nil, err
		}
		answer, err := c.send(ctx, host, r)
		switch {
		case err == nil && answer.Outcome != marker.OutcomeNotRun:
			answer.Tries = try
			return answer, unknown(answer, r.Method)
		case err == nil:
			answer.Tries = try
			refused = answer
			if again, failed := c.again(ctx, host, answer); !again {
				return answer, failed
			}
		case errors.Is(err, forwarder.ErrNotRun) || safe(r.Method):
			c.directory.failed(host)
			last = err
		default:
			return nil, errors.Wrap(ErrUnknown, err.Error())
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	if refused != nil {
		return refused, nil
	}
	return nil, errors.Wrapf(last, "no answer after %d tries", maxTries)
}

func unknown(answer *Answer, method string) error {
	if answer.Outcome == marker.OutcomeUnknown && !safe(method) {
		return errors.Wrap(ErrUnknown, answer.Reason)
	}
	return nil
}

// again reports whether a refused request is worth another try, and waits for
// as long as the host said.
func (c *Caller) again(ctx context.Context, host string, answer *Answer) (bool, error) {
	switch answer.Reason {
	case marker.ReasonStopping, marker.ReasonNoConfig:
		c.directory.failed(host)
		return true, nil
	case marker.ReasonRate, marker.ReasonQueueFull, marker.ReasonQueueTime,
		marker.ReasonNoBackend, marker.ReasonShed:
	default:
		return false, nil
	}
	wait := defaultWait
	if seconds, err := strconv.Atoi(answer.Header.Get("Retry-After")); err == nil {
		wait = time.Duration(seconds) * time.Second
	}
	if wait > c.patience {
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

func safe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

func (c *Caller) send(ctx context.Context, host string, r Request) (*Answer, error) {
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
	req.Header.Set(marker.Service, r.Service)
	if c.key != "" {
		req.Header.Set(marker.Key, c.key)
	}
	if r.ID != "" {
		req.Header.Set(marker.RequestID, r.ID)
	}
	resp, err := c.forwarder.Try(ctx, req, forwarder.NewBody(bytes.NewReader(r.Body)))
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return nil, errors.Wrap(err, "answer was cut short")
	}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Body: body,
		Host:    resp.Header.Get(marker.Host),
		Outcome: resp.Header.Get(marker.Outcome),
		Reason:  resp.Header.Get(marker.Reason),
	}, nil
}
