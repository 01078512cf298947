package carrier_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.yaml.in/yaml/v3"

	"magnoliahill.example/magnoliahill/internal/carrier"
	"magnoliahill.example/magnoliahill/internal/clocker"
	"magnoliahill.example/magnoliahill/internal/exchanger"
	"magnoliahill.example/magnoliahill/internal/lender"
	"magnoliahill.example/magnoliahill/internal/recorder"
	"magnoliahill.example/magnoliahill/internal/standin/target"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/divider"
	"magnoliahill.example/magnoliahill/pkg/marker"
	"magnoliahill.example/magnoliahill/pkg/placer"
	"magnoliahill.example/magnoliahill/pkg/registrar"
)

var words = marker.Vocabulary{
	RequestID: "X-Id", Deadline: "X-Deadline", Key: "X-Key", Workspace: "X-Workspace", Object: "object",
	Instance: "X-Instance", Answerer: "X-Answerer", Signature: "X-Signature", NotRun: "X-Not-Run", Load: "X-Load", Cold: "X-Cold",
}

// dialect is a plain spelling of header values.
type dialect struct{}

func (dialect) DecodeLoad(header string) placer.Load {
	var load placer.Load
	var slots int
	n, _ := fmt.Sscanf(header, "%d,%d,%d", &load.Running, &load.Waiting, &slots)
	load.Known = n == 3
	return load
}

func (dialect) FormatRetryAfter(d time.Duration) string { return fmt.Sprintf("%.2f", d.Seconds()) }

// stage is a carrier in front of stand-ins for backend servers.
type stage struct {
	t       *testing.T
	targets []*target.Target
	front   *httptest.Server
	carrier *carrier.Carrier
	clock   *clocker.Clock
	places  *placer.Placer
	catalog *cataloger.Catalog
}

const key = "key-of-w"

func newStage(t *testing.T, count int) *stage {
	s := &stage{t: t, clock: clocker.New()}
	s.places = placer.New("host", placer.Place{Zone: "z", Region: "r"}, map[string]string{"z": "r", "y": "q"})
	rates := divider.New(1, 0)
	rates.SetLimits(s.clock.Now(), []divider.Limit{{Name: "w", Rate: 1, Burst: 4}})
	rec := recorder.New(recorder.NewTimeLine("host", clocker.NewHybrid(func() int64 { return 0 })))
	t.Cleanup(rec.Close)
	link := exchanger.New(words, 100)
	t.Cleanup(link.Close)
	s.carrier = carrier.New(words, dialect{}, s.clock, lender.New("host", rates, nil), s.places, link, rec,
		carrier.WithRetries(carrier.Retries{Ratio: 0.2, Size: 10}))
	for i := range count {
		one, err := target.Start(fmt.Sprintf("i-%d", i), words)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(one.Close)
		s.targets = append(s.targets, one)
	}
	s.catalog = s.config(1)
	s.register(s.targets...)
	s.carrier.SetView(carrier.NewView(s.catalog, carrier.Serving, 0, carrier.Stop{}))
	listener, err := target.Listen()
	if err != nil {
		t.Fatal(err)
	}
	s.front = &httptest.Server{Listener: listener, Config: &http.Server{Handler: s.carrier}}
	s.front.Start()
	t.Cleanup(s.front.Close)
	return s
}

func (s *stage) config(version int64) *cataloger.Catalog {
	at := cataloger.NewOrigin("test", 0)
	splits := []cataloger.Split{cataloger.NewSplit("svc", 1)}
	route := func(name string, options ...cataloger.RouteOption) *cataloger.Route {
		options = append([]cataloger.RouteOption{
			cataloger.WithTimeout(400 * time.Millisecond), cataloger.WithGoal(200 * time.Millisecond), cataloger.WithMaxTries(2),
		}, options...)
		return cataloger.NewRoute(at, name, "shop", "/"+name+"/", splits, options...)
	}
	catalog, err := cataloger.New(version, cataloger.Parts{
		Regions:  []*cataloger.Region{cataloger.NewRegion(at, "r", []string{"z"}), cataloger.NewRegion(at, "q", []string{"y"})},
		Services: []*cataloger.Service{cataloger.NewService(at, "svc", cataloger.Urgent)},
		Routes: []*cataloger.Route{
			route("read", cataloger.WithIdempotent(true), cataloger.WithOpen(true)),
			route("order", cataloger.WithOpen(true)),
			route("keyed"),
			route("far", cataloger.WithOpen(true), cataloger.WithRouteHomes([]string{"q"})),
		},
		Workspaces: []*cataloger.Workspace{
			cataloger.NewWorkspace(at, "w", nil, 1, 4, 1),
			cataloger.NewWorkspace(at, "free", nil, 0, 0, 1),
		},
		Keys: []*cataloger.Key{cataloger.NewKey(at, "w/0", cataloger.HashKey(key), "w")},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return catalog
}

func (s *stage) register(targets ...*target.Target) {
	var all []registrar.Registered
	r := registrar.New()
	for _, one := range targets {
		r.Put(0, registrar.NewInstance(one.Instance(), "svc", one.Address(), "z", registrar.WithSlots(8)))
	}
	all = r.Instances()
	s.places.Update(s.clock.Now(), []placer.Service{{Name: "svc"}}, all, nil)
}

func (s *stage) runs() []target.Run {
	var all []target.Run
	for _, one := range s.targets {
		all = append(all, one.Runs()...)
	}
	return all
}

type result struct {
	status int
	body   string
	header http.Header
	broken bool // the connection ended without a whole answer
}

func (s *stage) send(method, path, id, body string, header ...string) result {
	req, err := http.NewRequest(method, s.front.URL+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Host = "shop"
	req.Header.Set(words.RequestID, id)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	// A transport of its own does not send anything again on a new connection.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return result{broken: true}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, body: string(data), header: resp.Header, broken: err != nil}
}

// promised reports whether a status says that the request was not run.
func promised(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// script is one case of the data file.
type script struct {
	Name   string
	Path   string
	Method string
	Body   string
	Faults []target.Fault // of the tries, in order
	Status int
	Runs   int
}

func TestScripts(t *testing.T) {
	data, err := os.ReadFile("testdata/scripts.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var scripts []script
	if err := yaml.Unmarshal(data, &scripts); err != nil {
		t.Fatal(err)
	}
	for _, c := range scripts {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			s := newStage(t, 1)
			s.targets[0].Plan(c.Faults...)
			if len(c.Faults) > 1 {
				// The second try goes to the only other backend server.
				other, err := target.Start("i-other", words)
				is.NoErr(err)
				t.Cleanup(other.Close)
				other.Plan(c.Faults[1])
				s.targets[0].Plan()
				s.targets = append(s.targets, other)
				s.planBoth(c.Faults)
			}
			got := s.send(c.Method, c.Path, "id-1", c.Body)
			is.Equal(got.status, c.Status)
			is.Equal(len(s.runs()), c.Runs)
			if c.Status == http.StatusOK {
				is.Equal(got.body, "answer to id-1")
				is.Equal(got.header.Get(words.Signature), "s.id-1")
			}
		})
	}
}

// planBoth gives both backend servers the faults by try: whichever is chosen
// first meets the first one.
func (s *stage) planBoth(faults []target.Fault) {
	s.targets[0].Close()
	fresh, err := target.Start("i-first", words)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(fresh.Close)
	fresh.Plan(faults[0])
	s.targets = []*target.Target{fresh, s.targets[1]}
	// Only the first one is near; the other is tried when it fails.
	r := registrar.New()
	r.Put(0, registrar.NewInstance("i-first", "svc", fresh.Address(), "z", registrar.WithSlots(8)))
	r.Put(0, registrar.NewInstance("i-other", "svc", s.targets[1].Address(), "y", registrar.WithSlots(8)))
	s.places.Update(s.clock.Now(), []placer.Service{{Name: "svc"}}, r.Instances(), nil)
}

var faults = []target.Fault{
	target.None, target.Shed, target.Lost, target.Reset, target.CutShort, target.Foreign, target.Twice, target.Garbage,
	target.Unsigned, target.Unframed, target.Failure, target.Busy, target.Silence, target.Closes, target.Early, target.Elsewhere,
}

// Whatever two backend servers do one after the other: an order runs at most
// once, a refusal that says "not run" is true, a success is the whole answer to
// the caller's own request.
func TestPromisesHoldUnderAllFaults(t *testing.T) {
	for _, path := range []string{"/read/", "/order/"} {
		for _, first := range faults {
			for _, second := range faults {
				t.Run(fmt.Sprintf("%s %s %s", path, first, second), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					s := newStage(t, 2)
					s.planBoth([]target.Fault{first, second})
					for i := range 3 { // the later ones meet what the first left behind
						id := fmt.Sprintf("id-%d", i)
						before := len(s.runs())
						got := s.send(http.MethodPost, path, id, "brooms")
						ran := len(s.runs()) - before
						if path == "/order/" {
							is.True(ran <= 1)
						}
						if promised(got.status) {
							is.Equal(ran, 0)
							is.True(got.header.Get(words.Signature) == "")
						}
						if got.status == http.StatusOK && !got.broken {
							is.Equal(got.body, "answer to "+id)
						}
						is.True(!got.broken) // each request gets an answer
					}
				})
			}
		}
	}
}

func TestRequestReachesTheBackendServerUnchanged(t *testing.T) {
	is := is.New(t)
	s := newStage(t, 1)
	path := "/keyed/a%2Fb//c;d?x=1&y=%20&" + "z"
	got := s.send(http.MethodPost, path, "id-1", "two brooms", words.Key, key, words.Workspace, "forged",
		"X-Other", "kept", "Connection", "close, X-Hop", "X-Hop", "dropped", words.Deadline, "300")
	is.Equal(got.status, http.StatusOK)
	run := s.runs()[0]
	is.Equal(run.Method, http.MethodPost)
	is.Equal(run.Target, path)
	is.Equal(run.Host, "shop")
	is.Equal(run.Body, "two brooms")
	is.Equal(run.Header.Get(words.Workspace), "w")
	is.Equal(run.Header.Get(words.Key), "")
	is.Equal(run.Header.Get("X-Other"), "kept")
	is.Equal(run.Header.Get("X-Hop"), "")
	is.Equal(run.Header.Get(words.Instance), "i-0")
	var left int
	_, err := fmt.Sscan(run.Header.Get(words.Deadline), &left)
	is.NoErr(err)
	is.True(left > 0 && left <= 300)
}

func TestKeysAndRates(t *testing.T) {
	is := is.New(t)
	s := newStage(t, 1)
	is.Equal(s.send(http.MethodGet, "/keyed/", "a", "").status, http.StatusUnauthorized)
	is.Equal(s.send(http.MethodGet, "/keyed/", "b", "", words.Key, "unknown").status, http.StatusUnauthorized)
	is.Equal(s.send(http.MethodGet, "/nowhere/", "c", "", words.Key, key).status, http.StatusNotFound)
	is.Equal(len(s.runs()), 0)
	refused := 0
	for i := range 8 {
		got := s.send(http.MethodGet, "/keyed/", fmt.Sprint("d", i), "", words.Key, key)
		if got.status == http.StatusTooManyRequests {
			refused++
			is.True(got.header.Get("Retry-After") != "")
		}
	}
	is.True(refused >= 3) // four at once and one a second are allowed
}

func TestHostWithoutConfigurationPromisesNothingRan(t *testing.T) {
	is := is.New(t)
	s := newStage(t, 1)
	s.carrier.SetView(carrier.NewView(nil, carrier.Starting, 0, carrier.Stop{}))
	got := s.send(http.MethodGet, "/keyed/", "a", "", words.Key, key)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
}

func TestHomesBindTheRegion(t *testing.T) {
	is := is.New(t)
	s := newStage(t, 1) // its only backend server is in region r
	got := s.send(http.MethodGet, "/far/", "a", "")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(len(s.runs()), 0)
}

// A host that stops takes requests for a while, then only those that surely end
// in time, and asks callers to go elsewhere.
func TestStoppingHostTakesOnlyWhatEndsInTime(t *testing.T) {
	is := is.New(t)
	s := newStage(t, 1)
	now := s.clock.Now()
	s.carrier.SetView(carrier.NewView(s.catalog, carrier.Leaving, 0, carrier.Stop{Takes: now + time.Hour, Ends: now}))
	got := s.send(http.MethodGet, "/read/", "a", "")
	is.Equal(got.status, http.StatusOK)
	s.carrier.SetView(carrier.NewView(s.catalog, carrier.Leaving, 0, carrier.Stop{Takes: now, Ends: now + 300*time.Millisecond}))
	is.Equal(s.send(http.MethodGet, "/read/", "b", "").status, http.StatusServiceUnavailable)
	is.Equal(s.send(http.MethodGet, "/read/", "c", "", words.Deadline, "50").status, http.StatusOK)
	s.carrier.SetView(carrier.NewView(s.catalog, carrier.Finishing, 0, carrier.Stop{}))
	is.Equal(s.send(http.MethodGet, "/read/", "d", "").status, http.StatusServiceUnavailable)
	is.Equal(len(s.runs()), 2)
}
