package controller

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/storer"
	"magnoliahill.example/magnoliahill/internal/timekeeper"
)

const (
	discoveryTimeout = 1500 * time.Millisecond // of the first list of registered hosts
	firstStartDelay  = 400 * time.Millisecond  // the hosts of a new deployment start within 0.3 s
	initialWatchers  = 3                       // hosts of a zone that list the store at once: some of them may be down
	watchStartDelay  = 600 * time.Millisecond  // for which the others wait for those
)

// discover lists the registered hosts once, so that only a few hosts of each zone
// list the backend servers, which may be hundreds, when many hosts start together.
// On the first start of a deployment the host registers itself before, and gives
// the others time to do so.
func (l *loop) discover(ctx context.Context) {
	if l.controller.settings.FirstStart {
		go l.register(l.ownRegistration())
		if timekeeper.Sleep(ctx, firstStartDelay) != nil {
			return
		}
	}
	ctx, cancel := context.WithTimeout(ctx, discoveryTimeout)
	defer cancel()
	hosts, err := l.controller.platform.List(ctx, l.kinds.Hosts)
	l.send(&hostsDiscovered{hosts: hosts, err: err})
}

// hostsDiscovered is the result of the first list of registered hosts.
type hostsDiscovered struct {
	hosts storer.ItemList
	err   error
}

func (m *hostsDiscovered) apply(l *loop, now time.Duration) {
	l.discovering = false
	if m.err != nil {
		klog.InfoS("listing registered hosts failed", "cause", m.err.Error())
		l.startWatches()
		return
	}
	cache := l.caches[l.kinds.Hosts]
	if !cache.listed || cache.position.Before(m.hosts.Position()) {
		cache.replaceAll(m.hosts)
		l.applyHosts(now)
	}
	rank := l.gossiper.RegisteredRank()
	klog.InfoS("registered hosts listed", "hosts", len(m.hosts.Items()), "rank", rank)
	if rank < initialWatchers {
		l.startWatches()
		return
	}
	l.watchStartAt = now + watchStartDelay
	l.watcherSeenAt = l.watchStartAt - watcherTimeout
	l.sendGossip(now)
}
