package dispatcher_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/dispatcher"
	"magnoliahill.example/magnoliahill/internal/roundtripper"
	"magnoliahill.example/magnoliahill/internal/standin/target"
	"magnoliahill.example/magnoliahill/pkg/header"
)

// lostReach is the reach of a host that has lost all services, or of one that has not.
type lostReach bool

func (lostReach) Suspect(time.Duration, string) bool       { return false }
func (lostReach) Checked(time.Duration, string, bool) bool { return false }
func (l lostReach) UsesOwnLinks(time.Duration, string, float64) bool {
	return !bool(l)
}

// fixedRelays relays to given addresses, in order.
type fixedRelays struct {
	*roundtripper.RoundTripper
	addresses []string
	region    string // of all of them
}

func (r *fixedRelays) Relay(regions, except []string) (roundtripper.Target, bool) {
	if regions != nil && !slices.Contains(regions, r.region) {
		return roundtripper.Target{}, false
	}
	for _, address := range r.addresses {
		if !slices.Contains(except, address) {
			return roundtripper.Target{Address: address, Instance: address}, true
		}
	}
	return roundtripper.Target{}, false
}

// relayPair is a host that has lost all services, and the one that it relays to.
type relayPair struct {
	near, far *testHost
	relays    *fixedRelays
	relayed   *httptest.Server // the far host's listener for relayed requests
}

// newRelayPair starts a pair of hosts, of which the far one has the backend servers. The
// options are for both.
func newRelayPair(t *testing.T, servers int, farReach lostReach, options ...dispatcher.Option) *relayPair {
	p := &relayPair{relays: &fixedRelays{RoundTripper: roundtripper.New(headerNames, 10)}}
	t.Cleanup(p.relays.Close)
	nobody := &fixedRelays{RoundTripper: roundtripper.New(headerNames, 10)}
	near := dispatcher.WithRelays("near", lostReach(true), p.relays, func(string) {})
	far := dispatcher.WithRelays("far", farReach, nobody, func(string) {})
	p.near = newTestHost(t, 0, slices.Concat(options, []dispatcher.Option{near})...)
	p.far = newTestHost(t, servers, slices.Concat(options, []dispatcher.Option{far})...)
	listener, err := target.Listen()
	if err != nil {
		t.Fatal(err)
	}
	p.relayed = &httptest.Server{Listener: listener, Config: &http.Server{Handler: http.HandlerFunc(p.far.dispatcher.ServeRelayed)}}
	p.relayed.Start()
	t.Cleanup(p.relayed.Close)
	p.relays.addresses = []string{listener.Addr().String()}
	return p
}

// relayCase is one case of the data file.
type relayCase struct {
	Name   string
	Method string
	Path   string
	Size   int            // of the body
	Faults []target.Fault // of the backend servers' responses, in order
	Status int
	Reason string
	Runs   int
}

func TestRelayedRequestsEndAsTheyWouldWithoutTheRelay(t *testing.T) {
	var cases []relayCase
	readCases(t, "relays.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			p := newRelayPair(t, 1, false)
			p.far.setFaults(c.Faults)
			body := strings.Repeat("x", c.Size)
			got := p.near.send(c.Method, c.Path, "id-1", body)
			is.Equal(got.status, c.Status)
			is.Equal(got.header.Get(header.Reason), c.Reason)
			is.Equal(got.header.Get(headerNames.NotRun), "")
			is.Equal(len(p.far.executions()), c.Runs)
			for _, run := range p.far.executions() {
				is.Equal(run.Body, body)
				is.Equal(run.Target, c.Path)
				is.Equal(run.Header.Get(header.RelayedBy)+run.Header.Get(header.RelayService)+run.Header.Get(header.RelayAttempts), "")
			}
			if c.Status == http.StatusOK {
				is.Equal(got.body, "answer to id-1")
				is.Equal(got.header.Get(headerNames.ResponseStamp), "s.id-1")
			}
			if impliesNotRun(got.status) {
				is.Equal(len(p.far.executions()), 0)
				is.True(got.header.Get("Retry-After") != "")
			}
		})
	}
}

func TestRelayedRequestIsChargedOnceAndKeepsItsWorkspace(t *testing.T) {
	is := is.New(t)
	p := newRelayPair(t, 1, false)
	answered := 0
	for i := range 8 {
		got := p.near.send(http.MethodGet, "/keyed/", fmt.Sprint("id-", i), "", headerNames.Key, key, headerNames.Workspace, "forged")
		if got.status == http.StatusOK {
			answered++
		}
	}
	alone := newTestHost(t, 1)
	expected := 0
	for i := range 8 {
		if alone.send(http.MethodGet, "/keyed/", fmt.Sprint("id-", i), "", headerNames.Key, key).status == http.StatusOK {
			expected++
		}
	}
	is.Equal(answered, expected)
	for _, run := range p.far.executions() {
		is.Equal(run.Header.Get(headerNames.Workspace), "w")
		is.Equal(run.Header.Get(headerNames.Key), "")
	}
}

func TestRequestIsNotRelayedTwice(t *testing.T) {
	is := is.New(t)
	p := newRelayPair(t, 1, true)
	got := p.near.send(http.MethodPost, "/order/", "id-1", "brooms")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(len(p.far.executions()), 0)
}

func TestRequestGoesToAnotherHostIfTheFirstOneIsDown(t *testing.T) {
	is := is.New(t)
	p := newRelayPair(t, 1, false)
	down, err := target.Listen()
	is.NoErr(err)
	is.NoErr(down.Close())
	p.relays.addresses = append([]string{down.Addr().String()}, p.relays.addresses...)
	is.Equal(p.near.send(http.MethodPost, "/order/", "id-1", "brooms").status, http.StatusOK)
	is.Equal(len(p.far.executions()), 1)
}

func TestOrderWhoseRelayBreaksHasAnUnknownOutcome(t *testing.T) {
	is := is.New(t)
	p := newRelayPair(t, 1, false)
	p.far.backends[0].QueueFaults(target.Hang)
	answered := make(chan result)
	go func() { answered <- p.near.send(http.MethodPost, "/slow/", "id-1", "brooms") }()
	p.far.runningAt()
	p.relayed.CloseClientConnections()
	is.Equal((<-answered).status, http.StatusBadGateway)
	is.Equal(len(p.far.executions()), 1)
}

func TestCallerThatLeavesEndsTheRelayedRequest(t *testing.T) {
	is := is.New(t)
	p := newRelayPair(t, 1, false)
	p.far.backends[0].QueueFaults(target.Hang)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.near.server.URL+"/slow/", nil)
	is.NoErr(err)
	req.Host = "shop"
	ended := make(chan error)
	go func() {
		_, err := http.DefaultClient.Do(req)
		ended <- err
	}()
	p.far.runningAt()
	cancel()
	is.True(<-ended != nil)
	for p.far.dispatcher.InFlight() > 0 { // the time limit is a minute
		time.Sleep(time.Millisecond)
	}
}

func TestOnlyRequestsWithoutBodyAreRelayedOutOfTheirHomeRegions(t *testing.T) {
	is := is.New(t)
	p := newRelayPair(t, 1, false)
	p.relays.region = "r" // the home region of the route is q, and so is that of the second backend server
	p.far.planFaults([]target.Fault{target.None, target.None})
	is.Equal(p.near.send(http.MethodPost, "/far/", "id-1", "brooms").status, http.StatusServiceUnavailable)
	is.Equal(len(p.far.executions()), 0)
	is.Equal(p.near.send(http.MethodGet, "/far/", "id-2", "").status, http.StatusOK)
	is.Equal(len(p.far.backends[1].Executions()), 1)
}

// relayResponseCase is one case of the data file.
type relayResponseCase struct {
	Name    string
	Method  string
	Path    string
	Fault   target.Fault // of the other host's response
	Except  []int        // statuses for which the case is not played
	Same    bool         // the caller gets the status that the other host answered
	Status  int
	Reason  string
	Stamped bool
	Refused bool // by a status that implies that the request was not executed
}

func (c *relayResponseCase) play(t *testing.T, status int) {
	is := is.New(t)
	other, err := target.Start("other", headerNames)
	is.NoErr(err)
	t.Cleanup(other.Close)
	other.QueueFaults(withStatus(c.Fault, status))
	p := newRelayPair(t, 1, false)
	p.relays.addresses = []string{other.Address()}
	got := p.near.send(c.Method, c.Path, "id-1", "brooms")
	if c.Same {
		c.Status = status
	}
	is.Equal(got.status, c.Status)
	is.Equal(got.header.Get(header.Reason), c.Reason)
	is.Equal(got.header.Get(headerNames.ResponseStamp) != "", c.Stamped)
	is.Equal(impliesNotRun(got.status), c.Refused)
}

// Guards against orders that are executed twice because another host, perhaps of an older
// build, forwarded a backend server's 408, 421, 429 or 503 without proof.
func TestRelayedStatusesThatImplyNotRunAreNotForwardedWithoutProof(t *testing.T) {
	var cases []relayResponseCase
	readCases(t, "relay-responses.yaml", &cases)
	for _, c := range cases {
		statuses := notRunStatuses
		if !strings.Contains(string(c.Fault), "STATUS") {
			statuses = []int{0}
		}
		for _, status := range statuses {
			if !slices.Contains(c.Except, status) {
				t.Run(fmt.Sprint(c.Name, " ", status), func(t *testing.T) { c.play(t, status) })
			}
		}
	}
}
