// Package allocator computes one host's share of rate limits that all hosts
// enforce together. The shares follow the demand that the hosts report to each
// other. Their sum stays within the limit even when hosts cannot reach each
// other. The package does no I/O.
//
// A limit whose burst would be less than a few requests per host is pooled: in
// each group of hosts that are near one another, one host, the owner, holds the
// share of the whole group, and the others charge their requests there.
//
// The design covers four loads: a workspace that sends several times its rate
// to all hosts at once, callers that move between hosts, small workspaces
// whose callers are spread over many hosts, and hosts so small that a charge at the
// owner takes longer than many callers can wait: they admit some requests ahead of
// their charges.
package allocator

import (
	"math"
	"sync"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/pkg/limiter"
)

const (
	staticFraction     = 0.5                    // fraction of a limit that is split evenly, whatever the demand
	demandSampleWeight = 0.2                    // weight of a new sample in the moving average of demand
	minSampleInterval  = 100 * time.Millisecond // a shorter interval gives a poor estimate of a rate
	idleDemandFraction = 0.02                   // added to the demand of each live host, as a fraction of its even rate; the weight of an idle host
	propagationRounds  = 3                      // rounds until all hosts have received a demand: up to two hosts relay it
	minBurstPerHost    = 4.0                    // requests; a limit with a smaller burst per host is pooled
	initialFill        = 0.25                   // fraction of the burst that a host starts with; an earlier process may have spent the rest
)

const unit = limiter.Unit // token units of one request

// ErrUnknownLimit is the error of a charge for another host to a limit that is not set.
var ErrUnknownLimit = errors.New("unknown limit")

// Limit is a rate limit that all hosts enforce together.
type Limit struct {
	Name  string
	Rate  float64 // requests a second over all hosts; above 0
	Burst float64 // requests at once over all hosts
}

// localShare is this host's share of one limit.
type localShare struct {
	limit         Limit
	bucket        *limiter.Bucket            // the host's share, or the group's share if the limit is pooled
	fallback      fallback                   // for a pooled limit while its owner is unavailable
	requests      int                        // requests since the last sample
	demand        float64                    // requests a second, a moving average
	demandHistory [propagationRounds]float64 // demand in the latest rounds, oldest first
	otherDemand   float64                    // requests a second reported by the other live hosts
	granted       []time.Duration            // at the owner: when the advances end that were not charged yet, earliest first
	held          heldAdvances               // at the other hosts
}

// Allocator holds one host's shares of all limits. It is safe for concurrent use.
type Allocator struct {
	host       string // this host's name; "" in tests of one host
	mu         sync.Mutex
	shares     map[string]*localShare // by name of the limit
	hosts      int                    // expected hosts, reachable or not; at least 1
	poolHosts  int                    // live hosts of this host's group, this one included; 1 to hosts
	liveHosts  int                    // live hosts, this one included; 1 to hosts
	lastSample time.Duration
	updatedAt  time.Duration          // of the counts of hosts
	owns       func(name string) bool // see SetOwnership
	overage    float64                // fraction by which the sum of all shares may exceed each limit
	slack      float64                // requests by which all hosts together may exceed a limit in any window
}

// New creates the shares of one host, without limits at first. hosts is the
// number of expected hosts, this one included; the shares of all of them add
// up to (1+overage) times each limit.
func New(hosts int, overage float64, options ...Option) *Allocator {
	a := &Allocator{
		shares: map[string]*localShare{}, hosts: max(hosts, 1), poolHosts: 1, liveHosts: 1, overage: overage,
		owns: func(string) bool { return true },
	}
	for _, option := range options {
		option(a)
	}
	return a
}

// Option sets one property of an allocator.
type Option func(*Allocator)

// WithHost sets the name of this host, by which the hosts differ in when they admit requests
// without the owner of a pooled limit.
func WithHost(name string) Option {
	return func(a *Allocator) { a.host = name }
}

// WithSlack sets the requests by which all hosts together may exceed each limit in any window,
// beside the overage. They let hosts of pooled limits use advances without reserved tokens.
func WithSlack(requests float64) Option {
	return func(a *Allocator) { a.slack = requests }
}

// SetLimits replaces the limits. The shares of limits that stay keep their
// tokens, up to the new capacity.
func (a *Allocator) SetLimits(now time.Duration, limits []Limit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	shares := make(map[string]*localShare, len(limits))
	for _, limit := range limits {
		s := a.shares[limit.Name]
		if s == nil {
			s = &localShare{}
		}
		if s.limit != limit {
			s.granted, s.held = nil, heldAdvances{}
		}
		s.limit = limit
		a.resize(now, s)
		shares[limit.Name] = s
	}
	a.shares = shares
}

// Fleet holds the counts of hosts and the demand reported by the other hosts.
type Fleet struct {
	Hosts       int                // expected hosts, this one included
	PoolHosts   int                // live hosts of this host's group, which share pooled limits
	Live        int                // live hosts, this one included
	OtherDemand map[string]float64 // requests a second at the other hosts, by limit
}

// SetFleet updates the counts of hosts and the demand of the other hosts, samples
// this host's demand, and adjusts the shares.
func (a *Allocator) SetFleet(now time.Duration, others Fleet) {
	a.mu.Lock()
	defer a.mu.Unlock()
	liveHosts, demand := others.Live, others.OtherDemand
	a.hosts = max(others.Hosts, liveHosts, 1)
	a.poolHosts = max(1, min(others.PoolHosts, a.hosts))
	a.liveHosts = max(liveHosts, 1)
	a.updatedAt = now
	span := now - a.lastSample
	for name, s := range a.shares {
		if span >= minSampleInterval {
			s.sample(span)
		}
		s.otherDemand = demand[name]
		a.resize(now, s)
	}
	if span >= minSampleInterval {
		a.lastSample = now
	}
}

// sample updates the moving average of demand with the requests of an interval.
func (s *localShare) sample(span time.Duration) {
	rate := float64(s.requests) / span.Seconds()
	s.demand += demandSampleWeight * (rate - s.demand)
	s.requests = 0
	copy(s.demandHistory[:], s.demandHistory[1:])
	s.demandHistory[propagationRounds-1] = s.demand
}

// effectiveDemand returns the demand that the host's share follows. A rise counts
// only after all hosts have received it. If each host applied its own rise at
// once while it used the old demand of the others, all shares would rise.
func (s *localShare) effectiveDemand() float64 { return min(s.demand, s.demandHistory[0]) }

// fraction returns the host's share as a fraction of the limit, or the group's
// share if the limit is pooled. Only live hosts of the group count, since the hosts
// of a group that cannot reach each other form groups of their own. Hosts that cannot reach each other take no more
// than their even shares together.
func (a *Allocator) fraction(s *localShare) float64 {
	perHost := 1 / float64(a.hosts)
	representedHosts := 1.0
	if a.pooled(s) {
		representedHosts = float64(a.poolHosts)
	}
	evenFraction := perHost * representedHosts
	idleDemand := idleDemandFraction * s.limit.Rate * perHost
	ownDemand := s.effectiveDemand() + idleDemand*representedHosts
	totalDemand := s.effectiveDemand() + s.otherDemand + idleDemand*float64(a.liveHosts)
	demandFraction := float64(a.liveHosts) * perHost * ownDemand / totalDemand
	return staticFraction*evenFraction + (1-staticFraction)*demandFraction
}

// pooled reports whether the burst of a limit is too small to be split over all
// hosts.
func (a *Allocator) pooled(s *localShare) bool {
	return s.limit.Burst < minBurstPerHost*float64(a.hosts)
}

// Pooled reports whether one host of each group owns the group's share of a limit
// and the other hosts of the group have to charge their requests there. It is
// false in a group of one host and for an unknown limit.
func (a *Allocator) Pooled(name string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.shares[name]
	return s != nil && a.poolHosts > 1 && a.pooled(s)
}

// resize sets the rate and capacity of a share's buckets. The tokens are kept, up
// to the new capacity.
func (a *Allocator) resize(now time.Duration, s *localShare) {
	fraction := a.fraction(s) * (1 + a.overage)
	amount := limiter.Amount{
		Rate:     limiter.Units(fraction * s.limit.Rate),
		Capacity: max(limiter.Units(fraction*s.limit.Burst), unit),
	}
	if s.bucket == nil {
		s.bucket = limiter.NewBucket(amount, int64(initialFill*float64(amount.Capacity)), now)
	} else if s.bucket.Amount() != amount {
		s.bucket = limiter.NewBucket(amount, s.bucket.Tokens(now), now)
	}
	a.resizeFallback(now, s)
}

// Take charges one request to the share of a limit. If the share is used up, it
// returns false and the time until the request would be admitted. Requests under
// an unknown limit are always admitted.
func (a *Allocator) Take(now time.Duration, name string) (bool, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.shares[name]
	if s == nil {
		return true, 0
	}
	s.requests++
	s.expireGranted(now)
	a.capUnowned(now, s)
	return take(now, s.bucket, a.reserved(s, len(s.granted)))
}

// take removes the token of one request from a bucket that holds it beyond the reserved token
// units. It returns one second as the wait when the bucket can never hold that many.
func take(now time.Duration, bucket *limiter.Bucket, reserved int64) (bool, time.Duration) {
	if bucket.Tokens(now) >= reserved+unit && bucket.Take(now, unit) {
		return true, 0
	}
	wait, ok := bucket.Wait(now, reserved+unit)
	if !ok {
		wait = time.Second
	}
	return false, wait
}

// Refund returns the token of a request that no backend server executed.
func (a *Allocator) Refund(now time.Duration, name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.shares[name]; s != nil {
		s.bucket.Refund(now, unit)
	}
}

// Demand returns the moving average of the requests at this host by limit, in
// requests a second rounded to one decimal. Limits without demand are left out.
func (a *Allocator) Demand() map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	demand := make(map[string]float64, len(a.shares))
	for name, s := range a.shares {
		if rounded := math.Round(s.demand*10) / 10; rounded > 0 {
			demand[name] = rounded
		}
	}
	return demand
}
