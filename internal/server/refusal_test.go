package server

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/admitter"
	"magnoliahill.example/magnoliahill/internal/loader"
	"magnoliahill.example/magnoliahill/internal/parser"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/header"
	"magnoliahill.example/magnoliahill/pkg/sharer"
)

// newIdleServer returns a server that does not run, is the only member, and
// holds the whole rate or nothing of it. It also returns a request with a valid
// key.
func newIdleServer(t testing.TB, holdsRate bool) (*Server, *http.Request) {
	t.Helper()
	settings, err := loader.Parse("h.yaml", []byte(`
host: {name: h, zone: z}
listen: {data: "127.0.0.1:1", control: "127.0.0.1:2"}
platform: {url: "http://127.0.0.1:3"}
`))
	if err != nil {
		t.Fatal(err)
	}
	s, err := New(settings)
	if err != nil {
		t.Fatal(err)
	}
	catalog, err := parser.Build(1, []parser.Document{
		parser.NewDocument("t.yaml", []byte("kind: topology\nregions: [{name: r, zones: [z]}]")),
		parser.NewDocument("s.yaml", []byte("kind: service\nservice: orders\nbackend-servers: [{address: \"127.0.0.1:4\", zone: z}]")),
		parser.NewDocument("w.yaml", []byte("kind: workspace\nworkspace: w\nservices: [orders]\nrate: 1000000")),
		parser.NewDocument("k.yaml", parser.RenderKeys("w", []*cataloger.Key{
			cataloger.NewKey(cataloger.Origin{}, "k", cataloger.HashKey("secret"), "w"),
		})),
	})
	if err != nil {
		t.Fatal(err)
	}
	now := s.clock.Now()
	s.sharer.SetLimits(now, 1, sharedLimits(catalog))
	s.sharer.RecordStoreRead(now, now, sharer.Roster{}.With(sharer.Member{ID: s.id}).NextEpoch(s.id))
	if holdsRate {
		collection := sharer.NewCollection(s.sharer.Roster(), 1, now, s.sharer.Lease(), 0)
		collection.Add(s.sharer.Report())
		s.sharer.IssueRemainder(now, collection)
	}
	s.snapshot.Store(&snapshot{catalog: catalog, keyTable: admitter.NewKeyTable(catalog), phase: serving})
	r := httptest.NewRequest(http.MethodPost, "http://orders.example/order", nil)
	r.Header.Set(header.Key, "secret")
	return s, r
}

func TestRateRefusalSetsRetryAfter(t *testing.T) {
	is := is.New(t)
	s, r := newIdleServer(t, false)
	_, refusal := s.admit(context.Background(), r, s.snapshot.Load())
	is.Equal(refusal.Reason(), header.ReasonOverRate)
	w := httptest.NewRecorder()
	refusal.Write(w)
	is.Equal(w.Code, http.StatusTooManyRequests)
	is.Equal(w.Header().Get(header.Outcome), header.OutcomeNotRun)
	is.Equal(w.Header().Get("Retry-After"), "1")
}

// BenchmarkRefusal measures the decision to refuse a request over its rate.
func BenchmarkRefusal(b *testing.B) {
	s, r := newIdleServer(b, false)
	snap := s.snapshot.Load()
	b.ReportAllocs()
	for b.Loop() {
		if _, refusal := s.admit(context.Background(), r, snap); refusal == nil {
			b.Fatal("admitted")
		}
	}
}

// BenchmarkAdmission measures the decision to admit a request: service, key,
// workspace and rate.
func BenchmarkAdmission(b *testing.B) {
	s, r := newIdleServer(b, true)
	snap := s.snapshot.Load()
	b.ReportAllocs()
	for b.Loop() {
		s.sharer.Tick(s.clock.Now())
		_, _ = s.admit(context.Background(), r, snap)
	}
}
