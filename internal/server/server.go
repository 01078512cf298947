// Package server implements the daemon of one entry host: the forwarding of
// requests, the look-ups of entry hosts, and the control loop that keeps their
// state current.
package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/acceptor"
	"magnoliahill.example/magnoliahill/internal/forwarder"
	"magnoliahill.example/magnoliahill/internal/loader"
	"magnoliahill.example/magnoliahill/internal/logger"
	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/recorder"
	"magnoliahill.example/magnoliahill/internal/storer"
	"magnoliahill.example/magnoliahill/internal/timekeeper"
	"magnoliahill.example/magnoliahill/internal/transitioner"
	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/sharer"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// Auditor checks the total that all hosts admit, in tests and demonstrations.
type Auditor interface {
	// RecordAdmission reports one request that a limit admitted, and the time of the
	// admission.
	RecordAdmission(limit string, at time.Time)
}

type counters struct {
	lookups   tally.Counter
	answered  tally.Counter
	borrowed  tally.Counter
	truncated tally.Counter
}

// Server is one daemon.
type Server struct {
	settings     *loader.Settings
	id           tracker.HostID
	clock        *timekeeper.Clock
	store        storer.Store
	messenger    *messenger.Messenger
	forwarder    *forwarder.Forwarder
	recorder     *recorder.Recorder
	sharer       *sharer.Sharer
	borrower     *borrower
	requestChart *transitioner.Chart
	backendChart *transitioner.Chart
	moveChart    *transitioner.Chart
	loop         *loop
	auditor      Auditor // nil outside tests and demonstrations

	snapshot          atomic.Pointer[snapshot]
	running           atomic.Int64 // requests in progress; never negative
	lastRequest       atomic.Int64 // when the last request was received, in nanoseconds of the clock
	configConfirmedAt atomic.Int64 // when the store last confirmed the configuration, likewise; 0 if never
	brokenInvariants  atomic.Int64 // number of broken invariants recorded
	counters          counters
	refusalCounters   sync.Map // tally.Counter by refusal reason

	dataServer      *http.Server
	controlServer   *http.Server
	dataListener    net.Listener
	controlListener net.Listener
	dataCertificate *certificate
	stopOnce        sync.Once
	stopRequested   chan struct{}
	done            chan struct{}
}

// Option sets one property of a server.
type Option func(*Server)

// WithStore replaces the platform's store.
func WithStore(store storer.Store) Option { return func(s *Server) { s.store = store } }

// WithMessenger replaces the messenger that sends RPCs to other hosts.
func WithMessenger(m *messenger.Messenger) Option { return func(s *Server) { s.messenger = m } }

// WithForwarder replaces the forwarder that sends requests to backend servers.
func WithForwarder(f *forwarder.Forwarder) Option { return func(s *Server) { s.forwarder = f } }

// WithAuditor sets the auditor of the requests that limits admit.
func WithAuditor(a Auditor) Option { return func(s *Server) { s.auditor = a } }

// WithListeners sets listeners that are already open. They listen at the addresses
// in the settings, which the daemon announces to callers and other hosts.
func WithListeners(data, control net.Listener) Option {
	return func(s *Server) { s.dataListener, s.controlListener = data, control }
}

// New returns a daemon that is not listening yet. It returns an error when a
// state chart cannot be loaded.
func New(settings *loader.Settings, options ...Option) (*Server, error) {
	s := &Server{
		settings:      settings,
		id:            tracker.HostID{Name: settings.Host().Name(), Incarnation: tracker.NewIncarnation(time.Now())},
		clock:         timekeeper.New(),
		stopRequested: make(chan struct{}),
		done:          make(chan struct{}),
	}
	for _, option := range options {
		option(s)
	}
	if s.store == nil {
		s.store = storer.New(settings.Platform().URL(),
			storer.WithTimeout(settings.Platform().Timeout()), storer.WithWatchWait(settings.Platform().WatchWait()))
	}
	if s.messenger == nil {
		s.messenger = messenger.New()
	}
	hybrid := timekeeper.NewHybridClock(func() int64 { return time.Now().UnixNano() })
	s.recorder = recorder.New(recorder.NewTimeLine(s.id.Name, hybrid))
	scope := s.recorder.Scope()
	s.counters = counters{
		lookups:   scope.Counter("lookups"),
		answered:  scope.Counter("requests_answered"),
		borrowed:  scope.Counter("requests_on_borrowed_share"),
		truncated: scope.Counter("answers_cut_short"),
	}
	if s.forwarder == nil {
		s.forwarder = forwarder.New()
	}
	s.sharer = sharer.New(s.id, sharer.WithLease(settings.Shares().Lease()))
	s.sharer.Tick(s.clock.Now())
	s.borrower = newBorrower(s)
	s.snapshot.Store(&snapshot{pools: map[string]*pool{}})
	var err error
	if s.requestChart, err = transitioner.Load("request"); err != nil {
		return nil, err
	}
	if s.backendChart, err = transitioner.Load("backend"); err != nil {
		return nil, err
	}
	if s.moveChart, err = transitioner.Load("move"); err != nil {
		return nil, err
	}
	if s.loop, err = newLoop(s); err != nil {
		return nil, err
	}
	return s, nil
}

// ID returns the daemon's host id.
func (s *Server) ID() tracker.HostID { return s.id }

// Listen opens both listeners, unless WithListeners set them.
func (s *Server) Listen() error {
	if s.dataListener != nil {
		return nil
	}
	var err error
	if s.controlListener, err = net.Listen("tcp", s.settings.Listen().Control()); err != nil {
		return errors.Wrap(err, "control listener could not be opened")
	}
	if s.dataListener, err = net.Listen("tcp", s.settings.Listen().Data()); err != nil {
		_ = s.controlListener.Close()
		return errors.Wrap(err, "data listener could not be opened")
	}
	return nil
}

// Run serves until the context is done or Stop is called, and then performs a
// planned stop, which lets running requests finish. It returns an error when
// the certificate cannot be loaded or a listener fails.
func (s *Server) Run(ctx context.Context) error {
	defer close(s.done)
	if err := s.prepare(); err != nil {
		return err
	}
	// Control work continues during a planned stop, so it has its own context.
	controlCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 2)
	go func() { failed <- s.serveData() }()
	go func() { failed <- s.controlServer.Serve(s.accept(s.controlServer, s.controlListener)) }()
	go s.loop.run(controlCtx)
	s.startWorkers(controlCtx)
	klog.InfoS("host started", "host", s.id.Name, "zone", s.settings.Host().Zone(),
		"data", s.settings.Listen().Data(), "control", s.settings.Listen().Control())
	select {
	case err := <-failed:
		return errors.Wrap(err, "listener failed")
	case <-ctx.Done():
	case <-s.stopRequested:
	}
	s.drain(controlCtx)
	s.recorder.Close()
	return nil
}

func (s *Server) prepare() error {
	listen := s.settings.Listen()
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	s.dataServer = &http.Server{
		Handler:           s.dataHandler(),
		ReadHeaderTimeout: listen.HeaderTimeout(),
		IdleTimeout:       listen.IdleTimeout(),
		MaxHeaderBytes:    listen.MaxHeaderBytes(),
		Protocols:         protocols,
		ErrorLog:          logger.NewConnectionLogger(),
	}
	s.controlServer = &http.Server{
		Handler:           s.controlHandler(),
		ReadHeaderTimeout: listen.HeaderTimeout(),
		Protocols:         protocols,
		ErrorLog:          logger.NewConnectionLogger(),
	}
	if listen.Certificate() == "" {
		return nil
	}
	var err error
	s.dataCertificate, err = loadCertificate(listen.Certificate(), listen.KeyFile())
	return err
}

func (s *Server) serveData() error {
	listener := s.accept(s.dataServer, s.dataListener)
	if s.dataCertificate == nil {
		return s.dataServer.Serve(listener)
	}
	s.dataServer.TLSConfig = s.dataCertificate.config()
	return s.dataServer.ServeTLS(listener, "", "")
}

// accept bounds the connections of a server, and returns the listener that it has to serve.
func (s *Server) accept(server *http.Server, listener net.Listener) net.Listener {
	listen := s.settings.Listen()
	accepted := acceptor.New(listener, acceptor.WithMaxConns(listen.MaxConnections()), acceptor.WithStallTimeout(listen.StallTimeout()),
		acceptor.WithScope(s.recorder.Scope()))
	server.Handler = accepted.Handler(server.Handler)
	server.ConnContext, server.ConnState = accepted.ConnContext, accepted.ConnState
	return accepted
}

// Stop requests a planned stop and returns at once.
func (s *Server) Stop() { s.stopOnce.Do(func() { close(s.stopRequested) }) }

// Done returns a channel that is closed when the daemon has stopped.
func (s *Server) Done() <-chan struct{} { return s.done }

// Kill closes all listeners and connections and stops the control loop at once,
// as a crash would. It is for demonstrations and tests.
func (s *Server) Kill() {
	_ = s.controlListener.Close()
	_ = s.dataListener.Close()
	_ = s.controlServer.Close()
	_ = s.dataServer.Close()
	s.loop.stop()
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int64 { return s.running.Load() }

// InvariantViolations returns the number of broken invariants recorded since the
// start.
func (s *Server) InvariantViolations() int64 { return s.brokenInvariants.Load() }

// reportBrokenInvariant records in the time line and the log that an invariant
// does not hold, and counts it.
func (s *Server) reportBrokenInvariant(text string) {
	s.brokenInvariants.Add(1)
	s.recorder.TimeLine().Record(recorder.InvariantBroken, s.id.Name, text)
	klog.ErrorS(nil, "invariant broken", "host", s.id.Name, "text", text)
}

// refusalCounter returns the counter of refusals with a reason, and creates it
// on first use.
func (s *Server) refusalCounter(reason string) tally.Counter {
	if cached, ok := s.refusalCounters.Load(reason); ok {
		return cached.(tally.Counter)
	}
	counter := s.recorder.Scope().Tagged(map[string]string{"reason": reason}).Counter("requests_refused")
	stored, _ := s.refusalCounters.LoadOrStore(reason, counter)
	return stored.(tally.Counter)
}

// keysExpired reports whether the configuration was last confirmed longer ago
// than the key lease, so that a key may have been withdrawn since. With a lease
// of 0, keys never expire.
func (s *Server) keysExpired() bool {
	lease := s.settings.Keys().Lease()
	return lease > 0 && s.clock.Now()-time.Duration(s.configConfirmedAt.Load()) > lease
}

// Ready reports whether the host serves requests and its shares of limits are
// counted in the current epoch.
func (s *Server) Ready() bool {
	return s.snapshot.Load().phase == serving && s.sharer.Confirmed()
}

// AvailableUnits returns the whole units of a limit that the host could use now.
func (s *Server) AvailableUnits(limit string) int64 {
	_, tokens := s.sharer.Share(s.clock.Now(), limit)
	return tokens / limiter.Unit
}

// QueuedRequests returns the number of requests queued for a service.
func (s *Server) QueuedRequests(service string) int {
	p := s.snapshot.Load().pools[service]
	if p == nil {
		return 0
	}
	return p.queued()
}

// Generation returns the generation of the current configuration, or 0 if there
// is none.
func (s *Server) Generation() int64 {
	catalog := s.snapshot.Load().catalog
	if catalog == nil {
		return 0
	}
	return catalog.Generation()
}
