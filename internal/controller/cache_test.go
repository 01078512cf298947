package controller

import (
	"sort"
	"strings"
	"testing"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/storer"
)

func item(name string, revision int64) storer.Item {
	return storer.NewItem(name, revision, []byte("x"))
}

func itemNames(cache *objectCache) string {
	var all []string
	for name := range cache.items {
		all = append(all, name)
	}
	sort.Strings(all)
	return strings.Join(all, "")
}

// syncCaches brings one cache up to date with another, as when a host fetches
// objects from another host.
func syncCaches(from, to *objectCache) {
	objects, changes := from.changesSince(to.appliedRevision())
	to.merge(objects, from.historyStart, changes)
}

func TestChangesUpdateAnotherCache(t *testing.T) {
	is := is.New(t)
	source, target := newObjectCache("k"), newObjectCache("k")
	source.replaceAll(storer.NewItemList([]storer.Item{item("a", 5), item("b", 6)}, 7))
	syncCaches(source, target)
	is.Equal(itemNames(target), "ab")
	source.applyChanges(storer.NewItemList([]storer.Item{item("c", 8), storer.NewDeletedItem("a", 9)}, 9))
	objects, changes := source.changesSince(target.appliedRevision())
	is.True(changes)
	is.Equal(len(objects.Items()), 2)
	syncCaches(source, target)
	is.Equal(itemNames(target), "bc")
	is.Equal(target.revision, int64(9))
}

// A list does not contain objects that were removed before it, so a host at an
// earlier revision than the list must get all objects. Otherwise it would keep
// the removed ones.
func TestMergeAppliesRemovalsBeforeList(t *testing.T) {
	is := is.New(t)
	source, target := newObjectCache("k"), newObjectCache("k")
	source.replaceAll(storer.NewItemList([]storer.Item{item("a", 5), item("b", 6)}, 7))
	syncCaches(source, target)
	source.replaceAll(storer.NewItemList([]storer.Item{item("b", 6)}, 8)) // a was removed at 8
	source.applyChanges(storer.NewItemList([]storer.Item{item("c", 9)}, 9))
	syncCaches(source, target)
	is.Equal(itemNames(target), "bc")
	// The same via a third cache, which is updated from target.
	third := newObjectCache("k")
	third.replaceAll(storer.NewItemList([]storer.Item{item("a", 5), item("b", 6)}, 7))
	syncCaches(target, third)
	is.Equal(itemNames(third), "bc")
}

func TestDiscardedRemovalsForceFullTransfer(t *testing.T) {
	is := is.New(t)
	source, target := newObjectCache("k"), newObjectCache("k")
	source.replaceAll(storer.NewItemList(nil, 1))
	target.replaceAll(storer.NewItemList([]storer.Item{item("x", 1)}, 1))
	for revision := int64(2); revision < 2*maxRemoved; revision++ {
		source.applyChanges(storer.NewItemList([]storer.Item{storer.NewDeletedItem("x", revision)}, revision))
	}
	_, changes := source.changesSince(target.revision)
	is.True(!changes)
	syncCaches(source, target)
	is.Equal(itemNames(target), "")
}

func TestNewerListEndsStall(t *testing.T) {
	is := is.New(t)
	cache := newObjectCache("k")
	cache.replaceAll(storer.NewItemList([]storer.Item{item("a", 5)}, 7))
	cache.recordPeerRevision(0, 9, "other")
	is.True(cache.stalled(stallTimeout))
	cache.replaceAll(storer.NewItemList([]storer.Item{item("a", 5)}, 10)) // revision 9 was a removal
	is.True(!cache.stalled(stallTimeout))
}
