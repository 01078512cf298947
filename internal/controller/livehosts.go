package controller

import (
	"time"

	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// peerStateInterval is the shortest time between changes of the live hosts that are
// applied at once. While a large fleet starts, almost every message brings a new host.
const peerStateInterval = 50 * time.Millisecond

// applyPeerStateSoon applies the state that other hosts reported at once, or when the
// interval since the last time is over.
func (l *loop) applyPeerStateSoon(now time.Duration) {
	if l.peerStateDue {
		return
	}
	if wait := l.peerStateAt + peerStateInterval - now; l.peerStateAt > 0 && wait > 0 {
		l.peerStateDue = true
		time.AfterFunc(wait, func() { l.send(peerStateTime{}) })
		return
	}
	l.applyPeerState(now)
}

// peerStateTime makes the loop apply a delayed change of the live hosts.
type peerStateTime struct{}

func (peerStateTime) apply(l *loop, now time.Duration) {
	l.peerStateDue = false
	l.applyPeerState(now)
}

// applyLiveHosts applies the live hosts and their states, if these have changed.
func (l *loop) applyLiveHosts(now time.Duration) {
	version := l.tracker.Version(now)
	if version == l.appliedHosts {
		return
	}
	l.appliedHosts = version
	l.countHosts(now)
	live := l.tracker.Live(now)
	for kind, f := range l.followers {
		if kind != l.kinds.Hosts && kind != l.kinds.Quarantines { // hosts learn of these from one another, so they keep the longest watches
			f.SetWatcherCount(watcherCount(live))
		}
	}
	owners := l.limitOwners(live)
	l.limitOwnerCount = len(owners)
	l.controller.charger.SetHosts(owners)
	l.updateRelays(live)
	l.controller.updateLookups(live)
}

// limitOwners returns the live hosts of this host's region, which share pooled
// limits: a charge at any of them takes a few milliseconds.
func (l *loop) limitOwners(live []tracker.Host) []tracker.Host {
	var own []tracker.Host
	for _, host := range live {
		if l.controller.settings.Regions[host.Zone] == l.controller.settings.Region && (host.State == tracker.Serving || host.ID.Name == l.controller.settings.Host) {
			own = append(own, host)
		}
	}
	return own
}

// watcherCount returns the number of live hosts that watch the store: one in each
// zone.
func watcherCount(live []tracker.Host) int {
	zones := map[string]bool{}
	for _, host := range live {
		zones[host.Zone] = true
	}
	return len(zones)
}
