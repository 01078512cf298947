// Package limiter implements a token bucket, which admits requests at a rate with
// a burst, and a budget for retries. It does no I/O; the caller passes the time.
package limiter

import (
	"math"
	"math/bits"
	"time"
)

// Unit is the number of token units in one token. Buckets count in token units.
const Unit int64 = 1_000_000_000

const maxRefill = time.Hour // a longer pause is credited as one hour

// Amount is a limit or a share of one: a refill rate and the token capacity that
// goes with it.
type Amount struct {
	Rate     int64 // token units a second; never negative
	Capacity int64 // token units; never negative
}

// Add returns the sum of two amounts.
func (a Amount) Add(b Amount) Amount {
	return Amount{Rate: a.Rate + b.Rate, Capacity: a.Capacity + b.Capacity}
}

// Sub returns the difference of two amounts.
func (a Amount) Sub(b Amount) Amount {
	return Amount{Rate: a.Rate - b.Rate, Capacity: a.Capacity - b.Capacity}
}

// Min returns the smaller rate and the smaller capacity of two amounts.
func (a Amount) Min(b Amount) Amount {
	return Amount{Rate: min(a.Rate, b.Rate), Capacity: min(a.Capacity, b.Capacity)}
}

// Scale returns the amount times num/den, rounded down. den must be above 0.
func (a Amount) Scale(num, den int64) Amount {
	return Amount{Rate: mulDiv(a.Rate, num, den), Capacity: mulDiv(a.Capacity, num, den)}
}

// IsZero reports whether rate and capacity are 0.
func (a Amount) IsZero() bool { return a.Rate == 0 && a.Capacity == 0 }

// maxUnits bounds token units that follow from what operators and servers state. Sums of
// a few of them do not overflow.
const maxUnits = int64(1) << 58

// Units returns the token units of a number of tokens, at least 0 and at most about 288
// million tokens.
func Units(tokens float64) int64 {
	units := tokens * float64(Unit)
	switch {
	case !(units > 0):
		return 0
	case units >= float64(maxUnits):
		return maxUnits
	}
	return int64(units)
}

// mulDiv returns a*num/den, rounded down, for values that are not negative, or the
// largest number if that is larger. It panics if den is 0.
func mulDiv(a, num, den int64) int64 {
	hi, lo := bits.Mul64(uint64(a), uint64(num))
	if hi >= uint64(den) {
		return math.MaxInt64
	}
	quotient, _ := bits.Div64(hi, lo, uint64(den))
	return int64(min(quotient, math.MaxInt64))
}

// Bucket is a token bucket. Over any window of length t it admits
// at most rate*t + capacity. It is not safe for concurrent use.
type Bucket struct {
	amount Amount
	tokens int64 // at most amount.Capacity; below 0 only after Charge
	last   time.Duration
}

// NewBucket returns a bucket that holds the given token units at the monotonic
// time now. Tokens above the capacity are dropped.
func NewBucket(amount Amount, tokens int64, now time.Duration) *Bucket {
	return &Bucket{amount: amount, tokens: min(tokens, amount.Capacity), last: now}
}

// Amount returns the current rate and capacity.
func (b *Bucket) Amount() Amount { return b.amount }

// Tokens returns the token units held at the time now.
func (b *Bucket) Tokens(now time.Duration) int64 {
	b.refill(now)
	return b.tokens
}

// Take removes n token units if the bucket holds that many, and reports whether
// it did.
func (b *Bucket) Take(now time.Duration, n int64) bool {
	b.refill(now)
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// Charge removes n token units, also those that the bucket does not hold yet. Later
// refills make up for them.
func (b *Bucket) Charge(now time.Duration, n int64) {
	b.refill(now)
	b.tokens -= n
}

// Withdraw removes a share of the rate and capacity from the bucket, with at most
// the given token units. It returns the token units that were removed with it:
// never more than the bucket holds or the capacity of the share.
func (b *Bucket) Withdraw(now time.Duration, share Amount, tokens int64) int64 {
	b.refill(now)
	tokens = min(tokens, b.tokens, share.Capacity)
	b.amount = b.amount.Sub(share)
	b.tokens = min(b.tokens-tokens, b.amount.Capacity)
	return tokens
}

// Deposit adds a share of the rate and capacity with its token units; tokens
// above the capacity of the share are dropped.
func (b *Bucket) Deposit(now time.Duration, share Amount, tokens int64) {
	b.refill(now)
	b.amount = b.amount.Add(share)
	b.tokens += min(tokens, share.Capacity)
}

// Wait returns the time until the bucket holds n token units, and false if it can
// never hold that many.
func (b *Bucket) Wait(now time.Duration, n int64) (time.Duration, bool) {
	b.refill(now)
	missing := n - b.tokens
	if missing <= 0 {
		return 0, true
	}
	if n > b.amount.Capacity || b.amount.Rate == 0 {
		return 0, false
	}
	return time.Duration(min(mulDiv(missing, int64(time.Second), b.amount.Rate), math.MaxInt64-1)) + 1, true
}

// refill adds the tokens earned since the last call. It has no effect if
// now is before that call.
func (b *Bucket) refill(now time.Duration) {
	elapsed := min(now-b.last, maxRefill)
	if elapsed <= 0 {
		return
	}
	b.last = now
	gained := mulDiv(b.amount.Rate, int64(elapsed), int64(time.Second))
	if gained >= b.amount.Capacity-b.tokens {
		b.tokens = b.amount.Capacity
		return
	}
	b.tokens += gained
}

// Refund returns n token units that were taken, up to the capacity.
func (b *Bucket) Refund(now time.Duration, n int64) {
	b.refill(now)
	b.tokens = min(b.tokens+n, b.amount.Capacity)
}

// CapTokens lowers the token units held to at most n.
func (b *Bucket) CapTokens(now time.Duration, n int64) {
	b.refill(now)
	b.tokens = min(b.tokens, n)
}
