package sharer_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"magnoliahill.example/magnoliahill/pkg/sharer"
)

// network simulates the environment of several hosts in virtual time: lost,
// duplicated, delayed and reordered messages, partitions between zones, and the
// platform's store.
type network struct {
	random        *rand.Rand
	now           time.Duration
	sequence      int
	queue         eventHeap
	nodes         []*node
	lossRate      float64         // share of messages that are lost
	duplicateRate float64         // share of messages that are delivered twice
	isolated      map[string]bool // zones that are cut off from all others
	roster        sharer.Roster   // in the store
	version       int64
	storeDown     bool // the store does not answer
	noLongDelays  bool // no message is delayed by seconds
	noAsks        bool // no host asks for shares
	notice        func(*node, sharer.Notice)
}

type event struct {
	at       time.Duration
	sequence int
	fn       func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].sequence < h[j].sequence)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func newNetwork(seed uint64) *network {
	return &network{random: rand.New(rand.NewPCG(seed, seed)), isolated: map[string]bool{}}
}

// after runs fn after d of virtual time.
func (n *network) after(d time.Duration, fn func()) {
	n.sequence++
	heap.Push(&n.queue, event{at: n.now + d, sequence: n.sequence, fn: fn})
}

// runUntil advances virtual time to end and runs all events until then.
func (n *network) runUntil(end time.Duration) {
	for len(n.queue) > 0 && n.queue[0].at <= end {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		e.fn()
	}
	n.now = end
}

func (n *network) delay() time.Duration {
	d := time.Duration(n.random.ExpFloat64() * float64(15*time.Millisecond))
	if !n.noLongDelays && n.random.Float64() < 0.02 {
		d += time.Duration(n.random.Int64N(int64(4 * time.Second)))
	}
	return d + time.Millisecond
}

// deliver runs fn at the receiving end of a link, once, twice or never.
func (n *network) deliver(from, to *node, fn func()) {
	if n.partitioned(from.member.Zone, to.member.Zone) || n.random.Float64() < n.lossRate {
		return
	}
	n.after(n.delay(), func() { to.execute(fn) })
	if n.random.Float64() < n.duplicateRate {
		n.after(n.delay(), func() { to.execute(fn) })
	}
}

func (n *network) partitioned(a, b string) bool { return a != b && (n.isolated[a] || n.isolated[b]) }

// listenerAt returns the process that listens at an address now, or nil.
func (n *network) listenerAt(control string) *node {
	for i := len(n.nodes) - 1; i >= 0; i-- {
		if n.nodes[i].member.Control == control && !n.nodes[i].stopped {
			return n.nodes[i]
		}
	}
	return nil
}
