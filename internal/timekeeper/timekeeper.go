// Package timekeeper provides the clocks of a process: monotonic time that also
// counts the time a machine was suspended, and hybrid logical time for events.
package timekeeper

import (
	"sync"
	"sync/atomic"
	"time"
)

// Clock measures monotonic time since an arbitrary start.
type Clock struct {
	start time.Time
	last  atomic.Int64
}

// New returns a clock that starts now. Its readings start at one nanosecond.
func New() *Clock { return &Clock{start: time.Now()} }

// Now returns the time since the start by the monotonic or the wall clock,
// whichever is greater. It never decreases. The wall clock is needed because the
// monotonic clock stops while a machine is suspended.
func (c *Clock) Now() time.Duration {
	now := time.Now()
	monotonic := now.Sub(c.start)
	wall := now.Round(0).Sub(c.start.Round(0))
	reading := int64(max(monotonic, wall)) + 1
	for {
		last := c.last.Load()
		if reading <= last {
			return time.Duration(last)
		}
		if c.last.CompareAndSwap(last, reading) {
			return time.Duration(reading)
		}
	}
}

// WallTime returns the wall time of a reading of the clock.
func (c *Clock) WallTime(reading time.Duration) time.Time { return c.start.Add(reading - 1) }

// Stamp is a hybrid logical timestamp (Kulkarni et al., 2014): wall time that is
// later than that of every event which it causally follows.
type Stamp struct {
	Wall    int64  // nanoseconds since 1970
	Logical uint32 // order of events with the same Wall
}

// Before reports whether a stamp is earlier than another.
func (s Stamp) Before(other Stamp) bool {
	if s.Wall != other.Wall {
		return s.Wall < other.Wall
	}
	return s.Logical < other.Logical
}

// HybridClock is a hybrid logical clock. Each stamp it returns is later than the
// one before.
type HybridClock struct {
	mu   sync.Mutex
	wall func() int64
	last Stamp
}

// NewHybridClock returns a hybrid clock over a wall clock in nanoseconds since
// 1970.
func NewHybridClock(wall func() int64) *HybridClock { return &HybridClock{wall: wall} }

// Now returns a stamp for a local event.
func (h *HybridClock) Now() Stamp { return h.advance(Stamp{}) }

// Merge returns a stamp for the receipt of a message that was sent at remote.
func (h *HybridClock) Merge(remote Stamp) Stamp { return h.advance(remote) }

func (h *HybridClock) advance(remote Stamp) Stamp {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := Stamp{Wall: h.wall()}
	for _, earlier := range []Stamp{h.last, remote} {
		if !earlier.Before(next) {
			next = Stamp{Wall: earlier.Wall, Logical: earlier.Logical + 1}
		}
	}
	h.last = next
	return next
}
