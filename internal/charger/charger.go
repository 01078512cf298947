// Package charger charges requests to limits that all hosts enforce together. A
// request is charged to the host's own share or, for a pooled limit, at the host
// that owns the share of the hosts around it.
package charger

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/pkg/allocator"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	chargeTimeout  = 150 * time.Millisecond // within a region a response takes a few milliseconds
	unavailableFor = time.Second            // pause after a failed charge before the host is contacted again
	rolePrefix     = "limit/"               // hashed with the name of the limit to elect its owner
)

// Client charges requests at other hosts.
type Client interface {
	// Charge charges one request to a limit at the host with the given control
	// address. If the request is not allowed, wait is the time until it would be.
	Charge(ctx context.Context, control, limit string) (allowed bool, wait time.Duration, err error)
}

// Charger charges requests on behalf of one host. It is safe for concurrent use.
type Charger struct {
	self   string
	shares *allocator.Allocator
	client Client
	view   atomic.Pointer[groupView]

	mu               sync.Mutex
	unavailableUntil map[string]time.Duration // by control address; charges are not sent to it before this time
}

// groupView holds the live hosts that share pooled limits. A change of hosts replaces the whole
// view; only the owners are filled in later.
type groupView struct {
	hosts  []tracker.Host
	mu     sync.Mutex
	owners map[string]tracker.Host // by limit, elected on first use
}

// New sets up charging for the host named self. Until SetHosts is called, pooled
// limits are charged to the host's own share.
func New(self string, shares *allocator.Allocator, client Client) *Charger {
	c := &Charger{self: self, shares: shares, client: client, unavailableUntil: map[string]time.Duration{}}
	c.view.Store(&groupView{owners: map[string]tracker.Host{}})
	return c
}

// SetHosts sets the live hosts that share pooled limits, this host included.
func (c *Charger) SetHosts(hosts []tracker.Host) {
	same := func(a, b tracker.Host) bool { return a.ID == b.ID }
	if slices.EqualFunc(c.view.Load().hosts, hosts, same) {
		return
	}
	c.view.Store(&groupView{hosts: hosts, owners: map[string]tracker.Host{}})
}

// owner returns the host that owns the group's share of a limit, and false if the
// view has no hosts.
func (v *groupView) owner(limit string) (tracker.Host, bool) {
	if len(v.hosts) == 0 {
		return tracker.Host{}, false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	owner, ok := v.owners[limit]
	if !ok {
		owner = tracker.Rank(rolePrefix+limit, v.hosts)[0]
		v.owners[limit] = owner
	}
	return owner, true
}

// Take charges one request to a limit. If the limit is used up, it returns false
// and the time until the request would be admitted. While the owner of a pooled
// limit is unavailable, the request is charged to the host's fallback bucket.
func (c *Charger) Take(ctx context.Context, now time.Duration, limit string) (bool, time.Duration) {
	if !c.shares.Pooled(limit) {
		return c.shares.Take(now, limit)
	}
	owner, ok := c.view.Load().owner(limit)
	if !ok || owner.ID.Name == c.self {
		return c.shares.Take(now, limit)
	}
	if c.unavailable(now, owner.Control) {
		return c.shares.TakeFallback(now, limit)
	}
	chargeCtx, cancel := context.WithTimeout(ctx, chargeTimeout)
	defer cancel()
	allowed, wait, err := c.client.Charge(chargeCtx, owner.Control, limit)
	if err == nil {
		return allowed, wait
	}
	// A caller that went away says nothing about the owner, and an owner that does not
	// know this limit may know others.
	if ctx.Err() == nil && !errors.Is(err, allocator.ErrUnknownLimit) {
		c.markUnavailable(now, owner.Control)
	}
	return c.shares.TakeFallback(now, limit)
}

// Refund returns the charge of a request that was not sent. Charges to a pooled
// limit are kept, because the platform's bound is on the requests that arrive.
func (c *Charger) Refund(now time.Duration, limit string) {
	if !c.shares.Pooled(limit) {
		c.shares.Refund(now, limit)
	}
}

func (c *Charger) unavailable(now time.Duration, control string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now < c.unavailableUntil[control]
}

func (c *Charger) markUnavailable(now time.Duration, control string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unavailableUntil[control] = now + unavailableFor
}
