package registrar_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/registrar"
)

func ids(r *registrar.Registrar) string {
	all := ""
	for _, i := range r.Instances() {
		all += i.ID()
	}
	return all
}

func ready(id string) registrar.Instance {
	return registrar.NewInstance(id, "svc", id+":1", "z")
}

func draining(id string) registrar.Instance {
	return registrar.NewInstance(id, "svc", id+":1", "z", registrar.WithState(registrar.Draining))
}

const second = time.Second

func TestRemoveTakesEffectAtOnce(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	r.Put(0, ready("a"))
	r.Remove(second, "a")
	is.Equal(ids(r), "")
}

// Registrations that expired during an outage of the store may be renewed within
// about two seconds after it, and are dropped after that.
func TestMissingAfterStoreOutage(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	r.Put(0, ready("a"))
	r.Put(0, ready("b"))
	r.Put(0, draining("c"))
	r.StoreLost(0)
	r.StoreRegained(10 * second)
	r.Replace(10*second, nil)
	is.Equal(ids(r), "ab") // the draining one is dropped
	r.Put(11*second, ready("a"))
	is.Equal(len(r.DropExpired(12*second)), 0)
	is.Equal(ids(r), "ab")
	is.Equal(r.DropExpired(12*second+400*time.Millisecond), []string{"b"})
	is.Equal(ids(r), "a")
	r.Remove(20*second, "a")
	is.Equal(ids(r), "")
}

// A host that cannot reach the store receives a removal from other hosts. It
// applies the removal well before the deadline by which a stopping backend server
// must get no more requests.
func TestRemovalReportedByPeersTakesEffectSoon(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	r.Put(0, ready("a"))
	r.StoreLost(0)
	r.Put(0, ready("b"))
	r.Remove(second, "a")
	r.Replace(second, []registrar.Instance{ready("b")})
	is.Equal(r.DropExpired(2*second), []string{"a"})
}

// When this host can reach the store again, registrations that expired during the
// outage get their whole grace period from then on.
func TestRemovalReportedByPeersWaitsForStore(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	r.Put(0, ready("a"))
	r.StoreLost(0)
	r.Remove(second, "a")
	r.StoreRegained(second + 900*time.Millisecond)
	r.Replace(second+900*time.Millisecond, nil)
	is.Equal(len(r.DropExpired(3*second)), 0)
	r.Put(3*second+500*time.Millisecond, ready("a"))
	is.Equal(len(r.DropExpired(5*second)), 0)
	is.Equal(ids(r), "a")
}

func TestColdFollowsLatestRegistration(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	r.Put(second, registrar.NewInstance("a", "svc", "a:1", "z", registrar.WithColdRemaining(3*second)))
	is.Equal(r.Instances()[0].ColdUntil(), 4*second)
	r.Put(2*second, ready("a"))
	is.Equal(r.Instances()[0].ColdUntil(), time.Duration(0))
}

// Only this host could not reach the store: backend servers could renew their
// registrations, so a missing one has been removed on purpose.
func TestRemovalTakesEffectAtOnceInLocalOutage(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	r.Put(0, ready("a"))
	r.Put(0, ready("b"))
	r.StoreLost(10 * second)
	r.StoreReachableElsewhere(0, 11*second)
	is.True(r.LocalOutage(11 * second))
	r.Remove(11*second, "a")
	is.Equal(ids(r), "b")
	r.StoreRegained(12 * second)
	r.Replace(12*second, nil)
	is.Equal(ids(r), "")
	is.True(!r.LocalOutage(20 * second)) // the report of the other host has expired
}

func TestSharedOutageIsNotLocal(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	r.StoreLost(10 * second)
	r.StoreReachableElsewhere(12*second, 13*second) // another host reached it again before this one
	is.True(!r.LocalOutage(13 * second))
}

// A host that cannot reach the store may be told several times that an instance is
// missing. That does not delay its removal.
func TestRepeatedRemovalIsNotDelayed(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	r.Put(0, ready("a"))
	r.StoreLost(0)
	for now := second; now < 2*second; now += 300 * time.Millisecond {
		r.Replace(now, nil)
	}
	is.Equal(r.DropExpired(2*second+100*time.Millisecond), []string{"a"})
}

// Another host, or a call for other objects, was answered before this host reaches the
// store again: missing instances are given up by that time, not by when it is heard of.
func TestGraceCountsFromTheEarliestAnswerOfTheStore(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	r.Put(0, ready("a"))
	r.StoreLost(second)
	r.StoreReturned(10*second, 11*second)
	r.StoreRegained(12 * second)
	r.Replace(12*second, nil)
	r.StoreReturned(10*second+50*time.Millisecond, 12*second) // does not delay it
	is.Equal(ids(r), "a")
	is.Equal(len(r.DropExpired(12*second+200*time.Millisecond)), 0)
	is.Equal(r.DropExpired(12*second+300*time.Millisecond), []string{"a"})
}

func TestEarlierReturnThatIsReportedLateBringsTheEndForward(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	r.Put(0, ready("a"))
	r.StoreLost(second)
	r.StoreRegained(12 * second)
	r.Replace(12*second, nil)
	r.StoreReturned(10*second, 13*second)
	is.Equal(r.DropExpired(13*second), []string{"a"})
}

// What is said of an earlier outage does not end the present one.
func TestReturnFromAnEarlierOutageIsIgnored(t *testing.T) {
	is := is.New(t)
	r := registrar.New()
	r.Put(0, ready("a"))
	r.StoreLost(second)
	r.StoreRegained(5 * second)
	r.StoreLost(7 * second)
	r.StoreReturned(5*second, 8*second)
	_, known := r.Returned(8 * second)
	is.True(!known)
	r.StoreReturned(9*second, 9*second)
	_, known = r.Returned(11 * second)
	is.True(!known) // nobody has confirmed it since
	r.StoreRegained(20 * second)
	r.Replace(20*second, nil)
	is.Equal(len(r.DropExpired(22*second+200*time.Millisecond)), 0)
	is.Equal(r.DropExpired(22*second+300*time.Millisecond), []string{"a"})
}
