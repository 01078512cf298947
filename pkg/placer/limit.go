package placer

import "time"

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

// serverLimit is what a host knows about the request limit of a backend server.
type serverLimit struct {
	limited    bool
	perSecond  float64       // 0 unless limited
	observedAt time.Duration // when the latest statement arrived at any host, on this host's clock
	observed   bool          // there was a statement
}

const (
	limitTTL       = 30 * time.Second // a limit that no answer confirmed for this long is forgotten
	endedLimitLife = 5 * time.Second  // for which the end of a limit is reported: several rounds of gossip through two relays
)

// observe records the statement of an answer that arrived at some host at the given
// time, unless a later one is known.
func (l *serverLimit) observe(at time.Duration, limited bool, perSecond float64) {
	if l.observed && at < l.observedAt || !l.observed && !limited {
		return
	}
	if !limited {
		perSecond = 0
	}
	l.observed, l.observedAt, l.limited, l.perSecond = true, at, limited, perSecond
}

// active reports whether the limit holds.
func (l *serverLimit) active(now time.Duration) bool {
	return l.limited && now-l.observedAt < limitTTL
}

// Limits returns the request limits that backend servers have named, and those that
// ended recently, by backend server.
func (p *Placer) Limits(now time.Duration) map[string]LimitReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]LimitReport{}
	for id, s := range p.servers {
		age := now - s.limit.observedAt
		if s.limit.active(now) || s.limit.observed && !s.limit.limited && age < endedLimitLife {
			all[id] = LimitReport{Limited: s.limit.limited, PerSecond: s.limit.perSecond, Age: age}
		}
	}
	return all
}
