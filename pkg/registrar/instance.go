// Package registrar holds the registrations of backend servers and decides when a
// registration that is missing from the store counts as removed. It does no I/O.
package registrar

import (
	"strconv"
	"time"
)

// State is the state that a backend server reports in its registration.
type State int

// A draining backend server finishes its requests and must get no new ones.
const (
	Ready State = iota
	Draining
)

// Instance is the registration of one run of a backend server.
type Instance struct {
	id            string // unique among those registered
	service       string
	address       string // host:port
	zone          string
	slots         int // requests it runs at once; at least 1
	state         State
	coldRemaining time.Duration // how long it stays cold after it wrote the registration; 0 when warm
	incarnation   int64         // distinguishes runs that use the same id; 0 when not known
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

// WithSlots sets how many requests the backend server runs at once; at least 1.
func WithSlots(n int) InstanceOption {
	return func(i *Instance) { i.slots = max(n, 1) }
}

// WithState sets the state.
func WithState(state State) InstanceOption {
	return func(i *Instance) { i.state = state }
}

// WithColdRemaining sets how long the backend server stays cold.
func WithColdRemaining(remaining time.Duration) InstanceOption {
	return func(i *Instance) { i.coldRemaining = remaining }
}

// WithIncarnation sets the number that distinguishes runs with the same id.
func WithIncarnation(incarnation int64) InstanceOption {
	return func(i *Instance) { i.incarnation = incarnation }
}

// ID returns the instance's id.
func (i Instance) ID() string { return i.id }

// Service returns the service that the backend server belongs to.
func (i Instance) Service() string { return i.service }

// Address returns the address as host:port.
func (i Instance) Address() string { return i.address }

// Zone returns the availability zone.
func (i Instance) Zone() string { return i.zone }

// Slots returns how many requests the backend server runs at once.
func (i Instance) Slots() int { return i.slots }

// State returns the state that the backend server reported.
func (i Instance) State() State { return i.state }

// ColdRemaining returns how long the backend server stays cold after it wrote its
// registration; 0 when warm.
func (i Instance) ColdRemaining() time.Duration { return i.coldRemaining }

// Incarnation returns the number that distinguishes runs with the same id; 0 when
// not known.
func (i Instance) Incarnation() int64 { return i.incarnation }

// Run returns the name of this run of the backend server. A new run has another one,
// also under the same id.
func (i Instance) Run() string {
	return i.id + "/" + i.address + "/" + strconv.FormatInt(i.incarnation, 10)
}

// SameIncarnation reports whether two registrations belong to the same run of a
// backend server.
func (i Instance) SameIncarnation(other Instance) bool {
	return i.id == other.id && i.incarnation == other.incarnation && i.address == other.address
}
