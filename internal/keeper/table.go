package keeper

import "github.com/pkg/errors"

// ErrLostHistory means that changes since the given revision can no longer be
// told. The kind has to be listed again.
var ErrLostHistory = errors.New("history of the kind is gone")

// Item is one object of a kind as it stands in a store with revisions.
type Item struct {
	name     string
	revision int64  // of its last change
	content  []byte // what its owner wrote; nil when deleted
	deleted  bool
}

// NewItem returns an object at a revision.
func NewItem(name string, revision int64, content []byte) Item {
	return Item{name: name, revision: revision, content: content}
}

// NewDeletedItem returns the news that an object was removed.
func NewDeletedItem(name string, revision int64) Item {
	return Item{name: name, revision: revision, deleted: true}
}

// Name returns the object's name, which is unique in its kind.
func (i Item) Name() string { return i.name }

// Revision returns the revision of its last change.
func (i Item) Revision() int64 { return i.revision }

// Content returns what its owner wrote.
func (i Item) Content() []byte { return i.content }

// Deleted reports whether the object was removed.
func (i Item) Deleted() bool { return i.deleted }

// Table holds objects of one kind: all of them, or those that changed.
type Table struct {
	items    []Item
	revision int64 // of the store when it answered; never falls
}

// NewTable returns objects as they stood at a revision of the store.
func NewTable(items []Item, revision int64) Table {
	return Table{items: items, revision: revision}
}

// Items returns the objects. The slice must not be changed.
func (t Table) Items() []Item { return t.items }

// Revision returns the store's revision, from which a watch continues.
func (t Table) Revision() int64 { return t.revision }
