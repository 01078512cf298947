// Package experimenter compares policies on the decision cores in virtual time,
// with generated demand. The same seed gives the same figures everywhere.
package experimenter

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/sharer"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// Policy is a way of dividing a rate over hosts.
type Policy string

// Policies that are compared.
const (
	EvenSplit   Policy = "even split"   // each host has a fixed part
	NoBorrowing Policy = "no borrowing" // parts follow demand, refused at once when short
	Shares      Policy = "shares"       // what the daemons do
)

// Setup is one experiment on one workspace's rate.
type Setup struct {
	Policy  Policy
	Hosts   int
	Rate    float64       // requests a second of the workspace
	Burst   float64       // requests
	Load    float64       // demand as a share of the rate
	Skew    float64       // 0 spreads demand evenly; 1 sends all of it to one host
	Shift   time.Duration // the host with most demand changes this often; 0 for never
	Link    time.Duration // one-way latency between hosts
	Borrow  time.Duration // longest wait of a request for another host's part
	Length  time.Duration
	Seed    uint64
	Weights []float64 // of hosts, in place of skew, or nil
}

// Outcome is what an experiment measured.
type Outcome struct {
	Setup
	Sent        int
	Admitted    int
	Unavoidable int // refused by one bucket for all hosts too
	Wrongful    int // refused beyond those
	Over        int // admitted beyond the rate and burst; must be 0
	Messages    int // asks between hosts
	Waited      int // admitted after a wait
}

// WrongfulShare returns wrongful refusals as a share of what was sent.
func (o Outcome) WrongfulShare() float64 {
	if o.Sent == 0 {
		return 0
	}
	return float64(o.Wrongful) / float64(o.Sent)
}

// MessagesPerHost returns asks a second and host.
func (o Outcome) MessagesPerHost() float64 {
	return float64(o.Messages) / o.Length.Seconds() / float64(o.Hosts)
}

const (
	limitName = "rate/w"
	tickEvery = 200 * time.Millisecond
	warmUp    = 5 * time.Second // not counted
)

type experiment struct {
	Setup
	out     Outcome
	random  *rand.Rand
	now     time.Duration
	queue   tasks
	order   int
	hosts   []*shareHost
	whole   *limiter.Bucket // admits what one bucket for all would
	ideal   *limiter.Bucket // decides what is unavoidable
	refused int
}

type shareHost struct {
	fixed    *limiter.Bucket // the host's part under the even split
	sharer   *sharer.Sharer
	borrower *sharer.Borrower
	waiting  map[*sharer.Round][]func()
}

type task struct {
	at    time.Duration
	order int
	run   func()
}

type tasks []task

func (t tasks) Len() int { return len(t) }
func (t tasks) Less(i, j int) bool {
	return t[i].at < t[j].at || (t[i].at == t[j].at && t[i].order < t[j].order)
}
func (t tasks) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *tasks) Push(x any) { *t = append(*t, x.(task)) }

// Pop implements heap.Interface.
func (t *tasks) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// Run runs one experiment.
func Run(s Setup) Outcome {
	e := &experiment{Setup: s, out: Outcome{Setup: s}, random: rand.New(rand.NewPCG(s.Seed, 1))}
	limit := sharer.NewRate(limitName, s.Rate, s.Burst)
	e.whole = limiter.NewBucket(limit.Total(), limit.Total().Capacity, 0)
	e.ideal = limiter.NewBucket(limit.Total(), limit.Total().Capacity, 0)
	e.build(limit)
	e.after(0, e.tick)
	e.after(0, e.arrive)
	for len(e.queue) > 0 && e.queue[0].at <= s.Length+warmUp {
		next := heap.Pop(&e.queue).(task)
		e.now = next.at
		next.run()
	}
	e.out.Wrongful = max(0, e.refused-e.out.Unavoidable)
	return e.out
}

func (e *experiment) after(d time.Duration, run func()) {
	e.order++
	heap.Push(&e.queue, task{at: e.now + d, order: e.order, run: run})
}

// build makes the hosts members of one epoch, of which the first holds all.
func (e *experiment) build(limit sharer.Limit) {
	var roster sharer.Roster
	var ids []tracker.HostID
	for i := range e.Hosts {
		id := tracker.HostID{Name: fmt.Sprintf("h%d", i), Incarnation: 1}
		ids = append(ids, id)
		roster = roster.With(sharer.Member{ID: id})
		if i == 0 {
			roster = roster.Next(id)
		}
	}
	for _, id := range ids {
		s := sharer.New(id, sharer.WithLease(24*time.Hour))
		s.Tick(0)
		s.SetLimits(0, 1, []sharer.Limit{limit})
		s.Contact(0, 0, roster)
		part := limit.Total().Scale(1, int64(e.Hosts))
		h := &shareHost{fixed: limiter.NewBucket(part, part.Capacity, 0), sharer: s, borrower: sharer.NewBorrower(s), waiting: map[*sharer.Round][]func(){}}
		e.hosts = append(e.hosts, h)
	}
	census := sharer.NewCensus(roster, 1, 0, 24*time.Hour, 0)
	census.Add(e.hosts[0].sharer.Report())
	e.hosts[0].sharer.Issue(0, census)
	for i, h := range e.hosts {
		var peers []tracker.HostID
		for j := range ids {
			if j != i {
				peers = append(peers, ids[j])
			}
		}
		h.borrower.SetPeers(peers)
	}
}

func (e *experiment) tick() {
	if e.Policy != EvenSplit {
		for _, h := range e.hosts {
			h.sharer.Tick(e.now)
			for _, limit := range h.borrower.Short(e.now) {
				e.start(h, limit, 0, nil)
			}
		}
	}
	e.after(tickEvery, e.tick)
}

// arrive makes the next request arrive at a host.
func (e *experiment) arrive() {
	e.after(time.Duration(e.random.ExpFloat64()/(e.Rate*e.Load)*float64(time.Second)), e.arrive)
	h := e.hosts[e.pick()]
	counted := e.now >= warmUp
	if counted {
		e.out.Sent++
	}
	if !e.ideal.Take(e.now, limiter.Unit) && counted {
		e.out.Unavoidable++
	}
	e.request(h, e.now+e.Borrow, counted, false)
}

func (e *experiment) pick() int {
	if e.Weights != nil {
		p := e.random.Float64()
		for i, w := range e.Weights {
			if p -= w; p < 0 {
				return i
			}
		}
		return len(e.Weights) - 1
	}
	if e.random.Float64() >= e.Skew {
		return e.random.IntN(e.Hosts)
	}
	if e.Shift == 0 {
		return 0
	}
	return int(e.now/e.Shift) % e.Hosts
}

func (e *experiment) request(h *shareHost, deadline time.Duration, counted, waited bool) {
	if e.take(h) {
		e.admitted(counted, waited)
		return
	}
	if e.Policy != Shares || e.now >= deadline {
		e.refuse(counted)
		return
	}
	again := func() { e.request(h, deadline, counted, true) }
	if !e.start(h, limitName, 1, again) {
		e.refuse(counted)
	}
}

func (e *experiment) take(h *shareHost) bool {
	if e.Policy == EvenSplit {
		return h.fixed.Take(e.now, limiter.Unit)
	}
	return h.sharer.Take(e.now, limitName, 1)
}

func (e *experiment) admitted(counted, waited bool) {
	if !e.whole.Take(e.now, limiter.Unit) {
		e.out.Over++
	}
	if counted {
		e.out.Admitted++
		if waited {
			e.out.Waited++
		}
	}
}

func (e *experiment) refuse(counted bool) {
	if counted {
		e.refused++
	}
}

// start starts a round, or joins the running one, and reports false when
// nothing was to be had a moment ago.
func (e *experiment) start(h *shareHost, limit string, need int64, then func()) bool {
	round, asks := h.borrower.Start(e.now, limit, need)
	if round == nil {
		return false
	}
	if then != nil {
		h.waiting[round] = append(h.waiting[round], then)
	}
	e.send(h, round, asks)
	return true
}

func (e *experiment) send(h *shareHost, round *sharer.Round, asks []sharer.Ask) {
	for _, ask := range asks {
		e.out.Messages++
		e.after(e.Link, func() {
			giver := e.host(ask.To)
			transfer, granted := giver.sharer.Give(e.now, ask)
			e.after(e.Link, func() { e.answer(h, round, ask, transfer, granted) })
		})
	}
}

func (e *experiment) answer(h *shareHost, round *sharer.Round, ask sharer.Ask, transfer sharer.Transfer, granted bool) {
	gave := false
	if granted {
		gave = h.sharer.Receive(e.now, transfer)
	} else {
		h.sharer.Settled(ask)
	}
	more, over := h.borrower.Answered(e.now, round, gave)
	e.send(h, round, more)
	if over {
		waiting := h.waiting[round]
		delete(h.waiting, round)
		for _, run := range waiting {
			run()
		}
	}
}

func (e *experiment) host(id tracker.HostID) *shareHost {
	for _, h := range e.hosts {
		if h.sharer.Self() == id {
			return h
		}
	}
	return nil
}
