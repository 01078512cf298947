package tracker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const second = time.Second

func heartbeat(name string, incarnation, counter uint64, boot string) tracker.Heartbeat {
	return tracker.Heartbeat{
		ID:      tracker.HostID{Name: name, Incarnation: incarnation},
		Control: name + ":1", Boot: boot, Counter: counter,
	}
}

func TestLivenessFollowsHeartbeats(t *testing.T) {
	is := is.New(t)
	tr := tracker.New(heartbeat("a", 1, 0, "x"), tracker.WithTimeout(2*second))
	tr.Apply(second, heartbeat("b", 1, 5, "x"))
	is.Equal(len(tr.Live(2*second)), 2)
	tr.Apply(4*second, heartbeat("b", 1, 5, "x")) // a repeated heartbeat does not count
	is.Equal(len(tr.Live(4*second)), 1)
	tr.Apply(5*second, heartbeat("b", 1, 6, "x"))
	is.Equal(len(tr.Live(5*second)), 2)
	gone := heartbeat("b", 1, 7, "x")
	gone.State = tracker.Gone
	tr.Apply(5*second, gone)
	tr.Apply(5*second, heartbeat("b", 1, 8, "x")) // relayed late
	is.Equal(len(tr.Live(5*second)), 1)
	is.True(tr.IsDead(gone.ID))
}

func TestLaterIncarnationReplacesEarlierOne(t *testing.T) {
	is := is.New(t)
	tr := tracker.New(heartbeat("a", 5, 0, "x"))
	old := heartbeat("b", 1, 9, "x")
	tr.Apply(second, old)
	tr.Apply(second, heartbeat("b", 2, 1, "x"))
	tr.Apply(second, heartbeat("b", 1, 10, "x"))
	_, found := tr.Find(second, old.ID)
	is.True(!found)
	is.True(tr.Replaced(old.ID, "b:1", "x"))
	is.True(!tr.Replaced(old.ID, "b:1", "y")) // another boot: the old machine may only be paused
	is.True(!tr.Replaced(old.ID, "b:2", "x")) // another address: both may run
	is.True(!tr.Superseded())
	tr.Apply(second, heartbeat("a", 6, 1, "x"))
	is.True(tr.Superseded())
}

func TestRemovingAHostKeepsTheOrderOfOthers(t *testing.T) {
	is := is.New(t)
	var hosts []tracker.Host
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		hosts = append(hosts, tracker.Host{Heartbeat: heartbeat(name, 1, 1, "x")})
	}
	for _, role := range []string{"watch", "census", "probe"} {
		before := tracker.Rank(role, hosts)
		after := tracker.Rank(role, hosts[:4])
		var kept []string
		for _, host := range before {
			if host.ID.Name != "e" {
				kept = append(kept, host.ID.Name)
			}
		}
		for i, host := range after {
			is.Equal(host.ID.Name, kept[i])
		}
	}
}

// Hosts that start in the same microsecond need different incarnations.
func TestIncarnationsDiffer(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_700_000_000, 0)
	seen := map[uint64]bool{}
	for range 8 {
		seen[tracker.NewIncarnation(start)] = true
	}
	is.True(len(seen) > 1)
	is.True(tracker.NewIncarnation(start.Add(time.Microsecond)) > tracker.NewIncarnation(start))
}

// A host whose clock was set back before it started must not stay superseded by
// its earlier incarnation.
func TestRaiseIncarnationGoesAboveALaterOne(t *testing.T) {
	is := is.New(t)
	late := tracker.NewIncarnation(time.Unix(1_700_000_100, 0))
	self := tracker.Heartbeat{ID: tracker.HostID{Name: "a", Incarnation: tracker.NewIncarnation(time.Unix(1_700_000_000, 0))}}
	own := tracker.New(self)
	own.Apply(0, tracker.Heartbeat{ID: tracker.HostID{Name: "a", Incarnation: late}, Counter: 7})
	is.True(own.Superseded())
	own.RaiseIncarnation()
	is.True(!own.Superseded())
	is.True(own.NextHeartbeat().ID.Incarnation > late)
}

// Heartbeats of another region arrive less often.
func TestZonesMayHaveTheirOwnTimeout(t *testing.T) {
	is := is.New(t)
	tr := tracker.New(heartbeat("a", 1, 0, "x"), tracker.WithTimeout(2*second), tracker.WithZoneTimeouts(map[string]time.Duration{"far": 4 * second}))
	far := heartbeat("b", 2, 1, "x")
	far.Zone = "far"
	near := heartbeat("c", 3, 1, "x")
	near.Zone = "near"
	tr.Apply(0, far, near)
	is.Equal(len(tr.Live(second)), 3)
	is.Equal(len(tr.Live(3*second)), 2)
	is.Equal(tr.LiveCount(3*second), 2)
	is.Equal(len(tr.Live(4*second)), 1)
	is.Equal(len(tr.ZoneDigests(4*second)), 1)
}
