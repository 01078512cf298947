package tracker

import (
	"math"
	"slices"
	"time"
)

// view is what follows from the heartbeats without their counters. Messages raise the
// counters all the time, but the view only changes when a host appears, falls silent
// or reports another state.
type view struct {
	version    uint64
	stale      bool          // a host was added, removed or revived, or reported something else
	computedAt time.Duration // the view holds from then until validUntil, unless it is stale
	validUntil time.Duration
	live       []*entry // other live hosts, ordered by name
	cutOff     int      // live hosts that reach no backend server, this one included
	digests    map[string]uint32
}

// current returns the view at a time.
func (t *Tracker) current(now time.Duration) *view {
	v := &t.view
	if v.version > 0 && !v.stale && now >= v.computedAt && now < v.validUntil {
		return v
	}
	live := make([]*entry, 0, len(t.entries))
	v.validUntil = math.MaxInt64
	for _, e := range t.byName() {
		e.live = t.live(now, e)
		if e.live {
			live = append(live, e)
			v.validUntil = min(v.validUntil, e.updatedAt+t.timeoutOf(e))
		}
	}
	v.computedAt = now
	if v.version > 0 && !v.stale && slices.Equal(live, v.live) {
		return v
	}
	v.version++
	v.stale, v.live = false, live
	v.cutOff = 0
	if t.self.CutOff {
		v.cutOff = 1
	}
	v.digests = map[string]uint32{t.self.Zone: fold(t.self.ID.Incarnation)}
	for _, e := range live {
		v.digests[e.heartbeat.Zone] ^= fold(e.heartbeat.ID.Incarnation)
		if e.heartbeat.CutOff {
			v.cutOff++
		}
	}
	return v
}

// touch notes that the counter of a host has risen. changed tells whether anything else
// in its heartbeat has changed.
func (t *Tracker) touch(now time.Duration, e *entry, changed bool) {
	if changed || !e.live || now < e.updatedAt {
		t.view.stale = true
	}
	e.updatedAt = now
}

// Version returns a number that rises when a host becomes known, live, silent or dead,
// or reports another state or address. While it stays the same, Known and Live return
// the same hosts, except for counters and ages.
func (t *Tracker) Version(now time.Duration) uint64 { return t.current(now).version }
