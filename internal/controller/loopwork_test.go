package controller

import (
	"runtime"
	"testing"

	"github.com/matryer/is"
)

// In a fleet whose hosts do not change, their ranks and look-up answers are not made again.
func TestControlOfAnUnchangedFleet(t *testing.T) {
	for _, c := range benchFleets {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newBenchFleet(t, c.zones, c.perZone, c.servers, c.workspaces, c.relay)
			f.step(f.messages(t, 2))
			lookups, version := f.loop.controller.lookups.Load(), f.loop.tracker.Version(f.now)
			f.allocated(t)
			is.Equal(f.loop.tracker.LiveCount(f.now), c.zones*c.perZone)
			is.Equal(f.loop.tracker.Version(f.now), version)
			is.True(f.loop.controller.lookups.Load() == lookups)
		})
	}
}

// A host of a fleet of 300 spends at most twice on control what one of 30 spends, here in
// bytes allocated.
func TestControlGrowsLittleWithTheFleet(t *testing.T) {
	is := is.New(t)
	allocated := func(perZone, servers int) uint64 {
		f := newBenchFleet(t, 6, perZone, servers, 40, false)
		f.step(f.messages(t, 2))
		return f.allocated(t)
	}
	small, large := allocated(5, 100), allocated(50, 1000)
	t.Logf("%d KB in half a second at 30 hosts, %d KB at 300", small>>10, large>>10)
	is.True(large <= 2*small)
}

// allocated returns the bytes that half a second of control allocates on average.
func (f *benchFleet) allocated(t *testing.T) uint64 {
	const steps = 20
	var rounds [][][]byte
	for i := range steps {
		rounds = append(rounds, f.messages(t, uint64(i+3)))
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for _, received := range rounds {
		f.step(received)
	}
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / steps
}
