package dispatcher_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.yaml.in/yaml/v3"

	"magnoliahill.example/magnoliahill/internal/dispatcher"
	"magnoliahill.example/magnoliahill/internal/standin/target"
	"magnoliahill.example/magnoliahill/pkg/header"
	"magnoliahill.example/magnoliahill/pkg/placer"
	"magnoliahill.example/magnoliahill/pkg/registrar"
)

// faultCase is one case of the data file.
type faultCase struct {
	Name   string
	Path   string
	Method string
	Body   string
	Size   int            // length of the body, if it is not given
	Faults []target.Fault // of the attempts, in order
	Status int
	Runs   int
}

// readCases reads the cases of a test from a data file.
func readCases(t *testing.T, file string, cases any) {
	t.Helper()
	data, err := os.ReadFile("testdata/" + file)
	if err != nil {
		t.Fatal(err)
	}
	if err := yaml.Unmarshal(data, cases); err != nil {
		t.Fatal(err)
	}
}

func TestBackendFaults(t *testing.T) {
	var cases []faultCase
	readCases(t, "faults.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			s := newTestHost(t, 1)
			s.setFaults(c.Faults)
			if c.Size > 0 {
				c.Body = strings.Repeat("x", c.Size)
			}
			got := s.send(c.Method, c.Path, "id-1", c.Body)
			is.Equal(got.status, c.Status)
			is.Equal(len(s.executions()), c.Runs)
			for _, run := range s.executions() {
				is.Equal(run.Body, c.Body)
			}
			if c.Status == http.StatusOK {
				is.Equal(got.body, "answer to id-1")
				is.Equal(got.header.Get(headerNames.ResponseStamp), "s.id-1")
			}
		})
	}
}

// setFaults makes the attempts of the next request meet faults, in order. With one fault or
// none there is one backend server.
func (s *testHost) setFaults(faults []target.Fault) {
	if len(faults) > 1 {
		s.planFaults(faults)
		return
	}
	s.backends[0].QueueFaults(faults...)
}

// planFaults replaces the backend servers by two with one fault each, so that the
// first attempt meets the first fault and the second attempt the second.
func (s *testHost) planFaults(faults []target.Fault) {
	for _, backend := range s.backends {
		backend.Close()
	}
	s.backends = nil
	r := registrar.New()
	// Only the first one is in the host's region, so the other is used only
	// after the first one failed.
	for i, zone := range []string{"z", "y"} {
		backend, err := target.Start(fmt.Sprint("i-planned-", i), headerNames)
		if err != nil {
			s.t.Fatal(err)
		}
		s.t.Cleanup(backend.Close)
		backend.QueueFaults(faults[i])
		s.backends = append(s.backends, backend)
		r.Put(0, registrar.NewInstance(backend.Instance(), "svc", backend.Address(), zone, registrar.WithSlots(8)))
	}
	s.placer.Update(s.clock.Now(), []placer.Service{{Name: "svc"}}, r.Instances(), nil)
}

var faults = []target.Fault{
	target.None, target.Shed, target.NoResponse, target.Reset, target.CutShort, target.ForeignResponse, target.DuplicateResponse, target.Garbage,
	target.Unsigned, target.NoContentLength, target.ServerError, target.Unavailable, target.Hang, target.UnannouncedClose, target.EarlyResponse, target.Misdirected,
	target.ForgottenIdle, target.AnonymousResponse, target.EndlessHead, target.EndlessBody, target.StalledShed,
}

// Guards against wrong reports to the caller under every pair of faults on two
// attempts: a request that is not idempotent is executed at most once, a status
// that means "not run" is sent only if it was not executed, and a success carries
// the complete response to the caller's own request.
func TestGuaranteesHoldUnderAllFaultPairs(t *testing.T) {
	for _, path := range []string{"/read/", "/order/"} {
		for _, first := range faults {
			for _, second := range faults {
				t.Run(fmt.Sprintf("%s %s %s", path, first, second), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					s := newTestHost(t, 2)
					s.planFaults([]target.Fault{first, second})
					for i := range 3 { // later requests may reuse connections of the first
						id := fmt.Sprintf("id-%d", i)
						before := len(s.executions())
						got := s.send(http.MethodPost, path, id, "brooms")
						ran := len(s.executions()) - before
						if path == "/order/" {
							is.True(ran <= 1)
						}
						if impliesNotRun(got.status) {
							is.Equal(ran, 0)
							is.True(got.header.Get(headerNames.ResponseStamp) == "")
						}
						if got.status == http.StatusOK && !got.broken {
							is.Equal(got.body, "answer to "+id)
						}
						is.True(!got.broken) // each request gets a complete response
					}
				})
			}
		}
	}
}

// The connection on which a request was shed carries the next request.
func TestConnectionIsReusedAfterShed(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t, 1)
	s.backends[0].QueueFaults(target.Shed, target.Shed)
	for i, status := range []int{http.StatusServiceUnavailable, http.StatusServiceUnavailable, http.StatusOK} {
		is.Equal(s.send(http.MethodPost, "/order/", fmt.Sprint("id-", i), "brooms").status, status)
	}
	is.Equal(s.backends[0].Connections(), 1)
}

// A backend server that drops idle connections without notice costs a read one
// retry. Orders then use new connections, so that none is lost in this way.
func TestOrdersAvoidIdleConnectionsAfterOneWasForgotten(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t, 1)
	s.backends[0].QueueFaults(target.ForgottenIdle, target.None, target.ForgottenIdle)
	is.Equal(s.send(http.MethodGet, "/read/", "a", "").status, http.StatusOK)
	is.Equal(s.send(http.MethodGet, "/read/", "b", "").status, http.StatusBadGateway) // there is no other backend server
	is.Equal(s.send(http.MethodGet, "/read/", "c", "").status, http.StatusOK)
	is.Equal(s.send(http.MethodGet, "/read/", "d", "").status, http.StatusOK)
	time.Sleep(150 * time.Millisecond)
	is.Equal(s.send(http.MethodPost, "/order/", "e", "brooms").status, http.StatusOK)
}

// A long answer is forwarded while it arrives. When it breaks off, or never ends,
// the caller's connection is aborted by the time limit: it must not look complete.
func TestLongAnswerThatIsNotCompleteIsAborted(t *testing.T) {
	for _, fault := range []target.Fault{target.LongCutShort, target.EndlessSigned} {
		t.Run(string(fault), func(t *testing.T) {
			is := is.New(t)
			s := newTestHost(t, 1)
			s.backends[0].QueueFaults(fault)
			began := time.Now()
			got := s.send(http.MethodPost, "/order/", "id-1", "brooms")
			is.True(got.broken)
			is.True(time.Since(began) < 5*time.Second) // the time limit is 400 ms
			is.Equal(len(s.executions()), 1)
			is.Equal(s.send(http.MethodPost, "/order/", "id-2", "brooms").body, "answer to id-2")
		})
	}
}

// A host that holds as many request bodies as its memory allows refuses further
// ones at once, and accepts them again when the others are done.
func TestBodiesBeyondTheMemoryAreRefused(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t, 1, dispatcher.WithBodyMemory(15))
	s.backends[0].QueueFaults(target.Hang)
	held := make(chan result)
	go func() { held <- s.send(http.MethodPost, "/slow/", "a", "ten  bytes") }()
	for len(s.executions()) == 0 { // until then another request may meet the fault
		time.Sleep(time.Millisecond)
	}
	got := s.send(http.MethodPost, "/order/", "b", "ten  bytes")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.header.Get(header.Reason), header.ReasonNoMemory)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(len(s.executions()), 1)
	is.Equal(s.send(http.MethodGet, "/read/", "c", "").status, http.StatusOK) // it has no body
	s.backends[0].Close()
	is.Equal((<-held).status, http.StatusBadGateway)
	is.True(s.send(http.MethodPost, "/order/", "d", "ten  bytes").header.Get(header.Reason) != header.ReasonNoMemory)
	is.Equal(s.dispatcher.BodyBytes(), int64(0))
}

// A request whose body does not arrive never reached a backend server, so it does
// not use up the rate of its workspace.
func TestRequestWithoutItsBodyIsNotCharged(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t, 1)
	for range 4 {
		conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
		is.NoErr(err)
		is.NoErr(conn.SetDeadline(time.Now().Add(5 * time.Second)))
		_, err = fmt.Fprintf(conn, "POST /keyed/ HTTP/1.1\r\nHost: shop\r\n%s: id\r\n%s: %s\r\nContent-Length: 10\r\n\r\nx", headerNames.RequestID, headerNames.Key, key)
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusRequestTimeout)
		is.NoErr(conn.Close())
	}
	is.Equal(s.send(http.MethodPost, "/keyed/", "d", "brooms", headerNames.Key, key).status, http.StatusOK)
}

// A changed ratio applies to the budgets of services that have served requests.
func TestChangedRetryRatioAppliesToExistingBudgets(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t, 2)
	s.dispatcher.SetRetries(dispatcher.Retries{Ratio: 0, Burst: 1})
	fail := func(id string) int {
		s.planFaults([]target.Fault{target.ServerError, target.None})
		return s.send(http.MethodGet, "/read/", id, "").status
	}
	is.Equal(fail("a"), http.StatusOK) // the burst
	is.Equal(fail("b"), http.StatusInternalServerError)
	s.dispatcher.SetRetries(dispatcher.Retries{Ratio: 1, Burst: 1})
	is.Equal(fail("c"), http.StatusOK)
}

func TestRequestReachesTheBackendServerUnchanged(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t, 1)
	path := "/keyed/a%2Fb//c;d?x=1&y=%20&" + "z"
	got := s.send(http.MethodPost, path, "id-1", "two brooms", headerNames.Key, key, headerNames.Workspace, "forged",
		"X-Other", "kept", "Connection", "close, X-Hop", "X-Hop", "dropped", headerNames.Deadline, "300")
	is.Equal(got.status, http.StatusOK)
	run := s.executions()[0]
	is.Equal(run.Method, http.MethodPost)
	is.Equal(run.Target, path)
	is.Equal(run.Host, "shop")
	is.Equal(run.Body, "two brooms")
	is.Equal(run.Header.Get(headerNames.Workspace), "w")
	is.Equal(run.Header.Get(headerNames.Key), "")
	is.Equal(run.Header.Get("X-Other"), "kept")
	is.Equal(run.Header.Get("X-Hop"), "")
	is.Equal(run.Header.Get(headerNames.ExpectedInstance), "i-0")
	var left int
	_, err := fmt.Sscan(run.Header.Get(headerNames.Deadline), &left)
	is.NoErr(err)
	is.True(left > 0 && left <= 300)
}

func TestKeysAndRates(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t, 1)
	is.Equal(s.send(http.MethodGet, "/keyed/", "a", "").status, http.StatusUnauthorized)
	is.Equal(s.send(http.MethodGet, "/keyed/", "b", "", headerNames.Key, "unknown").status, http.StatusUnauthorized)
	is.Equal(s.send(http.MethodGet, "/nowhere/", "c", "", headerNames.Key, key).status, http.StatusNotFound)
	is.Equal(len(s.executions()), 0)
	refused := 0
	for i := range 8 {
		got := s.send(http.MethodGet, "/keyed/", fmt.Sprint("d", i), "", headerNames.Key, key)
		if got.status == http.StatusTooManyRequests {
			refused++
			is.True(got.header.Get("Retry-After") != "")
		}
	}
	is.True(refused >= 3) // the burst is four and the rate one per second
}

func TestHostWithoutConfigurationRefusesRequests(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t, 1)
	s.dispatcher.SetSnapshot(dispatcher.NewSnapshot(nil, dispatcher.Starting, 0, dispatcher.StopSchedule{}))
	got := s.send(http.MethodGet, "/keyed/", "a", "", headerNames.Key, key)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
}

func TestHomeRegionsRestrictBackendServers(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t, 1) // its only backend server is in region r
	got := s.send(http.MethodGet, "/far/", "a", "")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(len(s.executions()), 0)
}

// A stopping host first accepts all requests, then only those whose deadline is
// before the end of the stop, and finally none.
func TestStoppingHostAcceptsOnlyRequestsThatEndInTime(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t, 1)
	now := s.clock.Now()
	s.dispatcher.SetSnapshot(dispatcher.NewSnapshot(s.catalog, dispatcher.Leaving, 0, dispatcher.StopSchedule{AcceptUntil: now + time.Hour, CompleteBy: now + time.Hour}))
	got := s.send(http.MethodGet, "/read/", "a", "")
	is.Equal(got.status, http.StatusOK)
	s.dispatcher.SetSnapshot(dispatcher.NewSnapshot(s.catalog, dispatcher.Leaving, 0, dispatcher.StopSchedule{AcceptUntil: now, CompleteBy: now + 300*time.Millisecond}))
	is.Equal(s.send(http.MethodGet, "/read/", "b", "").status, http.StatusServiceUnavailable)
	is.Equal(s.send(http.MethodGet, "/read/", "c", "", headerNames.Deadline, "50").status, http.StatusOK)
	s.dispatcher.SetSnapshot(dispatcher.NewSnapshot(s.catalog, dispatcher.Finishing, 0, dispatcher.StopSchedule{}))
	is.Equal(s.send(http.MethodGet, "/read/", "d", "").status, http.StatusServiceUnavailable)
	is.Equal(len(s.executions()), 2)
}
