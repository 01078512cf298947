package cataloger

import "time"

// Move is a planned, stepwise shift of one service's requests between regions.
type Move struct {
	Origin
	name       string
	service    string
	from, to   string        // regions
	target     float64       // share of the region's requests to move in total, 0 to 1
	step       float64       // share moved per step, which is the most per interval, 0 to 1
	interval   time.Duration // minimum time between two steps
	maxLatency time.Duration // no further step is taken while the 99th percentile of latency is above this
}

// NewMove returns a planned move.
func NewMove(origin Origin, name, service, from, to string, target, step float64, interval, maxLatency time.Duration) *Move {
	return &Move{
		Origin: origin, name: name, service: service, from: from, to: to,
		target: target, step: step, interval: interval, maxLatency: maxLatency,
	}
}

// Name returns the move's name.
func (m *Move) Name() string { return m.name }

// Service returns the name of the service whose requests are moved.
func (m *Move) Service() string { return m.service }

// From returns the region that requests are moved out of.
func (m *Move) From() string { return m.from }

// To returns the region that requests are moved into.
func (m *Move) To() string { return m.to }

// Target returns the share of the region's requests to move in total, 0 to 1.
func (m *Move) Target() float64 { return m.target }

// Step returns the share moved per step, 0 to 1. At most one step is taken per
// interval.
func (m *Move) Step() float64 { return m.step }

// Interval returns the minimum time between two steps.
func (m *Move) Interval() time.Duration { return m.interval }

// MaxLatency returns the 99th percentile of latency above which no further step is
// taken.
func (m *Move) MaxLatency() time.Duration { return m.maxLatency }
