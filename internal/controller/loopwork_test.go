package controller

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"
)

// In a fleet whose hosts do not change, their ranks and look-up answers are not made again,
// and half a second of control allocates no more than a host of 0.112 cores can collect:
// the live hosts were listed for each message and recipient (1.06 and 1.61 MB at 94
// hosts, 7.9 and 10.2 MB at 300).
func TestControlOfAnUnchangedFleetAllocatesLittle(t *testing.T) {
	most := map[string]uint64{"94-hosts": 500 << 10, "94-hosts-relay": 800 << 10, "300-hosts": 1500 << 10, "300-hosts-relay": 2000 << 10}
	for _, c := range benchFleets {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newBenchFleet(t, c.zones, c.perZone, c.servers, c.workspaces, c.relay)
			const steps = 20
			var rounds [][][]byte
			for i := range steps + 1 {
				rounds = append(rounds, f.messages(t, uint64(i+2)))
			}
			f.step(rounds[0])
			lookups, version := f.loop.controller.lookups.Load(), f.loop.tracker.Version(f.now)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for _, received := range rounds[1:] {
				f.step(received)
			}
			runtime.ReadMemStats(&after)
			allocated := (after.TotalAlloc - before.TotalAlloc) / steps
			t.Log(fmt.Sprint(allocated>>10, " KB in half a second"))
			is.Equal(f.loop.tracker.LiveCount(f.now), c.zones*c.perZone)
			is.Equal(f.loop.tracker.Version(f.now), version)
			is.True(f.loop.controller.lookups.Load() == lookups)
			is.True(allocated <= most[c.name])
		})
	}
}
