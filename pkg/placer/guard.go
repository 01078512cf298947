package placer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliahill.example/magnoliahill/pkg/limiter"
)

const (
	guardMargin = 0.8 // share of a cold server's bound that is handed out
	mostGuards  = 4   // hosts that send to one cold server
)

// guard divides what a cold backend server bears among the hosts. A few hosts
// are drawn for each server from all that may send, so that hosts which cannot
// reach one another come to the same parts.
type guard struct {
	factor, slack float64 // bound on all hosts: rate * factor + slack
	hosts         []string
}

// allowance is a host's part of what a cold server bears.
type allowance struct {
	bucket *limiter.Bucket // nil for a host that was not drawn
}

func (a *allowance) take(now time.Duration) bool {
	return a.bucket != nil && a.bucket.Take(now, limiter.Unit)
}

// allows reports whether a request may be sent to a server that is or may be
// cold, and takes it off the host's part.
func (p *Placer) allows(now time.Duration, s *server) bool {
	if s.coldRate <= 0 || !s.guarded(now) {
		return true
	}
	if s.allowance == nil {
		s.allowance = p.guard.allowance(now, p.self, s)
	}
	return s.allowance.take(now)
}

func (g *guard) allowance(now time.Duration, self string, s *server) *allowance {
	bound := guardMargin * (s.coldRate*g.factor + g.slack)
	drawn := max(1, min(mostGuards, len(g.hosts), int(bound/2)))
	if rank(s.ID(), self, g.hosts) >= drawn {
		return &allowance{}
	}
	// Within one second a bucket lets through its capacity and its rate.
	rate := max(bound/float64(drawn)-1, bound/float64(2*drawn))
	amount := limiter.Amount{Rate: int64(rate * float64(limiter.Unit)), Capacity: limiter.Unit}
	return &allowance{bucket: limiter.NewBucket(amount, limiter.Unit, now)}
}

// rank returns the place of a host in the order drawn for a server.
func rank(id, self string, hosts []string) int {
	own := hash(id, self)
	before := 0
	for _, host := range hosts {
		if host != self && hash(id, host) > own {
			before++
		}
	}
	return before
}

func hash(parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}
