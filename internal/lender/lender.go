// Package lender charges requests to limits that all hosts share: to the own
// part, or for a pooled limit at the host of the zone that holds it.
package lender

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"magnoliahill.example/magnoliahill/pkg/divider"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	askTimeout = 150 * time.Millisecond // within a zone an answer takes about one
	avoidFor   = time.Second            // a host that did not answer is not asked for so long
	duty       = "limit/"
)

// Asker charges a request at another host.
type Asker interface {
	Charge(ctx context.Context, control, limit string) (allowed bool, wait time.Duration, err error)
}

// Lender charges requests on behalf of one host. It is safe for concurrent use.
type Lender struct {
	self  string
	parts *divider.Divider
	asker Asker
	view  atomic.Pointer[view]

	mu    sync.Mutex
	avoid map[string]time.Duration // control addresses that are not asked until then
}

// view is the live hosts of the zone. It never changes once it is visible.
type view struct {
	hosts   []tracker.Host
	mu      sync.Mutex
	holders map[string]tracker.Host // by limit, as far as asked for
}

// New returns a lender that knows no other hosts.
func New(self string, parts *divider.Divider, asker Asker) *Lender {
	l := &Lender{self: self, parts: parts, asker: asker, avoid: map[string]time.Duration{}}
	l.view.Store(&view{holders: map[string]tracker.Host{}})
	return l
}

// SetHosts takes in the live hosts of the own zone, the own one included.
func (l *Lender) SetHosts(hosts []tracker.Host) {
	same := func(a, b tracker.Host) bool { return a.ID == b.ID }
	if slices.EqualFunc(l.view.Load().hosts, hosts, same) {
		return
	}
	l.view.Store(&view{hosts: hosts, holders: map[string]tracker.Host{}})
}

// holder returns the host that holds a limit for the zone.
func (v *view) holder(limit string) (tracker.Host, bool) {
	if len(v.hosts) == 0 {
		return tracker.Host{}, false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	known, ok := v.holders[limit]
	if !ok {
		known = tracker.Rank(duty+limit, v.hosts)[0]
		v.holders[limit] = known
	}
	return known, true
}

// Take charges one request to a limit. If it is used up, the duration says when
// there will be room.
func (l *Lender) Take(ctx context.Context, now time.Duration, limit string) (bool, time.Duration) {
	if !l.parts.Pooled(limit) {
		return l.parts.Take(now, limit)
	}
	holder, ok := l.view.Load().holder(limit)
	if !ok || holder.ID.Name == l.self {
		return l.parts.Take(now, limit)
	}
	if l.avoided(now, holder.Control) {
		return l.parts.TakeAlone(now, limit)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	allowed, wait, err := l.asker.Charge(ctx, holder.Control, limit)
	if err != nil {
		l.setAvoided(now, holder.Control)
		return l.parts.TakeAlone(now, limit)
	}
	return allowed, wait
}

// Refund gives back the charge for a request that was not sent. One that was
// charged at another host stays charged: the bound is on what arrives.
func (l *Lender) Refund(now time.Duration, limit string) {
	if !l.parts.Pooled(limit) {
		l.parts.Refund(now, limit)
	}
}

func (l *Lender) avoided(now time.Duration, control string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now < l.avoid[control]
}

func (l *Lender) setAvoided(now time.Duration, control string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoid[control] = now + avoidFor
}
