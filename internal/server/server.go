// Package server is the daemon of one entry host: it joins the request path,
// the look-ups, and the control loop that keeps them supplied.
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

	"magnoliahill.example/magnoliahill/internal/charter"
	"magnoliahill.example/magnoliahill/internal/clocker"
	"magnoliahill.example/magnoliahill/internal/forwarder"
	"magnoliahill.example/magnoliahill/internal/keeper"
	"magnoliahill.example/magnoliahill/internal/loader"
	"magnoliahill.example/magnoliahill/internal/logger"
	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/recorder"
	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/sharer"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// Auditor checks in a test or demonstration what all hosts admit together.
type Auditor interface {
	// Admitted is told of each request that a limit admitted, and when.
	Admitted(limit string, at time.Time)
}

type counters struct {
	lookups  tally.Counter
	answered tally.Counter
	borrowed tally.Counter
	cutShort tally.Counter
}

// Server is one daemon.
type Server struct {
	settings     *loader.Settings
	id           tracker.HostID
	clock        *clocker.Clock
	store        keeper.Store
	messenger    *messenger.Messenger
	forwarder    *forwarder.Forwarder
	recorder     *recorder.Recorder
	sharer       *sharer.Sharer
	borrower     *borrower
	requestChart *charter.Chart
	backendChart *charter.Chart
	moveChart    *charter.Chart
	loop         *loop
	auditor      Auditor // nil outside tests and demonstrations

	snapshot    atomic.Pointer[snapshot]
	running     atomic.Int64 // requests being served; never negative
	lastRequest atomic.Int64 // monotonic time of the last request's receipt
	configNews  atomic.Int64 // monotonic time of the last proof that the configuration is current
	invariants  atomic.Int64 // broken invariants seen
	counters    counters
	reasons     sync.Map // refusal reason to its counter

	data      *http.Server
	control   *http.Server
	dataAddr  net.Listener
	ctrlAddr  net.Listener
	dataTLS   *certificate
	stopOnce  sync.Once
	stopAsked chan struct{}
	done      chan struct{}
}

// Option sets one property of a server.
type Option func(*Server)

// WithStore replaces the platform's store.
func WithStore(store keeper.Store) Option { return func(s *Server) { s.store = store } }

// WithMessenger replaces how other hosts are reached.
func WithMessenger(m *messenger.Messenger) Option { return func(s *Server) { s.messenger = m } }

// WithForwarder replaces how backend servers are reached.
func WithForwarder(f *forwarder.Forwarder) Option { return func(s *Server) { s.forwarder = f } }

// WithAuditor sets who checks what all hosts admit together.
func WithAuditor(a Auditor) Option { return func(s *Server) { s.auditor = a } }

// New returns a daemon that does not listen yet.
func New(settings *loader.Settings, options ...Option) (*Server, error) {
	s := &Server{
		settings:  settings,
		id:        tracker.HostID{Name: settings.Host().Name(), Incarnation: tracker.NewIncarnation(time.Now())},
		clock:     clocker.New(),
		stopAsked: make(chan struct{}),
		done:      make(chan struct{}),
	}
	for _, option := range options {
		option(s)
	}
	if s.store == nil {
		s.store = keeper.New(settings.Platform().URL(),
			keeper.WithTimeout(settings.Platform().Timeout()), keeper.WithWait(settings.Platform().WatchWait()))
	}
	if s.messenger == nil {
		s.messenger = messenger.New()
	}
	hybrid := clocker.NewHybrid(func() int64 { return time.Now().UnixNano() })
	s.recorder = recorder.New(recorder.NewTimeLine(s.id.Name, hybrid))
	scope := s.recorder.Scope()
	s.counters = counters{
		lookups:  scope.Counter("lookups"),
		answered: scope.Counter("requests_answered"),
		borrowed: scope.Counter("requests_on_borrowed_share"),
		cutShort: scope.Counter("answers_cut_short"),
	}
	if s.forwarder == nil {
		s.forwarder = forwarder.New()
	}
	s.sharer = sharer.New(s.id, sharer.WithLease(settings.Shares().Lease()))
	s.sharer.Tick(s.clock.Now())
	s.borrower = newBorrower(s)
	s.snapshot.Store(&snapshot{pools: map[string]*pool{}})
	var err error
	if s.requestChart, err = charter.Load("request"); err != nil {
		return nil, err
	}
	if s.backendChart, err = charter.Load("backend"); err != nil {
		return nil, err
	}
	if s.moveChart, err = charter.Load("move"); err != nil {
		return nil, err
	}
	if s.loop, err = newLoop(s); err != nil {
		return nil, err
	}
	return s, nil
}

// ID returns the daemon's host id.
func (s *Server) ID() tracker.HostID { return s.id }

// Listen opens both listeners.
func (s *Server) Listen() error {
	var err error
	if s.ctrlAddr, err = net.Listen("tcp", s.settings.Listen().Control()); err != nil {
		return errors.Wrap(err, "control listener could not be opened")
	}
	if s.dataAddr, err = net.Listen("tcp", s.settings.Listen().Data()); err != nil {
		_ = s.ctrlAddr.Close()
		return errors.Wrap(err, "data listener could not be opened")
	}
	return nil
}

// Run serves until the context ends or Stop is called, and then stops without
// cutting off a request.
func (s *Server) Run(ctx context.Context) error {
	defer close(s.done)
	if err := s.prepare(); err != nil {
		return err
	}
	// Control work goes on through a planned stop, so it has its own context.
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 2)
	go func() { failed <- s.serveData() }()
	go func() { failed <- s.control.Serve(s.ctrlAddr) }()
	go s.loop.run(work)
	s.startWorkers(work)
	klog.InfoS("host started", "host", s.id.Name, "zone", s.settings.Host().Zone(),
		"data", s.settings.Listen().Data(), "control", s.settings.Listen().Control())
	select {
	case err := <-failed:
		return errors.Wrap(err, "listener ended")
	case <-ctx.Done():
	case <-s.stopAsked:
	}
	s.drain(work)
	s.recorder.Close()
	return nil
}

func (s *Server) prepare() error {
	listen := s.settings.Listen()
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	s.data = &http.Server{
		Handler:           s.dataHandler(),
		ReadHeaderTimeout: listen.HeaderTimeout(),
		IdleTimeout:       listen.IdleTimeout(),
		MaxHeaderBytes:    listen.MaxHeader(),
		Protocols:         protocols,
		ErrorLog:          logger.Connections(),
	}
	s.control = &http.Server{
		Handler:           s.controlHandler(),
		ReadHeaderTimeout: listen.HeaderTimeout(),
		Protocols:         protocols,
		ErrorLog:          logger.Connections(),
	}
	if listen.Certificate() == "" {
		return nil
	}
	var err error
	s.dataTLS, err = loadCertificate(listen.Certificate(), listen.KeyFile())
	return err
}

func (s *Server) serveData() error {
	if s.dataTLS == nil {
		return s.data.Serve(s.dataAddr)
	}
	s.data.TLSConfig = s.dataTLS.config()
	return s.data.ServeTLS(s.dataAddr, "", "")
}

// Stop asks for a planned stop. Done tells when it is over.
func (s *Server) Stop() { s.stopOnce.Do(func() { close(s.stopAsked) }) }

// Done is closed when the daemon has stopped.
func (s *Server) Done() <-chan struct{} { return s.done }

// Kill ends the daemon at once, as a crash would, for demonstrations and tests.
func (s *Server) Kill() {
	_ = s.ctrlAddr.Close()
	_ = s.dataAddr.Close()
	_ = s.control.Close()
	_ = s.data.Close()
	s.loop.halt()
}

// Running returns the requests being served.
func (s *Server) Running() int64 { return s.running.Load() }

// BrokenInvariants returns how many broken invariants were seen.
func (s *Server) BrokenInvariants() int64 { return s.invariants.Load() }

// broken records that something that must always hold does not.
func (s *Server) broken(text string) {
	s.invariants.Add(1)
	s.recorder.TimeLine().Record(recorder.InvariantBroken, s.id.Name, text)
	klog.ErrorS(nil, "invariant broken", "host", s.id.Name, "text", text)
}

func (s *Server) refused(reason string) tally.Counter {
	if known, ok := s.reasons.Load(reason); ok {
		return known.(tally.Counter)
	}
	counter := s.recorder.Scope().Tagged(map[string]string{"reason": reason}).Counter("requests_refused")
	known, _ := s.reasons.LoadOrStore(reason, counter)
	return known.(tally.Counter)
}

// keysExpired reports whether the host has had no proof for too long that its
// keys are in force.
func (s *Server) keysExpired() bool {
	lease := s.settings.Keys().Lease()
	return lease > 0 && s.clock.Now()-time.Duration(s.configNews.Load()) > lease
}

// Ready reports whether the host serves requests and holds its parts of limits.
func (s *Server) Ready() bool {
	return s.snapshot.Load().phase == serving && s.sharer.Confirmed()
}

// Tokens returns the whole units of a limit that the host could use now.
func (s *Server) Tokens(limit string) int64 {
	_, tokens := s.sharer.Held(s.clock.Now(), limit)
	return tokens / limiter.Unit
}

// Waiting returns the requests that wait for a place at a service.
func (s *Server) Waiting(service string) int {
	p := s.snapshot.Load().pools[service]
	if p == nil {
		return 0
	}
	return p.waiting()
}

// Generation returns the number of the configuration in force, or 0.
func (s *Server) Generation() int64 {
	catalog := s.snapshot.Load().catalog
	if catalog == nil {
		return 0
	}
	return catalog.Generation()
}
