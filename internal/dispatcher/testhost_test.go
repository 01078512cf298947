package dispatcher_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"magnoliahill.example/magnoliahill/internal/charger"
	"magnoliahill.example/magnoliahill/internal/dispatcher"
	"magnoliahill.example/magnoliahill/internal/recorder"
	"magnoliahill.example/magnoliahill/internal/roundtripper"
	"magnoliahill.example/magnoliahill/internal/standin/target"
	"magnoliahill.example/magnoliahill/internal/timekeeper"
	"magnoliahill.example/magnoliahill/pkg/allocator"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/header"
	"magnoliahill.example/magnoliahill/pkg/placer"
	"magnoliahill.example/magnoliahill/pkg/registrar"
)

var headerNames = header.Names{
	RequestID: "X-Id", Deadline: "X-Deadline", Key: "X-Key", Workspace: "X-Workspace", ObjectCookie: "object",
	ExpectedInstance: "X-Instance", ServedBy: "X-Answerer", ResponseStamp: "X-Signature", NotRun: "X-Not-Run", Load: "X-Load", ColdRemaining: "X-Cold",
}

// headerCodec is a simple format of header values.
type headerCodec struct{}

func (headerCodec) DecodeReport(_ int, headers http.Header) placer.Load {
	field := headers.Get(headerNames.Load)
	var load placer.Load
	var slots int
	n, _ := fmt.Sscanf(field, "%d,%d,%d", &load.Running, &load.Waiting, &slots)
	load.Known = n == 3
	return load
}

func (headerCodec) FormatRetryAfter(d time.Duration) string { return fmt.Sprintf("%.2f", d.Seconds()) }

// testHost is a handler in front of fake backend servers.
type testHost struct {
	t          *testing.T
	backends   []*target.Responder
	server     *httptest.Server
	dispatcher *dispatcher.Dispatcher
	clock      *timekeeper.Clock
	placer     *placer.Placer
	catalog    *cataloger.Catalog
}

const key = "key-of-w"

func newTestHost(t *testing.T, count int, options ...dispatcher.Option) *testHost {
	s := &testHost{t: t, clock: timekeeper.New()}
	s.placer = placer.New("host", placer.Location{Zone: "z", Region: "r"}, map[string]string{"z": "r", "y": "q"})
	rates := allocator.New(1, 0)
	rates.SetLimits(s.clock.Now(), []allocator.Limit{{Name: "w", Rate: 1, Burst: 4}})
	rec := recorder.New(recorder.NewTimeLine("host", timekeeper.NewHybridClock(func() int64 { return 0 })))
	t.Cleanup(rec.Close)
	roundTripper := roundtripper.New(headerNames, 100)
	t.Cleanup(roundTripper.Close)
	s.dispatcher = dispatcher.New(headerNames, headerCodec{}, s.clock, charger.New("host", rates, nil), s.placer, roundTripper, rec,
		append(options, dispatcher.WithRetries(dispatcher.Retries{Ratio: 0.2, Burst: 10}))...)
	for i := range count {
		backend, err := target.Start(fmt.Sprintf("i-%d", i), headerNames)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(backend.Close)
		s.backends = append(s.backends, backend)
	}
	s.catalog = s.config(1)
	s.register(s.backends...)
	s.dispatcher.SetSnapshot(dispatcher.NewSnapshot(s.catalog, dispatcher.Serving, 0, dispatcher.StopSchedule{}))
	listener, err := target.Listen()
	if err != nil {
		t.Fatal(err)
	}
	s.server = &httptest.Server{Listener: listener, Config: &http.Server{Handler: s.dispatcher}}
	s.server.Start()
	t.Cleanup(s.server.Close)
	return s
}

func (s *testHost) config(version int64) *cataloger.Catalog {
	origin := cataloger.NewOrigin("test", 0)
	splits := []cataloger.Split{cataloger.NewSplit("svc", 1)}
	route := func(name string, options ...cataloger.RouteOption) *cataloger.Route {
		options = append([]cataloger.RouteOption{
			cataloger.WithTimeout(400 * time.Millisecond), cataloger.WithLatencyGoal(200 * time.Millisecond), cataloger.WithMaxAttempts(2),
		}, options...)
		return cataloger.NewRoute(origin, name, "shop", "/"+name+"/", splits, options...)
	}
	catalog, err := cataloger.New(version, cataloger.Items{
		Regions:  []*cataloger.Region{cataloger.NewRegion(origin, "r", []string{"z"}), cataloger.NewRegion(origin, "q", []string{"y"})},
		Services: []*cataloger.Service{cataloger.NewService(origin, "svc", cataloger.Urgent)},
		Routes: []*cataloger.Route{
			route("read", cataloger.WithIdempotent(true), cataloger.WithPublic(true)),
			route("order", cataloger.WithPublic(true)),
			route("slow", cataloger.WithPublic(true), cataloger.WithTimeout(time.Minute)),
			route("keyed"),
			route("far", cataloger.WithPublic(true), cataloger.WithRouteHomeRegions([]string{"q"})),
		},
		Workspaces: []*cataloger.Workspace{
			cataloger.NewWorkspace(origin, "w", nil, 1, 4, 1),
			cataloger.NewWorkspace(origin, "free", nil, 0, 0, 1),
		},
		Keys: []*cataloger.Key{cataloger.NewKey(origin, "w/0", cataloger.HashKey(key), "w")},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return catalog
}

func (s *testHost) register(backends ...*target.Responder) {
	var all []registrar.Registered
	r := registrar.New()
	for _, backend := range backends {
		r.Put(0, registrar.NewInstance(backend.Instance(), "svc", backend.Address(), "z", registrar.WithSlots(8)))
	}
	all = r.Instances()
	s.placer.Update(s.clock.Now(), []placer.Service{{Name: "svc"}}, all, nil)
}

func (s *testHost) executions() []target.Execution {
	var all []target.Execution
	for _, backend := range s.backends {
		all = append(all, backend.Executions()...)
	}
	return all
}

type result struct {
	status int
	body   string
	header http.Header
	broken bool // the connection ended without a complete response
}

func (s *testHost) send(method, path, id, body string, headers ...string) result {
	req, err := http.NewRequest(method, s.server.URL+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Host = "shop"
	req.Header.Set(headerNames.RequestID, id)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	// A separate transport without keep-alive has no reused connections, so it
	// never resends a request.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return result{broken: true}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, body: string(data), header: resp.Header, broken: err != nil}
}

// notRunStatuses are the statuses that mean that the request was not executed.
var notRunStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

func impliesNotRun(status int) bool { return slices.Contains(notRunStatuses, status) }
