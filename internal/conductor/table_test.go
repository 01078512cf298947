package conductor

import (
	"sort"
	"strings"
	"testing"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/keeper"
)

func item(name string, revision int64) keeper.Item {
	return keeper.NewItem(name, revision, []byte("x"))
}

func names(t *table) string {
	var all []string
	for name := range t.items {
		all = append(all, name)
	}
	sort.Strings(all)
	return strings.Join(all, "")
}

// tell brings one table up to another, as a host learns from another.
func tell(from, to *table) {
	objects, changes := from.since(to.upTo())
	to.learn(objects, from.complete, changes)
}

func TestChangesBringAnotherHostUp(t *testing.T) {
	is := is.New(t)
	one, two := newTable("k"), newTable("k")
	one.replace(keeper.NewTable([]keeper.Item{item("a", 5), item("b", 6)}, 7))
	tell(one, two)
	is.Equal(names(two), "ab")
	one.change(keeper.NewTable([]keeper.Item{item("c", 8), keeper.NewDeletedItem("a", 9)}, 9))
	objects, changes := one.since(two.upTo())
	is.True(changes)
	is.Equal(len(objects.Items()), 2)
	tell(one, two)
	is.Equal(names(two), "bc")
	is.Equal(two.revision, int64(9))
}

// A list does not tell what was removed before it. A host that has not got as
// far as the list must get the whole table.
func TestRemovalBeforeAListIsNotLost(t *testing.T) {
	is := is.New(t)
	one, two := newTable("k"), newTable("k")
	one.replace(keeper.NewTable([]keeper.Item{item("a", 5), item("b", 6)}, 7))
	tell(one, two)
	one.replace(keeper.NewTable([]keeper.Item{item("b", 6)}, 8)) // a went at 8
	one.change(keeper.NewTable([]keeper.Item{item("c", 9)}, 9))
	tell(one, two)
	is.Equal(names(two), "bc")
	// The same over a third host, which learned from the second.
	third := newTable("k")
	third.replace(keeper.NewTable([]keeper.Item{item("a", 5), item("b", 6)}, 7))
	tell(two, third)
	is.Equal(names(third), "bc")
}

func TestManyRemovalsAreForgottenSafely(t *testing.T) {
	is := is.New(t)
	one, two := newTable("k"), newTable("k")
	one.replace(keeper.NewTable(nil, 1))
	two.replace(keeper.NewTable([]keeper.Item{item("x", 1)}, 1))
	for revision := int64(2); revision < 2*maxRemoved; revision++ {
		one.change(keeper.NewTable([]keeper.Item{keeper.NewDeletedItem("x", revision)}, revision))
	}
	_, changes := one.since(two.revision)
	is.True(!changes)
	tell(one, two)
	is.Equal(names(two), "")
}

func TestListAheadOfWhatOthersToldCatchesUp(t *testing.T) {
	is := is.New(t)
	one := newTable("k")
	one.replace(keeper.NewTable([]keeper.Item{item("a", 5)}, 7))
	one.heard(0, 9, "other")
	is.True(one.behind(behindFor))
	one.replace(keeper.NewTable([]keeper.Item{item("a", 5)}, 10)) // what came at 9 was a removal
	is.True(!one.behind(behindFor))
}
