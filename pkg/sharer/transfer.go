package sharer

import (
	"maps"
	"slices"
	"sort"
	"time"

	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// debt names whom a limit was asked of.
type debt struct {
	to    tracker.HostID
	limit string
}

// request is the latest ask without an answer. It may have been granted.
type request struct {
	id   uint64
	sent time.Duration
}

// hint is what another host had of a limit when it was last heard of it.
type hint struct {
	left   limiter.Amount
	spare  int64
	demand int64
	seen   time.Duration
}

// estimate returns the token units that another host may have by now.
func (s *Sharer) estimate(now time.Duration, of tracker.HostID, limit string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, known := s.hints[debt{to: of, limit: limit}]
	if !known {
		return limiter.Unit // worth a try
	}
	bucket := limiter.NewBucket(h.left, h.spare, h.seen)
	return bucket.Tokens(now)
}

const hintAge = 5 * time.Second // older hints say nothing of demand

// overloaded reports whether the hosts together are asked for more than twice
// the rate. It needs a fresh hint of every one of them.
func (s *Sharer) overloaded(now time.Duration, limit string, peers []tracker.HostID) bool {
	e := s.entry(limit)
	if e == nil || e.limit.kind != Rate {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := int64(0)
	for _, peer := range peers {
		h, known := s.hints[debt{to: peer, limit: limit}]
		if !known || now-h.seen > hintAge {
			return false
		}
		sum += h.demand
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.roll(now)
	sum += e.demand
	return sum > 2*e.limit.total.Rate
}

// Unsettled returns the asks without an answer for longer than an age, made
// anew. Sent again, they bring what the lost answers granted.
func (s *Sharer) Unsettled(now, age time.Duration) []Ask {
	s.mu.Lock()
	var old []debt
	for d, r := range s.debts {
		if now-r.sent > age {
			old = append(old, d)
		}
	}
	s.mu.Unlock()
	sort.Slice(old, func(i, j int) bool {
		if old[i].to != old[j].to {
			return old[i].to.String() < old[j].to.String()
		}
		return old[i].limit < old[j].limit
	})
	var asks []Ask
	for _, d := range old {
		if ask, ok := s.Ask(now, d.to, d.limit, 0); ok {
			asks = append(asks, ask)
		}
	}
	return asks
}

// Settled takes in that an ask was answered without granting anything.
func (s *Sharer) Settled(ask Ask) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(ask.To, ask.Limit, ask.ID)
}

// settle forgets an ask unless a later one is still without an answer.
func (s *Sharer) settle(to tracker.HostID, limit string, id uint64) {
	d := debt{to: to, limit: limit}
	if s.debts[d].id <= id {
		delete(s.debts, d)
	}
}

// Ask returns the request for a part of a limit, with the units missing for the
// request at hand.
func (s *Sharer) Ask(now time.Duration, to tracker.HostID, limit string, need int64) (Ask, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(limit)
	if e == nil || !s.confirmed || int64(now) >= s.lapses.Load() {
		return Ask{}, false
	}
	if _, member := s.roster.Member(to); !member {
		return Ask{}, false
	}
	epoch := s.roster.Epoch
	s.asked++
	id := s.asked
	s.debts[debt{to: to, limit: limit}] = request{id: id, sent: now}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.checkLease(now, e)
	e.roll(now)
	return Ask{
		Message: Message{From: s.self, To: to, Epoch: epoch},
		ID:      id,
		Limit:   limit,
		Total:   e.limit.total,
		Have:    e.bucket.Amount(),
		Tokens:  e.bucket.Tokens(now),
		Demand:  max(e.demand, e.asked),
		Need:    need * limiter.Unit,
	}, true
}

// Give answers an ask. What the answer grants has left this host before it is
// returned. An answer that grants nothing new still repeats the sums, so that a
// lost one is made good.
func (s *Sharer) Give(now time.Duration, ask Ask) (Transfer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(ask.Limit)
	if e == nil || !s.valid(ask.Message) {
		return Transfer{}, false
	}
	asker, member := s.roster.Member(ask.From)
	if !member {
		return Transfer{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.limit.total != ask.Total {
		return Transfer{}, false
	}
	s.checkLease(now, e)
	var (
		part   limiter.Amount
		tokens int64
	)
	// An ask that comes again grants nothing: its first answer may have settled
	// it already, and nobody would ask for what only the second one tells.
	if from := (debt{to: ask.From, limit: ask.Limit}); ask.ID > s.answered[from] {
		s.answered[from] = ask.ID
		part, tokens = e.share(now, ask, asker.base(e.limit), s.me.Load().base(e.limit))
	}
	total := e.give(now, ask.From, part, tokens)
	return Transfer{
		Message: Message{From: s.self, To: ask.From, Epoch: s.roster.Epoch},
		Answers: ask.ID,
		Limit:   ask.Limit,
		Total:   e.limit.total,
		Given:   total.amount,
		Tokens:  total.tokens,
		Left:    e.bucket.Amount(),
		Spare:   e.bucket.Tokens(now),
		Demand:  e.demand,
	}, true
}

func (s *Sharer) valid(m Message) bool {
	return s.confirmed && m.To == s.self && m.Epoch == s.roster.Epoch
}

// Receive takes in a transfer, in any order and any number of times, and
// reports whether it brought anything new.
func (s *Sharer) Receive(now time.Duration, t Transfer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(t.From, t.Limit, t.Answers)
	s.hints[debt{to: t.From, limit: t.Limit}] = hint{left: t.Left, spare: t.Spare, demand: t.Demand, seen: now}
	e := s.entry(t.Limit)
	if e == nil || !s.valid(t.Message) {
		s.lost++
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.limit.total != t.Total {
		s.lost++
		return false
	}
	// A lapsed lease binds before anything is added: the census may have
	// counted this host with its floor already.
	s.checkLease(now, e)
	if int64(now) >= s.lapses.Load() {
		s.lost++
		return false
	}
	return e.receive(now, t)
}

// HandOver returns transfers that give everything free to another member. A
// host that stops calls it until nothing is left.
func (s *Sharer) HandOver(now time.Duration, to tracker.HostID) []Transfer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, member := s.roster.Member(to); !member || to == s.self || !s.confirmed {
		return nil
	}
	var transfers []Transfer
	entries := *s.entries.Load()
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		e := entries[name]
		e.mu.Lock()
		s.checkLease(now, e)
		part, tokens := e.all(now)
		total := e.give(now, to, part, tokens)
		if !total.amount.IsZero() {
			transfers = append(transfers, Transfer{
				Message: Message{From: s.self, To: to, Epoch: s.roster.Epoch},
				Limit:   name, Total: e.limit.total, Given: total.amount, Tokens: total.tokens,
			})
		}
		e.mu.Unlock()
	}
	return transfers
}

// all returns everything that can leave now.
func (e *entry) all(now time.Duration) (limiter.Amount, int64) {
	have := e.bucket.Amount()
	tokens := e.bucket.Tokens(now)
	if e.limit.kind == Level {
		have.Capacity = min(have.Capacity, tokens)
	}
	return have, tokens
}

// Short reports whether the host's part of a limit is small for its demand, so
// that it should ask for more.
func (s *Sharer) Short(now time.Duration, limit string) bool {
	e := s.entry(limit)
	if e == nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.roll(now)
	wanted := max(e.demand, e.asked, s.me.Load().base(e.limit))
	have := e.bucket.Amount()
	if e.limit.kind == Level {
		return wanted > 0 && have.Capacity < wanted+wanted/4
	}
	// A part that can never admit a single request is of no use.
	small := e.demand > 0 && have.Capacity < limiter.Unit
	return wanted > 0 && have.Rate < wanted+wanted/4 || small
}
