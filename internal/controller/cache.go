package controller

import (
	"time"

	"magnoliahill.example/magnoliahill/internal/storer"
)

const maxRemoved = 512 // removals that are kept for other hosts

// objectCache is this host's cache of the objects of one kind.
type objectCache struct {
	kind         string
	items        map[string]storer.Item
	removed      []storer.Item // latest removals, in order of revision
	historyStart int64         // all changes up to it are in items; later removals are in removed
	revision     int64         // of the latest change; reported to other hosts; never decreases
	listed       bool          // all objects were received once, from the store or another host
	unreachable  bool          // this host's watch cannot reach the store

	peerRevision   int64         // highest revision that another host reported
	peerAddress    string        // control address of that host
	peerAheadSince time.Duration // when another host first reported a higher revision than this host's
}

func newObjectCache(kind string) *objectCache {
	return &objectCache{kind: kind, items: map[string]storer.Item{}}
}

// replaceAll replaces the cache by a complete list of the kind.
func (c *objectCache) replaceAll(all storer.ItemList) {
	c.listed = true
	c.items = make(map[string]storer.Item, len(all.Items()))
	for _, item := range all.Items() {
		if !item.Deleted() {
			c.items[item.Name()] = item
		}
		c.revision = max(c.revision, item.Revision())
	}
	// A list does not contain earlier removals, but it reflects them.
	if all.Revision() >= c.peerRevision {
		c.revision = max(c.revision, c.peerRevision)
	}
	c.removed = nil
	c.historyStart = max(all.Revision(), c.revision)
}

// merge merges the objects of another host: all of them, or those that changed
// since this cache's revision. After a merge of all objects, the history of
// removals starts at that host's historyStart.
func (c *objectCache) merge(objects storer.ItemList, historyStart int64, changes bool) {
	if changes && c.listed {
		c.applyChanges(objects)
	} else {
		c.replaceAll(objects)
		c.historyStart = historyStart
	}
	c.revision = max(c.revision, objects.Revision())
}

// applyChanges applies added, changed and removed objects.
func (c *objectCache) applyChanges(changed storer.ItemList) {
	for _, item := range changed.Items() {
		c.revision = max(c.revision, item.Revision())
		if !item.Deleted() {
			c.items[item.Name()] = item
			continue
		}
		delete(c.items, item.Name())
		c.removed = append(c.removed, item)
	}
	if excess := len(c.removed) - maxRemoved; excess > 0 {
		c.historyStart = c.removed[excess-1].Revision()
		c.removed = c.removed[excess:]
	}
}

// changesSince returns the objects that a host at the given revision lacks. The
// second result is true if these are only the changes, and false if they are all
// objects of the kind.
func (c *objectCache) changesSince(revision int64) (storer.ItemList, bool) {
	changes := revision > 0 && revision >= c.historyStart
	var items []storer.Item
	for _, item := range c.items {
		if !changes || item.Revision() > revision {
			items = append(items, item)
		}
	}
	for _, item := range c.removed {
		if changes && item.Revision() > revision && c.items[item.Name()].Name() == "" {
			items = append(items, item)
		}
	}
	return storer.NewItemList(items, c.revision), changes
}

// appliedRevision returns the revision up to which all changes are in the cache.
func (c *objectCache) appliedRevision() int64 { return max(c.revision, c.historyStart) }

// recordPeerRevision records the revision that another host reported, with its
// control address. Revisions that this cache has reached are ignored.
func (c *objectCache) recordPeerRevision(now time.Duration, revision int64, control string) {
	if revision <= c.appliedRevision() {
		return
	}
	if c.peerRevision <= c.appliedRevision() {
		c.peerAheadSince = now
	}
	if revision > c.peerRevision {
		c.peerRevision = revision
		c.peerAddress = control
	}
}

// stalled reports whether other hosts have been ahead for stallTimeout.
func (c *objectCache) stalled(now time.Duration) bool {
	return c.peerRevision > c.appliedRevision() && now-c.peerAheadSince >= stallTimeout
}
