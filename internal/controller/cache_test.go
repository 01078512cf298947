package controller

import (
	"sort"
	"strings"
	"testing"
	"time"

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
	objects, changes := from.changesSince(to.appliedPosition())
	to.merge(objects, from.historyStart, changes, true)
}

func TestChangesUpdateAnotherCache(t *testing.T) {
	is := is.New(t)
	source, target := newObjectCache("k"), newObjectCache("k")
	source.replaceAll(storer.NewItemList([]storer.Item{item("a", 5), item("b", 6)}, 7))
	syncCaches(source, target)
	is.Equal(itemNames(target), "ab")
	source.applyChanges(storer.NewItemList([]storer.Item{item("c", 8), storer.NewDeletedItem("a", 9)}, 9))
	objects, changes := source.changesSince(target.appliedPosition())
	is.True(changes)
	is.Equal(len(objects.Items()), 2)
	syncCaches(source, target)
	is.Equal(itemNames(target), "bc")
	is.Equal(target.position.Revision(), int64(9))
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
	_, changes := source.changesSince(target.position)
	is.True(!changes)
	syncCaches(source, target)
	is.Equal(itemNames(target), "")
}

func TestNewerListEndsStall(t *testing.T) {
	is := is.New(t)
	cache := newObjectCache("k")
	cache.replaceAll(storer.NewItemList([]storer.Item{item("a", 5)}, 7))
	cache.recordPeerPosition(0, storer.NewPosition(0, 9), "other", true)
	is.True(cache.stalled(stallTimeout))
	cache.replaceAll(storer.NewItemList([]storer.Item{item("a", 5)}, 10)) // revision 9 was a removal
	is.True(!cache.stalled(stallTimeout))
}

func inEra(era, revision int64, items ...storer.Item) storer.ItemList {
	return storer.NewItemList(items, revision, storer.WithEra(era))
}

func TestRevisionsGivenOutAgainReachAnotherCache(t *testing.T) {
	is := is.New(t)
	source, target := newObjectCache("k"), newObjectCache("k")
	source.replaceAll(inEra(1, 90, item("a", 90)))
	syncCaches(source, target)
	source.replaceAll(inEra(2, 40, item("a", 30)))
	source.applyChanges(inEra(2, 41, item("b", 41)))
	target.recordPeerPosition(0, source.position, "other", true)
	is.True(target.peerAhead())
	is.True(target.stalled(0)) // at once, not after stallTimeout
	syncCaches(source, target)
	is.Equal(itemNames(target), "ab")
	is.Equal(target.position, source.position)
	source.applyChanges(inEra(2, 42, storer.NewDeletedItem("a", 42)))
	_, changes := source.changesSince(target.appliedPosition())
	is.True(changes)
	syncCaches(source, target)
	is.Equal(itemNames(target), "b")
}

func TestAnswerOfAnEarlierEraIsIgnored(t *testing.T) {
	is := is.New(t)
	cache := newObjectCache("k")
	cache.replaceAll(inEra(2, 40, item("a", 30)))
	cache.replaceAll(inEra(1, 90, item("b", 90)))
	cache.applyChanges(inEra(1, 91, item("c", 91)))
	cache.merge(inEra(1, 92, item("d", 92)), 92, true, true)
	cache.recordPeerPosition(0, storer.NewPosition(1, 99), "other", true)
	is.Equal(itemNames(cache), "a")
	is.Equal(cache.appliedPosition(), storer.NewPosition(2, 40))
	is.True(!cache.peerAhead())
}

func TestAnswerWithoutAnEraBelongsToTheKnownOne(t *testing.T) {
	is := is.New(t)
	cache := newObjectCache("k")
	cache.replaceAll(inEra(2, 40, item("a", 30)))
	cache.applyChanges(storer.NewItemList([]storer.Item{item("b", 41)}, 41))
	cache.replaceAll(storer.NewItemList([]storer.Item{item("a", 30), item("c", 43)}, 43))
	is.Equal(itemNames(cache), "ac")
	is.Equal(cache.position, storer.NewPosition(2, 43))
}

// newerByContent stands in for what the writers of objects say.
func newerByContent(item, other storer.Item) bool {
	return string(item.Content()) > string(other.Content())
}

func written(name string, revision int64, content string) storer.Item {
	return storer.NewItem(name, revision, []byte(content))
}

func effectiveContents(c *objectCache) string {
	var all []string
	for name, item := range c.effective() {
		all = append(all, name+string(item.Content()))
	}
	sort.Strings(all)
	return strings.Join(all, " ")
}

// restoredCache held a2, b1 and d1, and has removed c1, when the store comes back with
// the given objects.
func restoredCache(copied ...storer.Item) *objectCache {
	c := newObjectCache("k")
	c.replaceAll(inEra(1, 20, written("a", 10, "2"), written("b", 11, "1"), written("c", 12, "1"), written("d", 13, "1")))
	c.applyChanges(inEra(1, 21, storer.NewDeletedItem("c", 21)))
	before := c.held()
	c.replaceAll(inEra(2, 15, copied...))
	c.retain(0, missingRetention, before, newerByContent)
	return c
}

func TestOlderObjectsOfARestoredStoreReplaceNothing(t *testing.T) {
	is := is.New(t)
	c := restoredCache(written("a", 9, "1"), written("c", 12, "1"), written("d", 14, "2"))
	is.Equal(effectiveContents(c), "a2 b1 d2") // a is older in the copy, b is missing, c was removed, d is newer
	is.Equal(c.releaseExpired(missingRetention-1), 0)
	is.Equal(c.releaseExpired(missingRetention), 1)
	is.Equal(effectiveContents(c), "a2 d2") // b was not written again
	is.Equal(c.releaseExpired(staleRetention), 2)
	is.Equal(effectiveContents(c), "a1 c1 d2") // the store's state applies in the end
}

func TestChangesAfterARestoreApplyAtOnce(t *testing.T) {
	is := is.New(t)
	c := restoredCache(written("a", 9, "1"), written("c", 12, "1"))
	change := func(items ...storer.Item) int {
		c.applyChanges(inEra(2, items[len(items)-1].Revision(), items...))
		return len(c.release(items, newerByContent))
	}
	is.Equal(change(written("a", 16, "1")), 0) // written again, but older than what was held
	is.Equal(change(written("a", 17, "3")), 1)
	is.Equal(change(written("c", 18, "2")), 1)
	is.Equal(change(storer.NewDeletedItem("d", 19)), 1)
	is.Equal(effectiveContents(c), "a3 b1 c2")
	c.replaceAll(inEra(2, 22, written("a", 17, "3"), written("b", 20, "1"), written("c", 18, "2")))
	c.releaseListed(newerByContent)
	is.Equal(len(c.retained), 0)
}

func TestSecondRestoreKeepsWhatTheFirstOneLost(t *testing.T) {
	is := is.New(t)
	c := restoredCache(written("a", 9, "1"), written("c", 12, "1"))
	before := c.held()
	c.replaceAll(inEra(3, 12, written("a", 9, "1"), written("c", 12, "1")))
	c.retain(time.Second, missingRetention, before, newerByContent)
	is.Equal(effectiveContents(c), "a2 b1 d1")
}

func TestRemovalThatOnlyAListShowsReachesOtherHosts(t *testing.T) {
	is := is.New(t)
	source, target := newObjectCache("k"), newObjectCache("k")
	source.replaceAll(inEra(1, 7, item("a", 5), item("b", 6)))
	syncCaches(source, target)
	source.replaceAll(inEra(1, 9, item("b", 6))) // the event of the removal was lost with the history
	target.recordPeerPosition(0, source.position, "other", true)
	is.True(target.peerAhead())
	syncCaches(source, target)
	is.Equal(itemNames(target), "b")
}

// The removal came after this host's last list and before the first one of the host
// that watches now.
func TestHostThatStopsWatchingLearnsOfTheLastRemoval(t *testing.T) {
	is := is.New(t)
	watcher, stopped := newObjectCache("k"), newObjectCache("k")
	stopped.replaceAll(inEra(1, 7, item("a", 5), item("b", 6)))
	watcher.replaceAll(inEra(1, 8, item("a", 5)))
	stopped.resync()
	stopped.recordPeerPosition(0, watcher.position, "watcher", true)
	is.Equal(stopped.watcher, "watcher")
	objects, changes := watcher.changesSince(stopped.missing())
	is.True(stopped.accepts(objects, watcher.historyStart, changes))
	stopped.merge(objects, watcher.historyStart, changes, true)
	is.Equal(itemNames(stopped), "a")
	is.True(!stopped.incomplete)
}

func TestHostThatStopsWatchingAcceptsNoEarlierState(t *testing.T) {
	is := is.New(t)
	watcher, stopped := newObjectCache("k"), newObjectCache("k")
	watcher.replaceAll(inEra(1, 6, item("a", 5)))
	stopped.replaceAll(inEra(1, 8, item("a", 7)))
	stopped.resync()
	objects, changes := watcher.changesSince(stopped.missing())
	is.True(!stopped.accepts(objects, watcher.historyStart, changes))
}

func TestLateAnswersOfAnEraChangeNothing(t *testing.T) {
	is := is.New(t)
	cache := newObjectCache("k")
	cache.replaceAll(inEra(1, 7, item("a", 5), item("b", 6)))
	cache.applyChanges(inEra(1, 9, item("a", 8), storer.NewDeletedItem("b", 9)))
	is.Equal(len(cache.applyChanges(inEra(1, 8, item("a", 8), item("b", 6)))), 1) // a again, in the same state
	is.Equal(len(cache.applyChanges(inEra(1, 7, item("a", 7), item("b", 7)))), 0)
	cache.replaceAll(inEra(1, 7, item("a", 5), item("b", 6)))
	is.Equal(itemNames(cache), "a")
	is.Equal(cache.items["a"].Revision(), int64(8))
}

// A kind that does not change must not be fetched again and again.
func TestHostThatStopsWatchingAcceptsAnEarlierListWithTheSameChanges(t *testing.T) {
	is := is.New(t)
	watcher, stopped := newObjectCache("k"), newObjectCache("k")
	for revision, cache := range map[int64]*objectCache{100: watcher, 101: stopped} {
		cache.replaceAll(inEra(1, revision, item("a", 5)))
	}
	stopped.resync()
	objects, changes := watcher.changesSince(stopped.missing())
	is.True(stopped.accepts(objects, watcher.historyStart, changes))
}

// A host that got all objects from another one knows that something was removed before,
// but not what. It must not tell a third host that it has all removals since then.
func TestRemovalBeforeAMergeOfAllObjectsReachesFurtherHosts(t *testing.T) {
	is := is.New(t)
	both := []storer.Item{storer.NewItem("leaves", 5, nil), storer.NewItem("lives", 5, nil)}
	watcher, behind, third := newObjectCache("servers"), newObjectCache("servers"), newObjectCache("servers")
	behind.replaceAll(storer.NewItemList(both, 5))
	watcher.replaceAll(storer.NewItemList(both, 6))
	third.replaceAll(storer.NewItemList(both, 6))
	watcher.applyChanges(storer.NewItemList([]storer.Item{storer.NewDeletedItem("leaves", 7)}, 7))
	fetch := func(to, from *objectCache) {
		objects, changes := from.changesSince(to.missing())
		to.merge(objects, from.historyStart, changes, true)
	}
	fetch(behind, watcher)
	is.Equal(len(behind.items), 1)
	fetch(third, behind)
	is.Equal(len(third.items), 1)
}
