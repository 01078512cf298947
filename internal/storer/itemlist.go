package storer

import "github.com/pkg/errors"

// ErrRevisionExpired means that the store no longer has all changes since the given
// revision. The caller has to list the kind again.
var ErrRevisionExpired = errors.New("changes since the revision are no longer available")

// ErrRestored means that the store came back from an earlier copy while it was
// listed. The caller has to list the kind again.
var ErrRestored = errors.New("store was restored from an earlier copy")

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
// those that changed after a watch. A list in pages has the revision of its first page:
// objects on later pages may have later revisions, while other changes up to these are
// missing.
type ItemList struct {
	items    []Item
	position Position // of the store at the time of its response; never decreases within an era
	latest   int64    // revision of the store at the last page of a list; not less than that of the position
}

// ItemListOption sets one property of an ItemList.
type ItemListOption func(*ItemList)

// WithEra sets the era of the store.
func WithEra(era int64) ItemListOption {
	return func(l *ItemList) { l.position.era = era }
}

// WithLastPage sets the revision that the store had at the last page of a list in pages.
func WithLastPage(revision int64) ItemListOption {
	return func(l *ItemList) { l.latest = max(l.latest, revision) }
}

// NewItemList returns the objects that the store had at a revision. The era is not
// known unless an option sets it.
func NewItemList(items []Item, revision int64, options ...ItemListOption) ItemList {
	l := ItemList{items: items, position: NewPosition(0, revision), latest: revision}
	for _, option := range options {
		option(&l)
	}
	return l
}

// Items returns the objects. The caller must not modify the slice.
func (l ItemList) Items() []Item { return l.items }

// Revision returns the revision of the store, at which the next watch starts.
func (l ItemList) Revision() int64 { return l.position.revision }

// Position returns the position of the store.
func (l ItemList) Position() Position { return l.position }

// LastPage returns the revision of the store at the last page of a list. Changes between
// that of the list and this one may be missing, or show in the objects.
func (l ItemList) LastPage() int64 { return l.latest }

// LaterItems returns the number of objects with a later revision than the list.
func (l ItemList) LaterItems() int {
	later := 0
	for _, item := range l.items {
		if item.Revision() > l.Revision() {
			later++
		}
	}
	return later
}
