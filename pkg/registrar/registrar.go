package registrar

import (
	"sort"
	"time"
)

const (
	// renewalGrace is how long after the store is reachable again a registration
	// that expired during the outage may still be renewed. The platform promises
	// about two seconds.
	renewalGrace = 2300 * time.Millisecond
	// relayedRemovalGrace is how long a host that cannot reach the store delays a
	// removal reported by other hosts. It is slightly longer than the longest pause
	// between the host's own calls to the store.
	relayedRemovalGrace = time.Second
	// peerReportLife is how long a report that another host can reach the store
	// stays valid.
	peerReportLife = 1500 * time.Millisecond
	// outageStartSlack is how much later than this host another host may have
	// noticed the end of an earlier outage.
	outageStartSlack = 500 * time.Millisecond
)

// Registered is an instance that this host considers registered.
type Registered struct {
	Instance
	coldUntil time.Duration // monotonic; 0 when warm
}

// ColdUntil returns the monotonic time at which the backend server will be warm,
// or 0 if it was warm when it registered.
func (r Registered) ColdUntil() time.Duration { return r.coldUntil }

type entry struct {
	Registered
	missing bool          // no longer in the store, perhaps only because it could not be renewed during an outage
	dropAt  time.Duration // when a missing instance is dropped
}

// Registrar holds the instances that a host considers registered. It is not safe
// for concurrent use.
type Registrar struct {
	entries            map[string]*entry // by id
	storeReachable     bool
	lostAt             time.Duration // when the store last became unreachable
	regainedAt         time.Duration // when the store last became reachable again
	everLost           bool          // the store has been unreachable and reachable again at least once
	reachableElsewhere interval      // in which another host could reach the store without a break
}

// interval is a range of monotonic time.
type interval struct{ from, until time.Duration }

// New returns an empty registrar. It assumes that the store is reachable.
func New() *Registrar {
	return &Registrar{entries: map[string]*entry{}, storeReachable: true}
}

// StoreLost records that this host cannot reach the store.
func (r *Registrar) StoreLost(now time.Duration) {
	if r.storeReachable {
		r.lostAt = now
	}
	r.storeReachable = false
}

// StoreReachableElsewhere records that another host could reach the store
// throughout the interval between two monotonic times, so that backend servers
// could renew their registrations. It replaces the recorded interval if the new
// one starts as early or the recorded one has expired.
func (r *Registrar) StoreReachableElsewhere(from, until time.Duration) {
	longer := from <= r.reachableElsewhere.from
	if longer || until-r.reachableElsewhere.until > peerReportLife {
		r.reachableElsewhere = interval{from: from, until: until}
	}
}

// LocalOutage reports whether the present or latest outage affects only this host,
// because another host could reach the store throughout it. It is false without a
// recent report of another host.
func (r *Registrar) LocalOutage(now time.Duration) bool {
	return r.reachableElsewhere.until > 0 && now-r.reachableElsewhere.until <= peerReportLife && r.reachableElsewhere.from <= r.lostAt+outageStartSlack
}

// StoreRegained records that this host can reach the store again.
func (r *Registrar) StoreRegained(now time.Duration) {
	if !r.storeReachable {
		r.regainedAt = now
		r.everLost = true
	}
	r.storeReachable = true
}

// Put stores a registration and replaces an earlier one of the same id.
func (r *Registrar) Put(now time.Duration, i Instance) {
	e := &entry{Registered: Registered{Instance: i}}
	if i.ColdRemaining() > 0 {
		e.coldUntil = now + i.ColdRemaining()
	}
	r.entries[i.ID()] = e
}

// Remove applies the removal of a registration. A ready instance is kept for a
// while if its registration may only have expired because the store could not be
// reached. A draining instance is dropped at once.
func (r *Registrar) Remove(now time.Duration, id string) {
	e := r.entries[id]
	if e == nil {
		return
	}
	effectiveAt := r.removalEffectiveAt(now)
	if now >= effectiveAt || e.State() == Draining {
		delete(r.entries, id)
		return
	}
	if !e.missing || r.storeReachable { // during an outage, repeated reports of a removal do not delay it
		e.dropAt = effectiveAt
	}
	e.missing = true
}

// removalEffectiveAt returns the time from which an instance without a
// registration is dropped; 0 means at once. A host that cannot reach the store
// receives removals from other hosts. Either they can reach the store, or the
// store has just recovered and this host will reach it in a moment too.
func (r *Registrar) removalEffectiveAt(now time.Duration) time.Duration {
	switch {
	case r.LocalOutage(now):
		return 0
	case !r.storeReachable:
		return now + relayedRemovalGrace
	case r.everLost:
		return r.regainedAt + renewalGrace
	}
	return 0
}

// Replace applies a complete list of registrations. Instances that are not in it
// are removed as by Remove.
func (r *Registrar) Replace(now time.Duration, all []Instance) {
	listed := make(map[string]bool, len(all))
	for _, i := range all {
		listed[i.ID()] = true
		known := r.entries[i.ID()]
		if known == nil || known.missing || known.Instance != i {
			r.Put(now, i)
		}
	}
	for id := range r.entries {
		if !listed[id] {
			r.Remove(now, id)
		}
	}
}

// DropExpired drops the missing instances whose grace period has ended without a
// new registration, and returns their ids in order.
func (r *Registrar) DropExpired(now time.Duration) []string {
	var dropped []string
	for id, e := range r.entries {
		if e.missing && now >= e.dropAt {
			dropped = append(dropped, id)
			delete(r.entries, id)
		}
	}
	sort.Strings(dropped)
	return dropped
}

// Instances returns all instances that are considered registered, missing ones in
// their grace period included, in the order of their ids.
func (r *Registrar) Instances() []Registered {
	all := make([]Registered, 0, len(r.entries))
	for _, e := range r.entries {
		all = append(all, e.Registered)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID() < all[j].ID() })
	return all
}
