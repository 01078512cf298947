package messenger

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1/peerv1connect"
)

const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 30 * time.Second
)

// ErrCut is what a call gets on a link that was cut on purpose.
var ErrCut = errors.New("link is cut")

// Messenger keeps the clients for other hosts' control listeners.
type Messenger struct {
	http *http.Client
	cut  func(address string) bool
	mu   sync.Mutex
	peer map[string]peerv1connect.PeerServiceClient
}

// Option sets one property of a messenger.
type Option func(*Messenger)

// WithCut makes calls to some addresses fail, for demonstrations and tests of
// partitions.
func WithCut(cut func(address string) bool) Option {
	return func(m *Messenger) { m.cut = cut }
}

// New returns a messenger without connections.
func New(options ...Option) *Messenger {
	m := &Messenger{
		cut:  func(string) bool { return false },
		peer: map[string]peerv1connect.PeerServiceClient{},
	}
	for _, option := range options {
		option(m)
	}
	d := &net.Dialer{Timeout: dialTimeout}
	m.http = &http.Client{Transport: &cutTransport{
		cut: m.cut,
		next: &http.Transport{
			DialContext: d.DialContext, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 4,
		},
	}}
	return m
}

// cutTransport fails calls on cut links.
type cutTransport struct {
	cut  func(address string) bool
	next *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t *cutTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if t.cut(req.URL.Host) {
		return nil, ErrCut
	}
	return t.next.RoundTrip(req)
}

// Close ends the idle connections.
func (m *Messenger) Close() { m.http.CloseIdleConnections() }

// Peer returns the client for a host's control address.
func (m *Messenger) Peer(address string) peerv1connect.PeerServiceClient {
	m.mu.Lock()
	defer m.mu.Unlock()
	client := m.peer[address]
	if client == nil {
		client = peerv1connect.NewPeerServiceClient(m.http, "http://"+address)
		m.peer[address] = client
	}
	return client
}

// Charge takes one request off a limit that another host holds.
func (m *Messenger) Charge(ctx context.Context, control, limit string) (allowed bool, wait time.Duration, err error) {
	resp, err := m.Peer(control).Charge(ctx, connect.NewRequest(&peerv1.ChargeRequest{Limit: limit}))
	if err != nil {
		return false, 0, errors.Wrapf(err, "charging %s at %s", limit, control)
	}
	return resp.Msg.GetAllowed(), time.Duration(resp.Msg.GetWait()) * time.Millisecond, nil
}

// Operator returns the operators' client for a host's control address.
func (m *Messenger) Operator(address string) peerv1connect.OperatorServiceClient {
	return peerv1connect.NewOperatorServiceClient(m.http, "http://"+address)
}

// Refused reports whether nothing listens at an address of a host that is up:
// its kernel refuses the connection. A process that is paused or cut off does
// not cause that.
func (m *Messenger) Refused(ctx context.Context, address string) bool {
	if m.cut(address) {
		return false
	}
	d := &net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
