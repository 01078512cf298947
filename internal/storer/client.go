package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/verifier"
)

const (
	maxValueBytes    = 1 << 20 // bytes, the platform's limit
	defaultTimeout   = 2 * time.Second
	defaultWatchWait = 20 * time.Second
	keepAlive        = 15 * time.Second
	idleTimeout      = 60 * time.Second
)

// Client implements Store with the platform's HTTP protocol.
type Client struct {
	base      string
	http      *http.Client
	timeout   time.Duration // for one call; a watch adds watchWait
	watchWait time.Duration // longest wait of one watch
	calls     atomic.Int64
}

var _ Store = (*Client)(nil)

// Option sets one property of a client.
type Option func(*Client)

// WithTimeout sets the timeout of one call. For a watch it is added to the wait.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithWatchWait sets the longest wait of one watch.
func WithWatchWait(d time.Duration) Option {
	return func(c *Client) { c.watchWait = d }
}

// WithTransport sets the HTTP transport.
func WithTransport(t http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = t }
}

// New returns a client of the platform at the given base URL.
func New(base string, options ...Option) *Client {
	c := &Client{
		base:      strings.TrimSuffix(base, "/"),
		http:      &http.Client{Transport: defaultTransport},
		timeout:   defaultTimeout,
		watchWait: defaultWatchWait,
	}
	for _, option := range options {
		option(c)
	}
	c.http.Transport = verifier.Transport(c.http.Transport)
	return c
}

// defaultTransport is shared by all clients without a transport of their own.
var defaultTransport = &http.Transport{
	Proxy:       http.ProxyFromEnvironment,
	DialContext: verifier.Dial((&net.Dialer{KeepAlive: keepAlive}).DialContext), IdleConnTimeout: idleTimeout,
}

// CallCount returns the number of calls made to the platform so far.
func (c *Client) CallCount() int64 { return c.calls.Load() }

func (c *Client) objectURL(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return c.base + "/v1/objects/" + strings.Join(parts, "/")
}

// Get returns an object, or ErrNotFound if it does not exist.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.read(ctx, c.objectURL(key), key)
}

// Watch waits until the object's version is above the given one. It returns
// ErrUnchanged if the wait ends first.
func (c *Client) Watch(ctx context.Context, key string, version int64) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, c.watchWait+c.timeout)
	defer cancel()
	query := url.Values{}
	query.Set("after", strconv.FormatInt(version, 10))
	query.Set("wait", c.watchWait.String())
	return c.read(ctx, c.objectURL(key)+"?"+query.Encode(), key)
}

func (c *Client) read(ctx context.Context, target, key string) (Object, error) {
	resp, err := c.do(ctx, http.MethodGet, target, nil, nil)
	if err != nil {
		return Object{}, errors.Wrapf(ErrUnavailable, "reading %s: %v", key, err)
	}
	defer closeBody(resp)
	if err := statusError(resp.StatusCode); err != nil {
		return Object{}, errors.Wrapf(err, "reading %s", key)
	}
	version, err := parseVersion(resp.Header.Get("ETag"))
	if err != nil {
		return Object{}, errors.Wrapf(ErrUnavailable, "reading %s: %v", key, err)
	}
	value, err := io.ReadAll(io.LimitReader(resp.Body, maxValueBytes+1))
	if err != nil {
		return Object{}, errors.Wrapf(ErrUnavailable, "reading %s: %v", key, err)
	}
	return NewObject(version, value), nil
}

// Put replaces the object if it still has the given version, or creates it if
// the version is 0. It returns the new version, ErrConflict if the
// object has another version, or ErrOutcomeUnknown if the reply was lost.
func (c *Client) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	if len(value) > maxValueBytes {
		return 0, errors.Errorf("object %q has %d bytes, the platform's limit is %d", key, len(value), maxValueBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	header := http.Header{}
	if version == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", formatVersion(version))
	}
	resp, err := c.do(ctx, http.MethodPut, c.objectURL(key), value, header)
	if err != nil {
		return 0, errors.Wrapf(ErrOutcomeUnknown, "writing %s: %v", key, err)
	}
	defer closeBody(resp)
	if err := statusError(resp.StatusCode); err != nil {
		return 0, errors.Wrapf(err, "writing %s", key)
	}
	newVersion, err := parseVersion(resp.Header.Get("ETag"))
	if err != nil {
		return 0, errors.Wrapf(ErrOutcomeUnknown, "writing %s: %v", key, err)
	}
	return newVersion, nil
}

// hostJSON is one host in the platform's response.
type hostJSON struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
}

// Hosts returns the platform's list of hosts, which lags behind their actual
// state.
func (c *Client) Hosts(ctx context.Context) ([]ListedHost, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.do(ctx, http.MethodGet, c.base+"/v1/hosts", nil, nil)
	if err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "reading the host list: %v", err)
	}
	defer closeBody(resp)
	if err := statusError(resp.StatusCode); err != nil {
		return nil, errors.Wrap(err, "reading the host list")
	}
	var wire []hostJSON
	if err := json.NewDecoder(resp.Body).Decode(&wire); err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "reading the host list: %v", err)
	}
	hosts := make([]ListedHost, 0, len(wire))
	for _, h := range wire {
		hosts = append(hosts, NewListedHost(h.ID, h.Address, h.Zone, h.State == "leaving"))
	}
	return hosts, nil
}

func (c *Client) do(ctx context.Context, method, target string, body []byte, header http.Header) (*http.Response, error) {
	c.calls.Add(1)
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// The transport must not resend a conditional write: if the first one took
	// effect, the second one would fail with a conflict.
	req.GetBody = nil
	for name, values := range header {
		req.Header[name] = values
	}
	return c.http.Do(req)
}

// statusError returns the error for a status code, or nil for 200.
func statusError(code int) error {
	switch code {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusNotModified:
		return ErrUnchanged
	case http.StatusPreconditionFailed:
		return ErrConflict
	default:
		return errors.Wrapf(ErrUnavailable, "status %d", code)
	}
}

func formatVersion(version int64) string {
	return `"` + strconv.FormatInt(version, 10) + `"`
}

func parseVersion(tag string) (int64, error) {
	return strconv.ParseInt(strings.Trim(tag, `"`), 10, 64)
}

// closeBody reads the rest of the body, so that the connection can be reused,
// and closes it.
func closeBody(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxValueBytes))
	_ = resp.Body.Close()
}
