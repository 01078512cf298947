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
	start     float64       // virtual start time; at least the queue's virtual time at the push
	sequence  uint64        // order of arrival; breaks ties between equal start times
	deadline  time.Duration // monotonic; from then on Pop drops the item
	index     int           // position in the heap, or -1 after removal
	value     any
}

// Value returns the value that was pushed with the item.
func (i *Item) Value() any { return i.value }

// Workspace returns the workspace that the request belongs to.
func (i *Item) Workspace() string { return i.workspace }

// Queue holds the requests waiting for one service.
type Queue struct {
	items        itemHeap
	finishTimes  map[string]float64 // virtual finish time of a workspace's last item
	virtualTime  float64            // highest start time of the items popped; never decreases
	lastSequence uint64
	limit        int
}

// New returns a queue that holds at most limit items.
func New(limit int) *Queue {
	return &Queue{finishTimes: map[string]float64{}, limit: limit}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.items) }

// Push adds an item for a workspace and returns it, or nil if the queue is full.
// While both have items waiting, a workspace with twice the weight of another has
// twice as many items popped. A weight below 1 counts as 1.
func (q *Queue) Push(workspace string, weight int, deadline time.Duration, value any) *Item {
	if len(q.items) >= q.limit {
		return nil
	}
	start := max(q.virtualTime, q.finishTimes[workspace])
	q.finishTimes[workspace] = start + 1/float64(max(weight, 1))
	q.lastSequence++
	item := &Item{workspace: workspace, start: start, sequence: q.lastSequence, deadline: deadline, value: value}
	heap.Push(&q.items, item)
	return item
}

// Pop removes and returns the next item whose deadline has not passed, or nil if
// there is none. The items before it whose deadline has passed are removed too
// and returned in expired.
func (q *Queue) Pop(now time.Duration) (next *Item, expired []*Item) {
	for len(q.items) > 0 {
		item := heap.Pop(&q.items).(*Item)
		q.virtualTime = max(q.virtualTime, item.start)
		if item.deadline <= now {
			expired = append(expired, item)
			continue
		}
		return item, expired
	}
	q.resetFinishTimes()
	return nil, expired
}

// Remove removes an item, for example because its caller closed the connection,
// and reports whether it was still waiting.
func (q *Queue) Remove(item *Item) bool {
	if item.index < 0 {
		return false
	}
	heap.Remove(&q.items, item.index)
	return true
}

// resetFinishTimes drops the finish times when the queue is empty, so that the
// next item of each workspace starts at the current virtual time.
func (q *Queue) resetFinishTimes() {
	clear(q.finishTimes)
}

// itemHeap is a heap of items by start time, then by arrival.
type itemHeap []*Item

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].sequence < h[j].sequence
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
