package controller

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// A change of the live hosts takes effect at once. Of 300 hosts that appear within
// 0.3 s, most are applied together, none later than 50 ms after its message.
func TestHostsThatAppearTogetherAreAppliedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newTestLoop(t, "front")
		now := 10 * time.Second
		applied, heard := 0, map[time.Duration]int{}
		last := l.limitOwnerCount
		for i := range 400 {
			now += time.Millisecond
			time.Sleep(time.Millisecond)
			if i < 300 {
				beat := tracker.Heartbeat{ID: tracker.HostID{Name: fmt.Sprint("front-", i), Incarnation: uint64(i + 1)}, Zone: "z", Control: "10.0.0.1:1", Counter: 1}
				(&gossipReceived{&peerv1.Greeting{Sender: uint64(i + 1), Beats: messenger.EncodeHeartbeats([]tracker.Heartbeat{beat})}}).apply(l, now)
				heard[now] = i + 2 // live hosts from then on
				is.True(i > 0 || l.limitOwnerCount == 2)
			}
			synctest.Wait()
			select {
			case m := <-l.inbox:
				m.apply(l, now)
			default:
			}
			if l.limitOwnerCount != last {
				applied, last = applied+1, l.limitOwnerCount
			}
			is.True(l.limitOwnerCount >= heard[now-peerStateInterval-time.Millisecond])
		}
		is.Equal(l.limitOwnerCount, 301)
		is.True(applied <= 8) // one for each 50 ms
	})
}
