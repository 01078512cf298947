// Package sharer divides limits among hosts. Each host holds a share of every
// limit. At any time the shares that hosts may use sum to at most the limit,
// even when messages are lost, duplicated, delayed or reordered, and when hosts
// are partitioned, paused, restarted or replaced.
//
// Shares move between hosts by transfers; the giver reduces its own share
// before it grants one. Shares of stopped hosts are recovered by a collection:
// all members leave the old epoch and report what they hold, and the collector
// reissues the rest. The package does no I/O.
package sharer

import (
	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// Kind is how a limit is consumed.
type Kind int

// A Rate refills over time. Units of a Concurrency limit are freed when their
// use ends.
const (
	Rate Kind = iota
	Concurrency
)

// Limit is a limit that all hosts share.
type Limit struct {
	name     string
	kind     Kind
	total    limiter.Amount
	homeZone string // availability zone whose hosts alone have a floor and a base demand; "" for all zones
}

// NewRate returns a limit on units per second, with a burst in units.
func NewRate(name string, perSecond, burst float64) Limit {
	return Limit{name: name, kind: Rate, total: limiter.Amount{
		Rate:     int64(perSecond * float64(limiter.Unit)),
		Capacity: int64(burst * float64(limiter.Unit)),
	}}
}

// NewConcurrency returns a limit on the units in use at once of a resource in an
// availability zone.
func NewConcurrency(name, homeZone string, units int64) Limit {
	return Limit{name: name, kind: Concurrency, homeZone: homeZone, total: limiter.Amount{Capacity: units * limiter.Unit}}
}

// Name returns the limit's name.
func (l Limit) Name() string { return l.name }

// Kind returns how the limit is consumed.
func (l Limit) Kind() Kind { return l.kind }

// HomeZone returns the availability zone whose hosts alone have a floor and a
// base demand, or "" when those of all zones have one.
func (l Limit) HomeZone() string { return l.homeZone }

// Total returns what all hosts together may use.
func (l Limit) Total() limiter.Amount { return l.total }

// Message is the header of every message between two sharers.
type Message struct {
	From  tracker.HostID
	To    tracker.HostID
	Epoch int64 // a receiver in another epoch ignores the message
}

// Ask is the request of one host to another for a share of a limit.
type Ask struct {
	Message
	ID     uint64 // higher for each later ask of one host
	Limit  string
	Total  limiter.Amount // as known to the asking host; an ask with another total than the receiver's is refused
	Share  limiter.Amount // share held
	Tokens int64          // token units held
	Demand int64          // token units a second for a rate, token units for a concurrency limit
	Need   int64          // token units missing for the current request, or 0
}

// Transfer states everything that one host has given another of one limit
// during one epoch. The receiver applies only the growth since the last
// transfer that it received, so any transfer may be lost, duplicated or
// delayed.
type Transfer struct {
	Message
	AskID            uint64 // ID of the answered ask, or 0 for a hand-over
	Limit            string
	Total            limiter.Amount
	CumulativeShare  limiter.Amount // cumulative over the epoch
	CumulativeTokens int64          // token units, cumulative over the epoch
	RemainingShare   limiter.Amount // share that the giver still has; used to choose which host to ask next
	RemainingTokens  int64          // token units that the giver still has
	Demand           int64          // of the giver, in the unit that an ask uses
}

// Report states what a host held when it entered an epoch.
type Report struct {
	Message
	Generation int64 // of the configuration in use at that time
	Holdings   map[string]limiter.Amount
}
