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
	"magnoliahill.example/magnoliahill/internal/verifier"
	"magnoliahill.example/magnoliahill/pkg/allocator"
)

const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 30 * time.Second
)

// ErrPartitioned is the error of calls over a link that a simulated network
// partition blocks.
var ErrPartitioned = errors.New("link is blocked by a simulated network partition")

// Messenger holds the clients for the control listeners of other hosts.
type Messenger struct {
	httpClient  *http.Client
	partitioned func(address string) bool
	mu          sync.Mutex
	peers       map[string]peerv1connect.PeerServiceClient
}

// Option sets one property of a messenger.
type Option func(*Messenger)

// WithPartition makes calls fail to the addresses for which partitioned returns
// true. It simulates network partitions in demonstrations and tests.
func WithPartition(partitioned func(address string) bool) Option {
	return func(m *Messenger) { m.partitioned = partitioned }
}

// New returns a messenger without open connections.
func New(options ...Option) *Messenger {
	m := &Messenger{
		partitioned: func(string) bool { return false },
		peers:       map[string]peerv1connect.PeerServiceClient{},
	}
	for _, option := range options {
		option(m)
	}
	d := &net.Dialer{Timeout: dialTimeout}
	m.httpClient = &http.Client{Transport: verifier.Transport(&partitionTransport{
		partitioned: m.partitioned,
		next: &http.Transport{
			DialContext: verifier.Dial(d.DialContext), IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 4,
		},
	})}
	return m
}

// partitionTransport fails calls to partitioned addresses.
type partitionTransport struct {
	partitioned func(address string) bool
	next        *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t *partitionTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if t.partitioned(req.URL.Host) {
		return nil, ErrPartitioned
	}
	return t.next.RoundTrip(req)
}

// CloseIdleConnections lets http.Client close the idle connections.
func (t *partitionTransport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// Close closes idle connections.
func (m *Messenger) Close() { m.httpClient.CloseIdleConnections() }

// Objects fetches objects from the host with the given control address. If that fails, the
// idle connections to all hosts are closed, since they may have fallen silent together: a
// caller that tries the hosts one after the other would wait on each of them.
func (m *Messenger) Objects(ctx context.Context, control string, known []*peerv1.Position) ([]*peerv1.ObjectTable, error) {
	resp, err := m.Peer(control).Objects(ctx, connect.NewRequest(&peerv1.ObjectsRequest{Known: known}))
	if err != nil {
		m.httpClient.CloseIdleConnections()
		return nil, errors.Wrapf(err, "fetching objects from %s", control)
	}
	return resp.Msg.GetTables(), nil
}

// Peer returns the client for a host's control address.
func (m *Messenger) Peer(address string) peerv1connect.PeerServiceClient {
	m.mu.Lock()
	defer m.mu.Unlock()
	client := m.peers[address]
	if client == nil {
		client = peerv1connect.NewPeerServiceClient(m.httpClient, "http://"+address)
		m.peers[address] = client
	}
	return client
}

// Charge charges one request to a limit at the host that owns it. The error is
// allocator.ErrUnknownLimit if that host does not know the limit.
func (m *Messenger) Charge(ctx context.Context, control string, charge allocator.Charge) (allocator.Answer, error) {
	resp, err := m.Peer(control).Charge(ctx, connect.NewRequest(EncodeCharge(charge)))
	if connect.CodeOf(err) == connect.CodeNotFound {
		err = allocator.ErrUnknownLimit
	}
	if err != nil {
		return allocator.Answer{}, errors.Wrapf(err, "charging limit %s at %s", charge.Limit, control)
	}
	return DecodeChargeAnswer(resp.Msg), nil
}

// Operator returns the client of the operator service at a host's control address.
func (m *Messenger) Operator(address string) peerv1connect.OperatorServiceClient {
	return peerv1connect.NewOperatorServiceClient(m.httpClient, "http://"+address)
}

// ConnectionRefused reports whether a connection to the address is refused, which
// means that the machine is up and no process listens there. A process that is
// paused or partitioned does not cause a refusal.
func (m *Messenger) ConnectionRefused(ctx context.Context, address string) bool {
	if m.partitioned(address) {
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
