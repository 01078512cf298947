package tracker_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// modelHost is what the test knows of a host: its latest heartbeat and when that came.
type modelHost struct {
	tracker.Heartbeat
	at   time.Duration
	dead bool
}

// TestViewFollowsRandomHeartbeats compares live hosts, digests and counts with those
// worked out from all heartbeats, in random sequences of heartbeats, restarts, states,
// silences and ends. The version rises whenever the hosts or their states differ.
func TestViewFollowsRandomHeartbeats(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 1))
			self := tracker.Heartbeat{ID: tracker.HostID{Name: "h5", Incarnation: 7}, Zone: "z0"}
			tr := tracker.New(self, tracker.WithTimeout(2*second), tracker.WithZoneTimeouts(map[string]time.Duration{"z1": 4 * second}))
			hosts := map[string]*modelHost{}
			now, version, before := time.Duration(0), uint64(0), ""
			for range 3000 {
				now += time.Duration(random.IntN(300)) * time.Millisecond
				i := random.IntN(10)
				name := fmt.Sprint("h", i)
				h := hosts[name]
				switch {
				case i == 5:
					self.CutOff = random.IntN(2) == 0
					tr.SetCutOff(self.CutOff)
				case h == nil || random.IntN(60) == 0: // a start or a restart
					h = &modelHost{Heartbeat: tracker.Heartbeat{
						ID: tracker.HostID{Name: name, Incarnation: random.Uint64N(1<<40) + uint64(now)<<20 + 1}, Zone: fmt.Sprint("z", i%3), Counter: 1,
					}, at: now}
					hosts[name] = h
					tr.Apply(now, h.Heartbeat)
				case h.dead:
				case random.IntN(50) == 0:
					h.dead = true
					gone := h.Heartbeat
					gone.State = tracker.Gone
					tr.Apply(now, gone)
				default:
					h.Counter, h.at = h.Counter+1, now
					if random.IntN(20) == 0 {
						h.CutOff = !h.CutOff
					}
					if random.IntN(20) == 0 {
						h.State = tracker.State(random.IntN(2))
					}
					if random.IntN(4) == 0 {
						tr.Apply(now, h.Heartbeat)
					} else {
						tr.ApplyCompact(now, []tracker.CompactHeartbeat{h.Compact()})
					}
				}
				live, cutOff := expectedLive(now, self, hosts)
				is.Equal(tr.Live(now), live)
				is.Equal(tr.LiveCount(now), len(live))
				is.Equal(tr.CutOffCount(now), cutOff)
				digests := map[string]uint32{}
				seen := ""
				for _, host := range live {
					digests[host.Zone] ^= uint32(host.ID.Incarnation) ^ uint32(host.ID.Incarnation>>32)
					seen += fmt.Sprint(host.ID, host.State, host.CutOff, " ")
				}
				is.Equal(tr.ZoneDigests(now), digests)
				is.True(seen == before || tr.Version(now) > version) // a change that the version does not show
				version, before = tr.Version(now), seen
			}
		})
	}
}

func expectedLive(now time.Duration, self tracker.Heartbeat, hosts map[string]*modelHost) ([]tracker.Host, int) {
	live := []tracker.Host{{Heartbeat: self}}
	for _, h := range hosts {
		timeout := 2 * second
		if h.Zone == "z1" {
			timeout = 4 * second
		}
		if !h.dead && now-h.at < timeout {
			live = append(live, tracker.Host{Heartbeat: h.Heartbeat, HeartbeatAge: now - h.at})
		}
	}
	slices.SortFunc(live, func(a, b tracker.Host) int { return int(a.ID.Name[1]) - int(b.ID.Name[1]) })
	cutOff := 0
	for _, host := range live {
		if host.CutOff {
			cutOff++
		}
	}
	return live, cutOff
}
