// Package sharer divides counted limits over hosts that may lose, double, delay
// and reorder each other's messages, be cut off, paused, restarted or replaced.
// At every moment the parts that hosts may use sum to at most the limit.
//
// Parts move between hosts by transfers, which give up before they grant. Parts
// of hosts that ended come back by a census: all holders leave the old epoch,
// state what they hold, and the rest is issued anew. The package does no I/O.
package sharer

import (
	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// Kind tells how a limit is used up.
type Kind int

// A rate refills with time. A level comes back when the use ends.
const (
	Rate Kind = iota
	Level
)

// Limit is one limit that all hosts share.
type Limit struct {
	name  string
	kind  Kind
	total limiter.Amount
	home  string // availability zone whose hosts have the floors and the first call; "" for all zones
}

// NewRate returns a limit of units a second and a burst of units.
func NewRate(name string, perSecond, burst float64) Limit {
	return Limit{name: name, kind: Rate, total: limiter.Amount{
		Rate:     int64(perSecond * float64(limiter.Unit)),
		Capacity: int64(burst * float64(limiter.Unit)),
	}}
}

// NewLevel returns a limit on units in use at once, of something that stands in
// an availability zone.
func NewLevel(name, home string, units int64) Limit {
	return Limit{name: name, kind: Level, home: home, total: limiter.Amount{Capacity: units * limiter.Unit}}
}

// Name returns the limit's name.
func (l Limit) Name() string { return l.name }

// Kind returns how the limit is used up.
func (l Limit) Kind() Kind { return l.kind }

// Home returns the availability zone that has the first call, or "".
func (l Limit) Home() string { return l.home }

// Total returns what all hosts together may use.
func (l Limit) Total() limiter.Amount { return l.total }

// Message is the part that all messages between two sharers have in common.
type Message struct {
	From  tracker.HostID
	To    tracker.HostID
	Epoch int64 // a message of another epoch than the receiver's has no effect
}

// Ask requests a part of a limit.
type Ask struct {
	Message
	ID     uint64 // higher for each later ask of one host
	Limit  string
	Total  limiter.Amount // as the asker knows it; another value has no effect
	Have   limiter.Amount
	Tokens int64 // token units held
	Demand int64 // units a second for a rate, units for a level
	Need   int64 // token units missing for the request at hand, or 0
}

// Transfer states all that one host ever gave another of one limit in one
// epoch. Since only the growth since the last one counts, any message may be
// lost, doubled or late.
type Transfer struct {
	Message
	Answers uint64 // id of the ask, or 0 for a hand-over
	Limit   string
	Total   limiter.Amount
	Given   limiter.Amount // sum over the epoch
	Tokens  int64          // sum over the epoch
	Left    limiter.Amount // what the giver has now; tells whom to ask next
	Spare   int64          // token units the giver has now
	Demand  int64          // of the giver; see Ask
}

// Report states what a host held when it entered an epoch.
type Report struct {
	Message
	Generation int64 // of the configuration it was made under
	Holdings   map[string]limiter.Amount
}
