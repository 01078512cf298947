// Package controller runs the daemon of an entry host. The daemon watches the
// platform's store, exchanges gossip messages with the other hosts, and supplies
// the request path and the look-up endpoint with configuration and host state.
package controller

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/acceptor"
	"magnoliahill.example/magnoliahill/internal/charger"
	"magnoliahill.example/magnoliahill/internal/dispatcher"
	"magnoliahill.example/magnoliahill/internal/follower"
	"magnoliahill.example/magnoliahill/internal/loader"
	"magnoliahill.example/magnoliahill/internal/logger"
	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/pipeliner"
	"magnoliahill.example/magnoliahill/internal/recorder"
	"magnoliahill.example/magnoliahill/internal/roundtripper"
	"magnoliahill.example/magnoliahill/internal/storer"
	"magnoliahill.example/magnoliahill/internal/timekeeper"
	"magnoliahill.example/magnoliahill/internal/transitioner"
	"magnoliahill.example/magnoliahill/pkg/allocator"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/header"
	"magnoliahill.example/magnoliahill/pkg/placer"
	"magnoliahill.example/magnoliahill/pkg/quarantiner"
	"magnoliahill.example/magnoliahill/pkg/reacher"
	"magnoliahill.example/magnoliahill/pkg/registrar"
)

// Platform adapts the daemon to the platform that it runs on: its store, its
// encodings and its header names.
type Platform interface {
	follower.Source
	dispatcher.HeaderCodec
	// Create adds an object. The error is storer.ErrConflict if the object exists.
	Create(ctx context.Context, kind, name string, content []byte) error
	// Replace writes an object if it still has the given revision; 0 means any.
	Replace(ctx context.Context, kind, name string, content []byte, revision int64) error
	// Delete removes an object if it still has the given revision; 0 means any.
	Delete(ctx context.Context, kind, name string, revision int64) error
	// DecodeConfig reads a configuration; regions holds the region of each zone.
	DecodeConfig(item storer.Item, regions map[string]string) (*cataloger.Catalog, error)
	// DecodeServer reads the registration of a backend server.
	DecodeServer(item storer.Item) (registrar.Instance, error)
	// RegistrationPrecedes reports whether a registration of a backend server is
	// certainly newer than another one of the same id, by what the server wrote.
	RegistrationPrecedes(item, other storer.Item) bool
	// DecodeLookup returns the host name, region and zone in a look-up request; each
	// may be empty.
	DecodeLookup(r *http.Request) (host, region, zone string)
	// EncodeLookup returns the answer to a look-up; it is valid for ttl.
	EncodeLookup(addresses []string, ttl time.Duration) ([]byte, error)
	// HeaderNames returns the header names of callers and backend servers.
	HeaderNames() header.Names
	Kinds() Kinds
	Paths() Paths
}

// Kinds holds the names of the kinds of objects that a host watches in the store.
type Kinds struct {
	Config      string
	Servers     string
	Evacuations string // each object names an availability zone
	Hosts       string // each object registers an entry host
	Quarantines string // objects of quarantined requests and of their trials
}

// Paths holds the URL paths of endpoints that do not serve callers' requests.
type Paths struct {
	Ready  string
	Lookup string
}

// Controller is the daemon of one entry host.
type Controller struct {
	settings       *loader.Deployment
	platform       Platform
	clock          *timekeeper.Clock
	recorder       *recorder.Recorder
	placer         *placer.Placer
	allocator      *allocator.Allocator
	charger        *charger.Charger
	quarantine     *quarantiner.Quarantiner
	reach          *reacher.Reacher
	relays         *relays
	roundTripper   *roundtripper.RoundTripper
	dispatcher     *dispatcher.Dispatcher
	pipeliner      *pipeliner.Pipeliner // in front of the dispatcher, for callers' connections
	messenger      *messenger.Messenger
	loop           *loop
	lookups        atomic.Pointer[lookupAnswers]
	ready          atomic.Bool
	metricsAddress string                             // host:port of the metrics listener; empty if there is none
	reload         func() (*loader.Deployment, error) // reads the settings file, returns nil if it is unchanged; nil without a file
	limits         connLimits
	servers        []*http.Server
	callers        *acceptor.Acceptor // accepts callers' connections
	requestCtx     context.Context    // base context of all requests
	dataListener   net.Listener       // accepts callers' connections
	pendingConns   *pendingConns      // callers' connections that may hold a request without a response
	backendOptions []roundtripper.Option
	cancelRequests func() // cancels requestCtx; running requests get a final response
	udp            *net.UDPConn
}

// Option configures a Controller.
type Option func(*Controller)

// WithMetricsAddress sets the address (host:port) that serves counters and
// histograms.
func WithMetricsAddress(address string) Option {
	return func(c *Controller) { c.metricsAddress = address }
}

// WithReload sets the function that reads the settings again. It returns nil
// settings if they have not changed.
func WithReload(reload func() (*loader.Deployment, error)) Option {
	return func(c *Controller) { c.reload = reload }
}

// WithBackendDialer sets what opens connections to backend servers. Without it they are
// opened by the operating system.
func WithBackendDialer(d roundtripper.Dialer) Option {
	return func(c *Controller) { c.backendOptions = append(c.backendOptions, roundtripper.WithDialer(d)) }
}

// New returns a daemon; Run makes it listen.
func New(settings *loader.Deployment, platform Platform, options ...Option) *Controller {
	c := &Controller{settings: settings, platform: platform, clock: timekeeper.New(), messenger: messenger.New()}
	for _, option := range options {
		option(c)
	}
	hybridClock := timekeeper.NewHybridClock(func() int64 { return time.Now().UnixNano() })
	c.recorder = recorder.New(recorder.NewTimeLine(settings.Host, hybridClock))
	c.placer = placer.New(settings.Host, placer.Location{Zone: settings.Zone, Region: settings.Region},
		settings.Regions, placer.WithColdLimit(settings.ColdRateFactor, settings.ColdRateSlack), placer.WithShiftCap(settings.MaxRegionShift))
	c.allocator = allocator.New(settings.ExpectedHosts, settings.RateOverage*usedOverageShare,
		allocator.WithHost(settings.Host), allocator.WithSlack(settings.RateSlack*usedSlackShare))
	c.charger = charger.New(settings.Host, c.allocator, c.messenger, charger.WithScope(c.recorder.Scope()))
	c.quarantine = quarantiner.New(func() { c.loop.notifySuspects() })
	chart := transitioner.MustLoad("reach")
	c.reach = reacher.New(chart, string(chart.Initial()))
	headers := platform.HeaderNames()
	clock := roundtripper.WithClock(c.clock)
	c.limits = newConnLimits(settings)
	outgoing := roundtripper.WithConnLimit(roundtripper.NewConnLimit(c.limits.outgoing))
	c.relays = &relays{RoundTripper: roundtripper.New(headers, maxIdleRelays, clock, outgoing), region: settings.Region}
	c.roundTripper = roundtripper.New(headers, settings.MaxDescriptors/idleDescriptorDivisor,
		append(c.backendOptions, clock, outgoing)...)
	c.dispatcher = dispatcher.New(headers, platform, c.clock, c.charger, c.placer, c.roundTripper, c.recorder,
		dispatcher.WithRetries(retryShare(settings, settings.ExpectedHosts)),
		dispatcher.WithQuarantine(c.quarantine, c),
		dispatcher.WithRelays(settings.Host, c.reach, c.relays, c.onReach),
		dispatcher.WithBodyMemory(int64(settings.MemoryMB)<<20/bodyMemoryDivisor))
	c.pipeliner = c.newPipeliner()
	c.pendingConns = newPendingConns()
	c.requestCtx, c.cancelRequests = context.WithCancel(context.Background())
	c.loop = newLoop(c)
	return c
}

const (
	usedOverageShare      = 0.5 // of the allowed rate overage; the rest covers hosts whose views of the others differ
	usedSlackShare        = 0.5 // of the allowed rate slack
	idleDescriptorDivisor = 4   // one idle backend connection per this many file descriptors; callers need most of them
	usedRetryShare        = 0.6 // of the retry budget
	maxIdleRelays         = 128 // idle connections to hosts that requests are relayed to
	bodyMemoryDivisor     = 8   // share of the process's memory for request bodies, which also take buffers of connections
)

// retryShare returns a host's share of the retry budget, which is divided by the
// number of hosts.
func retryShare(d *loader.Deployment, hosts int) dispatcher.Retries {
	return dispatcher.Retries{
		Ratio: d.RetryBudgetRatio * usedRetryShare,
		Burst: d.RetryBudgetExtra * usedRetryShare / float64(max(hosts, 1)),
	}
}

// Run serves until ctx is done, and then shuts down gracefully: running requests
// finish or get a final response. Each receive from reloadSignals makes the
// daemon read its settings again. Run returns an error if a listener cannot be
// opened.
func (c *Controller) Run(ctx context.Context, reloadSignals <-chan struct{}) error {
	if err := c.listen(); err != nil {
		return err
	}
	workCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	klog.InfoS("host started", "host", c.settings.Host, "zone", c.settings.Zone, "region", c.settings.Region,
		"data", c.settings.DataAddress, "store", c.settings.StoreAddress, "peerPort", c.settings.PeerPort)
	go c.receiveGossip(workCtx)
	c.loop.start(workCtx)
	go c.reloadSettings(workCtx, reloadSignals)
	<-ctx.Done()
	c.stop()
	return nil
}

// listen opens all TCP listeners, starts to serve them, and opens the UDP socket
// for gossip messages.
func (c *Controller) listen() error {
	for _, e := range c.endpoints() {
		if e.address == "" {
			continue
		}
		socket, err := net.Listen("tcp", e.address)
		if err != nil {
			return errors.Wrapf(err, "listening on %s", e.address)
		}
		accepted := c.limits.accept(socket, e.share, c.recorder.Scope())
		var listener net.Listener = accepted
		server := &http.Server{
			Handler:           accepted.Handler(e.handler),
			ConnContext:       accepted.ConnContext,
			ConnState:         accepted.ConnState,
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          logger.NewConnectionLogger(),
			BaseContext:       func(net.Listener) context.Context { return c.requestCtx },
		}
		if e.address == c.settings.DataAddress {
			listener = c.acceptCallers(server, accepted)
		}
		c.servers = append(c.servers, server)
		go serve(server, listener)
	}
	address := &net.UDPAddr{IP: net.ParseIP(c.settings.Address), Port: c.settings.PeerPort}
	var err error
	c.udp, err = net.ListenUDP("udp4", address)
	return errors.Wrapf(err, "listening on %s", address)
}

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 75 * time.Second // callers may reuse a connection that was idle for most of this time
	maxHeaderBytes    = 64 << 10         // 64 KiB
)

func serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		klog.ErrorS(err, "listener failed", "address", listener.Addr().String())
	}
}
