// Package limiter holds the token bucket that admits requests at a rate and
// burst. It does no I/O; the caller hands in the time.
package limiter

import (
	"math/bits"
	"time"
)

// Unit is one whole token in the integer unit that buckets count in.
const Unit int64 = 1_000_000_000

const maxRefill = time.Hour // longer gaps are credited as one hour

// Amount is a part of a limit: a rate and the room for tokens that goes with it.
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

// IsZero reports whether nothing is left.
func (a Amount) IsZero() bool { return a.Rate == 0 && a.Capacity == 0 }

// mulDiv returns a*num/den, rounded down, for values that are not negative.
func mulDiv(a, num, den int64) int64 {
	hi, lo := bits.Mul64(uint64(a), uint64(num))
	quotient, _ := bits.Div64(hi, lo, uint64(den))
	return int64(quotient)
}

// Bucket admits work while it has tokens. Over any window of length t it admits
// at most rate*t + capacity. It is not safe for concurrent use.
type Bucket struct {
	amount Amount
	tokens int64 // between 0 and amount.Capacity
	last   time.Duration
}

// NewBucket returns a bucket with some tokens at a point of monotonic time.
// Tokens above the capacity are dropped.
func NewBucket(amount Amount, tokens int64, now time.Duration) *Bucket {
	return &Bucket{amount: amount, tokens: min(tokens, amount.Capacity), last: now}
}

// Amount returns the bucket's present rate and capacity.
func (b *Bucket) Amount() Amount { return b.amount }

// Tokens returns the tokens held at a point of time.
func (b *Bucket) Tokens(now time.Duration) int64 {
	b.refill(now)
	return b.tokens
}

// Take removes n token units and reports whether there were that many.
func (b *Bucket) Take(now time.Duration, n int64) bool {
	b.refill(now)
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// Withdraw removes a part of the rate and capacity with a fitting number of
// tokens, and returns the tokens that left with it.
func (b *Bucket) Withdraw(now time.Duration, part Amount, tokens int64) int64 {
	b.refill(now)
	tokens = min(tokens, b.tokens, part.Capacity)
	b.amount = b.amount.Sub(part)
	b.tokens = min(b.tokens-tokens, b.amount.Capacity)
	return tokens
}

// Deposit adds a part of the rate and capacity with its tokens.
func (b *Bucket) Deposit(now time.Duration, part Amount, tokens int64) {
	b.refill(now)
	b.amount = b.amount.Add(part)
	b.tokens += min(tokens, part.Capacity)
}

// Wait returns how long it takes until n token units are held, and false when
// the bucket can never hold that many.
func (b *Bucket) Wait(now time.Duration, n int64) (time.Duration, bool) {
	b.refill(now)
	missing := n - b.tokens
	if missing <= 0 {
		return 0, true
	}
	if n > b.amount.Capacity || b.amount.Rate == 0 {
		return 0, false
	}
	return time.Duration(mulDiv(missing, int64(time.Second), b.amount.Rate)) + 1, true
}

func (b *Bucket) refill(now time.Duration) {
	elapsed := min(now-b.last, maxRefill)
	if elapsed <= 0 {
		return
	}
	b.last = now
	gained := mulDiv(b.amount.Rate, int64(elapsed), int64(time.Second))
	b.tokens = min(b.tokens+gained, b.amount.Capacity)
}

// Refund puts back token units whose use has ended, up to the capacity.
func (b *Bucket) Refund(now time.Duration, n int64) {
	b.refill(now)
	b.tokens = min(b.tokens+n, b.amount.Capacity)
}

// Limit lowers the tokens held to at most n.
func (b *Bucket) Limit(now time.Duration, n int64) {
	b.refill(now)
	b.tokens = min(b.tokens, n)
}
