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
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/pkg/allocator"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	chargeTimeout  = 150 * time.Millisecond // within a region a response takes a few milliseconds
	unavailableFor = time.Second            // pause after a failed charge before the host is contacted again
	maxBackground  = 64                     // charges that no caller waits for, at once
	rolePrefix     = "limit/"               // hashed with the name of the limit to elect its owner
)

// Client charges requests at other hosts.
type Client interface {
	// Charge charges one request to a limit at the host with the given control
	// address.
	Charge(ctx context.Context, control string, charge allocator.Charge) (allocator.Answer, error)
}

// Charger charges requests on behalf of one host. It is safe for concurrent use.
type Charger struct {
	self       string
	shares     *allocator.Allocator
	client     Client
	counters   counters
	view       atomic.Pointer[groupView]
	background chan struct{}  // holds one element for each charge that no caller waits for
	running    sync.WaitGroup // of these charges

	mu               sync.Mutex
	unavailableUntil map[string]time.Duration // by control address; charges are not sent to it before this time
}

// counters count the charges at other hosts.
type counters struct{ waitedFor, inBackground, failed tally.Counter }

func newCounters(scope tally.Scope) counters {
	return counters{
		waitedFor: scope.Counter("charges_waited_for"), inBackground: scope.Counter("charges_in_background"),
		failed: scope.Counter("charges_failed"),
	}
}

// Option sets one property of a charger.
type Option func(*Charger)

// WithScope counts charges at other hosts in a scope.
func WithScope(scope tally.Scope) Option {
	return func(c *Charger) { c.counters = newCounters(scope) }
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
func New(self string, shares *allocator.Allocator, client Client, options ...Option) *Charger {
	c := &Charger{
		self: self, shares: shares, client: client, counters: newCounters(tally.NoopScope),
		background: make(chan struct{}, maxBackground), unavailableUntil: map[string]time.Duration{},
	}
	for _, option := range options {
		option(c)
	}
	c.view.Store(&groupView{owners: map[string]tracker.Host{}})
	return c
}

// Close waits for the charges that no caller waits for. Each of them takes at most
// allocator.AdvanceChargeTimeout. No request may be charged afterwards.
func (c *Charger) Close() { c.running.Wait() }

// SetHosts sets the live hosts that share pooled limits, this host included.
func (c *Charger) SetHosts(hosts []tracker.Host) {
	same := func(a, b tracker.Host) bool { return a.ID == b.ID }
	if slices.EqualFunc(c.view.Load().hosts, hosts, same) {
		return
	}
	view := &groupView{hosts: hosts, owners: map[string]tracker.Host{}}
	c.view.Store(view)
	c.shares.SetOwnership(func(limit string) bool {
		owner, ok := view.owner(limit)
		return !ok || owner.ID.Name == c.self
	})
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
		owner = tracker.First(rolePrefix+limit, v.hosts)
		v.owners[limit] = owner
	}
	return owner, true
}

// Take charges one request to a limit. If the limit is used up, it returns false
// and the time until the request would be admitted. While the owner of a pooled
// limit is unavailable, the request is charged to the host's fallback bucket. If the
// owner has granted an advance, the request is admitted at once and charged in the background.
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
	if c.advance(now, limit, owner) {
		return true, 0
	}
	c.counters.waitedFor.Inc(1)
	started := time.Now()
	chargeCtx, cancel := context.WithTimeout(ctx, chargeTimeout)
	defer cancel()
	answer, err := c.charge(chargeCtx, now, owner, allocator.Charge{Limit: limit, Advances: true})
	if err == nil {
		return answer.Allowed, answer.Wait
	}
	now += time.Since(started)
	// A caller that went away says nothing about the owner.
	if ctx.Err() == nil {
		c.chargeFailed(now, owner, err)
	}
	return c.shares.TakeFallback(now, limit)
}

// advance admits a request by an advance of the owner, if there is one, and charges it in the
// background. The charge goes on if the caller leaves.
func (c *Charger) advance(now time.Duration, limit string, owner tracker.Host) bool {
	select {
	case c.background <- struct{}{}:
	default:
		return false
	}
	if !c.shares.UseAdvance(now, limit, owner.ID.String()) {
		<-c.background
		return false
	}
	c.counters.inBackground.Inc(1)
	c.running.Go(func() {
		defer func() { <-c.background }()
		started := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), allocator.AdvanceChargeTimeout)
		defer cancel()
		if _, err := c.charge(ctx, now, owner, allocator.Charge{Limit: limit, Advances: true, Advanced: true}); err != nil {
			now += time.Since(started)
			c.shares.ChargeFallback(now, limit)
			c.chargeFailed(now, owner, err)
		}
	})
	return true
}

// charge charges a request that began at the given time at the owner of its limit.
func (c *Charger) charge(ctx context.Context, now time.Duration, owner tracker.Host, charge allocator.Charge) (allocator.Answer, error) {
	answer, err := c.client.Charge(ctx, owner.Control, charge)
	if err != nil {
		return answer, err
	}
	c.shares.OwnerAnswered(charge.Limit)
	if answer.Advance > 0 {
		c.shares.HoldAdvance(now, charge.Limit, owner.ID.String(), now+answer.Advance)
	}
	return answer, nil
}

// chargeFailed counts a failed charge. The owner is unavailable then, except if it does not
// know this limit: it may know others.
func (c *Charger) chargeFailed(now time.Duration, owner tracker.Host, err error) {
	c.counters.failed.Inc(1)
	if errors.Is(err, allocator.ErrUnknownLimit) {
		return
	}
	c.markUnavailable(now, owner.Control, err)
	c.shares.ForgetAdvances(owner.ID.String())
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

// markUnavailable pauses charges at a host. Only the first failure of a pause is logged.
func (c *Charger) markUnavailable(now time.Duration, control string, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now >= c.unavailableUntil[control] {
		klog.InfoS("owner of pooled limits unavailable", "address", control, "cause", cause.Error())
	}
	c.unavailableUntil[control] = now + unavailableFor
}
