package controller

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"magnoliahill.example/magnoliahill/internal/storer"
)

var pagingDepth = flag.Int("paging.depth", 7, "number of steps after which the exploration of lists in pages ends")

// This exploration plays all sequences of changes of a store that lists one object per page,
// of hosts that list and watch it, and of hosts that fetch objects from one another. Some
// hosts restart. Every page is read in a step of its own, so that any change may come
// between two pages.

// pagedWorld is a state of the exploration.
type pagedWorld struct {
	revision int64
	objects  []storer.Item // in the store, by page; without a name if there is none
	history  []storer.Item // all changes
	hosts    []pagedHost
	restarts int
	limits   *pagedLimits
}

// pagedLimits bounds the exploration and does not change.
type pagedLimits struct {
	era      int64
	writes   int64 // after the first state of all objects
	objects  int
	restarts int
}

// pagedHost is a host with the list or the watch that it has at the store.
type pagedHost struct {
	cache    *objectCache
	watches  bool
	listed   []storer.Item // of the pages that were read
	page     int           // the next one of the list
	listedAt int64         // revision of the first page; 0 if no list is under way
	watch    int64         // revision to watch from; 0 if the host has to list
	floors   []int64       // by object: the host applies no earlier change
}

func objectName(object int) string { return string(rune('a' + object)) }

func newPagedWorld(limits *pagedLimits, watchers, others int) pagedWorld {
	w := pagedWorld{limits: limits, revision: 1, objects: make([]storer.Item, limits.objects)}
	for object := range limits.objects {
		w.put(object)
	}
	for i := range watchers + others {
		w.hosts = append(w.hosts, pagedHost{cache: newObjectCache("k"), watches: i < watchers, floors: make([]int64, limits.objects)})
	}
	return w
}

func (w pagedWorld) clone() pagedWorld {
	w.objects, w.history, w.hosts = slices.Clone(w.objects), slices.Clone(w.history), slices.Clone(w.hosts)
	for i := range w.hosts {
		h := &w.hosts[i]
		c := *h.cache
		c.items, c.removed, c.gone = maps.Clone(c.items), slices.Clone(c.removed), nil
		h.cache, h.listed, h.floors = &c, slices.Clone(h.listed), slices.Clone(h.floors)
	}
	return w
}

// key identifies the state.
func (w pagedWorld) key() string {
	var b strings.Builder
	fmt.Fprint(&b, w.restarts)
	for _, item := range w.history {
		fmt.Fprint(&b, item.Name(), item.Deleted())
	}
	for _, h := range w.hosts {
		c := h.cache
		fmt.Fprint(&b, "|", c.position, c.historyStart, c.listed, c.incomplete, c.partialTo, h.page, h.listedAt, h.watch, h.floors)
		for _, name := range slices.Sorted(maps.Keys(c.items)) {
			fmt.Fprint(&b, "i", itemKey(c.items[name]))
		}
		for _, item := range append(slices.Clone(c.removed), h.listed...) {
			fmt.Fprint(&b, "d", itemKey(item))
		}
	}
	return b.String()
}

func (w *pagedWorld) put(object int) {
	w.revision++
	w.objects[object] = storer.NewItem(objectName(object), w.revision, []byte("x"))
	w.history = append(w.history, w.objects[object])
}

func (w *pagedWorld) remove(object int) {
	w.revision++
	w.objects[object] = storer.Item{}
	w.history = append(w.history, storer.NewDeletedItem(objectName(object), w.revision))
}

func (w *pagedWorld) list(items []storer.Item, revision int64) storer.ItemList {
	return storer.NewItemList(items, revision, storer.WithEra(w.limits.era))
}

// pagedStep is one step that may happen in a state.
type pagedStep struct {
	name string
	do   func(w *pagedWorld)
}

// steps returns the steps that may happen in a state.
func (w *pagedWorld) steps() []pagedStep {
	var all []pagedStep
	add := func(do func(w *pagedWorld), name ...any) { all = append(all, pagedStep{fmt.Sprint(name...), do}) }
	if w.revision < int64(1+w.limits.objects)+w.limits.writes {
		for object := range w.objects {
			add(func(w *pagedWorld) { w.put(object) }, "write ", objectName(object))
			if w.objects[object].Name() != "" {
				add(func(w *pagedWorld) { w.remove(object) }, "remove ", objectName(object))
			}
		}
	}
	for i, h := range w.hosts {
		if w.restarts < w.limits.restarts && h.cache.listed {
			add(func(w *pagedWorld) { w.restart(i) }, "restart of ", i)
		}
		if h.watches {
			add(func(w *pagedWorld) { w.readPage(i) }, "page to ", i)
		}
		if h.watches && h.listedAt == 0 && h.watch != 0 {
			add(func(w *pagedWorld) { w.answerWatch(i) }, "changes to ", i)
		}
		if h.watches && h.listedAt == 0 && h.watch != 0 && !h.cache.partial() {
			add(func(w *pagedWorld) { w.stopWatching(i) }, "end of the watch of ", i)
		}
		for j := range w.hosts {
			if i != j && w.canFetch(i, j) {
				add(func(w *pagedWorld) { w.fetch(i, j) }, "objects to ", i, " from ", j)
			}
		}
	}
	return all
}

// readPage reads the next page for a host, and begins a list if none is under way.
func (w *pagedWorld) readPage(host int) {
	h := &w.hosts[host]
	if h.listedAt == 0 {
		h.listedAt, h.page, h.listed = w.revision, 0, nil
	}
	if object := w.objects[h.page]; object.Name() != "" {
		h.listed = append(h.listed, object)
	}
	if h.page++; h.page == len(w.objects) {
		h.cache.replaceAll(storer.NewItemList(h.listed, h.listedAt, storer.WithEra(w.limits.era), storer.WithLastPage(w.revision)))
		h.watch, h.listedAt, h.page, h.listed = h.listedAt, 0, 0, nil
	}
}

func (w *pagedWorld) answerWatch(host int) {
	h := &w.hosts[host]
	var changed []storer.Item
	for _, item := range w.history {
		if item.Revision() > h.watch {
			changed = append(changed, item)
		}
	}
	h.cache.applyChanges(w.list(changed, w.revision))
	h.watch = w.revision
}

func (w *pagedWorld) stopWatching(host int) {
	h := &w.hosts[host]
	h.watches, h.watch = false, 0
	h.cache.resync()
}

// restart makes a host lose what it knows.
func (w *pagedWorld) restart(host int) {
	w.restarts++
	w.hosts[host] = pagedHost{cache: newObjectCache("k"), watches: w.hosts[host].watches, floors: make([]int64, len(w.objects))}
}

func (w *pagedWorld) canFetch(to, from int) bool {
	target, source := w.hosts[to].cache, w.hosts[from].cache
	differs := !w.hosts[to].watches && target.listed && target.hash() != source.hash()
	resync := (target.incomplete || differs) && w.hosts[from].watches
	return source.listed && (resync || target.appliedPosition().Before(source.position))
}

func (w *pagedWorld) fetch(to, from int) {
	target, source := w.hosts[to].cache, w.hosts[from].cache
	if !target.appliedPosition().Before(source.position) {
		target.resync() // the objects differ
	}
	objects, changes := source.changesSince(target.missing())
	if target.accepts(objects, source.historyStart, changes) {
		target.merge(objects, source.historyStart, changes, w.hosts[from].watches)
	}
}

// check returns which host went back, or lacks a change that its position promises, and
// raises the floors of the hosts.
func (w *pagedWorld) check() string {
	for i := range w.hosts {
		h := &w.hosts[i]
		if !h.cache.listed {
			continue
		}
		for object, floor := range h.floors {
			item, ok := h.cache.items[objectName(object)]
			if ok && item.Revision() < floor {
				return fmt.Sprintf("host %d applies %v after change %d", i, itemKey(item), floor)
			}
			if ok {
				h.floors[object] = item.Revision()
			}
			if lacks := w.lacks(h.cache, object); lacks != "" {
				return fmt.Sprintf("host %d at %v lacks %s", i, h.cache.appliedPosition(), lacks)
			}
		}
	}
	return ""
}

// lacks returns the change of an object that a cache lacks although its position is not
// before it, or "".
func (w *pagedWorld) lacks(c *objectCache, object int) string {
	name := objectName(object)
	promised, removedLater := storer.Item{}, int64(0)
	for _, change := range w.history {
		if change.Name() == name && change.Revision() <= c.appliedPosition().Revision() {
			promised = change
		} else if change.Name() == name && change.Deleted() {
			removedLater = change.Revision()
		}
	}
	item, ok := c.items[name]
	switch {
	case promised.Name() == "" || c.incomplete:
		return ""
	case ok && item.Revision() < promised.Revision():
		return itemKey(promised)
	case !promised.Deleted() && !ok && removedLater == 0:
		return itemKey(promised)
	}
	return ""
}

// settle ends the lists that are under way, lets the watches bring all changes, and lets
// hosts fetch from those that are ahead of them. No watching host lists again. It returns
// what is wrong then.
func (w *pagedWorld) settle() string {
	if !slices.ContainsFunc(w.hosts, func(h pagedHost) bool { return h.watches }) {
		w.hosts[0].watches = true // some host always watches
	}
	for i := range w.hosts {
		for h := &w.hosts[i]; h.watches && h.watch == 0 || h.listedAt != 0; {
			w.readPage(i)
		}
		if w.hosts[i].watches {
			w.answerWatch(i)
		}
	}
	for range w.hosts {
		for i := range w.hosts {
			for j := range w.hosts {
				if i != j && w.canFetch(i, j) {
					w.fetch(i, j)
				}
			}
		}
	}
	for i, h := range w.hosts {
		for object, item := range w.objects {
			if got := h.cache.items[objectName(object)]; itemKey(got) != itemKey(item) {
				return fmt.Sprintf("host %d at %v holds %s for good, the store has %s", i, h.cache.appliedPosition(), itemKey(got), itemKey(item))
			}
		}
	}
	return ""
}

// explore plays all steps from a state and returns false if one breaks something.
func (w pagedWorld) explore(t *testing.T, seen map[string]int, path []string) bool {
	left := *pagingDepth - len(path)
	key := w.key()
	if explored, ok := seen[key]; ok && explored >= left {
		return true
	}
	if _, ok := seen[key]; !ok {
		settled := w.clone()
		if wrong := settled.settle(); wrong != "" {
			t.Errorf("%s; after %s", wrong, strings.Join(path, ", "))
			return false
		}
	}
	seen[key] = left
	if left == 0 {
		return true
	}
	for _, s := range w.steps() {
		next := w.clone()
		s.do(&next)
		after := append(slices.Clone(path), s.name)
		if wrong := next.check(); wrong != "" {
			t.Errorf("%s; after %s", wrong, strings.Join(after, ", "))
			return false
		}
		if !next.explore(t, seen, after) {
			return false
		}
	}
	return true
}

// Guards against backend servers that get requests for as long as they are registered
// although they drain: a change that came while a host listed the servers in pages was
// lost, on that host or on those that it passes objects to, or only hosts that restarted
// had seen it.
func TestNoChangeDuringAListInPagesIsLost(t *testing.T) {
	for _, c := range []struct{ era, watchers, others, objects, restarts int }{
		{0, 1, 1, 2, 1},
		{0, 2, 1, 2, 1},
		{1, 1, 2, 2, 1},
		{0, 1, 1, 2, 0},
		{1, 1, 1, 2, 0},
		{0, 2, 0, 2, 0},
		{1, 2, 0, 2, 0},
		{0, 1, 2, 2, 0},
		{1, 1, 2, 2, 0},
		{0, 2, 1, 2, 0},
		{1, 2, 1, 2, 0},
		{1, 1, 1, 3, 0},
	} {
		t.Run(fmt.Sprintf("era %d, %d watching hosts and %d others, %d pages, %d restarts", c.era, c.watchers, c.others, c.objects, c.restarts), func(t *testing.T) {
			t.Parallel()
			limits := &pagedLimits{era: int64(c.era), writes: 3, objects: c.objects, restarts: c.restarts}
			seen := map[string]int{}
			newPagedWorld(limits, c.watchers, c.others).explore(t, seen, nil)
			t.Logf("%d states of at most %d steps", len(seen), *pagingDepth)
		})
	}
}
