package sharer

import (
	"maps"
	"slices"
	"sort"
	"time"

	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// askKey identifies another host and a limit.
type askKey struct {
	peer  tracker.HostID
	limit string
}

// pendingAsk is the latest ask without an answer. It may have been granted.
type pendingAsk struct {
	id   uint64
	sent time.Duration
}

// hint is what another host reported last of its share of a limit.
type hint struct {
	remaining  limiter.Amount
	tokens     int64
	demand     int64
	receivedAt time.Duration
}

// estimateTokens returns the token units that another host may have by now. For
// a host that has reported nothing it returns one unit.
func (s *Sharer) estimateTokens(now time.Duration, peer tracker.HostID, limit string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, known := s.hints[askKey{peer: peer, limit: limit}]
	if !known {
		return limiter.Unit // worth one ask
	}
	bucket := limiter.NewBucket(h.remaining, h.tokens, h.receivedAt)
	return bucket.Tokens(now)
}

const maxHintAge = 5 * time.Second // the demand in an older hint is not used

// overloaded reports whether the demand on this host and its peers is more than
// twice a rate. It returns false unless it has a recent hint from every peer.
func (s *Sharer) overloaded(now time.Duration, limit string, peers []tracker.HostID) bool {
	e := s.entry(limit)
	if e == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := int64(0)
	for _, peer := range peers {
		h, known := s.hints[askKey{peer: peer, limit: limit}]
		if !known || now-h.receivedAt > maxHintAge {
			return false
		}
		sum += h.demand
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rollWindow(now)
	sum += e.demand
	return e.limit.kind == Rate && sum > 2*e.limit.total.Rate
}

// RepeatUnanswered returns a new ask for each one that has had no answer for longer
// than age. The answers to the new asks repeat what lost answers granted.
func (s *Sharer) RepeatUnanswered(now, age time.Duration) []Ask {
	s.mu.Lock()
	var overdue []askKey
	for key, latest := range s.pending {
		if now-latest.sent > age {
			overdue = append(overdue, key)
		}
	}
	s.mu.Unlock()
	sort.Slice(overdue, func(i, j int) bool {
		if overdue[i].peer != overdue[j].peer {
			return overdue[i].peer.String() < overdue[j].peer.String()
		}
		return overdue[i].limit < overdue[j].limit
	})
	var asks []Ask
	for _, key := range overdue {
		if ask, ok := s.Ask(now, key.peer, key.limit, 0); ok {
			asks = append(asks, ask)
		}
	}
	return asks
}

// RecordRefusal records that an ask was answered without a grant.
func (s *Sharer) RecordRefusal(ask Ask) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removePending(ask.To, ask.Limit, ask.ID)
}

// removePending removes an ask from the pending ones, unless a later one is
// pending.
func (s *Sharer) removePending(peer tracker.HostID, limit string, id uint64) {
	key := askKey{peer: peer, limit: limit}
	if s.pending[key].id <= id {
		delete(s.pending, key)
	}
}

// Ask returns an ask to another host for a share of a limit. need is the number
// of units missing for the current request, or 0. It returns false while the
// host is not confirmed or its lease has expired, and when the limit is unknown
// or the other host is not a member.
func (s *Sharer) Ask(now time.Duration, to tracker.HostID, limit string, need int64) (Ask, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(limit)
	if e == nil || !s.confirmed || int64(now) >= s.leaseEnd.Load() {
		return Ask{}, false
	}
	if _, member := s.roster.Member(to); !member {
		return Ask{}, false
	}
	epoch := s.roster.Epoch
	s.lastAskID++
	id := s.lastAskID
	s.pending[askKey{peer: to, limit: limit}] = pendingAsk{id: id, sent: now}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.checkLease(now, e)
	e.rollWindow(now)
	return Ask{
		Message: Message{From: s.self, To: to, Epoch: epoch},
		ID:      id,
		Limit:   limit,
		Total:   e.limit.total,
		Share:   e.bucket.Amount(),
		Tokens:  e.bucket.Tokens(now),
		Demand:  max(e.demand, e.windowDemand),
		Need:    need * limiter.Unit,
	}, true
}

// Grant answers an ask. It withdraws what the answer grants before it returns.
// An answer that grants nothing new still repeats the cumulative transfer,
// which makes up for a lost answer. It returns false for an ask that cannot be
// answered.
func (s *Sharer) Grant(now time.Duration, ask Ask) (Transfer, bool) {
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
		share  limiter.Amount
		tokens int64
	)
	// A repeated ask grants nothing: the other host may have removed the ask
	// on its first answer, and would not ask again if the second one is lost.
	if key := (askKey{peer: ask.From, limit: ask.Limit}); ask.ID > s.lastAnswered[key] {
		s.lastAnswered[key] = ask.ID
		share, tokens = e.grantFor(now, ask, asker.baseDemand(e.limit), s.me.Load().baseDemand(e.limit))
	}
	total := e.grant(now, ask.From, share, tokens)
	return Transfer{
		Message:          Message{From: s.self, To: ask.From, Epoch: s.roster.Epoch},
		AskID:            ask.ID,
		Limit:            ask.Limit,
		Total:            e.limit.total,
		CumulativeShare:  total.amount,
		CumulativeTokens: total.tokens,
		RemainingShare:   e.bucket.Amount(),
		RemainingTokens:  e.bucket.Tokens(now),
		Demand:           e.demand,
	}, true
}

func (s *Sharer) valid(m Message) bool {
	return s.confirmed && m.To == s.self && m.Epoch == s.roster.Epoch
}

// ApplyTransfer applies a transfer and reports whether it brought anything new.
// Transfers may arrive in any order and any number of times.
func (s *Sharer) ApplyTransfer(now time.Duration, t Transfer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removePending(t.From, t.Limit, t.AskID)
	e := s.entry(t.Limit)
	if e == nil || !s.valid(t.Message) {
		s.lostTransfers++
		return false
	}
	s.hints[askKey{peer: t.From, limit: t.Limit}] = hint{remaining: t.RemainingShare, tokens: t.RemainingTokens, demand: t.Demand, receivedAt: now}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.limit.total != t.Total {
		s.lostTransfers++
		return false
	}
	// The share is reduced after an expired lease before anything is added:
	// the collector may have counted this host with its floor already.
	s.checkLease(now, e)
	if int64(now) >= s.leaseEnd.Load() {
		s.lostTransfers++
		return false
	}
	return e.receive(now, t)
}

// HandOver returns transfers that give everything free to another member. A
// host that stops calls it until it holds nothing.
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
		share, tokens := e.transferable(now)
		total := e.grant(now, to, share, tokens)
		if !total.amount.IsZero() {
			transfers = append(transfers, Transfer{
				Message: Message{From: s.self, To: to, Epoch: s.roster.Epoch},
				Limit:   name, Total: e.limit.total, CumulativeShare: total.amount, CumulativeTokens: total.tokens,
			})
		}
		e.mu.Unlock()
	}
	return transfers
}

// transferable returns the share and tokens that can be given away now.
func (e *entry) transferable(now time.Duration) (limiter.Amount, int64) {
	have := e.bucket.Amount()
	tokens := e.bucket.Tokens(now)
	if e.limit.kind == Concurrency {
		have.Capacity = min(have.Capacity, tokens)
	}
	return have, tokens
}

// IsShort reports whether the host's share of a limit is small for its demand, so
// that it should ask for more.
func (s *Sharer) IsShort(now time.Duration, limit string) bool {
	e := s.entry(limit)
	if e == nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rollWindow(now)
	wanted := max(e.demand, e.windowDemand, s.me.Load().baseDemand(e.limit))
	have := e.bucket.Amount()
	if e.limit.kind == Concurrency {
		return wanted > 0 && have.Capacity < wanted+wanted/4
	}
	// A share that can never admit a single request is of no use.
	small := e.demand > 0 && have.Capacity < limiter.Unit
	return wanted > 0 && have.Rate < wanted+wanted/4 || small
}
