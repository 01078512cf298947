package dispatcher_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/dispatcher"
	"magnoliahill.example/magnoliahill/internal/standin/target"
	"magnoliahill.example/magnoliahill/pkg/header"
	"magnoliahill.example/magnoliahill/pkg/quarantiner"
)

// outcomeCase is one case of the data file.
type outcomeCase struct {
	Name   string
	Method string
	Path   string
	Size   int            // of the body
	Faults []target.Fault // of the attempts, in order
	Except []int          // statuses for which the case is not played
	Down   bool           // the second server cannot be reached
	Stop   bool           // the host begins to stop during the first attempt
	Late   bool           // the first attempt ends when the time limit is near
	Status int
	Reason string
	Runs   int
}

// faultsOf returns the faults of the case with a status.
func (c *outcomeCase) faultsOf(status int) []target.Fault {
	faults := slices.Clone(c.Faults)
	for i, fault := range faults {
		faults[i] = withStatus(fault, status)
	}
	return faults
}

// withStatus replaces "STATUS" in a fault of a data file.
func withStatus(fault target.Fault, status int) target.Fault {
	return target.Fault(strings.ReplaceAll(string(fault), "STATUS", fmt.Sprint("status ", status)))
}

// interfere changes what the case says while the first attempt runs, and then lets the
// attempt end.
func (c *outcomeCase) interfere(s *testHost, release func()) {
	s.runningAt()
	if c.Stop {
		s.dispatcher.SetSnapshot(dispatcher.NewSnapshot(s.catalog, dispatcher.Leaving, 0, dispatcher.StopSchedule{}))
	}
	if c.Late {
		time.Sleep(390 * time.Millisecond) // the time limit is 400 ms, and no request is sent in the last 20 ms
	}
	release()
}

// play sends the request of the case through a host and checks what the caller gets.
func (c *outcomeCase) play(t *testing.T, status int) {
	is := is.New(t)
	s := newTestHost(t, 1)
	s.setFaults(c.faultsOf(status))
	if c.Down {
		s.backends[1].Close()
	}
	if c.Stop || c.Late {
		go c.interfere(s, s.backends[0].HoldResponses())
	}
	got := s.send(c.Method, c.Path, "id-1", strings.Repeat("x", c.Size))
	is.Equal(got.status, c.Status)
	is.Equal(got.header.Get(header.Reason), c.Reason)
	is.Equal(len(s.executions()), c.Runs)
	if c.Reason != "" {
		is.Equal(got.header.Get(headerNames.ResponseStamp), "")
	}
	if !impliesNotRun(got.status) {
		is.Equal(got.header.Get("Retry-After"), "")
	}
}

// Guards against orders that are executed twice because their caller got the backend
// server's own 408, 421, 429 or 503 and took it for "not executed".
func TestStatusesThatImplyNotRunAreNotForwardedWithoutProof(t *testing.T) {
	var cases []outcomeCase
	readCases(t, "outcomes.yaml", &cases)
	for _, c := range cases {
		for _, status := range notRunStatuses {
			if !slices.Contains(c.Except, status) {
				t.Run(fmt.Sprint(c.Name, " ", status), func(t *testing.T) {
					t.Parallel()
					c.play(t, status)
				})
			}
		}
	}
}

// Guards against a server that fails in this way and draws requests, since it counts as a
// quick one.
func TestUnprovenRefusalCountsAsFailureOfTheServer(t *testing.T) {
	for _, status := range notRunStatuses {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			is := is.New(t)
			s := newTestHost(t, 1)
			s.backends[0].QueueFaults(target.Fault(fmt.Sprint("status ", status)))
			s.send(http.MethodPost, "/order/", "id-1", "brooms")
			report := s.placer.TakeHealthReports(s.clock.Now())["i-0"]
			is.Equal(report.Attempts, 1)
			is.Equal(report.Failed, 1)
		})
	}
}

// Guards against a quarantine that such a response ends: the request may not have been
// executed.
func TestUnprovenRefusalClearsNoSuspicion(t *testing.T) {
	for _, status := range notRunStatuses {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			is := is.New(t)
			changed := make(chan struct{}, 16)
			q := quarantiner.New(func() { changed <- struct{}{} })
			s := newTestHost(t, 3, dispatcher.WithQuarantine(q, nil))
			send := func() { s.send(http.MethodPost, "/order/", "id", "brooms") }
			s.crashWith(is, q, changed, send)
			for _, backend := range s.backends {
				backend.QueueFaults(target.Fault(fmt.Sprint("status ", status)))
			}
			send()
			suspected, _ := q.Prune(s.clock.Now())
			is.Equal(suspected, 1)
		})
	}
}

// Guards against workspaces that get the charge back for a request that may have run.
func TestUnprovenRefusalIsCharged(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t, 1)
	s.backends[0].QueueFaults(slices.Repeat([]target.Fault{"status 429"}, 8)...)
	refused := 0
	for i := range 8 {
		got := s.send(http.MethodPost, "/keyed/", fmt.Sprint("id-", i), "brooms", headerNames.Key, key)
		if got.header.Get(header.Reason) == header.ReasonOverRate {
			refused++
		}
	}
	is.True(refused >= 3) // the burst is four and the rate one per second
}

// Guards against a 408 or 503 for an upload whose beginning was sent on when its rest stalled.
func TestUploadThatStallsAfterItsBeginningWasSentHasAnUnknownOutcome(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t, 1)
	conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /order/ HTTP/1.1\r\nHost: shop\r\n%s: id-1\r\nContent-Length: 200000\r\n\r\n%s", headerNames.RequestID, strings.Repeat("x", 100_000))
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
	is.Equal(resp.Header.Get(header.Reason), header.ReasonDeadline)
}
