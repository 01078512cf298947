package dispatcher_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/dispatcher"
	"magnoliahill.example/magnoliahill/pkg/header"
)

// stopCase is one case of the data file.
type stopCase struct {
	Name      string
	Path      string
	Left      int // in milliseconds
	Accepting bool
	Before    bool
	Deadline  string
	Status    int
}

// stop makes the host begin to stop.
func (c stopCase) stop(s *testHost) {
	now := s.clock.Now()
	schedule := dispatcher.StopSchedule{AcceptUntil: now - 1, CompleteBy: now + time.Duration(c.Left)*time.Millisecond}
	if c.Accepting {
		schedule.AcceptUntil = now + time.Hour
	}
	s.dispatcher.SetSnapshot(dispatcher.NewSnapshot(s.catalog, dispatcher.Leaving, 0, schedule))
}

// Guards against requests that a stopping host takes and then breaks off while their
// backend servers are at work, orders among them, whose callers cannot repeat them.
func TestStoppingHostSendsOnlyRequestsThatItWillSeldomBreakOff(t *testing.T) {
	var cases []stopCase
	readCases(t, "stops.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			s := newTestHost(t, 1)
			if !c.Before {
				c.stop(s)
			}
			u := startUpload(t, s.server.Listener.Addr().String(), "brooms", c.Path, headerNames.Deadline, c.Deadline)
			if c.Before {
				for s.dispatcher.BodyBytes() == 0 { // the host waits for the body
					time.Sleep(time.Millisecond)
				}
				c.stop(s)
			}
			u.finish(t)
			resp := u.response(t)
			is.Equal(resp.StatusCode, c.Status)
			if c.Status == http.StatusServiceUnavailable {
				is.Equal(resp.Header.Get(header.Reason), header.ReasonStopping)
				is.True(resp.Header.Get("Retry-After") != "")
				is.Equal(len(s.executions()), 0)
			}
		})
	}
}
