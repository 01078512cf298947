package sharer

import (
	"sort"
	"time"

	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	maxBatch      = 3                      // hosts asked at the same time
	minPause      = 5 * time.Millisecond   // first pause between rounds while they find too little
	maxPause      = 100 * time.Millisecond // the pause doubles up to this
	overloadPause = 500 * time.Millisecond // pause while the demand on all hosts exceeds twice the rate
)

// Borrower decides which hosts to ask for a limit that its host is short of,
// and when to stop asking. It does no I/O and is not safe for concurrent use.
type Borrower struct {
	sharer *Sharer
	states map[roundKey]*roundState
	peers  []tracker.HostID // nearest first
}

// roundKey identifies the rounds for a limit. Rounds for a waiting request are
// separate from rounds ahead of need: the latter find nothing more often and
// must not delay the former.
type roundKey struct {
	limit  string
	urgent bool
}

// roundState is the state of the rounds of one key.
type roundState struct {
	round    *Round        // running round, or nil
	resumeAt time.Duration // no round starts before this time
	pause    time.Duration // last pause after a round that found too little; 0 after one that found enough
	rotation int           // rotates the order of the hosts
}

// Round is a series of asks for a limit. For each limit, at most one round for
// a request and one ahead of need run at a time.
type Round struct {
	limit      string
	need       int64            // whole units, or 0 for a round ahead of need
	remaining  []tracker.HostID // hosts not asked yet
	unanswered int              // asks without an answer
	granted    bool             // a host has granted something
}

// NewBorrower returns a borrower without peers.
func NewBorrower(s *Sharer) *Borrower {
	return &Borrower{sharer: s, states: map[roundKey]*roundState{}}
}

// SetPeers sets the hosts that may be asked, nearest first.
func (b *Borrower) SetPeers(peers []tracker.HostID) { b.peers = peers }

// Start begins a round, or returns the running one without asks. It returns nil
// during the pause after a round that found too little, and when no host can be
// asked. The caller sends the asks and reports the answer to each of them.
func (b *Borrower) Start(now time.Duration, limit string, need int64) (*Round, []Ask) {
	key := roundKey{limit: limit, urgent: need > 0}
	state := b.states[key]
	if state == nil {
		state = &roundState{}
		b.states[key] = state
	}
	if state.round != nil {
		return state.round, nil
	}
	if now < state.resumeAt {
		return nil, nil
	}
	round := &Round{limit: limit, need: need, remaining: b.peerOrder(now, state, limit, need)}
	state.round = round
	asks := b.nextBatch(now, state)
	if state.round == nil {
		return nil, nil
	}
	return round, asks
}

// peerOrder returns the hosts to ask. For a request, those with the most
// estimated tokens come first; ahead of need, it is one host at a time in
// rotation.
func (b *Borrower) peerOrder(now time.Duration, state *roundState, limit string, need int64) []tracker.HostID {
	order := make([]tracker.HostID, 0, len(b.peers))
	state.rotation++
	for i := range b.peers {
		order = append(order, b.peers[(state.rotation+i)%len(b.peers)])
	}
	if need == 0 {
		return order[:min(len(order), 1)]
	}
	estimates := make(map[tracker.HostID]int64, len(order))
	for _, peer := range order {
		estimates[peer] = b.sharer.estimateTokens(now, peer, limit)
	}
	sort.SliceStable(order, func(i, j int) bool { return estimates[order[i]] > estimates[order[j]] })
	return order
}

// nextBatch returns the next batch of asks, or ends the round if there is none.
func (b *Borrower) nextBatch(now time.Duration, state *roundState) []Ask {
	round := state.round
	var asks []Ask
	expected := int64(0)
	for len(round.remaining) > 0 && len(asks) < maxBatch && !b.satisfied(now, round) {
		peer := round.remaining[0]
		round.remaining = round.remaining[1:]
		if ask, ok := b.sharer.Ask(now, peer, round.limit, round.need); ok {
			asks = append(asks, ask)
			expected += b.sharer.estimateTokens(now, peer, round.limit)
		}
		if round.need > 0 && expected >= 2*round.need*limiter.Unit {
			break // asking more hosts would only leave them short
		}
	}
	round.unanswered = len(asks)
	if round.unanswered == 0 {
		b.endRound(now, state)
	}
	return asks
}

// satisfied reports whether a round can end: ahead of need after the first
// grant, for a request once the units are held.
func (b *Borrower) satisfied(now time.Duration, round *Round) bool {
	if round.need == 0 {
		return round.granted
	}
	_, tokens := b.sharer.Share(now, round.limit)
	return tokens >= round.need*limiter.Unit
}

func (b *Borrower) endRound(now time.Duration, state *roundState) {
	// Grants below what a request needs do not count as success: otherwise an
	// overloaded workspace would start the next round at once.
	if b.satisfied(now, state.round) {
		state.pause = 0
	} else {
		state.pause = min(max(minPause, 2*state.pause), maxPause)
		if b.sharer.overloaded(now, state.round.limit, b.peers) {
			state.pause = overloadPause
		}
	}
	state.resumeAt = now + state.pause
	state.round = nil
}

// RecordAnswer records the answer to one ask of a round, and whether it granted
// anything. It returns further asks to send, and whether the round is over.
func (b *Borrower) RecordAnswer(now time.Duration, round *Round, granted bool) ([]Ask, bool) {
	state := b.states[roundKey{limit: round.limit, urgent: round.need > 0}]
	if state == nil || state.round != round {
		return nil, true
	}
	if granted {
		round.granted = true
	}
	round.unanswered--
	if round.unanswered > 0 {
		return nil, false
	}
	asks := b.nextBatch(now, state)
	return asks, state.round == nil
}

// ShortLimits returns the limits for which a round ahead of need should start.
func (b *Borrower) ShortLimits(now time.Duration) []string {
	var short []string
	for _, limit := range b.sharer.Limits() {
		if b.sharer.IsShort(now, limit.Name()) {
			short = append(short, limit.Name())
		}
	}
	return short
}
