// Package quarantiner finds requests that crash the backend servers which run them, and
// keeps them from further ones. A request is suspected once it was in flight at a crash.
// A suspected request runs alone on its host, so that the next crash names its cause. A
// response clears it; three crashes without a response in between quarantine it.
//
// Hosts exchange their records. A record has a term, which rises when the request is
// cleared, and the crashes in that term; of two records the one with the higher term
// counts, and with equal terms the union of the crashes. All hosts come to the same
// record in whatever order they learn of it. The package does no I/O.
package quarantiner

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	crashLimit      = 3                      // crashes without a response in between, from which on a request is quarantined
	maxRecords      = 1024                   // records held; each takes about 200 bytes
	maxChanges      = 1024                   // changes held until they are taken
	suspicionTTL    = 10 * time.Minute       // after the last change of a record that is not quarantined
	recentChange    = 2 * time.Second        // for which a changed record is exchanged before others
	maxOldStates    = 8                      // other records exchanged at a time
	shareDelay      = 700 * time.Millisecond // after a single crash: most innocent requests are cleared by their retry
	noTrialInterval = time.Hour              // retry delay of a quarantined request that gets no further trial
)

// trialDelays are the times after the start of a quarantine at which a request may run
// once more, at one host: it may have been in flight at crashes that another one caused.
var trialDelays = []time.Duration{5 * time.Second, time.Minute}

// Verdict says what may be done with a request.
type Verdict int

// Verdicts on a request.
const (
	Clear       Verdict = iota // it may run
	Alone                      // it is suspected and may run until Leave is called
	Quarantined                // it must not run
	Interrupted                // the context ended while another copy of it ran
)

// Quarantiner holds a host's records of suspected requests. It is safe for concurrent
// use.
type Quarantiner struct {
	notify  func()
	count   atomic.Int32 // of records; read without the lock
	mu      sync.Mutex
	records map[Digest]*record
	changes []Change // not taken yet
}

// record is what a host knows about one request.
type record struct {
	route         string   // for logs; "" if the request was only seen at other hosts
	term          uint32   // number of times the request was cleared; never decreases
	crashes       []uint32 // numbers of the runs of backend servers that crashed in this term; sorted, at most crashLimit
	changedAt     time.Duration
	shared        bool          // other hosts may know of the record
	quarantinedAt time.Duration // valid while quarantined
	trials        int           // trials that were used in this term, at any host
	claiming      bool          // a trial is being claimed
	running       bool          // a copy runs alone
	wake          chan struct{} // closed when a waiting copy has to look again; nil if none waits
}

// New returns a quarantiner without records. It calls notify after changes of records,
// from any goroutine.
func New(notify func()) *Quarantiner {
	return &Quarantiner{notify: notify, records: map[Digest]*record{}}
}

func (r *record) quarantined() bool { return len(r.crashes) >= crashLimit }

// wakeWaiting makes waiting copies look at the record again.
func (r *record) wakeWaiting() {
	if r.wake != nil {
		close(r.wake)
		r.wake = nil
	}
}

// Empty reports whether no request is or was suspected, which spares most requests their
// digest.
func (q *Quarantiner) Empty() bool { return q.count.Load() == 0 }

// Enter returns whether a request may be sent to a backend server now. A suspected
// request waits while another copy runs alone.
func (q *Quarantiner) Enter(ctx context.Context, d Digest) Verdict {
	for {
		verdict, wake := q.tryEnter(d)
		if wake == nil {
			return verdict
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return Interrupted
		}
	}
}

// tryEnter returns a verdict, or a channel that is closed when the request has to try
// again.
func (q *Quarantiner) tryEnter(d Digest) (Verdict, <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.records[d]
	switch {
	case r == nil || len(r.crashes) == 0:
		return Clear, nil
	case r.quarantined():
		return Quarantined, nil
	case !r.running:
		r.running = true
		return Alone, nil
	case r.wake == nil:
		r.wake = make(chan struct{})
	}
	return Clear, r.wake
}

// Leave ends a run that Enter or EndClaim allowed with the verdict Alone.
func (q *Quarantiner) Leave(d Digest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r := q.records[d]; r != nil {
		r.running = false
		r.wakeWaiting()
	}
}

// Crashed records that a run of a backend server crashed while the request was in
// flight there.
func (q *Quarantiner) Crashed(now time.Duration, d Digest, run, route string) {
	q.update(func() {
		r := q.recordFor(now, d)
		r.route = route
		if r.quarantined() {
			return
		}
		q.set(now, d, r, r.term, union(r.crashes, []uint32{uint32(xxhash.Sum64String(run))}), ByCrash)
	})
}

// Answered records that a backend server responded to the request.
func (q *Quarantiner) Answered(now time.Duration, d Digest) { q.clear(now, d, ByResponse) }

// Release clears a request whose quarantine an operator or another host has ended.
func (q *Quarantiner) Release(now time.Duration, d Digest) { q.clear(now, d, ByRelease) }

func (q *Quarantiner) clear(now time.Duration, d Digest, cause Cause) {
	q.update(func() {
		r := q.records[d]
		if r == nil || len(r.crashes) == 0 {
			return
		}
		q.set(now, d, r, r.term+1, nil, cause)
		if !r.shared && !r.running {
			delete(q.records, d)
			q.count.Store(int32(len(q.records)))
		}
	})
}

// visible reports whether a record is exchanged with other hosts.
func (r *record) visible(now time.Duration) bool {
	return r.shared || len(r.crashes) > 1 || now-r.changedAt >= shareDelay
}

// update calls a function that changes records under the lock, and notifies of changes.
func (q *Quarantiner) update(change func()) {
	q.mu.Lock()
	before := len(q.changes)
	change()
	q.evict()
	changed := len(q.changes) != before
	q.mu.Unlock()
	if changed {
		q.notify()
	}
}

func (q *Quarantiner) recordFor(now time.Duration, d Digest) *record {
	r := q.records[d]
	if r == nil {
		r = &record{changedAt: now}
		q.records[d] = r
		q.count.Store(int32(len(q.records)))
	}
	return r
}

// set changes the term and the crashes of a record. It reports whether they differ from
// those before.
func (q *Quarantiner) set(now time.Duration, d Digest, r *record, term uint32, crashes []uint32, cause Cause) bool {
	if term == r.term && slices.Equal(crashes, r.crashes) {
		return false
	}
	was := r.quarantined()
	if term != r.term {
		r.trials = 0
	}
	r.term, r.crashes, r.changedAt = term, crashes, now
	if r.quarantined() && !was {
		r.quarantinedAt = now
	}
	r.wakeWaiting()
	if len(q.changes) < maxChanges {
		q.changes = append(q.changes, Change{
			Digest: d, Route: r.route, Term: term, Crashes: len(crashes), Quarantined: r.quarantined(), WasQuarantined: was, Cause: cause,
		})
	}
	return true
}

// union returns the crashes of both, sorted. Beyond crashLimit the lowest numbers are
// kept, so that all hosts keep the same ones.
func union(a, b []uint32) []uint32 {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), crashLimit)]
}

// evict removes records beyond maxRecords: those with the fewest crashes first, and of
// these the ones that changed longest ago. Requests that run now keep theirs.
func (q *Quarantiner) evict() {
	for len(q.records) > maxRecords {
		var victim Digest
		var lowest *record
		for d, r := range q.records {
			if !r.running && (lowest == nil || r.evictedBefore(lowest)) {
				victim, lowest = d, r
			}
		}
		if lowest == nil {
			break
		}
		delete(q.records, victim)
	}
	q.count.Store(int32(len(q.records)))
}

func (r *record) evictedBefore(other *record) bool {
	if len(r.crashes) != len(other.crashes) {
		return len(r.crashes) < len(other.crashes)
	}
	return r.changedAt < other.changedAt
}

// sorted returns the digests of the records in an order; ties are broken by digest.
func (q *Quarantiner) sorted(order func(a, b *record) int) []Digest {
	digests := make([]Digest, 0, len(q.records))
	for d := range q.records {
		digests = append(digests, d)
	}
	slices.SortFunc(digests, func(a, b Digest) int {
		return cmp.Or(order(q.records[a], q.records[b]), cmp.Compare(a, b))
	})
	return digests
}

// Prune removes the records of requests that are not quarantined and have not changed
// for suspicionTTL. It returns the numbers of suspected and of quarantined requests.
func (q *Quarantiner) Prune(now time.Duration) (suspected, quarantined int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for d, r := range q.records {
		switch {
		case r.quarantined():
			quarantined++
		case now-r.changedAt >= suspicionTTL && !r.running:
			delete(q.records, d)
		case len(r.crashes) > 0:
			suspected++
		}
	}
	q.count.Store(int32(len(q.records)))
	return suspected, quarantined
}
