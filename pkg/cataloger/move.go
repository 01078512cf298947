package cataloger

import "time"

// Move is a planned shift of one service's work between regions.
type Move struct {
	Origin
	name     string
	service  string
	from, to string        // regions
	target   float64       // share of the region's work that is moved at the end, 0 to 1
	step     float64       // share moved a step; the cap on one interval, 0 to 1
	interval time.Duration // at least this long between two steps
	promise  time.Duration // the move holds while the 99th percentile of latency is above this
}

// NewMove returns a planned shift.
func NewMove(origin Origin, name, service, from, to string, target, step float64, interval, promise time.Duration) *Move {
	return &Move{
		Origin: origin, name: name, service: service, from: from, to: to,
		target: target, step: step, interval: interval, promise: promise,
	}
}

// Name returns the move's name.
func (m *Move) Name() string { return m.name }

// Service returns the name of the service moved.
func (m *Move) Service() string { return m.service }

// From returns the region that work leaves.
func (m *Move) From() string { return m.from }

// To returns the region that work goes to.
func (m *Move) To() string { return m.to }

// Target returns the share of the region's work moved at the end.
func (m *Move) Target() float64 { return m.target }

// Step returns the share moved in one interval at the most.
func (m *Move) Step() float64 { return m.step }

// Interval returns the least time between two steps.
func (m *Move) Interval() time.Duration { return m.interval }

// Promise returns the latency above which the move holds.
func (m *Move) Promise() time.Duration { return m.promise }
