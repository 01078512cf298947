package controller

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"magnoliahill.example/magnoliahill/internal/storer"
)

var explorationDepth = flag.Int("exploration.depth", 7, "number of steps after which the exploration of restores ends")

// The exploration plays all sequences of steps of a store with one object, its writer
// and two hosts. Both watch the store until the second one stops to do so and gets
// objects from the first. Contents count the changes that the writer made, removals
// included.

const (
	explorationHosts    = 2
	explorationRestores = 2
	explorationWrites   = 3
	explorationMessages = 2
)

// world is a state of the exploration.
type world struct {
	era, revision int64
	object        storer.Item   // in the store; without a name if there is none
	history       []storer.Item // changes of the present era
	written       int           // changes that the writer made
	removed       bool          // the writer's last change was a removal
	backup        *world        // the copy that a restore returns to
	restores      int
	hosts         [explorationHosts]explorationHost
	messages      []explorationMessage // in flight
}

// explorationHost is a host with what it must not go back from.
type explorationHost struct {
	cache   *objectCache
	watch   storer.Position // from which it watches the store; era 0 if it has to list
	floor   int             // the content that the host applies is never lower
	stopped bool            // it gets objects from the first host
}

// explorationMessage is an answer on its way to a host.
type explorationMessage struct {
	to           int
	list         storer.ItemList
	fromStore    bool
	changes      bool
	historyStart int64
}

func newWorld() world {
	w := world{era: 1, revision: 1}
	for i := range w.hosts {
		w.hosts[i].cache = newObjectCache("k")
	}
	return w
}

func (w world) clone() world {
	w.history = slices.Clone(w.history)
	w.messages = slices.Clone(w.messages)
	for i := range w.hosts {
		c := *w.hosts[i].cache
		c.items, c.retained = maps.Clone(c.items), maps.Clone(c.retained)
		c.removed, c.gone = slices.Clone(c.removed), slices.Clone(c.gone)
		w.hosts[i].cache = &c
	}
	return w
}

// key identifies the state.
func (w world) key() string {
	var b strings.Builder
	fmt.Fprint(&b, w.era, w.revision, itemKey(w.object), w.written, w.removed, w.restores)
	for _, item := range w.history {
		fmt.Fprint(&b, ";", itemKey(item))
	}
	if w.backup != nil {
		fmt.Fprint(&b, "B", w.backup.revision, itemKey(w.backup.object))
	}
	for _, h := range w.hosts {
		c := h.cache
		fmt.Fprint(&b, "|", c.position, c.historyStart, c.listed, c.incomplete, h.watch, h.stopped, h.floor, c.retainedAt, c.peerPosition)
		for _, name := range slices.Sorted(maps.Keys(c.items)) {
			fmt.Fprint(&b, "i", itemKey(c.items[name]))
		}
		for _, name := range slices.Sorted(maps.Keys(c.retained)) {
			fmt.Fprint(&b, "r", itemKey(c.retained[name].Item), itemKey(c.retained[name].last))
		}
		for _, item := range c.removed {
			fmt.Fprint(&b, "d", itemKey(item))
		}
		for _, r := range c.gone {
			fmt.Fprint(&b, "g", itemKey(r.last))
		}
	}
	for _, m := range w.messages {
		fmt.Fprint(&b, "m", m.to, m.fromStore, m.changes, m.historyStart, m.list.Position())
		for _, item := range m.list.Items() {
			fmt.Fprint(&b, itemKey(item))
		}
	}
	return b.String()
}

func itemKey(item storer.Item) string {
	return fmt.Sprint(item.Name(), item.Revision(), string(item.Content()), item.Deleted(), ",")
}

// explorationStep is one step that may happen in a state.
type explorationStep struct {
	name string
	do   func(w *world)
}

// steps returns the steps that may happen in a state.
func (w *world) steps() []explorationStep {
	var all []explorationStep
	add := func(name string, do func(w *world)) { all = append(all, explorationStep{name, do}) }
	if w.written < explorationWrites {
		add("write", func(w *world) { w.written++; w.removed = false; w.put() })
		if w.object.Name() != "" {
			add("remove", func(w *world) { w.written++; w.removed = true; w.remove() })
		}
	}
	if w.restores < explorationRestores {
		add("backup", func(w *world) { b := w.clone(); b.backup = nil; w.backup = &b })
		if w.backup != nil {
			add("restore", (*world).restore)
		}
	}
	if !w.upToDate() {
		add("rewrite", (*world).rewrite)
	}
	if h := w.hosts[1]; h.cache.listed && !h.stopped {
		add("stop", func(w *world) { w.hosts[1].stopped = true; w.hosts[1].cache.resync() })
	}
	for i := range w.hosts {
		if len(w.messages) < explorationMessages && !w.hosts[i].stopped {
			add(fmt.Sprint("list ", i), func(w *world) { w.messages = append(w.messages, w.answerList(i)) })
			if w.hosts[i].watch.Era() != 0 {
				add(fmt.Sprint("watch ", i), func(w *world) { w.messages = append(w.messages, w.answerWatch(i)) })
			}
		}
	}
	if source := w.hosts[0].cache; source.listed && w.hosts[1].stopped && len(w.messages) < explorationMessages {
		add("fetch", func(w *world) {
			list, changes := w.hosts[0].cache.changesSince(w.hosts[1].cache.missing())
			w.messages = append(w.messages, explorationMessage{to: 1, list: list, changes: changes, historyStart: w.hosts[0].cache.historyStart})
		})
	}
	for i := range w.messages {
		add(fmt.Sprint("deliver ", i), func(w *world) { w.deliver(w.messages[i]); w.messages = slices.Delete(w.messages, i, i+1) })
		add(fmt.Sprint("deliver and repeat ", i), func(w *world) { w.deliver(w.messages[i]) })
		add(fmt.Sprint("lose ", i), func(w *world) { w.messages = slices.Delete(w.messages, i, i+1) })
	}
	return all
}

func (w *world) put() {
	w.revision++
	w.object = storer.NewItem("x", w.revision, []byte(strconv.Itoa(w.written)))
	w.history = append(w.history, w.object)
}

func (w *world) remove() {
	w.revision++
	w.object = storer.Item{}
	w.history = append(w.history, storer.NewDeletedItem("x", w.revision))
}

func (w *world) restore() {
	w.era++
	w.restores++
	w.revision, w.object, w.history = w.backup.revision, w.backup.object, nil
}

// upToDate reports whether the store has the writer's last change.
func (w *world) upToDate() bool {
	if w.removed || w.written == 0 {
		return w.object.Name() == ""
	}
	return string(w.object.Content()) == strconv.Itoa(w.written)
}

// rewrite writes the writer's last change again after a restore.
func (w *world) rewrite() {
	if w.removed {
		w.remove()
	} else {
		w.put()
	}
}

func (w *world) answerList(host int) explorationMessage {
	var items []storer.Item
	if w.object.Name() != "" {
		items = append(items, w.object)
	}
	return explorationMessage{to: host, fromStore: true, list: storer.NewItemList(items, w.revision, storer.WithEra(w.era))}
}

// answerWatch answers a watch as a store does that does not notice that the revision
// belongs to an earlier era.
func (w *world) answerWatch(host int) explorationMessage {
	var items []storer.Item
	for _, item := range w.history {
		if item.Revision() > w.hosts[host].watch.Revision() {
			items = append(items, item)
		}
	}
	return explorationMessage{to: host, fromStore: true, changes: true, list: storer.NewItemList(items, w.revision, storer.WithEra(w.era))}
}

// deliver applies an answer as the loop and the follower do.
func (w *world) deliver(m explorationMessage) {
	h := &w.hosts[m.to]
	switch {
	case m.fromStore && h.stopped: // the watch was cancelled
	case m.fromStore && m.changes:
		if !m.list.Position().SameEra(h.watch) {
			h.watch = storer.Position{}
			return
		}
		h.cache.release(h.cache.applyChanges(m.list), newerByCount)
		h.watch = storer.NewPosition(h.watch.Era(), max(h.watch.Revision(), m.list.Revision()))
	case m.fromStore:
		h.watch = m.list.Position()
		replaceInExploration(h.cache, func() { h.cache.replaceAll(m.list) })
	case !h.cache.accepts(m.list, m.historyStart, m.changes):
	case m.changes && h.cache.listed:
		h.cache.release(h.cache.merge(m.list, m.historyStart, true, true), newerByCount)
	default:
		replaceInExploration(h.cache, func() { h.cache.merge(m.list, m.historyStart, false, true) })
	}
}

// replaceInExploration does what loop.replaceObjects does for registrations.
func replaceInExploration(c *objectCache, update func()) {
	before, wasListed := c.held(), c.listed
	update()
	if !wasListed || c.position.SameEra(before.position) {
		c.releaseListed(newerByCount)
		return
	}
	c.retain(0, missingRetention, before, newerByCount)
}

func newerByCount(item, other storer.Item) bool { return count(item) > count(other) }

func count(item storer.Item) int {
	n, err := strconv.Atoi(string(item.Content()))
	if err != nil {
		return 0
	}
	return n
}

// check returns what a step broke, and raises the floors of the hosts.
func (w *world) check(before *world) string {
	for i := range w.hosts {
		h, old := &w.hosts[i], before.hosts[i].cache
		if h.cache.position.Era() < old.position.Era() || !old.incomplete && h.cache.position.Before(old.position) {
			return fmt.Sprintf("host %d went back from %v to %v", i, old.position, h.cache.position)
		}
		now, present := h.cache.effective()["x"]
		last, wasPresent := old.effective()["x"]
		switch {
		case present && count(now) < h.floor:
			return fmt.Sprintf("host %d applies change %d after %d", i, count(now), h.floor)
		case present:
			h.floor = count(now)
		case wasPresent:
			h.floor = count(last) + 1
		}
	}
	return ""
}

// settle lets all messages be lost, the writer write again, the first host list the
// store and the second one fetch from it. It returns what is wrong then.
func (w *world) settle() string {
	w.messages = nil
	if !w.upToDate() {
		w.rewrite()
	}
	w.deliver(w.answerList(0))
	w.deliver(w.answerList(1))
	source, target := w.hosts[0].cache, w.hosts[1].cache
	target.recordPeerPosition(0, source.position, "first", true)
	if target.peerAhead() || target.incomplete {
		list, changes := source.changesSince(target.missing())
		w.deliver(explorationMessage{to: 1, list: list, changes: changes, historyStart: source.historyStart})
	}
	for i, h := range w.hosts {
		h.cache.releaseExpired(time.Hour)
		if h.cache.position.Era() != w.era {
			return fmt.Sprintf("host %d stays in era %d of %d", i, h.cache.position.Era(), w.era)
		}
		if got := count(h.cache.effective()["x"]); got != count(w.object) {
			return fmt.Sprintf("host %d applies change %d, the store has %d", i, got, count(w.object))
		}
	}
	return ""
}

func TestNoSequenceOfRestoresMakesAHostGoBackOrStayBehind(t *testing.T) {
	seen := map[string]bool{}
	var explore func(w world, path []string) bool
	explore = func(w world, path []string) bool {
		key := w.key() + strconv.Itoa(len(path))
		if seen[key] {
			return true
		}
		seen[key] = true
		settled := w.clone()
		if wrong := settled.settle(); wrong != "" {
			t.Errorf("%s; after %s", wrong, strings.Join(path, ", "))
			return false
		}
		if len(path) == *explorationDepth {
			return true
		}
		for _, s := range w.steps() {
			next := w.clone()
			s.do(&next)
			after := append(slices.Clone(path), s.name)
			if wrong := next.check(&w); wrong != "" {
				t.Errorf("%s; after %s", wrong, strings.Join(after, ", "))
				return false
			}
			if !explore(next, after) {
				return false
			}
		}
		return true
	}
	explore(newWorld(), nil)
	t.Logf("%d states of at most %d steps", len(seen), *explorationDepth)
}
