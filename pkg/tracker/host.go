// Package tracker keeps the list of live hosts from heartbeats, with the
// platform's lagging list as a source of addresses only. It does no I/O.
package tracker

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"time"
)

// HostID names one run of one host's process. A replaced or restarted host is
// another holder, also at the same address.
type HostID struct {
	Name        string
	Incarnation uint64 // drawn at process start; never 0
}

// String returns name/incarnation.
func (id HostID) String() string { return fmt.Sprintf("%s/%x", id.Name, id.Incarnation) }

// chanceBits are the low bits of an incarnation: hosts that start in the same
// microsecond must not share one.
const chanceBits = 12

// NewIncarnation draws the number of a run by the time of its start first, so
// that a later run of a host has a higher one, and by chance below that.
func NewIncarnation(start time.Time) uint64 {
	var chance [2]byte
	_, _ = rand.Read(chance[:]) // never fails, by its documentation
	low := uint64(binary.BigEndian.Uint16(chance[:])) & (1<<chanceBits - 1)
	return uint64(start.UnixMicro())<<chanceBits | low
}

// State is what a host says of itself.
type State int

// A leaving host answers what reaches it but must not be named to callers. A
// gone host said its last heartbeat.
const (
	Serving State = iota
	Leaving
	Gone
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"serving", "leaving", "gone"}[s]
}

// Beat is one heartbeat, as its host sent it or as another relayed it.
type Beat struct {
	ID      HostID
	Zone    string
	Control string // host:port for other hosts
	Data    string // host:port for callers
	Boot    string // names one boot of the machine; "" when not known
	State   State
	Counter uint64 // strictly higher in each later heartbeat of one incarnation
}

type entry struct {
	beat  Beat
	heard time.Duration // when the counter last rose
}

// Host is a live host as seen from here.
type Host struct {
	Beat
	Silent time.Duration // time since the last news of it
}
