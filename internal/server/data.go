package server

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/alexedwards/flow"

	"magnoliahill.example/magnoliahill/internal/admitter"
	"magnoliahill.example/magnoliahill/internal/recorder"
	"magnoliahill.example/magnoliahill/pkg/header"
)

const (
	wellKnownPrefix = "/.well-known/magnoliahill"
	lookupPath      = wellKnownPrefix + "/hosts"
	healthPath      = wellKnownPrefix + "/health"
)

// dataHandler returns the handler of callers' requests. The host serves the
// paths below wellKnownPrefix itself and forwards all others to the services.
func (s *Server) dataHandler() http.Handler {
	wellKnown := flow.New()
	wellKnown.HandleFunc(lookupPath, s.lookup, http.MethodHead)
	wellKnown.HandleFunc(healthPath, s.health, http.MethodGet)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == lookupPath && r.Method == http.MethodGet {
			s.lookup(w, r) // skips the router, since look-ups are frequent
			return
		}
		if len(r.URL.Path) > len(wellKnownPrefix) && r.URL.Path[:len(wellKnownPrefix)+1] == wellKnownPrefix+"/" {
			wellKnown.ServeHTTP(w, r)
			return
		}
		s.serveRequest(w, r)
	})
}

// lookup responds with the entry hosts that a caller should use.
func (s *Server) lookup(w http.ResponseWriter, r *http.Request) {
	s.counters.lookups.Inc(1)
	snap := s.snapshot.Load()
	if snap.lookup == nil {
		s.noConfigRefusal().Write(w)
		return
	}
	query := r.URL.RawQuery
	zone := queryValue(query, "zone")
	if zone == "" {
		zone = s.callerZone(snap, queryValue(query, "block"), r.RemoteAddr)
	}
	response := snap.lookup.Response(zone, queryValue(query, "workspace"))
	if response == nil {
		http.Error(w, fmt.Sprintf("availability zone %q does not exist", zone), http.StatusNotFound)
		return
	}
	w.Header()["Content-Type"] = jsonType
	_, _ = w.Write(response)
}

var jsonType = []string{"application/json"}

// queryValue returns a parameter of a query, or "" when it is missing or
// malformed. Unlike url.ParseQuery it allocates only for escaped values.
func queryValue(query, name string) string {
	for query != "" {
		var pair string
		pair, query, _ = strings.Cut(query, "&")
		key, value, _ := strings.Cut(pair, "=")
		if key != name {
			continue
		}
		if !strings.ContainsAny(value, "%+") {
			return value
		}
		unescaped, err := url.QueryUnescape(value)
		if err != nil {
			return ""
		}
		return unescaped
	}
	return ""
}

// callerZone returns the zone of the site whose address block contains the
// block that the caller names or, without one, the caller's address. When there
// is no such site, it returns the zone of this host.
func (s *Server) callerZone(snap *snapshot, block, remoteAddr string) string {
	address, err := netip.ParseAddr(block)
	if err != nil {
		addrPort, err := netip.ParseAddrPort(remoteAddr)
		if err != nil {
			return s.settings.Host().Zone()
		}
		address = addrPort.Addr()
	}
	if site := snap.blocks.Find(address); site != nil {
		return site.Zone()
	}
	return s.settings.Host().Zone()
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if s.snapshot.Load().phase != serving {
		http.Error(w, "not serving", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "serving\n")
}

func (s *Server) noConfigRefusal() *admitter.Refusal {
	return unavailable(header.ReasonNoConfig, "the host has no configuration yet", time.Second)
}

// serveRequest serves one request to a service, from receipt to the response.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	c := &call{
		server:      s,
		w:           w,
		r:           r,
		startedAt:   s.clock.Now(),
		state:       s.requestChart.Initial(),
		id:          requestID(r),
		bodyTimeout: s.settings.Listen().BodyTimeout(),
	}
	w.Header().Set(header.RequestID, c.id)
	w.Header().Set(header.Host, s.settings.Host().Name())
	if s.snapshot.Load().phase == leaving {
		// Go's HTTP/2 server turns this into a GOAWAY frame.
		w.Header().Set("Connection", "close")
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	s.lastRequest.Store(int64(c.startedAt))
	if refusal := c.serve(); refusal != nil {
		c.refuse(refusal)
	}
}

func requestID(r *http.Request) string {
	if id := r.Header.Get(header.RequestID); id != "" && len(id) <= 64 {
		return id
	}
	return rand.Text()
}

// admit identifies a request and charges its workspace's rate.
func (s *Server) admit(ctx context.Context, r *http.Request, snap *snapshot) (*admitter.Admission, *admitter.Refusal) {
	switch snap.phase {
	case starting:
		return nil, s.noConfigRefusal()
	case finishing:
		return nil, unavailable(header.ReasonStopping, "the host is stopping, use another", time.Second)
	}
	if s.keysExpired() {
		return nil, unavailable(header.ReasonNoConfig, "the host cannot confirm keys", time.Second)
	}
	a, refusal := snap.keyTable.Identify(r)
	if refusal != nil {
		return a, refusal
	}
	if grant := a.Grant(); grant != nil {
		if !s.sharer.Member() {
			return a, unavailable(header.ReasonNoConfig, "the host has no part of the limits yet", time.Second)
		}
		return a, s.charge(ctx, grant)
	}
	return a, nil
}

// charge takes one unit of a workspace's rate, and borrows from other hosts
// when the own share is used up.
func (s *Server) charge(ctx context.Context, grant *admitter.Grant) *admitter.Refusal {
	if s.takeUnit(grant.Limit()) {
		return nil
	}
	takeUnit := func() bool { return s.takeUnit(grant.Limit()) }
	if s.borrower.borrow(ctx, grant.Limit(), takeUnit) {
		s.counters.borrowed.Inc(1)
		return nil
	}
	now := s.clock.Now()
	wait, ok := s.sharer.Wait(now, grant.Limit())
	if !ok {
		wait = time.Second
	}
	return admitter.RefuseNotRun(http.StatusTooManyRequests, header.ReasonOverRate,
		"the workspace is over its rate", max(wait, time.Millisecond))
}

// takeUnit takes one unit of a limit and reports it to the auditor, if there is
// one.
func (s *Server) takeUnit(limit string) bool {
	now := s.clock.Now()
	if !s.sharer.Take(now, limit, 1) {
		return false
	}
	if s.auditor != nil {
		s.auditor.RecordAdmission(limit, s.clock.WallTime(now))
	}
	return true
}

// requestTimeout returns how long a request may take: the given maximum, or
// less when the caller's header says so.
func requestTimeout(r *http.Request, maximum time.Duration) (time.Duration, *admitter.Refusal) {
	text := r.Header.Get(header.Timeout)
	if text == "" {
		return maximum, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, admitter.RefuseNotRun(http.StatusBadRequest, header.ReasonBadRequest,
			fmt.Sprintf("header %s: %q is not a number of milliseconds", header.Timeout, text), 0)
	}
	return min(maximum, time.Duration(ms)*time.Millisecond), nil
}

func (s *Server) countRefusal(a *admitter.Admission, refusal *admitter.Refusal) {
	s.refusalCounter(refusal.Reason()).Inc(1)
	key := recorder.Key{Service: "", Workspace: ""}
	if a != nil {
		key = recorder.Key{Service: a.Service().Name(), Workspace: a.Workspace()}
	}
	s.recorder.Latency().NotAnswered(key,
		refusal.Reason() == header.ReasonOverRate, refusal.Outcome() == header.OutcomeUnknown)
}
