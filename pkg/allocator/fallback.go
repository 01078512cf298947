package allocator

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliahill.example/magnoliahill/pkg/limiter"
)

// fallbackFraction is the fraction of its even rate and burst that a host admits while the
// owner of a pooled limit is unavailable.
const fallbackFraction = 0.3

// fallback admits requests of a pooled limit while its owner is unavailable.
type fallback struct {
	bucket *limiter.Bucket
	active bool // the owner has not answered since the first request that was charged here
}

// resizeFallback sets the rate of the fallback bucket, which starts empty.
func (a *Allocator) resizeFallback(now time.Duration, s *localShare) {
	amount := limiter.Amount{
		Rate:     limiter.Units(fallbackFraction * s.limit.Rate / float64(a.hosts)),
		Capacity: unit,
	}
	if s.fallback.bucket == nil {
		s.fallback.bucket = limiter.NewBucket(amount, 0, now)
	} else if s.fallback.bucket.Amount() != amount {
		s.fallback.bucket = limiter.NewBucket(amount, min(s.fallback.bucket.Tokens(now), 0), now)
	}
}

// fallbackStart returns the token units that this host may use at the start of an outage of
// the owner. A host's part of the burst is less than one token, so that a whole token at each
// host would exceed the burst many times. The hosts start at levels that are spread evenly
// over one token, so that only as many hold a whole one as the burst allows, and the others
// get theirs one after another.
func (a *Allocator) fallbackStart(s *localShare) int64 {
	phase := float64(xxhash.Sum64String(a.host+"\x00"+s.limit.Name)>>11) / (1 << 53)
	return limiter.Units(phase + fallbackFraction*s.limit.Burst/float64(a.hosts))
}

// beginFallback limits the tokens at the first charge of an outage.
func (a *Allocator) beginFallback(now time.Duration, s *localShare) {
	if !s.fallback.active {
		s.fallback.active = true
		s.fallback.bucket.CapTokens(now, a.fallbackStart(s))
	}
}

// TakeFallback charges one request to the fallback bucket of a pooled limit. It
// is used while the owner of the limit is unavailable, and returns the same
// values as Take.
func (a *Allocator) TakeFallback(now time.Duration, name string) (bool, time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.shares[name]
	if s == nil {
		return true, 0
	}
	a.beginFallback(now, s)
	return take(now, s.fallback.bucket, 0)
}

// ChargeFallback charges one request that was admitted before its charge failed. The bucket
// may go below 0.
func (a *Allocator) ChargeFallback(now time.Duration, name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.shares[name]; s != nil {
		a.beginFallback(now, s)
		s.fallback.bucket.Charge(now, unit)
	}
}

// OwnerAnswered ends the use of the fallback bucket of a pooled limit.
func (a *Allocator) OwnerAnswered(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.shares[name]; s != nil {
		s.fallback.active = false
	}
}
