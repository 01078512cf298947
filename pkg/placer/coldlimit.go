package placer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliahill.example/magnoliahill/pkg/limiter"
)

const (
	coldRateShare  = 0.8 // share of a cold server's limit that is handed out to the hosts
	maxColdSenders = 4   // hosts that send to one cold server
)

// coldLimiter divides the request rate that a cold backend server can handle
// among the hosts. A few senders are selected for each server by hashing all
// hosts that may send, so that hosts which cannot reach one another compute
// the same division.
type coldLimiter struct {
	factor, slack float64 // limit for all hosts together: rate * factor + slack
}

// allowance is a host's share of the request rate that a cold server can
// handle.
type allowance struct {
	bucket *limiter.Bucket // nil if the host is not a sender to the server
}

func (a *allowance) take(now time.Duration) bool {
	return a.bucket != nil && a.bucket.Take(now, limiter.Unit)
}

// takeAllowance reports whether a request may be sent to a server, and deducts it
// from the host's shares of the server's cold rate and of its request limit.
func (p *Placer) takeAllowance(now time.Duration, s *server) bool {
	if !p.withinLimit(now, s) || !p.takeColdAllowance(now, s) {
		return false
	}
	s.limit.take(now)
	return true
}

// takeColdAllowance reports whether a request may be sent to a server that may be
// cold. If it is and its cold rate is known, the request is deducted from the
// host's share.
func (p *Placer) takeColdAllowance(now time.Duration, s *server) bool {
	if s.coldRate <= 0 || !s.maybeCold(now) {
		return true
	}
	if s.allowance == nil {
		s.allowance = p.coldLimiter.newAllowance(now, s, p.self, p.hosts)
	}
	return s.allowance.take(now)
}

// newAllowance returns the share of a host in the limit of a server.
func (l *coldLimiter) newAllowance(now time.Duration, s *server, self string, hosts []string) *allowance {
	limit := coldRateShare * (s.coldRate*l.factor + l.slack)
	senders := max(1, min(maxColdSenders, len(hosts), int(min(limit/2, maxColdSenders))))
	if senderRank(s.ID(), self, hosts) >= senders {
		return &allowance{}
	}
	// Within one second a bucket admits its capacity plus its rate.
	rate := max(limit/float64(senders)-1, limit/float64(2*senders))
	amount := limiter.Amount{Rate: limiter.Units(rate), Capacity: limiter.Unit}
	return &allowance{bucket: limiter.NewBucket(amount, limiter.Unit, now)}
}

// senderRank returns the position of a host in the order in which senders to a
// server are selected; 0 is first.
func senderRank(id, self string, hosts []string) int {
	own := hash(id, self)
	ahead := 0
	for _, host := range hosts {
		if host != self && hash(id, host) > own {
			ahead++
		}
	}
	return ahead
}

func hash(parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}
