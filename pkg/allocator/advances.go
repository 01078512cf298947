package allocator

import (
	"slices"
	"time"
)

const (
	advanceFor     = 3 * time.Second // callers that are going to send more to a host mostly do so within this time
	maxReserved    = 0.5             // fraction of a share's capacity that unused advances reserve at most
	minLeftToGrant = 0.5             // fraction of a share's capacity that has to be left when an advance is granted

	// AdvanceChargeTimeout is the time that the charge of an advance may take. The owner
	// counts an advance as unused for that long after its end.
	AdvanceChargeTimeout = 500 * time.Millisecond
)

// Charge is a request of another host to charge one request to a pooled limit.
type Charge struct {
	Limit    string
	Advances bool // the host uses advances
	Advanced bool // the host has admitted the request by an advance
}

// Answer is an owner's answer to a charge.
type Answer struct {
	Allowed bool
	Wait    time.Duration // until a request would be admitted, if it is not allowed
	Advance time.Duration // time from the sending of the charge in which the host may admit one more request before it charges it; 0 for none
}

// heldAdvances are the advances that this host may use.
type heldAdvances struct {
	owner string          // that granted them
	ends  []time.Duration // earliest first
}

// TakeForOther charges one request of another host, like Take, and may grant an advance. One
// that was admitted by an advance is charged in any case. A limit that is unknown here has no
// tokens for others: this host may have started a moment ago.
func (a *Allocator) TakeForOther(now time.Duration, c Charge) (Answer, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.shares[c.Limit]
	if s == nil {
		return Answer{}, ErrUnknownLimit
	}
	s.requests++
	s.expireGranted(now)
	a.capUnowned(now, s)
	answer := Answer{Allowed: true}
	if c.Advanced {
		s.bucket.Charge(now, unit)
		if len(s.granted) > 0 {
			s.granted = s.granted[1:] // maybe not the one that was used, but those that stay end later
		}
	} else {
		answer.Allowed, answer.Wait = take(now, s.bucket, a.reserved(s, len(s.granted)))
	}
	if c.Advances && answer.Allowed && a.mayGrant(now, s) {
		s.granted = append(s.granted, now+advanceFor+AdvanceChargeTimeout)
		answer.Advance = advanceFor
	}
	return answer, nil
}

// expireGranted forgets the advances that can no longer be charged.
func (s *localShare) expireGranted(now time.Duration) {
	for len(s.granted) > 0 && s.granted[0] <= now {
		s.granted = s.granted[1:]
	}
}

// reserved returns the token units that other requests have to leave to n unused advances.
// The slack of the limit covers a few of them.
func (a *Allocator) reserved(s *localShare, n int) int64 {
	covered := 0
	if a.pooled(s) {
		covered = int(a.slack * float64(a.poolHosts) / float64(a.hosts))
	}
	return int64(max(n-covered, 0)) * unit
}

// mayGrant reports whether the share has room for one more advance. Since all unused ones
// are covered by tokens or by the slack, the hosts admit no more than the share and the slack
// allow, however late or seldom the charges arrive.
func (a *Allocator) mayGrant(now time.Duration, s *localShare) bool {
	if a.poolHosts == 1 || !a.pooled(s) {
		return false
	}
	capacity := float64(s.bucket.Amount().Capacity)
	reserved := a.reserved(s, len(s.granted)+1)
	return float64(reserved) <= maxReserved*capacity && float64(s.bucket.Tokens(now)-reserved) >= minLeftToGrant*capacity
}

// HoldAdvance keeps an advance of the owner of a limit for this host until its end.
func (a *Allocator) HoldAdvance(now time.Duration, name, owner string, end time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.shares[name]
	if s == nil {
		return
	}
	if s.held.owner != owner {
		s.held = heldAdvances{owner: owner}
	}
	s.held.expire(now)
	i, _ := slices.BinarySearch(s.held.ends, end)
	s.held.ends = slices.Insert(s.held.ends, i, end)
}

// UseAdvance uses up one advance of the present owner of a limit, and reports whether there
// was one. The request is admitted then and has to be charged.
func (a *Allocator) UseAdvance(now time.Duration, name, owner string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.shares[name]
	if s == nil || s.held.owner != owner {
		return false
	}
	s.held.expire(now)
	if len(s.held.ends) == 0 {
		return false
	}
	s.held.ends = s.held.ends[1:]
	return true
}

// ForgetAdvances drops all advances of an owner that has become unavailable.
func (a *Allocator) ForgetAdvances(owner string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.shares {
		if s.held.owner == owner {
			s.held = heldAdvances{}
		}
	}
}

func (h *heldAdvances) expire(now time.Duration) {
	for len(h.ends) > 0 && h.ends[0] <= now {
		h.ends = h.ends[1:]
	}
}
