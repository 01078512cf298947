package sharer

import (
	"sort"
	"time"

	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	borrowBatch = 3                      // hosts asked at the same time
	firstDry    = 5 * time.Millisecond   // after nothing was to be had, nobody is asked for this long
	longestDry  = 100 * time.Millisecond // the pause doubles up to this while nothing is to be had
	overDry     = 500 * time.Millisecond // the pause when the workspace is over its rate everywhere
)

// Borrower decides whom a host asks for a limit that it is short of, and when to
// stop asking. It does no I/O and is not safe for concurrent use.
type Borrower struct {
	sharer *Sharer
	limits map[purpose]*borrowing
	peers  []tracker.HostID // nearest first
}

// purpose tells rounds for a request apart from those ahead of need, which find
// nothing more often and must not hold up the others.
type purpose struct {
	limit  string
	urgent bool
}

// borrowing is the state for one purpose.
type borrowing struct {
	round *Round        // the running one, or nil
	dry   time.Duration // nothing is asked before this
	pause time.Duration // the last pause after a round that brought nothing; 0 after one that did
	turn  int           // rotates the hosts asked
}

// Round is one round of asks for a limit. Only one runs at a time
// for each purpose.
type Round struct {
	limit string
	need  int64 // whole units, or 0 for a round ahead of need
	rest  []tracker.HostID
	open  int // asks without an answer
	gave  bool
}

// NewBorrower returns a borrower that knows no other hosts.
func NewBorrower(s *Sharer) *Borrower {
	return &Borrower{sharer: s, limits: map[purpose]*borrowing{}}
}

// SetPeers sets the hosts that may be asked, nearest first.
func (b *Borrower) SetPeers(peers []tracker.HostID) { b.peers = peers }

// Start begins a round, or returns the running one. It returns nil when nothing
// was to be had a moment ago. The asks are to be sent; each answer goes to
// Answered.
func (b *Borrower) Start(now time.Duration, limit string, need int64) (*Round, []Ask) {
	key := purpose{limit: limit, urgent: need > 0}
	one := b.limits[key]
	if one == nil {
		one = &borrowing{}
		b.limits[key] = one
	}
	if one.round != nil {
		return one.round, nil
	}
	if now < one.dry {
		return nil, nil
	}
	round := &Round{limit: limit, need: need, rest: b.order(now, one, limit, need)}
	one.round = round
	asks := b.next(now, one)
	if one.round == nil {
		return nil, nil
	}
	return round, asks
}

// order returns whom to ask: for a request those first that should have most,
// ahead of need one host after the other.
func (b *Borrower) order(now time.Duration, one *borrowing, limit string, need int64) []tracker.HostID {
	order := make([]tracker.HostID, 0, len(b.peers))
	one.turn++
	for i := range b.peers {
		order = append(order, b.peers[(one.turn+i)%len(b.peers)])
	}
	if need == 0 {
		return order[:min(len(order), 1)]
	}
	estimates := make(map[tracker.HostID]int64, len(order))
	for _, peer := range order {
		estimates[peer] = b.sharer.estimate(now, peer, limit)
	}
	sort.SliceStable(order, func(i, j int) bool { return estimates[order[i]] > estimates[order[j]] })
	return order
}

// next returns the next batch of asks, or ends the round.
func (b *Borrower) next(now time.Duration, one *borrowing) []Ask {
	round := one.round
	var asks []Ask
	expected := int64(0)
	for len(round.rest) > 0 && len(asks) < borrowBatch && !b.enough(now, round) {
		peer := round.rest[0]
		round.rest = round.rest[1:]
		if ask, ok := b.sharer.Ask(now, peer, round.limit, round.need); ok {
			asks = append(asks, ask)
			expected += b.sharer.estimate(now, peer, round.limit)
		}
		if round.need > 0 && expected >= 2*round.need*limiter.Unit {
			break // more would only leave others short
		}
	}
	round.open = len(asks)
	if round.open == 0 {
		b.end(now, one)
	}
	return asks
}

// enough reports whether a round can end: ahead of need after the first giver,
// for a request once the units are held.
func (b *Borrower) enough(now time.Duration, round *Round) bool {
	if round.need == 0 {
		return round.gave
	}
	_, tokens := b.sharer.Held(now, round.limit)
	return tokens >= round.need*limiter.Unit
}

func (b *Borrower) end(now time.Duration, one *borrowing) {
	// Crumbs that do not make up what a request needs are no success: an
	// overloaded workspace would be asked for again at once.
	if b.enough(now, one.round) {
		one.pause = 0
	} else {
		one.pause = min(max(firstDry, 2*one.pause), longestDry)
		if b.sharer.overloaded(now, one.round.limit, b.peers) {
			one.pause = overDry
		}
	}
	one.dry = now + one.pause
	one.round = nil
}

// Answered takes in the answer to one ask of a round: whether anything came. It
// returns further asks to send, and whether the round is over.
func (b *Borrower) Answered(now time.Duration, round *Round, gave bool) ([]Ask, bool) {
	one := b.limits[purpose{limit: round.limit, urgent: round.need > 0}]
	if one == nil || one.round != round {
		return nil, true
	}
	if gave {
		round.gave = true
	}
	round.open--
	if round.open > 0 {
		return nil, false
	}
	asks := b.next(now, one)
	return asks, one.round == nil
}

// Short returns the limits that a round ahead of need should be started for.
func (b *Borrower) Short(now time.Duration) []string {
	var short []string
	for _, limit := range b.sharer.Limits() {
		if b.sharer.Short(now, limit.Name()) {
			short = append(short, limit.Name())
		}
	}
	return short
}
