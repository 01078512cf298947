package storer

import "github.com/pkg/errors"

// ErrRevisionExpired means that the store no longer has all changes since the given
// revision. The caller has to list the kind again.
var ErrRevisionExpired = errors.New("changes since the revision are no longer available")

// Item is one object of a kind in a store that numbers its changes by revision.
type Item struct {
	name     string
	revision int64  // of the object's last change
	content  []byte // as its owner wrote it; nil if deleted
	deleted  bool
}

// NewItem returns an object that was last changed at a revision.
func NewItem(name string, revision int64, content []byte) Item {
	return Item{name: name, revision: revision, content: content}
}

// NewDeletedItem returns an item for an object that was deleted at a revision.
func NewDeletedItem(name string, revision int64) Item {
	return Item{name: name, revision: revision, deleted: true}
}

// Name returns the object's name, which is unique within its kind.
func (i Item) Name() string { return i.name }

// Revision returns the revision of the object's last change.
func (i Item) Revision() int64 { return i.revision }

// Content returns the object as its owner wrote it, or nil if it was deleted.
func (i Item) Content() []byte { return i.content }

// Deleted reports whether the object was deleted.
func (i Item) Deleted() bool { return i.deleted }

// ItemList holds objects of one kind at a revision: all of them after a list, or
// those that changed after a watch.
type ItemList struct {
	items    []Item
	revision int64 // of the store at the time of its response; never decreases
}

// NewItemList returns the objects that the store had at a revision.
func NewItemList(items []Item, revision int64) ItemList {
	return ItemList{items: items, revision: revision}
}

// Items returns the objects. The caller must not modify the slice.
func (l ItemList) Items() []Item { return l.items }

// Revision returns the revision of the store, at which the next watch starts.
func (l ItemList) Revision() int64 { return l.revision }
