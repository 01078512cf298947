// Package experimenter compares policies for dividing a rate limit over hosts. It
// runs the decision code of the hosts in virtual time with generated demand. The
// same seed gives the same results on every machine.
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

// Policy is a way of dividing a rate limit over hosts.
type Policy string

// The policies that are compared.
const (
	EvenSplit   Policy = "even split"   // each host has a fixed share
	NoBorrowing Policy = "no borrowing" // shares follow demand; a request beyond the share is refused at once
	Shares      Policy = "shares"       // shares follow demand, and a request may wait for another host's share, as in the daemons
)

// Setup holds the parameters of one experiment on one workspace's rate limit.
type Setup struct {
	Policy          Policy
	Hosts           int
	Rate            float64       // requests per second of the workspace
	Burst           float64       // requests
	Load            float64       // demand as a share of the rate
	Skew            float64       // 0 spreads demand evenly; 1 sends all of it to one host
	HotHostInterval time.Duration // interval after which the next host gets the skewed demand; 0 for never
	LinkLatency     time.Duration // one-way latency between hosts
	BorrowTimeout   time.Duration // longest wait of a request for another host's share
	Duration        time.Duration
	Seed            uint64
	Weights         []float64 // share of the demand by host, in place of Skew, or nil
}

// Result holds the measurements of one experiment.
type Result struct {
	Setup
	Sent         int
	Admitted     int
	Unavoidable  int // refused by a single bucket for all hosts as well
	Wrongful     int // refusals beyond the unavoidable ones
	OverAdmitted int // admitted beyond the rate and burst; must be 0
	Asks         int // asks between hosts
	Waited       int // admitted after a wait
}

// WrongfulShare returns the wrongful refusals as a share of the requests sent, or
// 0 if none were sent.
func (r Result) WrongfulShare() float64 {
	if r.Sent == 0 {
		return 0
	}
	return float64(r.Wrongful) / float64(r.Sent)
}

// AskRate returns the number of asks per second and host.
func (r Result) AskRate() float64 {
	return float64(r.Asks) / r.Duration.Seconds() / float64(r.Hosts)
}

const (
	limitName    = "rate/w"
	tickInterval = 200 * time.Millisecond
	warmUp       = 5 * time.Second // requests before this time are not counted
)

// experiment is the state of one run.
type experiment struct {
	Setup
	result   Result
	random   *rand.Rand
	now      time.Duration
	queue    tasks
	sequence int // of the last scheduled task
	hosts    []*simulatedHost
	audit    *limiter.Bucket // counts admissions against the whole limit, to find those over it
	ideal    *limiter.Bucket // receives all requests, to count the unavoidable refusals
	refused  int
}

// simulatedHost is one host of an experiment.
type simulatedHost struct {
	evenShare *limiter.Bucket // the host's share under the even split
	sharer    *sharer.Sharer
	borrower  *sharer.Borrower
	waiting   map[*sharer.Round][]func() // callbacks of requests that wait for a round to end
}

// task is a function to run at a virtual time. Tasks of the same time run in the
// order in which they were scheduled.
type task struct {
	at       time.Duration
	sequence int
	run      func()
}

// tasks is a heap of tasks, earliest first.
type tasks []task

func (t tasks) Len() int { return len(t) }
func (t tasks) Less(i, j int) bool {
	return t[i].at < t[j].at || (t[i].at == t[j].at && t[i].sequence < t[j].sequence)
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

// Run runs one experiment and returns its measurements.
func Run(s Setup) Result {
	e := &experiment{Setup: s, result: Result{Setup: s}, random: rand.New(rand.NewPCG(s.Seed, 1))}
	limit := sharer.NewRate(limitName, s.Rate, s.Burst)
	e.audit = limiter.NewBucket(limit.Total(), limit.Total().Capacity, 0)
	e.ideal = limiter.NewBucket(limit.Total(), limit.Total().Capacity, 0)
	e.buildHosts(limit)
	e.schedule(0, e.tick)
	e.schedule(0, e.arrive)
	for len(e.queue) > 0 && e.queue[0].at <= s.Duration+warmUp {
		next := heap.Pop(&e.queue).(task)
		e.now = next.at
		next.run()
	}
	e.result.Wrongful = max(0, e.refused-e.result.Unavoidable)
	return e.result
}

// schedule runs a function after a delay in virtual time.
func (e *experiment) schedule(d time.Duration, run func()) {
	e.sequence++
	heap.Push(&e.queue, task{at: e.now + d, sequence: e.sequence, run: run})
}

// buildHosts creates the hosts as members of one epoch, in which the first host
// holds the whole limit.
func (e *experiment) buildHosts(limit sharer.Limit) {
	var roster sharer.Roster
	var ids []tracker.HostID
	for i := range e.Hosts {
		id := tracker.HostID{Name: fmt.Sprintf("h%d", i), Incarnation: 1}
		ids = append(ids, id)
		roster = roster.With(sharer.Member{ID: id})
		if i == 0 {
			roster = roster.NextEpoch(id)
		}
	}
	for _, id := range ids {
		s := sharer.New(id, sharer.WithLease(24*time.Hour))
		s.Tick(0)
		s.SetLimits(0, 1, []sharer.Limit{limit})
		s.RecordStoreRead(0, 0, roster)
		share := limit.Total().Scale(1, int64(e.Hosts))
		h := &simulatedHost{evenShare: limiter.NewBucket(share, share.Capacity, 0), sharer: s, borrower: sharer.NewBorrower(s), waiting: map[*sharer.Round][]func(){}}
		e.hosts = append(e.hosts, h)
	}
	collection := sharer.NewCollection(roster, 1, 0, 24*time.Hour, 0)
	collection.Add(e.hosts[0].sharer.Report())
	e.hosts[0].sharer.IssueRemainder(0, collection)
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

// tick runs one iteration of the hosts' control loops, which starts rounds for
// limits whose share is too small.
func (e *experiment) tick() {
	if e.Policy != EvenSplit {
		for _, h := range e.hosts {
			h.sharer.Tick(e.now)
			for _, limit := range h.borrower.ShortLimits(e.now) {
				e.startRound(h, limit, 0, nil)
			}
		}
	}
	e.schedule(tickInterval, e.tick)
}

// arrive sends one request to a host and schedules the next arrival, with
// exponentially distributed intervals.
func (e *experiment) arrive() {
	e.schedule(time.Duration(e.random.ExpFloat64()/(e.Rate*e.Load)*float64(time.Second)), e.arrive)
	h := e.hosts[e.pickHost()]
	counted := e.now >= warmUp
	if counted {
		e.result.Sent++
	}
	if !e.ideal.Take(e.now, limiter.Unit) && counted {
		e.result.Unavoidable++
	}
	e.request(h, e.now+e.BorrowTimeout, counted, false)
}

// pickHost returns the index of the host that receives the next request.
func (e *experiment) pickHost() int {
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
	if e.HotHostInterval == 0 {
		return 0
	}
	return int(e.now/e.HotHostInterval) % e.Hosts
}

// request admits a request, refuses it, or retries it after a round of asks until
// its deadline.
func (e *experiment) request(h *simulatedHost, deadline time.Duration, counted, waited bool) {
	if e.admit(h) {
		e.recordAdmission(counted, waited)
		return
	}
	if e.Policy != Shares || e.now >= deadline {
		e.recordRefusal(counted)
		return
	}
	retry := func() { e.request(h, deadline, counted, true) }
	if !e.startRound(h, limitName, 1, retry) {
		e.recordRefusal(counted)
	}
}

// admit reports whether a host admits a request under the policy.
func (e *experiment) admit(h *simulatedHost) bool {
	if e.Policy == EvenSplit {
		return h.evenShare.Take(e.now, limiter.Unit)
	}
	return h.sharer.Take(e.now, limitName, 1)
}

func (e *experiment) recordAdmission(counted, waited bool) {
	if !e.audit.Take(e.now, limiter.Unit) {
		e.result.OverAdmitted++
	}
	if counted {
		e.result.Admitted++
		if waited {
			e.result.Waited++
		}
	}
}

func (e *experiment) recordRefusal(counted bool) {
	if counted {
		e.refused++
	}
}

// startRound starts a round of asks for a limit, or joins the one in progress, and
// calls retry, if not nil, when the round ends. It returns false if no round was
// started because a recent one obtained nothing.
func (e *experiment) startRound(h *simulatedHost, limit string, need int64, retry func()) bool {
	round, asks := h.borrower.Start(e.now, limit, need)
	if round == nil {
		return false
	}
	if retry != nil {
		h.waiting[round] = append(h.waiting[round], retry)
	}
	e.sendAsks(h, round, asks)
	return true
}

// sendAsks delivers asks and their answers with the latency of the link.
func (e *experiment) sendAsks(h *simulatedHost, round *sharer.Round, asks []sharer.Ask) {
	for _, ask := range asks {
		e.result.Asks++
		e.schedule(e.LinkLatency, func() {
			giver := e.host(ask.To)
			transfer, granted := giver.sharer.Grant(e.now, ask)
			e.schedule(e.LinkLatency, func() { e.applyAnswer(h, round, ask, transfer, granted) })
		})
	}
}

// applyAnswer applies the answer to an ask and sends the next asks of the round.
// When the round is done, it runs the callbacks that wait for it.
func (e *experiment) applyAnswer(h *simulatedHost, round *sharer.Round, ask sharer.Ask, transfer sharer.Transfer, granted bool) {
	obtained := false
	if granted {
		obtained = h.sharer.ApplyTransfer(e.now, transfer)
	} else {
		h.sharer.RecordRefusal(ask)
	}
	more, done := h.borrower.RecordAnswer(e.now, round, obtained)
	e.sendAsks(h, round, more)
	if done {
		waiting := h.waiting[round]
		delete(h.waiting, round)
		for _, run := range waiting {
			run()
		}
	}
}

func (e *experiment) host(id tracker.HostID) *simulatedHost {
	for _, h := range e.hosts {
		if h.sharer.Self() == id {
			return h
		}
	}
	return nil
}
