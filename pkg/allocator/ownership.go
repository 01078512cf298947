package allocator

import "time"

// SetOwnership sets the function that tells whether this host owns its group's share of a
// pooled limit, as of the latest call of SetFleet. It must not call the allocator. Without
// it the host owns all.
func (a *Allocator) SetOwnership(owns func(name string) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.shares {
		a.capUnowned(a.updatedAt, s)
	}
	a.owns = owns
}

// capUnowned limits the tokens of a share that another host owns. A host that becomes the
// owner so begins with few tokens, since the owner before it may have spent the rest of the
// burst. Others may charge requests here before this host knows that it is the owner.
func (a *Allocator) capUnowned(now time.Duration, s *localShare) {
	if a.pooled(s) && !a.owns(s.limit.Name) {
		s.bucket.CapTokens(now, max(int64(initialFill*float64(s.bucket.Amount().Capacity)), unit))
	}
}
