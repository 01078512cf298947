package dispatcher_test

import (
	"fmt"
	"io"
	"net"
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

// Guards against uploads that trickle and hold all memory for bodies: an ordinary order has
// a short one.
func TestUploadsThatTrickleLeaveMemoryToShortBodies(t *testing.T) {
	is := is.New(t)
	const uploads = 4 // of 64 KB each
	s := newTestHost(t, 1, dispatcher.WithBodyMemory(uploads<<16))
	for range uploads {
		conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "POST /slow/ HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
		is.NoErr(err)
	}
	for s.dispatcher.BodyBytes() < (uploads-1)<<16 {
		time.Sleep(time.Millisecond)
	}
	for s.dispatcher.InFlight() > uploads-1 && s.dispatcher.BodyBytes() < uploads<<16 {
		time.Sleep(time.Millisecond) // the last one is refused, or holds memory as well
	}
	is.Equal(s.send(http.MethodPost, "/order/", "a", "brooms").status, http.StatusOK)
}
