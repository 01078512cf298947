package sharer_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"magnoliahill.example/magnoliahill/pkg/sharer"
)

// network is a fake of everything between the decision cores of some hosts:
// virtual time, messages that get lost, doubled, delayed and reordered, cuts
// between zones, and the platform's store.
type network struct {
	random  *rand.Rand
	now     time.Duration
	order   int
	queue   eventHeap
	nodes   []*node
	loss    float64 // share of messages that get lost
	double  float64 // share of messages that come twice
	alone   map[string]bool
	roster  sharer.Roster // in the store
	version int64
	out     bool // the store does not answer
	calm    bool // no message is very late
	idle    bool // nobody asks for anything
	notice  func(*node, sharer.Notice)
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].order < h[j].order)
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
	return &network{random: rand.New(rand.NewPCG(seed, seed)), alone: map[string]bool{}}
}

// after runs something later in virtual time.
func (n *network) after(d time.Duration, run func()) {
	n.order++
	heap.Push(&n.queue, event{at: n.now + d, order: n.order, run: run})
}

// runUntil steps virtual time.
func (n *network) runUntil(end time.Duration) {
	for len(n.queue) > 0 && n.queue[0].at <= end {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		e.run()
	}
	n.now = end
}

func (n *network) delay() time.Duration {
	d := time.Duration(n.random.ExpFloat64() * float64(15*time.Millisecond))
	if !n.calm && n.random.Float64() < 0.02 {
		d += time.Duration(n.random.Int64N(int64(4 * time.Second)))
	}
	return d + time.Millisecond
}

// deliver runs something at the other end of a link, once, twice or never.
func (n *network) deliver(from, to *node, run func()) {
	if n.cut(from.member.Zone, to.member.Zone) || n.random.Float64() < n.loss {
		return
	}
	n.after(n.delay(), func() { to.act(run) })
	if n.random.Float64() < n.double {
		n.after(n.delay(), func() { to.act(run) })
	}
}

func (n *network) cut(a, b string) bool { return a != b && (n.alone[a] || n.alone[b]) }

// at returns the process that listens at an address now.
func (n *network) at(control string) *node {
	for i := len(n.nodes) - 1; i >= 0; i-- {
		if n.nodes[i].member.Control == control && !n.nodes[i].ended {
			return n.nodes[i]
		}
	}
	return nil
}
