package placer

import (
	"time"

	"magnoliahill.example/magnoliahill/pkg/limiter"
)

const (
	limitShare            = 0.9              // share of a server's limit that is handed out to the hosts; the rest covers hosts whose views of the fleet differ
	minLimitRate          = 0.2              // requests per second to a server with a lower limit, to learn when the limit ends
	maxLimit              = 1e6              // requests per second; far above what a server takes, and safe to count in token units
	minLimitSenders       = 2                // hosts that send to a server with a limit
	maxLimitSenders       = 4                // the same, with a high limit
	limitPerSender        = 2.5              // requests per second of a limit for each sender beyond the fewest
	limitTakeoverInterval = 5 * time.Second  // without an answer from the server, after which one more host becomes a sender: the others may be down
	maxLimitTakeovers     = 2                // further senders of this kind at most: each may send at once
	limitTTL              = 30 * time.Second // without an answer, after which a limit is forgotten
	endedLimitTTL         = 5 * time.Second  // for which the end of a limit is reported: several rounds of gossip through two relays
)

// RequestLimit is what an answer says about the requests that a backend server takes
// from all hosts together.
type RequestLimit struct {
	Known     bool    // false if there was no answer, or its statement is malformed
	Limited   bool    // the answer names a limit
	PerSecond float64 // requests per second; never negative
}

// LimitReport is the latest known statement of a backend server about its limit.
type LimitReport struct {
	Limited   bool
	PerSecond float64
	Age       time.Duration // since the answer with the statement arrived at a host
}

// serverLimit is what a host knows about the request limit of a backend server, and
// its share of the limit. As with cold servers, a few senders are selected by hashing
// all hosts, so that the hosts need not agree on shares.
type serverLimit struct {
	observed   bool          // an answer has named a limit
	observedAt time.Duration // when the latest statement arrived at any host, on this host's clock
	limited    bool
	perSecond  float64         // 0 unless limited
	bucket     *limiter.Bucket // nil until needed
	rank       int             // of this host among the senders; negative if it has to be computed
}

// observe records the statement of an answer that arrived at some host at the given
// time, unless a later one is known.
func (l *serverLimit) observe(at time.Duration, limited bool, perSecond float64) {
	if !limited && !l.limited || at < l.observedAt {
		return
	}
	if !limited {
		perSecond = 0
	}
	perSecond = min(perSecond, maxLimit)
	if perSecond != l.perSecond || limited != l.limited {
		l.resize(at, perSecond)
	}
	l.observed, l.observedAt, l.limited, l.perSecond = true, at, limited, perSecond
}

// resize changes the share of a sender and keeps the tokens that it has.
func (l *serverLimit) resize(now time.Duration, perSecond float64) {
	tokens := limiter.Unit
	if l.bucket != nil && l.limited {
		tokens = l.bucket.Tokens(now)
	}
	rate := max(limitShare*perSecond, minLimitRate) / float64(limitSenders(perSecond))
	l.bucket = limiter.NewBucket(limiter.Amount{Rate: limiter.Units(rate), Capacity: limiter.Unit}, tokens, now)
}

// limitSenders returns the number of hosts that send to a server with a limit.
func limitSenders(perSecond float64) int {
	return int(min(minLimitSenders+perSecond/limitPerSender, maxLimitSenders))
}

// active reports whether the limit holds.
func (l *serverLimit) active(now time.Duration) bool {
	return l.limited && now-l.observedAt < limitTTL
}

// isSender reports whether this host may send to the server while its limit holds.
func (l *serverLimit) isSender(now time.Duration) bool {
	takeovers := int((now - l.observedAt) / limitTakeoverInterval)
	return l.rank < limitSenders(l.perSecond)+min(takeovers, maxLimitTakeovers)
}

// wait returns the time until the limit allows a request of this host, 0 if it does
// now, and false if this host is not a sender.
func (l *serverLimit) wait(now time.Duration) (time.Duration, bool) {
	if !l.active(now) {
		return 0, true
	}
	if !l.isSender(now) {
		return 0, false
	}
	return l.bucket.Wait(now, limiter.Unit)
}

// take counts a request that is sent to the server.
func (l *serverLimit) take(now time.Duration) {
	if l.active(now) {
		l.bucket.Take(now, limiter.Unit)
	}
}

// limitWait returns the time until the request limit of a server allows a request of
// this host, and false if it allows none.
func (p *Placer) limitWait(now time.Duration, s *server) (time.Duration, bool) {
	if s.limit.active(now) && s.limit.rank < 0 {
		s.limit.rank = senderRank(s.ID(), p.self, p.hosts)
	}
	return s.limit.wait(now)
}

// withinLimit reports whether the request limit of a server allows a request now.
func (p *Placer) withinLimit(now time.Duration, s *server) bool {
	wait, ok := p.limitWait(now, s)
	return ok && wait == 0
}

// Limits returns the request limits that backend servers have named, and those that
// ended recently, by backend server.
func (p *Placer) Limits(now time.Duration) map[string]LimitReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]LimitReport{}
	if !p.limitsKnown {
		return all
	}
	for _, s := range p.list {
		age := now - s.limit.observedAt
		if s.limit.active(now) || s.limit.observed && !s.limit.limited && age < endedLimitTTL {
			all[s.ID()] = LimitReport{Limited: s.limit.limited, PerSecond: s.limit.perSecond, Age: age}
		}
	}
	p.limitsKnown = len(all) > 0 // a limit that is no longer reported returns only with a new statement
	return all
}

// ApplyLimits applies the request limits that another host reported. Unknown backend
// servers are ignored.
func (p *Placer) ApplyLimits(now time.Duration, all map[string]LimitReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, report := range all {
		if s := p.servers[id]; s != nil {
			s.limit.observe(now-report.Age, report.Limited, report.PerSecond)
			p.limitsKnown = p.limitsKnown || s.limit.observed
		}
	}
}
