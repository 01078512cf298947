package controller

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliahill.example/magnoliahill/internal/storer"
)

const (
	maxRemoved    = 512 // removals that are kept for other hosts
	firstRevision = 1   // lowest revision of a store; that of a kind without objects
)

// objectCache is this host's cache of the objects of one kind.
type objectCache struct {
	kind         string
	items        map[string]storer.Item // may have later revisions than the position, of a list in pages
	removed      []storer.Item          // latest removals of the present era, in order of revision
	historyStart int64                  // all changes of the present era up to it are in items; later removals are in removed
	position     storer.Position        // all changes up to it are in items; reported to other hosts; never decreases
	listed       bool                   // all objects were received once, from the store or another host
	unreachable  bool                   // this host's watch cannot reach the store
	incomplete   bool                   // the last changes before this host stopped watching may be missing
	resyncAt     time.Duration          // when all objects are fetched again from a watching host if the cache is still incomplete
	watcher      string                 // control address of a watching host while the cache is incomplete; "" if none is known
	partialTo    int64                  // changes after historyStart up to it are in items only in part, as in the last list in pages; 0 if there are none
	retained     map[string]retention   // what applies of an earlier era, by name
	gone         []removal              // latest objects that were removed in any era, the last one last
	firstEra     int64                  // era of the first list; 0 if it was not known
	itemsHash    uint32                 // of items; 0 if it is not known
	retainedAt   int64                  // revision of the list of the present era from which on changes end retentions

	peerPosition   storer.Position // latest position that another host reported
	peerAddress    string          // control address of that host
	peerAheadSince time.Duration   // when another host first reported a later position than this host's
	relistedEra    int64           // latest era of another host for which the watch was renewed
}

func newObjectCache(kind string) *objectCache {
	return &objectCache{kind: kind, items: map[string]storer.Item{}}
}

// enterEra prepares the cache for a list or for changes at a position. Revisions
// of earlier eras mean nothing in a later one. It returns false if the position
// belongs to an earlier era than the cache.
func (c *objectCache) enterEra(p storer.Position) bool {
	if c.position.SameEra(p) {
		c.position = storer.NewPosition(max(c.position.Era(), p.Era()), c.position.Revision())
		return true
	}
	if p.Before(c.position) {
		return false
	}
	c.position = storer.NewPosition(p.Era(), 0)
	c.historyStart = 0
	c.partialTo = 0
	c.removed = nil
	return true
}

// hash returns a hash of the objects, which does not depend on their order. Equal objects
// of two hosts have equal hashes whatever the hosts' positions are.
func (c *objectCache) hash() uint32 {
	if c.itemsHash == 0 {
		var buffer []byte
		for name, item := range c.items {
			buffer = binary.LittleEndian.AppendUint64(append(buffer[:0], c.kind...), uint64(item.Revision()))
			c.itemsHash += uint32(xxhash.Sum64(append(buffer, name...)))
		}
	}
	return c.itemsHash
}

// advance raises the cache's revision.
func (c *objectCache) advance(revision int64) {
	c.position = storer.NewPosition(c.position.Era(), max(c.position.Revision(), revision))
}

// replaceAll replaces the cache by a complete list of the kind. A list of an
// earlier era is ignored, and so is a late one of the same era; it returns false then.
func (c *objectCache) replaceAll(all storer.ItemList) bool {
	if !c.replaceBy(all, all.Revision()) {
		return false
	}
	if all.LastPage() > all.Revision() {
		c.partialTo = all.LastPage()
	}
	return true
}

// partial reports whether the cache holds a list in pages in which some changes show in
// part, and the watch has not brought these.
func (c *objectCache) partial() bool { return c.partialTo != 0 }

// replaceBy replaces the cache by a complete list that holds all changes up to a revision.
// A list in pages may show later states of some objects, while the changes of others
// between are missing. So its later states raise no position, and it does not take
// precedence over what the cache has of later revisions.
func (c *objectCache) replaceBy(all storer.ItemList, completeTo int64) bool {
	if all.Position().Before(c.position) {
		return false
	}
	if !c.listed {
		c.firstEra = all.Position().Era()
	}
	known, sameEra := c.items, c.position.SameEra(all.Position())
	if !c.enterEra(all.Position()) {
		return false
	}
	c.listed = true
	c.incomplete = false
	c.itemsHash = 0
	c.items = make(map[string]storer.Item, len(all.Items()))
	c.advance(firstRevision)
	for _, item := range all.Items() {
		if !item.Deleted() {
			c.items[item.Name()] = item
		}
		c.advance(min(item.Revision(), completeTo))
	}
	if sameEra {
		c.keepLater(known, completeTo)
	}
	if sameEra && c.partialTo != 0 {
		c.advance(completeTo) // the last list may lack objects that were removed after its first page, which no event reports any more
	}
	c.partialTo = 0
	// A list does not contain earlier removals, but it reflects them.
	if c.peerPosition.SameEra(c.position) && completeTo >= c.peerPosition.Revision() {
		c.advance(c.peerPosition.Revision())
	}
	c.removed = nil
	c.historyStart = max(completeTo, c.position.Revision())
	return true
}

// keepLater adds what was known before a list that is complete up to a revision, if it
// is later than that revision, and records the other objects that the list lacks as gone.
func (c *objectCache) keepLater(known map[string]storer.Item, completeTo int64) {
	for name, item := range known {
		listed, ok := c.items[name]
		switch {
		case item.Revision() > completeTo && item.Revision() > listed.Revision():
			c.items[name] = item
		case !ok:
			c.recordGone(name, item, completeTo)
			c.advance(completeTo) // makes other hosts fetch the removal, which no event may report
		}
	}
}

// resync makes this host fetch all objects of the kind from a watching host. It is called
// when this host stops watching: the last changes may not have arrived, and hosts that
// listed the kind after a removal do not report it.
func (c *objectCache) resync() { c.incomplete, c.watcher = true, "" }

// missing returns the position after which this host lacks objects.
func (c *objectCache) missing() storer.Position {
	if c.incomplete {
		return storer.NewPosition(c.position.Era(), 0)
	}
	return c.appliedPosition()
}

// accepts reports whether objects of another host, with its history of removals, are to
// be merged. An incomplete cache accepts all objects of a host that has every change
// which this host has: it applied a change that is no earlier than the latest one
// here, or listed the kind no earlier.
func (c *objectCache) accepts(objects storer.ItemList, historyStart int64, changes bool) bool {
	position := objects.Position()
	if c.incomplete && !changes {
		listedAt := storer.NewPosition(position.Era(), historyStart)
		return !position.Before(c.position) || !listedAt.Before(c.appliedPosition())
	}
	return c.appliedPosition().Before(position)
}

// merge merges the objects of another host: all of them, or those that changed
// since this cache's position, of which it returns those that it applied. After a
// merge of all objects, the history of removals starts at their position, or at that
// host's historyStart if that is later: they reflect earlier removals without naming them.
//
// An incomplete cache is complete after a merge of all objects of a watching host only:
// others may lack the same changes.
func (c *objectCache) merge(objects storer.ItemList, historyStart int64, changes, fromWatcher bool) []storer.Item {
	incomplete := c.incomplete && !fromWatcher
	var applied []storer.Item
	switch {
	case changes && c.listed:
		applied = c.applyChanges(objects)
	case objects.Position().SameEra(c.position) || c.position.Before(objects.Position()):
		before := c.position
		if c.incomplete {
			c.position = storer.NewPosition(c.position.Era(), 0)
		}
		c.replaceBy(objects, max(objects.Revision(), historyStart))
		if before.Era() == c.position.Era() {
			c.advance(before.Revision()) // accepts lets an incomplete cache merge no objects that are complete to less
		}
	}
	if c.position.SameEra(objects.Position()) {
		c.advance(objects.Revision())
	}
	c.incomplete = c.incomplete || incomplete
	return applied
}

// applyChanges applies added, changed and removed objects of the cache's era, and
// returns them. It ignores those of another era, and those that arrive after a later
// state of the object.
func (c *objectCache) applyChanges(changed storer.ItemList) []storer.Item {
	if !c.position.SameEra(changed.Position()) {
		return nil
	}
	var applied []storer.Item
	for _, item := range changed.Items() {
		if c.reflects(item) {
			continue
		}
		c.itemsHash = 0
		applied = append(applied, item)
		c.advance(min(item.Revision(), changed.Revision()))
		if !item.Deleted() {
			c.items[item.Name()] = item
			continue
		}
		c.recordGone(item.Name(), c.items[item.Name()], item.Revision())
		delete(c.items, item.Name())
		c.removed = append(c.removed, item)
	}
	if changed.Revision() >= c.partialTo {
		c.partialTo = 0
	}
	if excess := len(c.removed) - maxRemoved; excess > 0 {
		c.historyStart = c.removed[excess-1].Revision()
		c.removed = c.removed[excess:]
	}
	return applied
}

// reflects reports whether a state of an object, or a later one, is in the cache.
func (c *objectCache) reflects(item storer.Item) bool {
	if item.Revision() <= c.historyStart || item.Revision() < c.items[item.Name()].Revision() {
		return true
	}
	return slices.ContainsFunc(c.removed, func(r storer.Item) bool {
		return r.Name() == item.Name() && r.Revision() > item.Revision()
	})
}

// changesSince returns the objects that a host at the given position lacks. The
// second result is true if these are only the changes, and false if they are all
// objects of the kind.
func (c *objectCache) changesSince(p storer.Position) (storer.ItemList, bool) {
	revision := p.Revision()
	changes := p.SameEra(c.position) && revision > 0 && revision >= c.historyStart
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
	return storer.NewItemList(items, c.position.Revision(), storer.WithEra(c.position.Era())), changes
}

// appliedPosition returns the position up to which all changes are in the cache.
func (c *objectCache) appliedPosition() storer.Position {
	return storer.NewPosition(c.position.Era(), max(c.position.Revision(), c.historyStart))
}

// peerAhead reports whether another host reported a later position than this host's.
func (c *objectCache) peerAhead() bool { return c.appliedPosition().Before(c.peerPosition) }

// recordPeerPosition records the position that another host reported, with its
// control address and whether it watches the store. Positions that this cache has reached
// are ignored.
func (c *objectCache) recordPeerPosition(now time.Duration, p storer.Position, control string, watching bool) {
	if c.incomplete && watching && c.watcher == "" {
		c.watcher = control
	}
	if !c.appliedPosition().Before(p) {
		return
	}
	if !c.peerAhead() {
		c.peerAheadSince = now
	}
	if c.peerPosition.Before(p) {
		c.peerPosition = p
		c.peerAddress = control
	}
}

// stalled reports whether this host's watch has to be renewed: other hosts have been
// ahead for stallTimeout, or they have seen a later era of the store.
func (c *objectCache) stalled(now time.Duration) bool {
	if !c.peerAhead() {
		return false
	}
	restored := !c.peerPosition.SameEra(c.position) && c.relistedEra < c.peerPosition.Era()
	return restored || now-c.peerAheadSince >= stallTimeout
}

// watchRenewed records that the watch is being renewed since other hosts are ahead.
func (c *objectCache) watchRenewed(now time.Duration) {
	c.peerAheadSince = now
	c.relistedEra = c.peerPosition.Era()
}
