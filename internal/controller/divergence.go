package controller

import (
	"time"

	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// divergenceTimeout is the time after which a host that does not watch fetches all objects
// if they differ from those of a watching host. Until then the difference may be a change
// on its way, or a stalled watch, which is renewed after stallTimeout.
const divergenceTimeout = 1500 * time.Millisecond

// divergence is a difference between the objects of this host and those of a watching host
// of its zone. A removal that only watching hosts saw which then crashed shows in no
// position: a host that starts and lists the store does not know the removed object.
type divergence struct {
	watcher     string // control address; "" if there is no difference
	own, theirs uint32 // hashes of the objects
	since       time.Duration
	resynced    bool // all objects are fetched again
}

// objectsHash returns a hash of the objects of all kinds, or 0 if a kind is not listed in
// the era or the cache may lack changes.
func (l *loop) objectsHash(era int64) uint32 {
	sum := uint32(0)
	for _, cache := range l.caches {
		if !cache.listed || cache.incomplete || cache.partial() || cache.peerAhead() || cache.position.Era() != era {
			return 0
		}
		sum += cache.hash()
	}
	return max(sum, 1)
}

// watchedObjectsHash returns the hash to send to other hosts, or 0 if this host does not
// watch the store.
func (l *loop) watchedObjectsHash(era int64) uint32 {
	if !l.watching || l.storeUnreachable() {
		return 0
	}
	return l.objectsHash(era)
}

// compareObjects compares the objects of this host with those of the host that sent a
// message. If they go on to differ, all objects are fetched from that host.
func (l *loop) compareObjects(now time.Duration, host tracker.Host, m *peerv1.Greeting) {
	theirs := m.GetObjectsHash()
	sameKinds := len(m.GetPositions()) == len(l.kindOrder) // other builds may have other kinds
	if l.watching || theirs == 0 || host.Zone != l.controller.settings.Zone || !sameKinds {
		return
	}
	own := l.objectsHash(m.GetEra())
	if own == 0 || own == theirs {
		l.divergence = divergence{}
		return
	}
	d := &l.divergence
	if d.watcher != "" && d.watcher != host.Control && now-d.since < 2*divergenceTimeout {
		return // one host is compared with at a time, unless it may have crashed
	}
	if d.watcher != host.Control || d.own != own || d.theirs != theirs {
		*d = divergence{watcher: host.Control, own: own, theirs: theirs, since: now}
	}
	if now-d.since < divergenceTimeout || d.resynced {
		return
	}
	d.resynced = true
	klog.InfoS("objects differ from those of a watching host", "host", host.ID.Name, "since", now-d.since)
	l.controller.recorder.Scope().Counter("objects_differing").Inc(1)
	for _, cache := range l.caches {
		cache.resync()
		cache.watcher = host.Control
	}
}
