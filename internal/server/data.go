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
	"magnoliahill.example/magnoliahill/pkg/marker"
)

const (
	ownPrefix  = "/.well-known/magnoliahill"
	lookupPath = ownPrefix + "/hosts"
	healthPath = ownPrefix + "/health"
)

// dataHandler answers callers: the system's own paths, and everything else on
// behalf of the services.
func (s *Server) dataHandler() http.Handler {
	own := flow.New()
	own.HandleFunc(lookupPath, s.lookup, http.MethodHead)
	own.HandleFunc(healthPath, s.health, http.MethodGet)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == lookupPath && r.Method == http.MethodGet {
			s.lookup(w, r) // the one path of our own that is called often
			return
		}
		if len(r.URL.Path) > len(ownPrefix) && r.URL.Path[:len(ownPrefix)+1] == ownPrefix+"/" {
			own.ServeHTTP(w, r)
			return
		}
		s.serveRequest(w, r)
	})
}

// lookup answers which entry hosts a caller should use.
func (s *Server) lookup(w http.ResponseWriter, r *http.Request) {
	s.counters.lookups.Inc(1)
	snap := s.snapshot.Load()
	if snap.lookup == nil {
		s.noConfig().Write(w)
		return
	}
	query := r.URL.RawQuery
	zone := queryValue(query, "zone")
	if zone == "" {
		zone = s.nearest(snap, queryValue(query, "block"), r.RemoteAddr)
	}
	answer := snap.lookup.Answer(zone, queryValue(query, "workspace"))
	if answer == nil {
		http.Error(w, fmt.Sprintf("availability zone %q does not exist", zone), http.StatusNotFound)
		return
	}
	w.Header()["Content-Type"] = jsonType
	_, _ = w.Write(answer)
}

var jsonType = []string{"application/json"}

// queryValue returns a parameter of a query, or "". Unlike url.ParseQuery it
// allocates only for escaped values.
func queryValue(query, name string) string {
	for query != "" {
		var part string
		part, query, _ = strings.Cut(query, "&")
		key, value, _ := strings.Cut(part, "=")
		if key != name {
			continue
		}
		if !strings.ContainsAny(value, "%+") {
			return value
		}
		plain, err := url.QueryUnescape(value)
		if err != nil {
			return ""
		}
		return plain
	}
	return ""
}

// nearest returns the zone of the site that a caller's block belongs to, by the
// block that the caller names or by its address, or else the own zone.
func (s *Server) nearest(snap *snapshot, block, remote string) string {
	address, err := netip.ParseAddr(block)
	if err != nil {
		port, err := netip.ParseAddrPort(remote)
		if err != nil {
			return s.settings.Host().Zone()
		}
		address = port.Addr()
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

func (s *Server) noConfig() *admitter.Refusal {
	return unavailable(marker.ReasonNoConfig, "the host has no configuration yet", time.Second)
}

// serveRequest takes one request of a service from receipt to its answer.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	c := &call{
		server:  s,
		w:       w,
		r:       r,
		began:   s.clock.Now(),
		state:   s.requestChart.Initial(),
		id:      requestID(r),
		maximum: s.settings.Listen().BodyTimeout(),
	}
	w.Header().Set(marker.RequestID, c.id)
	w.Header().Set(marker.Host, s.settings.Host().Name())
	if s.snapshot.Load().phase == leaving {
		// Go's HTTP/2 server turns this into a GOAWAY frame.
		w.Header().Set("Connection", "close")
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	s.lastRequest.Store(int64(c.began))
	if refusal := c.run(); refusal != nil {
		c.refuse(refusal)
	}
}

func requestID(r *http.Request) string {
	if id := r.Header.Get(marker.RequestID); id != "" && len(id) <= 64 {
		return id
	}
	return rand.Text()
}

// admit identifies a request and charges its workspace's rate.
func (s *Server) admit(ctx context.Context, r *http.Request, snap *snapshot) (*admitter.Admission, *admitter.Refusal) {
	switch snap.phase {
	case starting:
		return nil, s.noConfig()
	case finishing:
		return nil, unavailable(marker.ReasonStopping, "the host is stopping, use another", time.Second)
	}
	if s.keysExpired() {
		return nil, unavailable(marker.ReasonNoConfig, "the host cannot confirm keys", time.Second)
	}
	a, refusal := snap.table.Identify(r)
	if refusal != nil {
		return a, refusal
	}
	if grant := a.Grant(); grant != nil {
		if !s.sharer.Member() {
			return a, unavailable(marker.ReasonNoConfig, "the host has no part of the limits yet", time.Second)
		}
		return a, s.charge(ctx, grant)
	}
	return a, nil
}

// charge takes one request off a workspace's rate, from another host's part if
// the own one is used up.
func (s *Server) charge(ctx context.Context, grant *admitter.Grant) *admitter.Refusal {
	if s.takeOne(grant.Limit()) {
		return nil
	}
	take := func() bool { return s.takeOne(grant.Limit()) }
	if s.borrower.borrow(ctx, grant.Limit(), take) {
		s.counters.borrowed.Inc(1)
		return nil
	}
	now := s.clock.Now()
	wait, ok := s.sharer.Wait(now, grant.Limit())
	if !ok {
		wait = time.Second
	}
	return admitter.NotRun(http.StatusTooManyRequests, marker.ReasonRate,
		"the workspace is over its rate", max(wait, time.Millisecond))
}

// takeOne takes one unit of a limit and tells the invariant check of a test or
// demonstration about it.
func (s *Server) takeOne(limit string) bool {
	now := s.clock.Now()
	if !s.sharer.Take(now, limit, 1) {
		return false
	}
	if s.auditor != nil {
		s.auditor.Admitted(limit, s.clock.Time(now))
	}
	return true
}

// timeout returns how long a request may take: the service's limit, or less
// when the caller says so.
func timeout(r *http.Request, limit time.Duration) (time.Duration, *admitter.Refusal) {
	text := r.Header.Get(marker.Timeout)
	if text == "" {
		return limit, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, admitter.NotRun(http.StatusBadRequest, marker.ReasonBadRequest,
			fmt.Sprintf("header %s: %q is not a number of milliseconds", marker.Timeout, text), 0)
	}
	return min(limit, time.Duration(ms)*time.Millisecond), nil
}

func (s *Server) countRefusal(a *admitter.Admission, refusal *admitter.Refusal) {
	s.refused(refusal.Reason()).Inc(1)
	key := recorder.Key{Service: "", Workspace: ""}
	if a != nil {
		key = recorder.Key{Service: a.Service().Name(), Workspace: a.Workspace()}
	}
	s.recorder.Latency().Refused(key,
		refusal.Reason() == marker.ReasonRate, refusal.Outcome() == marker.OutcomeUnknown)
}
