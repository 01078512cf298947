package dispatcher_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/dispatcher"
	"magnoliahill.example/magnoliahill/internal/standin/target"
)

const (
	bodyMemory  = 400 << 10
	callersOnce = 30
)

// Guards against a host that runs out of memory because backend servers send bodies without
// end: what does not fit into the memory for bodies is forwarded while it arrives.
func TestResponseBeyondTheMemoryIsForwardedWhileItArrives(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t, 1, dispatcher.WithBodyMemory(bodyMemory))
	s.backends[0].QueueFaults(target.StalledBody)
	got := s.send(http.MethodPost, "/order/", "id-1", "brooms")
	is.Equal(got.status, http.StatusOK)
	is.True(got.broken) // by the time limit: it must not look complete
	is.Equal(s.dispatcher.ResponseBytes(), int64(0))
	is.Equal(s.send(http.MethodPost, "/order/", "id-2", "brooms").body, "answer to id-2")
}

// Guards against the same with many callers at once. Requests with bodies still have room.
func TestBodiesWithoutEndStayWithinTheMemory(t *testing.T) {
	s := newTestHost(t, 1, dispatcher.WithBodyMemory(bodyMemory))
	floodWithBodiesWithoutEnd(t, s, s)
}

// Guards against the same where the host relays the requests: both hosts hold the bodies.
func TestBodiesWithoutEndOverARelayStayWithinTheMemory(t *testing.T) {
	p := newRelayPair(t, 1, false, dispatcher.WithBodyMemory(bodyMemory))
	floodWithBodiesWithoutEnd(t, p.near, p.far)
}

// floodWithBodiesWithoutEnd sends many requests at once to a host. The far host has the
// backend server.
func floodWithBodiesWithoutEnd(t *testing.T, near, far *testHost) {
	is := is.New(t)
	var group sync.WaitGroup
	for i := range callersOnce {
		far.backends[0].QueueFaults(target.EndlessSigned)
		group.Go(func() {
			if got := near.send(http.MethodGet, "/slow/", fmt.Sprint("id-", i), "", headerNames.Deadline, "400"); !got.broken && got.status == http.StatusOK {
				t.Error("a response without end looks complete")
			}
		})
	}
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	mostNear, mostFar := int64(0), int64(0)
	for {
		select {
		case <-done:
			is.True(mostNear > 0)
			is.True(mostFar > 0)
			is.True(mostNear <= bodyMemory/2)
			is.True(mostFar <= bodyMemory/2)
			is.Equal(near.dispatcher.ResponseBytes(), int64(0))
			is.Equal(near.send(http.MethodPost, "/order/", "last", "brooms").status, http.StatusOK)
			return
		case <-time.After(time.Millisecond):
			mostNear = max(mostNear, near.dispatcher.ResponseBytes())
			mostFar = max(mostFar, far.dispatcher.ResponseBytes())
		}
	}
}
