// Package registrar keeps the backend servers that registered themselves, by
// their instance. It does no I/O.
package registrar

import "time"

// State is what a backend server says of itself.
type State int

// A draining backend server finishes its work and must get none that is new.
const (
	Ready State = iota
	Draining
)

// Instance is one run of one backend server.
type Instance struct {
	id      string // unique among those registered
	service string
	address string // host:port
	zone    string
	slots   int // requests it works on at once; at least 1
	state   State
	cold    time.Duration // how long it stayed cold when it wrote this; 0 when warm
	born    int64         // names the run when an id is used again; 0 when not known
}

// InstanceOption sets one property of an instance.
type InstanceOption func(*Instance)

// NewInstance returns a ready, warm instance with one slot.
func NewInstance(id, service, address, zone string, options ...InstanceOption) Instance {
	i := Instance{id: id, service: service, address: address, zone: zone, slots: 1}
	for _, option := range options {
		option(&i)
	}
	return i
}

// WithSlots sets how many requests it works on at once.
func WithSlots(n int) InstanceOption {
	return func(i *Instance) { i.slots = max(n, 1) }
}

// WithState sets what it says of itself.
func WithState(state State) InstanceOption {
	return func(i *Instance) { i.state = state }
}

// WithCold sets how long it stays cold.
func WithCold(left time.Duration) InstanceOption {
	return func(i *Instance) { i.cold = left }
}

// WithBorn names the run of an id that is used again.
func WithBorn(born int64) InstanceOption {
	return func(i *Instance) { i.born = born }
}

// ID returns the instance's id.
func (i Instance) ID() string { return i.id }

// Service returns the service it works for.
func (i Instance) Service() string { return i.service }

// Address returns its host:port.
func (i Instance) Address() string { return i.address }

// Zone returns its availability zone.
func (i Instance) Zone() string { return i.zone }

// Slots returns how many requests it works on at once.
func (i Instance) Slots() int { return i.slots }

// State returns what it says of itself.
func (i Instance) State() State { return i.state }

// Cold returns how long it stayed cold when it wrote its registration.
func (i Instance) Cold() time.Duration { return i.cold }

// Born names the run when the id was used before; 0 when not known.
func (i Instance) Born() int64 { return i.born }

// SameRun reports whether two registrations are of the same run.
func (i Instance) SameRun(other Instance) bool {
	return i.id == other.id && i.born == other.born && i.address == other.address
}
