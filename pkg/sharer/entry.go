package sharer

import (
	"sync"
	"time"

	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	demandWindow      = 250 * time.Millisecond
	minDecayWindows   = 4   // least number of windows over which demand is averaged
	maxDecayWindows   = 120 // greatest number of windows over which demand is averaged
	decayUnits        = 200 // units of the whole limit that an average should cover
	baseDemandDivisor = 64  // minimum demand assumed for a host: total/baseDemandDivisor
	homeDemandDivisor = 4   // the same for a host in the limit's home zone: total/homeDemandDivisor
	minMoveDivisor    = 20  // differences below total/minMoveDivisor are moved only when a request needs them
)

// transferTotals is what one host has given another in the present epoch.
type transferTotals struct {
	amount limiter.Amount
	tokens int64
}

// entry is this host's share of one limit, with its demand and transfers.
type entry struct {
	mu            sync.Mutex
	limit         Limit
	bucket        *limiter.Bucket
	inUse         int64                             // units of a concurrency limit in use; 0 for a rate
	overcommitted int64                             // units that the epoch's collector counted beyond the share, until they are added to it
	given         map[tracker.HostID]transferTotals // by receiver; grows only, until the epoch or the total changes
	received      map[tracker.HostID]transferTotals // by giver; likewise
	demand        int64                             // moving average
	windowDemand  int64                             // demand in the present window
	windowStart   time.Duration
}

func newEntry(limit Limit, now time.Duration) *entry {
	e := &entry{
		limit:       limit,
		bucket:      limiter.NewBucket(limiter.Amount{}, 0, now),
		windowStart: now,
	}
	e.resetTransfers()
	return e
}

// resetTransfers restarts the cumulative counts of transfers.
func (e *entry) resetTransfers() {
	e.given = map[tracker.HostID]transferTotals{}
	e.received = map[tracker.HostID]transferTotals{}
}

// recordDemand records a demand for n token units.
func (e *entry) recordDemand(now time.Duration, n int64) {
	e.rollWindow(now)
	if e.limit.kind == Concurrency {
		e.windowDemand = max(e.windowDemand, e.inUse+n)
		return
	}
	e.windowDemand += n
}

// rollWindow adds the demand window to the average once the window has ended.
func (e *entry) rollWindow(now time.Duration) {
	passed := now - e.windowStart
	if passed < demandWindow {
		return
	}
	sample := e.windowDemand
	if e.limit.kind == Rate {
		sample = int64(float64(e.windowDemand) / passed.Seconds())
	}
	decay := e.decayWindows()
	windows := min(int64(passed/demandWindow), decay)
	e.demand += (sample - e.demand) * windows / decay
	e.windowDemand = 0
	if e.limit.kind == Concurrency {
		e.windowDemand = e.inUse
	}
	e.windowStart = now
}

// decayWindows returns the number of windows over which demand is averaged. A
// small rate needs a long average before differences between hosts are
// significant.
func (e *entry) decayWindows() int64 {
	if e.limit.kind == Concurrency || e.limit.total.Rate == 0 {
		return minDecayWindows
	}
	seconds := decayUnits * limiter.Unit / e.limit.total.Rate
	return min(max(seconds*int64(time.Second/demandWindow), minDecayWindows), maxDecayWindows)
}

func (e *entry) take(now time.Duration, n int64) bool {
	e.recordDemand(now, n)
	if !e.bucket.Take(now, n) {
		return false
	}
	if e.limit.kind == Concurrency {
		e.inUse += n
	}
	return true
}

// release frees units of a concurrency limit. Units above a capacity that was
// reduced meanwhile are dropped.
func (e *entry) release(now time.Duration, n int64) {
	e.inUse -= n
	free := e.bucket.Amount().Capacity - e.inUse - e.bucket.Tokens(now)
	if free > 0 {
		e.bucket.Refund(now, min(free, n))
	}
}

// reduceTo limits the share to a maximum, and reports whether that took
// anything away.
func (e *entry) reduceTo(now time.Duration, maximum limiter.Amount) bool {
	have := e.bucket.Amount()
	excess := have.Sub(have.Min(maximum))
	if excess.IsZero() {
		return false
	}
	e.bucket.Withdraw(now, excess, excess.Capacity)
	if e.limit.kind == Concurrency {
		e.bucket.CapTokens(now, max(0, e.bucket.Amount().Capacity-e.inUse))
	}
	return true
}

// addOvercommitted adds to the share the units that were counted beyond it. It
// adds tokens only for units that are no longer in use.
func (e *entry) addOvercommitted(now time.Duration) {
	if e.overcommitted == 0 {
		return
	}
	capacity := e.bucket.Amount().Capacity + e.overcommitted
	tokens := max(0, capacity-e.inUse-e.bucket.Tokens(now))
	e.bucket.Deposit(now, limiter.Amount{Capacity: e.overcommitted}, tokens)
	e.overcommitted = 0
}

// grantFor returns the share to grant for an ask, and its tokens: what makes
// the shares of both hosts proportional to their demands, and at least what the
// asking host's current request needs, as far as this host has it.
func (e *entry) grantFor(now time.Duration, ask Ask, peerBase, ownBase int64) (limiter.Amount, int64) {
	e.rollWindow(now)
	have := e.bucket.Amount()
	tokens := e.bucket.Tokens(now)
	share := e.proportional(have, ask, peerBase, ownBase)
	if e.limit.kind == Concurrency {
		share.Capacity = max(share.Capacity, ask.Need)
		share.Capacity = min(share.Capacity, tokens)
		return share, share.Capacity
	}
	// Part of the need is useful too, because the other host asks several hosts.
	share.Capacity = max(share.Capacity, min(ask.Need, tokens))
	share.Capacity = min(share.Capacity, have.Capacity)
	moved := int64(0)
	if have.Capacity > 0 {
		moved = limiter.Amount{Capacity: tokens}.Scale(share.Capacity, have.Capacity).Capacity
	}
	return share, min(max(moved, min(ask.Need, tokens)), share.Capacity)
}

func (e *entry) proportional(have limiter.Amount, ask Ask, peerBase, ownBase int64) limiter.Amount {
	wanted := float64(max(ask.Demand, peerBase) + 1)
	ratio := wanted / (wanted + float64(max(e.demand, e.windowDemand, ownBase)+1))
	return limiter.Amount{
		Rate:     shortfall(have.Rate, ask.Share.Rate, ratio, e.limit.total.Rate),
		Capacity: shortfall(have.Capacity, ask.Share.Capacity, ratio, e.limit.total.Capacity),
	}
}

// baseDemand returns the minimum demand that is assumed for a member.
func (m Member) baseDemand(limit Limit) int64 {
	total := max(limit.total.Rate, 0)
	if limit.kind == Concurrency {
		total = limit.total.Capacity
	}
	switch limit.homeZone {
	case "":
		return total / baseDemandDivisor
	case m.Zone:
		return total / homeDemandDivisor
	default:
		return 0
	}
}

// shortfall returns how much a host that has theirs is short of its ratio of
// the sum of both shares, up to own. It returns 0 for a difference that is
// small compared with the limit's total.
func shortfall(own, theirs int64, ratio float64, total int64) int64 {
	missing := int64(float64(own+theirs)*ratio) - theirs
	if missing < total/minMoveDivisor {
		return 0
	}
	return min(missing, own)
}

// grant withdraws a share and returns the cumulative transfer to its receiver.
func (e *entry) grant(now time.Duration, to tracker.HostID, share limiter.Amount, tokens int64) transferTotals {
	moved := e.bucket.Withdraw(now, share, tokens)
	total := e.given[to]
	total.amount = total.amount.Add(share)
	total.tokens += moved
	e.given[to] = total
	return total
}

// receive deposits the growth of a giver's cumulative transfer since the last
// one that was applied, and reports whether there was any.
func (e *entry) receive(now time.Duration, t Transfer) bool {
	seen := e.received[t.From]
	growth := t.CumulativeShare.Sub(seen.amount)
	if growth.Rate < 0 || growth.Capacity < 0 || growth.IsZero() {
		return false
	}
	e.bucket.Deposit(now, growth, t.CumulativeTokens-seen.tokens)
	e.received[t.From] = transferTotals{amount: t.CumulativeShare, tokens: t.CumulativeTokens}
	return true
}

// resize applies a changed total. A lower total takes effect at once; a higher
// one is issued by the next collection.
func (e *entry) resize(now time.Duration, limit Limit) {
	if limit.total == e.limit.total && limit.kind == e.limit.kind {
		e.limit = limit // its home zone may have changed
		return
	}
	have := e.bucket.Amount()
	maximum := limiter.Amount{
		Rate:     scaleDown(have.Rate, limit.total.Rate, e.limit.total.Rate),
		Capacity: scaleDown(have.Capacity, limit.total.Capacity, e.limit.total.Capacity),
	}
	e.reduceTo(now, maximum)
	e.overcommitted = 0
	e.limit = limit
	e.resetTransfers()
}

// scaleDown returns have in proportion to a total that fell from previous to
// next.
func scaleDown(have, next, previous int64) int64 {
	if next >= previous {
		return have
	}
	return limiter.Amount{Rate: have}.Scale(next, previous).Rate
}
