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
	is := is.New(t)
	s := newTestHost(t, 1, dispatcher.WithBodyMemory(bodyMemory))
	var group sync.WaitGroup
	for i := range callersOnce {
		s.backends[0].QueueFaults(target.EndlessSigned)
		group.Go(func() {
			if got := s.send(http.MethodGet, "/slow/", fmt.Sprint("id-", i), "", headerNames.Deadline, "400"); !got.broken && got.status == http.StatusOK {
				t.Error("a response without end looks complete")
			}
		})
	}
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	most := int64(0)
	for {
		select {
		case <-done:
			is.True(most > 0)
			is.True(most <= bodyMemory/2)
			is.Equal(s.dispatcher.ResponseBytes(), int64(0))
			is.Equal(s.send(http.MethodPost, "/order/", "last", "brooms").status, http.StatusOK)
			return
		case <-time.After(time.Millisecond):
			most = max(most, s.dispatcher.ResponseBytes())
		}
	}
}
