package keeper

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	maxValue       = 1 << 20 // bytes, the platform's limit
	defaultTimeout = 2 * time.Second
	defaultWait    = 20 * time.Second
)

// Client is the adapter for the platform's HTTP protocol.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration // for one call, watches excepted
	wait    time.Duration // longest wait of one watch
	calls   atomic.Int64
}

var _ Store = (*Client)(nil)

// Option sets one property of a client.
type Option func(*Client)

// WithTimeout sets the limit for one call.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithWait sets the longest wait of one watch.
func WithWait(d time.Duration) Option {
	return func(c *Client) { c.wait = d }
}

// WithTransport replaces the HTTP transport.
func WithTransport(t http.RoundTripper) Option {
	return func(c *Client) { c.http.Transport = t }
}

// New returns a client of the platform at a base URL.
func New(base string, options ...Option) *Client {
	c := &Client{
		base:    strings.TrimSuffix(base, "/"),
		http:    &http.Client{},
		timeout: defaultTimeout,
		wait:    defaultWait,
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Calls returns how many calls were made to the platform.
func (c *Client) Calls() int64 { return c.calls.Load() }

func (c *Client) objectURL(key string) string {
	parts := strings.Split(key, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return c.base + "/v1/objects/" + strings.Join(parts, "/")
}

// Get returns an object, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.read(ctx, c.objectURL(key), key)
}

// Watch waits until the object's version is above the one given.
func (c *Client) Watch(ctx context.Context, key string, version int64) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, c.wait+c.timeout)
	defer cancel()
	query := url.Values{}
	query.Set("after", strconv.FormatInt(version, 10))
	query.Set("wait", c.wait.String())
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
	value, err := io.ReadAll(io.LimitReader(resp.Body, maxValue+1))
	if err != nil {
		return Object{}, errors.Wrapf(ErrUnavailable, "reading %s: %v", key, err)
	}
	return NewObject(version, value), nil
}

// Put replaces the object if it still has the version given.
func (c *Client) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	if len(value) > maxValue {
		return 0, errors.Errorf("object %q has %d bytes, the platform takes %d", key, len(value), maxValue)
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
		return 0, errors.Wrapf(ErrUnsettled, "writing %s: %v", key, err)
	}
	defer closeBody(resp)
	if err := statusError(resp.StatusCode); err != nil {
		return 0, errors.Wrapf(err, "writing %s", key)
	}
	now, err := parseVersion(resp.Header.Get("ETag"))
	if err != nil {
		return 0, errors.Wrapf(ErrUnsettled, "writing %s: %v", key, err)
	}
	return now, nil
}

// hostCodec is one host as the platform sends it.
type hostCodec struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
}

// Hosts returns the platform's lagging list.
func (c *Client) Hosts(ctx context.Context) ([]Listing, error) {
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
	var wire []hostCodec
	if err := json.NewDecoder(resp.Body).Decode(&wire); err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "reading the host list: %v", err)
	}
	hosts := make([]Listing, 0, len(wire))
	for _, h := range wire {
		hosts = append(hosts, NewListing(h.ID, h.Address, h.Zone, h.State == "leaving"))
	}
	return hosts, nil
}

func (c *Client) do(ctx context.Context, method, target string, body []byte, header http.Header) (*http.Response, error) {
	c.calls.Add(1)
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Conditional writes must not be resent by the transport: a resent one
	// would meet its own first effect as a conflict.
	req.GetBody = nil
	for name, values := range header {
		req.Header[name] = values
	}
	return c.http.Do(req)
}

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

func closeBody(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxValue))
	_ = resp.Body.Close()
}
