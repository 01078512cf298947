// Package clocker provides the clocks of a process: monotonic time that also
// counts the time a machine was suspended, and hybrid logical time for events.
package clocker

import (
	"sync"
	"sync/atomic"
	"time"
)

// Clock tells monotonic time since an arbitrary start.
type Clock struct {
	start   time.Time
	highest atomic.Int64
}

// New returns a clock that starts at one nanosecond.
func New() *Clock { return &Clock{start: time.Now()} }

// Now returns the later of the monotonic and the wall clock, and never goes
// back. The monotonic clock stands still while a machine is suspended; the wall
// clock shows that time.
func (c *Clock) Now() time.Duration {
	now := time.Now()
	monotonic := now.Sub(c.start)
	wall := now.Round(0).Sub(c.start.Round(0))
	later := int64(max(monotonic, wall)) + 1
	for {
		seen := c.highest.Load()
		if later <= seen {
			return time.Duration(seen)
		}
		if c.highest.CompareAndSwap(seen, later) {
			return time.Duration(later)
		}
	}
}

// Time returns the point of real time that a reading of the clock stands for.
func (c *Clock) Time(reading time.Duration) time.Time { return c.start.Add(reading - 1) }

// Stamp is a point of hybrid logical time (Kulkarni et al., 2014): wall time
// that is never before the time of any event it follows from.
type Stamp struct {
	Wall    int64  // nanoseconds since 1970
	Logical uint32 // order within one nanosecond
}

// Before reports whether a stamp is earlier than another.
func (s Stamp) Before(other Stamp) bool {
	if s.Wall != other.Wall {
		return s.Wall < other.Wall
	}
	return s.Logical < other.Logical
}

// Hybrid issues stamps.
type Hybrid struct {
	mu   sync.Mutex
	wall func() int64
	last Stamp
}

// NewHybrid returns a hybrid clock over a wall clock in nanoseconds since 1970.
func NewHybrid(wall func() int64) *Hybrid { return &Hybrid{wall: wall} }

// Now returns the stamp of a local event.
func (h *Hybrid) Now() Stamp { return h.advance(Stamp{}) }

// Merge returns the stamp of the receipt of a message.
func (h *Hybrid) Merge(remote Stamp) Stamp { return h.advance(remote) }

func (h *Hybrid) advance(remote Stamp) Stamp {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := Stamp{Wall: h.wall()}
	for _, seen := range []Stamp{h.last, remote} {
		if !seen.Before(next) {
			next = Stamp{Wall: seen.Wall, Logical: seen.Logical + 1}
		}
	}
	h.last = next
	return next
}
