package sharer

import (
	"sync"
	"time"

	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	demandWindow = 250 * time.Millisecond
	leastDecay   = 4   // windows over which demand is averaged, at least
	mostDecay    = 120 // and at most
	decayUnits   = 200 // units of the whole limit that an average should cover
	baseShare    = 64  // a host counts as wanting at least total/baseShare
	homeShare    = 4   // a host of the limit's home counts as wanting total/homeShare
	hysteresis   = 20  // parts below total/hysteresis do not move without need
)

// sums is what went from one host to another in the present epoch.
type sums struct {
	amount limiter.Amount
	tokens int64
}

// entry is this host's part of one limit.
type entry struct {
	mu       sync.Mutex
	limit    Limit
	bucket   *limiter.Bucket
	inUse    int64                   // units of a level in use; 0 for a rate
	overhang int64                   // units that the epoch's census counted beyond the part, until they are added to it
	given    map[tracker.HostID]sums // grows only, until the epoch or the total changes
	taken    map[tracker.HostID]sums // likewise
	demand   int64                   // average of what was asked for
	asked    int64                   // asked for in the present window
	windowed time.Duration           // start of the present window
}

func newEntry(limit Limit, now time.Duration) *entry {
	e := &entry{
		limit:    limit,
		bucket:   limiter.NewBucket(limiter.Amount{}, 0, now),
		windowed: now,
	}
	e.forget()
	return e
}

// forget starts a new count of transfers.
func (e *entry) forget() {
	e.given = map[tracker.HostID]sums{}
	e.taken = map[tracker.HostID]sums{}
}

// note records n units asked for.
func (e *entry) note(now time.Duration, n int64) {
	e.roll(now)
	if e.limit.kind == Level {
		e.asked = max(e.asked, e.inUse+n)
		return
	}
	e.asked += n
}

func (e *entry) roll(now time.Duration) {
	passed := now - e.windowed
	if passed < demandWindow {
		return
	}
	sample := e.asked
	if e.limit.kind == Rate {
		sample = int64(float64(e.asked) / passed.Seconds())
	}
	decay := e.decay()
	windows := min(int64(passed/demandWindow), decay)
	e.demand += (sample - e.demand) * windows / decay
	e.asked = 0
	if e.limit.kind == Level {
		e.asked = e.inUse
	}
	e.windowed = now
}

// decay returns the windows over which demand is averaged. A small rate needs a
// long time until differences between hosts mean anything.
func (e *entry) decay() int64 {
	if e.limit.kind == Level || e.limit.total.Rate == 0 {
		return leastDecay
	}
	units := decayUnits * limiter.Unit / e.limit.total.Rate // seconds
	return min(max(units*int64(time.Second/demandWindow), leastDecay), mostDecay)
}

func (e *entry) take(now time.Duration, n int64) bool {
	e.note(now, n)
	if !e.bucket.Take(now, n) {
		return false
	}
	if e.limit.kind == Level {
		e.inUse += n
	}
	return true
}

// release gives back units of a level. Units above a capacity that shrank
// meanwhile are dropped.
func (e *entry) release(now time.Duration, n int64) {
	e.inUse -= n
	free := e.bucket.Amount().Capacity - e.inUse - e.bucket.Tokens(now)
	if free > 0 {
		e.bucket.Refund(now, min(free, n))
	}
}

// cut lowers the part to at most an amount, and reports whether that took
// anything.
func (e *entry) cut(now time.Duration, most limiter.Amount) bool {
	have := e.bucket.Amount()
	excess := have.Sub(have.Min(most))
	if excess.IsZero() {
		return false
	}
	e.bucket.Withdraw(now, excess, excess.Capacity)
	if e.limit.kind == Level {
		e.bucket.Limit(now, max(0, e.bucket.Amount().Capacity-e.inUse))
	}
	return true
}

// takeOverhang adds to the part what was counted beyond it. No tokens come with
// it, but for units that are not in use any more.
func (e *entry) takeOverhang(now time.Duration) {
	if e.overhang == 0 {
		return
	}
	capacity := e.bucket.Amount().Capacity + e.overhang
	tokens := max(0, capacity-e.inUse-e.bucket.Tokens(now))
	e.bucket.Deposit(now, limiter.Amount{Capacity: e.overhang}, tokens)
	e.overhang = 0
}

// share returns the part that fits an ask: what makes the two parts
// proportional to the two demands, and at least what the request at hand needs.
func (e *entry) share(now time.Duration, ask Ask, theirBase, myBase int64) (limiter.Amount, int64) {
	e.roll(now)
	have := e.bucket.Amount()
	tokens := e.bucket.Tokens(now)
	part := e.proportional(have, ask, theirBase, myBase)
	if e.limit.kind == Level {
		part.Capacity = max(part.Capacity, ask.Need)
		part.Capacity = min(part.Capacity, tokens)
		return part, part.Capacity
	}
	// A part of the need helps too: the asker collects from several hosts.
	part.Capacity = max(part.Capacity, min(ask.Need, tokens))
	part.Capacity = min(part.Capacity, have.Capacity)
	moved := int64(0)
	if have.Capacity > 0 {
		moved = limiter.Amount{Capacity: tokens}.Scale(part.Capacity, have.Capacity).Capacity
	}
	return part, min(max(moved, min(ask.Need, tokens)), part.Capacity)
}

func (e *entry) proportional(have limiter.Amount, ask Ask, theirBase, myBase int64) limiter.Amount {
	wanted := float64(max(ask.Demand, theirBase) + 1)
	ratio := wanted / (wanted + float64(max(e.demand, e.asked, myBase)+1))
	return limiter.Amount{
		Rate:     lack(have.Rate, ask.Have.Rate, ratio, e.limit.total.Rate),
		Capacity: lack(have.Capacity, ask.Have.Capacity, ratio, e.limit.total.Capacity),
	}
}

// base returns the demand that a member counts with when it has none.
func (m Member) base(limit Limit) int64 {
	total := max(limit.total.Rate, 0)
	if limit.kind == Level {
		total = limit.total.Capacity
	}
	switch limit.home {
	case "":
		return total / baseShare
	case m.Zone:
		return total / homeShare
	default:
		return 0
	}
}

// lack returns what the other side lacks of its ratio of the two parts.
func lack(mine, others int64, ratio float64, total int64) int64 {
	missing := int64(float64(mine+others)*ratio) - others
	if missing < total/hysteresis {
		return 0
	}
	return min(missing, mine)
}

// give withdraws a part and returns the new sums for its receiver.
func (e *entry) give(now time.Duration, to tracker.HostID, part limiter.Amount, tokens int64) sums {
	moved := e.bucket.Withdraw(now, part, tokens)
	total := e.given[to]
	total.amount = total.amount.Add(part)
	total.tokens += moved
	e.given[to] = total
	return total
}

// receive deposits what a giver's sums grew by since the last message seen.
func (e *entry) receive(now time.Duration, t Transfer) bool {
	seen := e.taken[t.From]
	growth := t.Given.Sub(seen.amount)
	if growth.Rate < 0 || growth.Capacity < 0 || growth.IsZero() {
		return false
	}
	e.bucket.Deposit(now, growth, t.Tokens-seen.tokens)
	e.taken[t.From] = sums{amount: t.Given, tokens: t.Tokens}
	return true
}

// resize takes over a changed total. A lower one binds at once; a higher one is
// issued by the next census.
func (e *entry) resize(now time.Duration, limit Limit) {
	if limit.total == e.limit.total {
		return
	}
	have := e.bucket.Amount()
	most := limiter.Amount{
		Rate:     shrunk(have.Rate, limit.total.Rate, e.limit.total.Rate),
		Capacity: shrunk(have.Capacity, limit.total.Capacity, e.limit.total.Capacity),
	}
	e.cut(now, most)
	e.overhang = 0
	e.limit = limit
	e.forget()
}

func shrunk(have, next, previous int64) int64 {
	if next >= previous {
		return have
	}
	return limiter.Amount{Rate: have}.Scale(next, previous).Rate
}
