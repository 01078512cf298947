// Package divider holds a host's part of limits that all hosts share. The parts
// follow demand, as the hosts tell one another, and add up to the limit also
// when some of them cannot reach one another. It does no I/O.
//
// A limit that would leave each host less than a few requests at once is pooled:
// one host of each zone holds the part of the whole zone, and the others ask it.
//
// It answers a workspace that sends several times its rate to all hosts at
// once, callers that move between hosts, and small workspaces whose callers are
// spread over many hosts.
package divider

import (
	"math"
	"sync"
	"time"

	"magnoliahill.example/magnoliahill/pkg/limiter"
)

const (
	floorShare  = 0.5                    // part of a limit that is divided evenly and never moves
	demandShare = 0.2                    // weight of a new sample of demand
	leastSample = 100 * time.Millisecond // shorter spans say little of a rate
	idleDemand  = 0.02                   // an idle host counts with this share of an even part
	toldRounds  = 3                      // rounds after which all hosts know what one told: it may pass two others
	pooledBelow = 4.0                    // a limit whose even parts hold fewer requests at once is pooled
	aloneShare  = 0.3                    // share of its even part that a host may use of a pooled limit when it cannot ask
	startTokens = 0.25                   // share of its burst that a host starts with: it may have been here before
)

// Limit is a rate that all hosts share.
type Limit struct {
	Name  string
	Rate  float64 // requests a second over all hosts; above 0
	Burst float64 // requests at once over all hosts
}

// part is this host's part of one limit.
type part struct {
	limit  Limit
	bucket *limiter.Bucket     // the host's part, or its zone's if the limit is pooled
	alone  *limiter.Bucket     // for a pooled limit, when the host that holds it cannot be asked
	asked  int                 // requests since the last sample
	demand float64             // requests a second, a moving average
	told   [toldRounds]float64 // what the demand was in the latest rounds, oldest first
	others float64             // demand of the other hosts that were heard of
}

// Divider holds the parts of one host. It is safe for concurrent use.
type Divider struct {
	mu      sync.Mutex
	parts   map[string]*part
	hosts   int // that may take part, reachable or not; at least 1
	zone    int // those of them in the own zone; 1 to hosts
	heard   int // that were heard of lately, the own one included; 1 to hosts
	sampled time.Duration
	overage float64 // share by which the sum may exceed each limit
}

// New returns a divider without limits for a host that counts on some hosts.
// The parts of all hosts add up to the limit and an overage.
func New(hosts int, overage float64) *Divider {
	return &Divider{parts: map[string]*part{}, hosts: max(hosts, 1), zone: 1, heard: 1, overage: overage}
}

// SetLimits replaces the limits. Parts of those that stay keep their tokens.
func (d *Divider) SetLimits(now time.Duration, limits []Limit) {
	d.mu.Lock()
	defer d.mu.Unlock()
	parts := make(map[string]*part, len(limits))
	for _, limit := range limits {
		p := d.parts[limit.Name]
		if p == nil {
			p = &part{}
		}
		p.limit = limit
		d.resize(now, p)
		parts[limit.Name] = p
	}
	d.parts = parts
}

// Others is what a host knows of the others.
type Others struct {
	Hosts  int                // that may take part, the own one included
	Zone   int                // those of them in the own zone
	Heard  int                // that were heard of lately, the own one included
	Demand map[string]float64 // requests a second that the others told, by limit
}

// SetOthers takes in what is known of the other hosts.
func (d *Divider) SetOthers(now time.Duration, others Others) {
	d.mu.Lock()
	defer d.mu.Unlock()
	heard, demand := others.Heard, others.Demand
	d.hosts = max(others.Hosts, heard, 1)
	d.zone = max(1, min(others.Zone, d.hosts))
	d.heard = max(heard, 1)
	span := now - d.sampled
	for name, p := range d.parts {
		if span >= leastSample {
			p.sample(span)
		}
		p.others = demand[name]
		d.resize(now, p)
	}
	if span >= leastSample {
		d.sampled = now
	}
}

func (p *part) sample(span time.Duration) {
	rate := float64(p.asked) / span.Seconds()
	p.demand += demandShare * (rate - p.demand)
	p.asked = 0
	copy(p.told[:], p.told[1:])
	p.told[toldRounds-1] = p.demand
}

// claim returns the demand that the host's share follows. A rise counts only
// once the others have heard of it: if each host acted on its own rise at once,
// while it still believed the others to be as before, all shares would rise.
func (p *part) claim() float64 { return min(p.demand, p.told[0]) }

// share returns the host's share of a limit. Hosts that cannot hear one another
// take no more than their even parts together.
func (d *Divider) share(p *part) float64 {
	one := 1 / float64(d.hosts)
	members := 1.0
	if d.pooled(p) {
		members = float64(d.zone)
	}
	even := one * members
	idle := idleDemand * p.limit.Rate * one
	own := p.claim() + idle*members
	all := p.claim() + p.others + idle*float64(d.heard)
	moved := float64(d.heard) * one * own / all
	return floorShare*even + (1-floorShare)*moved
}

func (d *Divider) pooled(p *part) bool {
	return p.limit.Burst < pooledBelow*float64(d.hosts)
}

// Pooled reports whether one host of each zone holds a limit for the zone.
func (d *Divider) Pooled(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.parts[name]
	return p != nil && d.zone > 1 && d.pooled(p)
}

func (d *Divider) resize(now time.Duration, p *part) {
	share := d.share(p) * (1 + d.overage)
	amount := limiter.Amount{
		Rate:     int64(share * p.limit.Rate * float64(limiter.Unit)),
		Capacity: max(int64(share*p.limit.Burst*float64(limiter.Unit)), limiter.Unit),
	}
	tokens := int64(startTokens * float64(amount.Capacity))
	if p.bucket != nil {
		if p.bucket.Amount() == amount {
			return
		}
		tokens = p.bucket.Tokens(now)
	}
	p.bucket = limiter.NewBucket(amount, tokens, now)
	alone := limiter.Amount{
		Rate:     int64(aloneShare * p.limit.Rate / float64(d.hosts) * float64(limiter.Unit)),
		Capacity: limiter.Unit,
	}
	if p.alone == nil || p.alone.Amount() != alone {
		p.alone = limiter.NewBucket(alone, 0, now)
	}
}

// Take charges one request to a limit. If it is used up, the duration says when
// there will be room. Limits that are not known are not held.
func (d *Divider) Take(now time.Duration, name string) (bool, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.parts[name]
	if p == nil {
		return true, 0
	}
	p.asked++
	return take(now, p.bucket)
}

// TakeAlone charges one request to a pooled limit when the host that holds it
// cannot be asked.
func (d *Divider) TakeAlone(now time.Duration, name string) (bool, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.parts[name]
	if p == nil {
		return true, 0
	}
	return take(now, p.alone)
}

func take(now time.Duration, bucket *limiter.Bucket) (bool, time.Duration) {
	if bucket.Take(now, limiter.Unit) {
		return true, 0
	}
	wait, ok := bucket.Wait(now, limiter.Unit)
	if !ok {
		wait = time.Second
	}
	return false, wait
}

// Refund gives back the charge for a request that no backend server ran.
func (d *Divider) Refund(now time.Duration, name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.parts[name]; p != nil {
		p.bucket.Refund(now, limiter.Unit)
	}
}

// Demand returns what the host was asked for lately, in requests a second.
func (d *Divider) Demand() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	demand := make(map[string]float64, len(d.parts))
	for name, p := range d.parts {
		if rounded := math.Round(p.demand*10) / 10; rounded > 0 {
			demand[name] = rounded
		}
	}
	return demand
}
