// Package queuer orders waiting requests fairly over workspaces by start-time
// fair queueing (Goyal et al., 1996). It does no I/O and is not safe for
// concurrent use.
package queuer

import (
	"container/heap"
	"time"
)

// Item is one waiting request.
type Item struct {
	workspace string
	tag       float64       // virtual start time; never below the queue's virtual time at entry
	order     uint64        // breaks ties by arrival
	deadline  time.Duration // the item is dropped after this
	index     int           // place in the heap, or -1
	value     any
}

// Value returns what was pushed.
func (i *Item) Value() any { return i.value }

// Deadline returns when the item gives up.
func (i *Item) Deadline() time.Duration { return i.deadline }

// Workspace returns whose request it is.
func (i *Item) Workspace() string { return i.workspace }

// Queue holds the requests waiting for one service.
type Queue struct {
	items   itemHeap
	finish  map[string]float64 // virtual finish time of a workspace's last item
	virtual float64            // tag of the last item popped; never falls
	arrived uint64
	limit   int
}

// New returns a queue for at most limit items.
func New(limit int) *Queue {
	return &Queue{finish: map[string]float64{}, limit: limit}
}

// Len returns how many items wait.
func (q *Queue) Len() int { return len(q.items) }

// Push adds an item for a workspace and returns it, or nil when the queue is
// full. A workspace with twice the weight gets twice the turns.
func (q *Queue) Push(workspace string, weight int, deadline time.Duration, value any) *Item {
	if len(q.items) >= q.limit {
		return nil
	}
	tag := max(q.virtual, q.finish[workspace])
	q.finish[workspace] = tag + 1/float64(max(weight, 1))
	q.arrived++
	item := &Item{workspace: workspace, tag: tag, order: q.arrived, deadline: deadline, value: value}
	heap.Push(&q.items, item)
	return item
}

// Pop removes the next item whose deadline has not passed. Those that are too
// late are removed too and returned in late.
func (q *Queue) Pop(now time.Duration) (next *Item, late []*Item) {
	for len(q.items) > 0 {
		item := heap.Pop(&q.items).(*Item)
		q.virtual = max(q.virtual, item.tag)
		if item.deadline <= now {
			late = append(late, item)
			continue
		}
		return item, late
	}
	q.forget()
	return nil, late
}

// Remove takes out an item whose caller has gone, and reports whether it was
// still waiting.
func (q *Queue) Remove(item *Item) bool {
	if item.index < 0 {
		return false
	}
	heap.Remove(&q.items, item.index)
	return true
}

// forget drops the finish times once nobody waits: the next item of each
// workspace starts at the present virtual time.
func (q *Queue) forget() {
	clear(q.finish)
}

type itemHeap []*Item

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].order < h[j].order
}

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	item.index = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	old := *h
	item := old[len(old)-1]
	old[len(old)-1] = nil
	item.index = -1
	*h = old[:len(old)-1]
	return item
}
