package conductor

import (
	"time"

	"magnoliahill.example/magnoliahill/internal/keeper"
)

const maxRemoved = 512 // removals that are remembered for other hosts

// table is the objects of one kind as this host knows them.
type table struct {
	kind     string
	items    map[string]keeper.Item
	removed  []keeper.Item // latest removals, by revision
	complete int64         // all changes up to it are in items, and those after it in items or removed
	revision int64         // of the latest change known, told to other hosts; never falls
	known    bool          // the kind was listed, by the store or another host
	lost     bool          // the store does not answer this host

	ahead      int64         // furthest revision that another host told of
	aheadHost  string        // its control address
	aheadSince time.Duration // when one was first ahead
}

func newTable(kind string) *table { return &table{kind: kind, items: map[string]keeper.Item{}} }

// replace takes in all objects of the kind.
func (t *table) replace(all keeper.Table) {
	t.known = true
	t.items = make(map[string]keeper.Item, len(all.Items()))
	for _, item := range all.Items() {
		if !item.Deleted() {
			t.items[item.Name()] = item
		}
		t.revision = max(t.revision, item.Revision())
	}
	// What was removed before is not told by a list, but it is in it.
	if all.Revision() >= t.ahead {
		t.revision = max(t.revision, t.ahead)
	}
	t.removed = nil
	t.complete = max(all.Revision(), t.revision)
}

// learn takes in what another host knows: all objects, or what changed since the
// own revision. That host knows all removals after a revision of its own.
func (t *table) learn(objects keeper.Table, complete int64, changes bool) {
	if changes && t.known {
		t.change(objects)
	} else {
		t.replace(objects)
		t.complete = complete
	}
	t.revision = max(t.revision, objects.Revision())
}

// change takes in objects that changed.
func (t *table) change(changed keeper.Table) {
	for _, item := range changed.Items() {
		t.revision = max(t.revision, item.Revision())
		if !item.Deleted() {
			t.items[item.Name()] = item
			continue
		}
		delete(t.items, item.Name())
		t.removed = append(t.removed, item)
	}
	if excess := len(t.removed) - maxRemoved; excess > 0 {
		t.complete = t.removed[excess-1].Revision()
		t.removed = t.removed[excess:]
	}
}

// since returns what another host lacks that knows the kind up to a revision,
// and whether that is only the changes.
func (t *table) since(revision int64) (keeper.Table, bool) {
	changes := revision > 0 && revision >= t.complete
	var items []keeper.Item
	for _, item := range t.items {
		if !changes || item.Revision() > revision {
			items = append(items, item)
		}
	}
	for _, item := range t.removed {
		if changes && item.Revision() > revision && t.items[item.Name()].Name() == "" {
			items = append(items, item)
		}
	}
	return keeper.NewTable(items, t.revision), changes
}

// upTo returns the revision up to which all changes are known.
func (t *table) upTo() int64 { return max(t.revision, t.complete) }

// heard takes in how far another host has followed the kind.
func (t *table) heard(now time.Duration, revision int64, control string) {
	if revision <= t.upTo() {
		return
	}
	if t.ahead <= t.upTo() {
		t.aheadSince = now
	}
	if revision > t.ahead {
		t.ahead = revision
		t.aheadHost = control
	}
}

// behind reports whether others have been ahead for a while.
func (t *table) behind(now time.Duration) bool {
	return t.ahead > t.upTo() && now-t.aheadSince >= behindFor
}
