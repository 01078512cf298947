package controller

import (
	"time"

	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	outageRetention = time.Minute            // time for which a past outage is reported; registrations return in seconds
	returnStep      = 100 * time.Millisecond // differences that are due to the network are smaller, and are not logged
)

// storeOutage reports whether the store is unreachable for more than this host.
func (l *loop) storeOutage(now time.Duration) bool {
	if !l.caches[l.kinds.Servers].unreachable || l.registrar.ConfirmedLocalOutage(now) {
		return false
	}
	l.outageAt = now
	return true
}

// storeUnreachable reports whether this host watches the store but cannot reach it.
func (l *loop) storeUnreachable() bool {
	for _, cache := range l.caches {
		if l.watching && cache.unreachable {
			return true
		}
	}
	return false
}

// applyStoreState applies what another host knows about the reach of the store.
func (l *loop) applyStoreState(now time.Duration, host tracker.Host, m *peerv1.Greeting) {
	if m.GetWatching() && !m.GetStoreLost() {
		sinceOutage := outageRetention
		if ms := m.GetLostBefore(); ms > 0 {
			sinceOutage = time.Duration(ms) * time.Millisecond
		}
		if m.GetBlind() {
			l.registrar.StoreReachableElsewhere(now-sinceOutage, now)
		} else {
			l.registrar.StoreReachedByOther(now-sinceOutage, now)
		}
		l.reachedBy = host.ID.Name
	}
	if ms := m.GetReturnedBefore(); ms > 0 {
		l.noteReturn(now, time.Duration(ms)*time.Millisecond, host.ID.Name)
	}
	if m.GetWatching() && host.Zone == l.controller.settings.Zone {
		l.watcherSeen(now, host.ID.Name, m.GetStoreLost())
	}
}

// noteReturn records that the store answered a host, or a call of this host for a kind,
// some time ago.
func (l *loop) noteReturn(now, age time.Duration, from string) {
	before, known := l.registrar.Returned(now)
	l.registrar.StoreReturned(now-age, now)
	if at, ok := l.registrar.Returned(now); ok && (!known || before-at >= returnStep) {
		klog.InfoS("return of the store noted", "from", from, "age", now-at)
	}
}

// watcherSeen records a gossip message of another host of the zone that watches the
// store, and whether the store is unreachable there. A failure at a host that reached
// the store before is not a late one.
func (l *loop) watcherSeen(now time.Duration, host string, lost bool) {
	l.watcherSeenAt = now
	switch {
	case l.watching:
	case !lost:
		l.registrar.StoreRegained(now)
	case host == l.reachedBy || !l.registrar.LateFailure(now):
		l.outageAt = now
		l.registrar.StoreLost(now)
	}
}

// returnedBefore returns the milliseconds since the store returned from its latest
// outage. It returns 0 if this host cannot reach the store, so that hosts which
// cannot do not confirm to one another what only a past answer showed, and if the
// return is long ago. They are rounded down, so that the return does not become earlier
// as hosts pass it on.
func (l *loop) returnedBefore(now time.Duration) uint32 {
	at, known := l.registrar.Returned(now)
	if !known || !l.registrar.Reachable() || now-at >= outageRetention {
		return 0
	}
	return uint32(max(1, (now - at).Milliseconds()))
}
