// Package tracker maintains the list of live hosts from their heartbeats. The
// platform's list of hosts lags behind and only provides addresses. The package
// does no I/O.
package tracker

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"time"
)

// HostID identifies one process of a host. After a restart or replacement the
// host has another incarnation and does not own what the earlier one held, even
// at the same address.
type HostID struct {
	Name        string
	Incarnation uint64 // see NewIncarnation; never 0
}

// String returns name/incarnation.
func (id HostID) String() string { return fmt.Sprintf("%s/%x", id.Name, id.Incarnation) }

// randomBits is the number of random low bits of an incarnation. They keep hosts
// that start in the same microsecond from sharing one.
const randomBits = 12

// NewIncarnation returns an incarnation for a process start: the time in
// microseconds in the high bits, so that a later process of a host has a higher
// one, and random low bits.
func NewIncarnation(start time.Time) uint64 {
	var random [2]byte
	_, _ = rand.Read(random[:]) // documented never to return an error
	low := uint64(binary.BigEndian.Uint16(random[:])) & (1<<randomBits - 1)
	return uint64(start.UnixMicro())<<randomBits | low
}

// State is the state that a host reports in its heartbeats.
type State int

// A leaving host still serves requests but must not be given to callers. A gone
// host has sent its last heartbeat.
const (
	Serving State = iota
	Leaving
	Gone
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"serving", "leaving", "gone"}[s]
}

// Heartbeat is a host's periodic report that it is running, received directly or
// relayed by another host.
type Heartbeat struct {
	ID      HostID
	Zone    string
	Control string // host:port for other hosts
	Data    string // host:port for callers
	Boot    string // id of the machine's boot; "" when unknown
	State   State
	CutOff  bool   // it reaches no backend server; others are better for callers
	Counter uint64 // rises with each heartbeat of one incarnation
}

type entry struct {
	heartbeat Heartbeat
	updatedAt time.Duration // when the counter last rose
	live      bool          // as of the latest view
}

// Host is the latest heartbeat of a host and its age.
type Host struct {
	Heartbeat
	HeartbeatAge time.Duration // time since the counter last rose
}
