package controller

import (
	"bytes"
	"maps"
	"time"

	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/storer"
)

const (
	hostRetention       = time.Hour               // a host that is cut off cannot register again, and has its part of the limits
	quarantineRetention = time.Minute             // hosts that watch the store write them again within seconds
	missingRetention    = 2300 * time.Millisecond // backend servers register again within about two seconds
	staleRetention      = 6 * time.Second         // by then operators have written evacuations again, and the store has removed servers that left, after 4.5 s
)

// removal is an object that was removed, with its last known state.
type removal struct {
	storer.Item
	last storer.Item
}

// retention is the state of an object in an earlier era of the store, which still
// applies although the copy that the store came back from says otherwise.
type retention struct {
	removal               // the object, or its removal
	until   time.Duration // when the store's state applies, unless the object changes before
}

// precedence reports whether one state of an object is certainly newer than another
// one, by what its writer put into it.
type precedence func(item, other storer.Item) bool

// heldObjects is what a cache applied at one time.
type heldObjects struct {
	position storer.Position
	items    map[string]storer.Item
	removed  map[string]removal
}

// held returns what the cache applies.
func (c *objectCache) held() heldObjects {
	h := heldObjects{position: c.position, items: c.effective(), removed: map[string]removal{}}
	for _, r := range c.gone {
		h.removed[r.Name()] = r
	}
	for name, r := range c.retained {
		if r.Deleted() {
			h.removed[name] = r.removal
		}
	}
	return h
}

// recordGone records that an object was removed, with its last known state.
func (c *objectCache) recordGone(name string, last storer.Item, revision int64) {
	c.gone = append(c.gone, removal{Item: storer.NewDeletedItem(name, revision), last: last})
	c.gone = c.gone[max(0, len(c.gone)-maxRemoved):]
}

// effective returns the objects that apply: those of the store, except for what is
// retained of an earlier era.
func (c *objectCache) effective() map[string]storer.Item {
	if len(c.retained) == 0 {
		return c.items
	}
	items := maps.Clone(c.items)
	for name, r := range c.retained {
		if r.Deleted() {
			delete(items, name)
		} else {
			items[name] = r.Item
		}
	}
	return items
}

// retain keeps what was held before the store was restored: what the copy lacks for
// the given time, and what it has in a state that is not certainly newer.
func (c *objectCache) retain(now, missing time.Duration, before heldObjects, newer precedence) {
	c.retained = map[string]retention{}
	c.retainedAt = c.position.Revision()
	for name, item := range before.items {
		current, ok := c.items[name]
		switch {
		case !ok:
			c.retained[name] = retention{removal: removal{Item: item, last: item}, until: now + missing}
		case !bytes.Equal(current.Content(), item.Content()) && !newer(current, item):
			c.retained[name] = retention{removal: removal{Item: item, last: item}, until: now + staleRetention}
		}
	}
	for name, r := range before.removed {
		if _, present := before.items[name]; present {
			continue
		}
		if current, ok := c.items[name]; ok && !newer(current, r.last) {
			c.retained[name] = retention{removal: r, until: now + staleRetention}
		}
	}
}

// release ends the retention of the objects that changed in the present era, except
// where the change is certainly older. It returns the changes that apply.
func (c *objectCache) release(changes []storer.Item, newer precedence) []storer.Item {
	var applied []storer.Item
	for _, item := range changes {
		r, ok := c.retained[item.Name()]
		if ok && !item.Deleted() && newer(r.last, item) {
			continue
		}
		delete(c.retained, item.Name())
		applied = append(applied, item)
	}
	return applied
}

// releaseListed ends the retention of objects that a later list of the same era shows
// as changed since the retention began.
func (c *objectCache) releaseListed(newer precedence) {
	for name, r := range c.retained {
		if item, ok := c.items[name]; ok && item.Revision() > c.retainedAt && !newer(r.last, item) {
			delete(c.retained, name)
		}
	}
}

// releaseExpired ends the retentions whose time is over and returns their number.
func (c *objectCache) releaseExpired(now time.Duration) int {
	expired := 0
	for name, r := range c.retained {
		if now >= r.until {
			delete(c.retained, name)
			expired++
		}
	}
	return expired
}

// adopt retains what another host retains, except for objects that changed here after
// the other host's list of the era.
func (c *objectCache) adopt(now time.Duration, others []retention, at int64, newer precedence) int {
	changed := map[string]bool{}
	for _, item := range c.removed {
		changed[item.Name()] = item.Revision() > at
	}
	adopted := 0
	for _, r := range others {
		current, present := c.items[r.Name()]
		_, known := c.retained[r.Name()]
		if known || changed[r.Name()] || present && (current.Revision() > at || newer(current, r.last)) || now >= r.until {
			continue
		}
		if c.retained == nil {
			c.retained = map[string]retention{}
		}
		c.retained[r.Name()] = r
		adopted++
	}
	c.retainedAt = max(c.retainedAt, at)
	return adopted
}

// replaceObjects updates a cache with a complete list, by the given function. After a
// restore of the store, what this host knew beyond the copy is retained.
func (l *loop) replaceObjects(now time.Duration, cache *objectCache, update func()) {
	before := cache.held()
	wasListed := cache.listed
	update()
	if !wasListed || cache.position.SameEra(before.position) {
		cache.releaseListed(l.precedence(cache.kind))
		return
	}
	missing := missingRetention
	switch cache.kind {
	case l.kinds.Config:
		return // its version says which is newer
	case l.kinds.Hosts:
		missing = hostRetention
	case l.kinds.Quarantines:
		missing = quarantineRetention
	case l.kinds.Evacuations:
		missing = staleRetention
	}
	cache.retain(now, missing, before, l.precedence(cache.kind))
	if len(cache.retained) > 0 {
		klog.InfoS("objects retained after store restore", "kind", cache.kind, "objects", len(cache.retained),
			"era", cache.position.Era(), "revision", cache.position.Revision())
	}
}

// releaseExpired applies the store's state of objects whose retention is over.
func (l *loop) releaseExpired(now time.Duration) {
	for kind, cache := range l.caches {
		if expired := cache.releaseExpired(now); expired > 0 {
			klog.InfoS("retention of objects ended", "kind", kind, "objects", expired)
			l.applyUpdate(now, kind, nil)
		}
	}
}

// precedence returns the precedence of a kind's objects. Registrations of backend
// servers say by themselves which is newer.
func (l *loop) precedence(kind string) precedence {
	if kind != l.kinds.Servers {
		return func(storer.Item, storer.Item) bool { return false }
	}
	return l.controller.platform.RegistrationPrecedes
}
