// Package conductor is the daemon of an entry host on the users' platform: it
// follows the store, keeps in touch with the other hosts, and supplies the
// request path and the look-ups with what they read.
package conductor

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/carrier"
	"magnoliahill.example/magnoliahill/internal/clocker"
	"magnoliahill.example/magnoliahill/internal/exchanger"
	"magnoliahill.example/magnoliahill/internal/follower"
	"magnoliahill.example/magnoliahill/internal/keeper"
	"magnoliahill.example/magnoliahill/internal/lender"
	"magnoliahill.example/magnoliahill/internal/loader"
	"magnoliahill.example/magnoliahill/internal/logger"
	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/recorder"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/divider"
	"magnoliahill.example/magnoliahill/pkg/marker"
	"magnoliahill.example/magnoliahill/pkg/placer"
	"magnoliahill.example/magnoliahill/pkg/registrar"
)

// Platform is the adapter for where the host runs.
type Platform interface {
	follower.Source
	carrier.Dialect
	Create(ctx context.Context, kind, name string, content []byte) error
	Replace(ctx context.Context, kind, name string, content []byte, revision int64) error
	DecodeConfig(item keeper.Item, regions map[string]string) (*cataloger.Catalog, error)
	DecodeServer(item keeper.Item) (registrar.Instance, error)
	DecodeLookup(r *http.Request) (host, region, zone string)
	EncodeLookup(addresses []string, ttl time.Duration) ([]byte, error)
	Words() marker.Vocabulary
	Kinds() Kinds
	Paths() Paths
}

// Kinds names the kinds of objects that a host follows.
type Kinds struct {
	Config      string
	Servers     string
	Evacuations string // each object names an availability zone
	Hosts       string // the hosts of this system
}

// Paths are where the host answers what is not a caller's request.
type Paths struct {
	Ready  string
	Lookup string
}

// Conductor is one daemon.
type Conductor struct {
	settings  *loader.Deployment
	platform  Platform
	clock     *clocker.Clock
	recorder  *recorder.Recorder
	placer    *placer.Placer
	divider   *divider.Divider
	lender    *lender.Lender
	exchanger *exchanger.Exchanger
	carrier   *carrier.Carrier
	messenger *messenger.Messenger
	loop      *loop
	lookups   atomic.Pointer[lookups]
	ready     atomic.Bool
	metrics   string                             // host:port of the metrics listener; may be empty
	reload    func() (*loader.Deployment, error) // reads the settings again; nil when they have no file
	servers   []*http.Server
	base      context.Context // of all requests
	data      net.Listener    // of callers' requests
	arrivals  *arrivals       // at that listener
	abort     func()          // gives all requests that run their final answer
	udp       *net.UDPConn
}

// Option sets one property of a conductor.
type Option func(*Conductor)

// WithMetrics sets where counters and histograms are served.
func WithMetrics(address string) Option {
	return func(c *Conductor) { c.metrics = address }
}

// WithReload sets how the settings are read again.
func WithReload(reload func() (*loader.Deployment, error)) Option {
	return func(c *Conductor) { c.reload = reload }
}

// New returns a daemon that does not listen yet.
func New(settings *loader.Deployment, platform Platform, options ...Option) *Conductor {
	c := &Conductor{settings: settings, platform: platform, clock: clocker.New(), messenger: messenger.New()}
	for _, option := range options {
		option(c)
	}
	hybrid := clocker.NewHybrid(func() int64 { return time.Now().UnixNano() })
	c.recorder = recorder.New(recorder.NewTimeLine(settings.Host, hybrid))
	c.placer = placer.New(settings.Host, placer.Place{Zone: settings.Zone, Region: settings.Region},
		settings.Regions, placer.WithColdBound(settings.ColdFactor, settings.ColdSlack), placer.WithShiftCap(settings.ShiftCap))
	c.divider = divider.New(settings.Expected, settings.RateOverage*overageUsed)
	c.lender = lender.New(settings.Host, c.divider, c.messenger)
	words := platform.Words()
	c.exchanger = exchanger.New(words, settings.Descriptors/idleShare)
	c.carrier = carrier.New(words, platform, c.clock, c.lender, c.placer, c.exchanger, c.recorder,
		carrier.WithRetries(retries(settings, settings.Expected)))
	c.arrivals = newArrivals()
	c.base, c.abort = context.WithCancel(context.Background())
	c.loop = newLoop(c)
	return c
}

const (
	overageUsed = 0.5 // part of the allowed overage that is handed out; the rest is for hosts that disagree
	idleShare   = 4   // one descriptor in so many may hold an idle connection to a backend server: callers need the most
	retriesUsed = 0.6 // part of the retry budget that is handed out
)

// retries returns a host's part of the retry budget among some hosts.
func retries(d *loader.Deployment, hosts int) carrier.Retries {
	return carrier.Retries{
		Ratio: d.RetryRatio * retriesUsed,
		Size:  d.RetryExtra * retriesUsed / float64(max(hosts, 1)),
	}
}

// Run serves until the context ends, and then stops without cutting off a
// request.
func (c *Conductor) Run(ctx context.Context, hangUps <-chan struct{}) error {
	if err := c.listen(); err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	klog.InfoS("host started", "host", c.settings.Host, "zone", c.settings.Zone, "region", c.settings.Region,
		"data", c.settings.Data, "store", c.settings.Store, "peerPort", c.settings.PeerPort)
	go c.receive(work)
	c.loop.run(work)
	go c.reloadOn(work, hangUps)
	<-ctx.Done()
	c.stop()
	return nil
}

// listen opens all listeners and starts to serve them.
func (c *Conductor) listen() error {
	for _, one := range c.handlers() {
		if one.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", one.address)
		if err != nil {
			return errors.Wrapf(err, "listening at %s", one.address)
		}
		server := &http.Server{
			Handler:           one.handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeader,
			ErrorLog:          logger.Connections(),
			BaseContext:       func(net.Listener) context.Context { return c.base },
		}
		if one.address == c.settings.Data {
			server.ConnState = c.arrivals.track
			c.data = listener
		}
		c.servers = append(c.servers, server)
		go serve(server, listener)
	}
	address := &net.UDPAddr{IP: net.ParseIP(c.settings.Address), Port: c.settings.PeerPort}
	var err error
	c.udp, err = net.ListenUDP("udp4", address)
	return errors.Wrapf(err, "listening at %s", address)
}

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 75 * time.Second // callers may use connections that were idle for most of the configured time
	maxHeader     = 64 << 10         // bytes
)

func serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		klog.ErrorS(err, "listener ended", "address", listener.Addr().String())
	}
}
