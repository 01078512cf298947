package dispatcher_test

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/dispatcher"
	"magnoliahill.example/magnoliahill/internal/standin/target"
	"magnoliahill.example/magnoliahill/pkg/header"
	"magnoliahill.example/magnoliahill/pkg/quarantiner"
)

// runningAt waits until a backend server runs a request and returns it.
func (s *testHost) runningAt() *target.Responder {
	for {
		for _, backend := range s.backends {
			if len(backend.Executions()) > 0 {
				return backend
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// runningLast returns the backend servers with the running one last: as long as that one
// has its connection, the host does not check whether another one accepts it.
func (s *testHost) runningLast(running *target.Responder) []*target.Responder {
	all := slices.DeleteFunc(slices.Clone(s.backends), func(t *target.Responder) bool { return t == running })
	return append(all, running)
}

func TestOnlyCrashesOfReachableFleetsRaiseSuspicion(t *testing.T) {
	for name, c := range map[string]struct {
		fault     target.Fault
		closed    func(s *testHost, running *target.Responder) []*target.Responder
		suspected bool
	}{
		"the backend server crashes":         {target.Hang, func(_ *testHost, running *target.Responder) []*target.Responder { return []*target.Responder{running} }, true},
		"only the connection breaks":         {target.Reset, func(*testHost, *target.Responder) []*target.Responder { return nil }, false},
		"no backend server can be reached":   {target.Hang, (*testHost).runningLast, false},
		"the answer of the server is broken": {target.Garbage, func(*testHost, *target.Responder) []*target.Responder { return nil }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := quarantiner.New(func() {})
			s := newTestHost(t, 3, dispatcher.WithQuarantine(q, nil))
			for _, backend := range s.backends {
				backend.QueueFaults(c.fault)
			}
			answered := make(chan result)
			go func() { answered <- s.send(http.MethodGet, "/read/", "id-1", "") }()
			for _, backend := range c.closed(s, s.runningAt()) {
				backend.Close()
			}
			is.Equal((<-answered).status/100, 5)
			suspected, _ := q.Prune(0)
			is.Equal(suspected == 1, c.suspected)
		})
	}
}

// crashWith sends a request to a backend server that crashes meanwhile, and returns the
// digest under which the request is suspected.
func (s *testHost) crashWith(is *is.I, q *quarantiner.Quarantiner, changed <-chan struct{}, send func()) quarantiner.Digest {
	before := map[*target.Responder]int{}
	for _, backend := range s.backends {
		backend.QueueFaults(target.Hang)
		before[backend] = len(backend.Executions())
	}
	go send()
	for crashed := false; !crashed; time.Sleep(time.Millisecond) {
		for i, backend := range s.backends {
			if len(backend.Executions()) > before[backend] {
				backend.Close()
				s.backends = append(s.backends[:i:i], s.backends[i+1:]...)
				crashed = true
				break
			}
		}
	}
	<-changed
	changes := q.TakeChanges()
	is.Equal(len(changes), 1)
	for _, backend := range s.backends {
		backend.DropFaults()
	}
	return changes[0].Digest
}

func TestQuarantinedRequestIsRefusedAsNotRunAndNotCharged(t *testing.T) {
	is := is.New(t)
	changed := make(chan struct{}, 16)
	q := quarantiner.New(func() { changed <- struct{}{} })
	s := newTestHost(t, 3, dispatcher.WithQuarantine(q, nil))
	send := func() result { return s.send(http.MethodPost, "/keyed/", "id", "brooms", headerNames.Key, key) }
	digest := s.crashWith(is, q, changed, func() { send() })
	q.Crashed(0, digest, "b", "keyed")
	q.Crashed(0, digest, "c", "keyed")
	before := len(s.executions())
	for send().status == http.StatusTooManyRequests { // until the rate allows one more request
		time.Sleep(time.Millisecond)
	}
	for range 6 { // more than the burst of the workspace
		got := send()
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.Equal(got.header.Get(header.Reason), header.ReasonQuarantined)
		is.True(got.header.Get("Retry-After") != "")
	}
	is.Equal(len(s.executions()), before)
	is.Equal(s.send(http.MethodPost, "/keyed/", "id", "boxes", headerNames.Key, key).status, http.StatusOK)
	is.Equal(s.send(http.MethodPost, "/order/", "id", "brooms").status, http.StatusOK)
}

func TestRequestsWithTheSameCallerPathAndBodyHaveOneDigest(t *testing.T) {
	is := is.New(t)
	digestOf := func(method, path, body string, headers ...string) quarantiner.Digest {
		changed := make(chan struct{}, 16)
		q := quarantiner.New(func() { changed <- struct{}{} })
		s := newTestHost(t, 2, dispatcher.WithQuarantine(q, nil))
		return s.crashWith(is, q, changed, func() { s.send(method, path, "id", body, headers...) })
	}
	base := digestOf(http.MethodPost, "/order/1?a=b", "brooms")
	is.Equal(digestOf(http.MethodPost, "/order/1?a=b", "brooms", "Cookie", "object=7", "X-Other", "1", headerNames.Deadline, "300"), base)
	is.True(digestOf(http.MethodPut, "/order/1?a=b", "brooms") != base)
	is.True(digestOf(http.MethodPost, "/order/1?a=c", "brooms") != base)
	is.True(digestOf(http.MethodPost, "/order/1?a=b", "broom") != base)
	keyed := digestOf(http.MethodPost, "/keyed/", "x", headerNames.Key, key)
	is.Equal(digestOf(http.MethodPost, "/keyed/", "x", headerNames.Key, key), keyed)
	long := strings.Repeat("x", 100<<10)
	is.Equal(digestOf(http.MethodPost, "/order/", long), digestOf(http.MethodPost, "/order/", long))
	is.True(digestOf(http.MethodPost, "/order/", long) != digestOf(http.MethodPost, "/order/", long+"x"))
}

func TestErrorOfABackendServerDoesNotClearASuspectedRequest(t *testing.T) {
	is := is.New(t)
	changed := make(chan struct{}, 16)
	q := quarantiner.New(func() { changed <- struct{}{} })
	s := newTestHost(t, 3, dispatcher.WithQuarantine(q, nil))
	send := func() result { return s.send(http.MethodPost, "/order/", "id", "brooms") }
	s.crashWith(is, q, changed, func() { send() })
	for _, backend := range s.backends {
		backend.QueueFaults(target.ServerError)
	}
	is.Equal(send().status, http.StatusInternalServerError)
	suspected, _ := q.Prune(0)
	is.Equal(suspected, 1)
	for _, backend := range s.backends {
		backend.DropFaults()
	}
	is.Equal(send().status, http.StatusOK)
	suspected, _ = q.Prune(0)
	is.Equal(suspected, 0)
}

func TestRequestThatWaitedForAnotherCopyPassesOnTheTimeThatIsLeft(t *testing.T) {
	is := is.New(t)
	changed := make(chan struct{}, 16)
	q := quarantiner.New(func() { changed <- struct{}{} })
	s := newTestHost(t, 3, dispatcher.WithQuarantine(q, nil))
	digest := s.crashWith(is, q, changed, func() { s.send(http.MethodPost, "/slow/", "id", "brooms") })
	is.Equal(q.Enter(t.Context(), digest), quarantiner.Alone)
	for s.dispatcher.InFlight() > 0 { // the request that crashed the server
		time.Sleep(time.Millisecond)
	}
	answered := make(chan result)
	go func() { answered <- s.send(http.MethodPost, "/slow/", "id", "brooms", headerNames.Deadline, "2000") }()
	for s.dispatcher.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(350 * time.Millisecond) // more than is asked, since the limit may begin after the request counts as in flight
	q.Leave(digest)
	is.Equal((<-answered).status, http.StatusOK)
	runs := s.executions() // without those of the server that crashed
	is.Equal(len(runs), 1)
	left, err := strconv.Atoi(runs[0].Header.Get(headerNames.Deadline))
	is.NoErr(err)
	is.True(left <= 1700)
}
