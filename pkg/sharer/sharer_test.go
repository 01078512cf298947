package sharer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/sharer"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const second = time.Second

func hostID(name string) tracker.HostID { return tracker.HostID{Name: name, Incarnation: 1} }

func newMember(name string) sharer.Member {
	return sharer.Member{ID: hostID(name), Zone: "z", Floor: sharer.Floor{FleetPPM: 250_000, HomePPM: 250_000}}
}

var rate100 = sharer.NewRate("rate/w", 100, 100)

// newSharers returns the sharers of hosts a, b and c in epoch 1. Host a ran the
// collection and holds everything.
func newSharers(is *is.I) (a, b, c *sharer.Sharer, roster sharer.Roster) {
	roster = sharer.Roster{}.With(newMember("a")).NextEpoch(hostID("a"))
	roster = roster.With(newMember("b")).With(newMember("c")) // b and c join and hold nothing
	var all []*sharer.Sharer
	for _, name := range []string{"a", "b", "c"} {
		s := sharer.New(hostID(name), sharer.WithLease(3*second))
		s.Tick(second)
		s.SetLimits(second, 1, []sharer.Limit{rate100})
		s.RecordStoreRead(second, second, roster)
		all = append(all, s)
	}
	a, b, c = all[0], all[1], all[2]
	collection := sharer.NewCollection(roster, 1, second, 3*second, 0)
	collection.Add(a.Report())
	collection.Add(b.Report())
	collection.Add(c.Report())
	is.True(a.IssueRemainder(second, collection))
	return a, b, c, roster
}

func capacity(s *sharer.Sharer, now time.Duration) int64 {
	held, _ := s.Share(now, "rate/w")
	return held.Capacity / limiter.Unit
}

func TestShareIsReducedToFloorWhenLeaseExpires(t *testing.T) {
	is := is.New(t)
	a, _, _, _ := newSharers(is)
	a.Tick(3900 * time.Millisecond)
	is.Equal(capacity(a, 3900*time.Millisecond), int64(100)) // the lease runs from the contact at 1 s
	is.Equal(capacity(a, 4*second), int64(25))               // only the floor is left
}

// A paused host may be declared dead and its floor reissued. When it resumes it
// must hold nothing, even if it admits a request before its control loop runs.
func TestPausedHostHoldsNothingWhenResumed(t *testing.T) {
	is := is.New(t)
	a, _, _, _ := newSharers(is)
	is.True(!a.Take(10*second, "rate/w", 1)) // a request that comes before the next tick is refused
	is.Equal(capacity(a, 10*second), int64(0))
}

// A host's shares must not change in a new epoch before the collector has
// counted the host, because the collector counts what it held on entry.
func TestNoTransferBeforeCollectionCountsHost(t *testing.T) {
	is := is.New(t)
	a, b, _, roster := newSharers(is)
	next := roster.NextEpoch(hostID("b"))
	a.ApplyRoster(2*second, next)
	b.ApplyRoster(2*second, next)
	ask, ok := b.Ask(2*second, hostID("a"), "rate/w", 1)
	is.True(ok) // the collector has counted itself
	_, ok = a.Grant(2*second, ask)
	is.True(!ok)
	is.Equal(len(a.HandOver(2*second, hostID("b"))), 0)
	a.ApplyVerdict(2*second, sharer.Verdict{Epoch: next.Epoch, Status: sharer.Counted})
	_, ok = a.Grant(2*second, ask)
	is.True(ok)
}

// A host that the collector counts by its floor must not have renewed its lease
// in the new epoch.
func TestUncountedHostDoesNotRenewLease(t *testing.T) {
	is := is.New(t)
	a, _, _, roster := newSharers(is)
	next := roster.NextEpoch(hostID("b"))
	a.Tick(3 * second)
	a.RecordStoreRead(3*second, 3*second, next)
	a.RecordReply(3*second, 3*second, hostID("b"), next.Epoch)
	a.RecordReply(3*second, 3*second, hostID("c"), next.Epoch)
	a.Tick(4 * second)
	is.Equal(capacity(a, 4*second), int64(25))
}

func TestHostCountedByFloorIsReducedToFloor(t *testing.T) {
	is := is.New(t)
	a, _, _, roster := newSharers(is)
	next := roster.NextEpoch(hostID("b"))
	a.ApplyRoster(2*second, next)
	a.ApplyVerdict(2*second, sharer.Verdict{Epoch: next.Epoch, Status: sharer.CountedByFloor})
	is.Equal(capacity(a, 2*second), int64(25))
}

// While the store is unreachable, the lease may be renewed only when every
// member has answered: any of them could have started a collection.
func TestLeaseRenewalDuringStoreOutageNeedsAllMembers(t *testing.T) {
	is := is.New(t)
	a, _, _, roster := newSharers(is)
	a.Tick(3 * second)
	a.RecordReply(3*second, 3*second, hostID("b"), roster.Epoch)
	a.Tick(4 * second)
	is.Equal(capacity(a, 4*second), int64(25)) // c has not answered

	a, _, _, roster = newSharers(is)
	a.Tick(3 * second)
	a.RecordReply(3*second, 3*second, hostID("b"), roster.Epoch)
	a.RecordReply(3*second, 3*second, hostID("c"), roster.Epoch)
	a.Tick(5 * second)
	is.Equal(capacity(a, 5*second), int64(100))
}

// Other members may renew their leases without an answer from a host that
// joined in this epoch, because they may not have received the roster that
// contains it.
func TestJoinerMayNotStartCollection(t *testing.T) {
	is := is.New(t)
	_, _, _, roster := newSharers(is)
	noneDead := func(tracker.HostID) bool { return false }
	is.True(roster.MayCollect(hostID("a"), noneDead))
	is.True(!roster.MayCollect(hostID("b"), noneDead))
	is.True(roster.MayCollect(hostID("b"), func(id tracker.HostID) bool { return id == hostID("a") }))
	is.True(roster.NextEpoch(hostID("a")).MayCollect(hostID("b"), noneDead))
}

// A silent member must count with its floor, and only after its lease has
// expired by any clock.
func TestCollectionWaitsForSilentMembers(t *testing.T) {
	is := is.New(t)
	_, _, _, roster := newSharers(is)
	roster = roster.NextEpoch(hostID("a"))
	collection := sharer.NewCollection(roster, 1, 10*second, 3*second, second)
	for _, name := range []string{"a", "b"} {
		collection.Add(sharer.Report{
			Message:    sharer.Message{From: hostID(name), Epoch: roster.Epoch},
			Generation: 1,
		})
	}
	is.Equal(len(collection.Missing(13900*time.Millisecond)), 1)
	is.Equal(len(collection.Missing(14*second)), 0)
	is.Equal(collection.Remainder(rate100).Capacity/limiter.Unit, int64(75))
	collection.MarkDead(hostID("c"))
	is.Equal(collection.Remainder(rate100).Capacity/limiter.Unit, int64(100))
}

func TestLoweredLimitAppliesAtOnceAndRaisedLimitWaits(t *testing.T) {
	is := is.New(t)
	a, _, _, _ := newSharers(is)
	a.SetLimits(second, 2, []sharer.Limit{sharer.NewRate("rate/w", 50, 50)})
	is.Equal(capacity(a, second), int64(50))
	a.SetLimits(second, 3, []sharer.Limit{sharer.NewRate("rate/w", 200, 200)})
	is.Equal(capacity(a, second), int64(50)) // the next collection issues the rest
}
