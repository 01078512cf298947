package queuer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/queuer"
)

// A workspace with many waiting items gets no more turns than its weight allows.
func TestTurnsFollowWeights(t *testing.T) {
	is := is.New(t)
	q := queuer.New(1000)
	for range 300 {
		q.Push("greedy", 1, time.Hour, nil)
	}
	for range 20 {
		q.Push("small", 1, time.Hour, nil)
		q.Push("heavy", 2, time.Hour, nil)
		q.Push("heavy", 2, time.Hour, nil)
	}
	turns := map[string]int{}
	for range 40 {
		item, _ := q.Pop(0)
		turns[item.Workspace()]++
	}
	is.Equal(turns["greedy"], 10)
	is.Equal(turns["small"], 10)
	is.Equal(turns["heavy"], 20)
}

func TestPopSkipsExpiredAndRemovedItems(t *testing.T) {
	is := is.New(t)
	q := queuer.New(3)
	expired := q.Push("a", 1, time.Second, "late")
	removed := q.Push("a", 1, time.Hour, "gone")
	q.Push("a", 1, time.Hour, "next")
	is.Equal(q.Push("a", 1, time.Hour, "too many"), nil)
	is.True(q.Remove(removed))
	is.True(!q.Remove(removed))
	item, dropped := q.Pop(2 * time.Second)
	is.Equal(item.Value(), "next")
	is.Equal(dropped, []*queuer.Item{expired})
	item, _ = q.Pop(0)
	is.Equal(item, nil)
}
