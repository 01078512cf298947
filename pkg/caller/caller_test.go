package caller_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/standin/target"
	"magnoliahill.example/magnoliahill/pkg/caller"
	"magnoliahill.example/magnoliahill/pkg/header"
)

// fakeHost is an entry host whose look-up responses list itself and others.
type fakeHost struct {
	server   *httptest.Server
	requests atomic.Int64
	lookups  atomic.Int64
}

func newFakeHost(t *testing.T, others []*fakeHost, handle http.HandlerFunc) *fakeHost {
	// Each host has an address of its own, so that no other process can take the port
	// of one that has been closed.
	listener, err := target.Listen()
	if err != nil {
		t.Fatal(err)
	}
	e := &fakeHost{}
	e.server = &httptest.Server{Listener: listener, Config: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/.well-known/magnoliahill/hosts" {
			e.lookups.Add(1)
			list := fmt.Sprintf(`{"address":%q,"zone":"z","weight":1000000}`, e.address())
			for _, other := range others {
				list += fmt.Sprintf(`,{"address":%q,"zone":"z","weight":1}`, other.address())
			}
			_, _ = fmt.Fprintf(w, `{"hosts":[%s],"ttl_ms":60000}`, list)
			return
		}
		e.requests.Add(1)
		handle(w, r)
	})}}
	e.server.Start()
	t.Cleanup(e.server.Close)
	return e
}

func (e *fakeHost) address() string { return e.server.Listener.Addr().String() }

func refuse(reason string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(header.Outcome, header.OutcomeNotRun)
		w.Header().Set(header.Reason, reason)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func respond(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(header.Outcome, header.OutcomeAnswered)
	_, _ = io.WriteString(w, r.Header.Get(header.Key))
}

func sendOrder(c *caller.Caller) (*caller.Response, error) {
	return c.Do(context.Background(), caller.Request{Service: "orders", Method: http.MethodPost, Path: "/order", Body: []byte("x")})
}

func TestFailsOverFromStoppingHost(t *testing.T) {
	is := is.New(t)
	good := newFakeHost(t, nil, respond)
	stopping := newFakeHost(t, []*fakeHost{good}, refuse(header.ReasonStopping))
	c := caller.New([]string{stopping.address()}, caller.WithKey("k"))
	got, err := sendOrder(c)
	is.NoErr(err)
	is.Equal(got.Outcome, header.OutcomeAnswered)
	is.Equal(string(got.Body), "k")
}

func TestFailsOverFromUnreachableHost(t *testing.T) {
	is := is.New(t)
	gone := newFakeHost(t, nil, respond)
	gone.server.Close()
	c := caller.New([]string{gone.address(), newFakeHost(t, nil, respond).address()})
	got, err := sendOrder(c)
	is.NoErr(err)
	is.Equal(got.Outcome, header.OutcomeAnswered)
}

// When every host refuses the request, Do must return the refusal and not an
// error.
func TestRefusalByEveryHostIsReturned(t *testing.T) {
	is := is.New(t)
	e := newFakeHost(t, nil, refuse(header.ReasonStopping))
	got, err := sendOrder(caller.New([]string{e.address()}))
	is.NoErr(err)
	is.Equal(got.Reason, header.ReasonStopping)
	is.True(got.Attempts > 1)
}

func TestOrderThatMayHaveRunIsNotRetried(t *testing.T) {
	is := is.New(t)
	e := newFakeHost(t, nil, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	_, err := sendOrder(caller.New([]string{e.address()}))
	is.True(errors.Is(err, caller.ErrOutcomeUnknown))
	is.Equal(e.requests.Load(), int64(1))

	unknownHost := newFakeHost(t, nil, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(header.Outcome, header.OutcomeUnknown)
		w.WriteHeader(http.StatusBadGateway)
	})
	_, err = sendOrder(caller.New([]string{unknownHost.address()}))
	is.True(errors.Is(err, caller.ErrOutcomeUnknown))
	is.Equal(unknownHost.requests.Load(), int64(1))
}

func TestLookupResponseIsCached(t *testing.T) {
	is := is.New(t)
	e := newFakeHost(t, nil, respond)
	c := caller.New([]string{e.address()})
	for range 5 {
		_, err := sendOrder(c)
		is.NoErr(err)
	}
	is.Equal(e.lookups.Load(), int64(1))
}

func TestOverRateIsReturnedWhenWaitIsTooLong(t *testing.T) {
	is := is.New(t)
	e := newFakeHost(t, nil, refuse(header.ReasonOverRate))
	got, err := sendOrder(caller.New([]string{e.address()}, caller.WithMaxRetryWait(0)))
	is.NoErr(err)
	is.Equal(got.Reason, header.ReasonOverRate)
	is.Equal(e.requests.Load(), int64(1))
}

// Guards against the beginning of a long response that is returned as the whole.
func TestResponseLongerThanIsReadIsAnError(t *testing.T) {
	for _, size := range []int{8 << 20, 8<<20 + 1} {
		is := is.New(t)
		host := newFakeHost(t, nil, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(header.Outcome, header.OutcomeAnswered)
			_, _ = w.Write(make([]byte, size))
		})
		c := caller.New([]string{host.address()})
		defer c.Close()
		resp, err := sendOrder(c)
		if size > 8<<20 {
			is.True(errors.Is(err, caller.ErrBodyTooLong))
			is.Equal(host.requests.Load(), int64(1))
			continue
		}
		is.NoErr(err)
		is.Equal(len(resp.Body), size)
	}
}
