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

	"magnoliahill.example/magnoliahill/pkg/caller"
	"magnoliahill.example/magnoliahill/pkg/marker"
)

// entry is a fake entry host that names itself and others in look-ups.
type entry struct {
	server   *httptest.Server
	requests atomic.Int64
	lookups  atomic.Int64
}

func entryHost(t *testing.T, others []*entry, handle http.HandlerFunc) *entry {
	e := &entry{}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
	}))
	t.Cleanup(e.server.Close)
	return e
}

func (e *entry) address() string { return e.server.Listener.Addr().String() }

func refuse(reason string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(marker.Outcome, marker.OutcomeNotRun)
		w.Header().Set(marker.Reason, reason)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func answer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(marker.Outcome, marker.OutcomeAnswered)
	_, _ = io.WriteString(w, r.Header.Get(marker.Key))
}

func order(c *caller.Caller) (*caller.Answer, error) {
	return c.Do(context.Background(), caller.Request{Service: "orders", Method: http.MethodPost, Path: "/order", Body: []byte("x")})
}

func TestStoppingHostIsLeftForAnother(t *testing.T) {
	is := is.New(t)
	good := entryHost(t, nil, answer)
	stopping := entryHost(t, []*entry{good}, refuse(marker.ReasonStopping))
	c := caller.New([]string{stopping.address()}, caller.WithKey("k"))
	got, err := order(c)
	is.NoErr(err)
	is.Equal(got.Outcome, marker.OutcomeAnswered)
	is.Equal(string(got.Body), "k")
}

func TestUnreachableHostIsLeftForAnother(t *testing.T) {
	is := is.New(t)
	gone := entryHost(t, nil, answer)
	gone.server.Close()
	c := caller.New([]string{gone.address(), entryHost(t, nil, answer).address()})
	got, err := order(c)
	is.NoErr(err)
	is.Equal(got.Outcome, marker.OutcomeAnswered)
}

// A caller whose every host refuses gets the refusal, not nothing.
func TestRefusalEverywhereIsReturned(t *testing.T) {
	is := is.New(t)
	e := entryHost(t, nil, refuse(marker.ReasonStopping))
	got, err := order(caller.New([]string{e.address()}))
	is.NoErr(err)
	is.Equal(got.Reason, marker.ReasonStopping)
	is.True(got.Tries > 1)
}

func TestOrderThatMayHaveRunIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	e := entryHost(t, nil, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	_, err := order(caller.New([]string{e.address()}))
	is.True(errors.Is(err, caller.ErrUnknown))
	is.Equal(e.requests.Load(), int64(1))

	said := entryHost(t, nil, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(marker.Outcome, marker.OutcomeUnknown)
		w.WriteHeader(http.StatusBadGateway)
	})
	_, err = order(caller.New([]string{said.address()}))
	is.True(errors.Is(err, caller.ErrUnknown))
	is.Equal(said.requests.Load(), int64(1))
}

func TestLookUpIsKept(t *testing.T) {
	is := is.New(t)
	e := entryHost(t, nil, answer)
	c := caller.New([]string{e.address()})
	for range 5 {
		_, err := order(c)
		is.NoErr(err)
	}
	is.Equal(e.lookups.Load(), int64(1))
}

func TestOverRateIsReturnedWhenPatienceIsShort(t *testing.T) {
	is := is.New(t)
	e := entryHost(t, nil, refuse(marker.ReasonRate))
	got, err := order(caller.New([]string{e.address()}, caller.WithPatience(0)))
	is.NoErr(err)
	is.Equal(got.Reason, marker.ReasonRate)
	is.Equal(e.requests.Load(), int64(1))
}
