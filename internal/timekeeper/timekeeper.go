// Package timekeeper provides the clocks of a process: monotonic time that also
// counts the time a machine was suspended, and hybrid logical time for events.
package timekeeper

import (
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	// A difference of this size between the wall clock and the monotonic clock means that
	// the wall clock was set or the machine was suspended.
	stepThreshold = time.Millisecond
	checkInterval = 100 * time.Millisecond // longest time between two readings of the boot clock
)

// Clock measures monotonic time since an arbitrary start, including the time for which the
// machine was suspended. Changes of the time of day do not affect it.
type Clock struct {
	start     time.Time
	source    source
	before    time.Duration // for which the machine was suspended before the start
	suspended atomic.Int64  // nanoseconds since the start; never decreases
	checkedAt atomic.Int64  // monotonic nanoseconds since the start
	ahead     atomic.Int64  // what the wall clock was ahead of the monotonic one at that check, in nanoseconds
}

// source provides the clocks of the machine.
type source interface {
	// Now returns the monotonic and the wall time since the start.
	Now() (monotonic, wall time.Duration)
	// Suspended returns for how long the machine was suspended since it booted.
	Suspended() (time.Duration, error)
}

// New returns a clock that starts now. Its readings start at one nanosecond.
func New() *Clock {
	start := time.Now()
	return newClock(start, &machine{start: start})
}

func newClock(start time.Time, s source) *Clock {
	before, err := s.Suspended()
	if err != nil {
		klog.ErrorS(err, "time of suspension is not counted")
	}
	return &Clock{start: start, source: s, before: before}
}

// Now returns the time since the start. It never decreases. The monotonic clock stands
// still while a machine is suspended, and the wall clock, which does not, may be set. So
// the boot clock is read, but only when these two disagree or after checkInterval, since
// reading it takes a system call.
func (c *Clock) Now() time.Duration {
	monotonic, wall := c.source.Now()
	ahead := int64(wall - monotonic)
	drift := time.Duration(ahead - c.ahead.Load())
	if drift.Abs() >= stepThreshold || int64(monotonic)-c.checkedAt.Load() >= int64(checkInterval) {
		c.ahead.Store(ahead)
		c.checkedAt.Store(int64(monotonic))
		c.countSuspension()
	}
	return monotonic + time.Duration(c.suspended.Load()) + 1
}

// countSuspension adds the time of suspensions since the last call.
func (c *Clock) countSuspension() {
	suspended, err := c.source.Suspended()
	if err != nil {
		return // New has logged that
	}
	suspended -= c.before
	for {
		known := c.suspended.Load()
		if int64(suspended) < known+int64(stepThreshold) || c.suspended.CompareAndSwap(known, int64(suspended)) {
			return
		}
	}
}

// WallTime returns the wall time of a reading of the clock, by the wall clock at its start.
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
