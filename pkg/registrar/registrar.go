package registrar

import (
	"cmp"
	"maps"
	"slices"
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
	// lateFailureTime is how long after the return of the store calls may still fail
	// that began before it.
	lateFailureTime = 3 * time.Second
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
	sorted             []*entry          // the same by id; nil when it must be rebuilt
	mayExpire          bool              // some entry may be missing
	storeReachable     bool
	lostAt             time.Duration // when the store last became unreachable
	regainedAt         time.Duration // when the store last returned: its earliest known answer to any host after the outage; never later than this host heard of it
	everLost           bool          // the store has been unreachable and reachable again at least once
	reachableElsewhere interval      // in which another host could reach the store without a break
	reachedByOther     interval      // the same, by reports only of hosts that reach it themselves
	returned           interval      // from an answer of the store, to any host or for any kind, until that was last reported
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
	r.reachableElsewhere.record(from, until)
}

// StoreReachedByOther records the same of the host that said so itself.
func (r *Registrar) StoreReachedByOther(from, until time.Duration) {
	r.StoreReachableElsewhere(from, until)
	r.reachedByOther.record(from, until)
}

// record replaces the interval by one that starts as early, or if it has expired.
func (i *interval) record(from, until time.Duration) {
	if from <= i.from || until-i.until > peerReportLife {
		*i = interval{from: from, until: until}
	}
}

// fresh reports whether an interval was reported lately.
func (i *interval) fresh(now time.Duration) bool {
	return i.until > 0 && now-i.until <= peerReportLife
}

// LocalOutage reports whether the present or latest outage affects only this host,
// because another host could reach the store throughout it. It is false without a
// recent report of another host.
func (r *Registrar) LocalOutage(now time.Duration) bool {
	return r.coversOutage(r.reachableElsewhere, now)
}

// ConfirmedLocalOutage is like LocalOutage, by the word of a host that reaches the store
// itself. Hosts pass on no other: two that lost it would confirm to one another for as
// long as it lasts that it is still there.
func (r *Registrar) ConfirmedLocalOutage(now time.Duration) bool {
	return r.coversOutage(r.reachedByOther, now)
}

// coversOutage reports whether a recently reported interval starts before the present or
// latest outage.
func (r *Registrar) coversOutage(i interval, now time.Duration) bool {
	return i.fresh(now) && i.from <= r.lostAt+outageStartSlack
}

// StoreRegained records that this host can reach the store again. The store returned
// then, or earlier if that was reported since the outage began.
func (r *Registrar) StoreRegained(now time.Duration) {
	if !r.storeReachable {
		r.regainedAt = now
		if at, ok := r.reportedReturn(now); ok {
			r.regainedAt = min(now, at)
		}
		r.everLost = true
	}
	r.storeReachable = true
	r.shortenGrace(now)
}

// StoreReturned records that the store answered a host, or a call of this host for
// other objects, at a monotonic time which is not later than now. It does not say that
// this host can reach the store. Times before the latest outage are ignored, and later
// ones than the recorded time while that is still reported.
func (r *Registrar) StoreReturned(at, now time.Duration) {
	if at < r.lostAt || r.storeReachable && !r.everLost {
		return
	}
	switch {
	case !r.returned.fresh(now) || at <= r.returned.from:
		r.returned = interval{from: at, until: now}
	case at <= r.returned.until: // the same return, of which this host or the other heard later
		r.returned.until = now
	}
	if r.storeReachable {
		r.regainedAt = min(r.regainedAt, at)
	}
	r.shortenGrace(now)
}

// Returned returns when the store returned from its latest outage, as far as this host
// knows; false if it was never lost or has not returned.
func (r *Registrar) Returned(now time.Duration) (time.Duration, bool) {
	if r.storeReachable {
		return r.regainedAt, r.everLost
	}
	return r.reportedReturn(now)
}

// Reachable reports whether this host can reach the store, or the host that watches it
// for this one can.
func (r *Registrar) Reachable() bool { return r.storeReachable }

// LateFailure reports whether a failure to reach the store may be of a call that began
// before its latest return: that was lately, and another host still reaches it.
func (r *Registrar) LateFailure(now time.Duration) bool {
	return r.storeReachable && r.everLost && now-r.regainedAt < lateFailureTime && r.reachableElsewhere.fresh(now)
}

// reportedReturn returns when the store returned after the present outage began, by
// reports that are still valid.
func (r *Registrar) reportedReturn(now time.Duration) (time.Duration, bool) {
	return r.returned.from, r.returned.fresh(now) && r.returned.from >= r.lostAt
}

// shortenGrace brings the end of grace periods forward to what the known return of the
// store gives. It never delays one.
func (r *Registrar) shortenGrace(now time.Duration) {
	at, ok := r.Returned(now)
	for _, e := range r.entries {
		if ok && e.missing {
			e.dropAt = min(e.dropAt, at+renewalGrace)
		}
	}
}

// Put stores a registration and replaces an earlier one of the same id.
func (r *Registrar) Put(now time.Duration, i Instance) {
	next := entry{Registered: Registered{Instance: i}}
	if i.ColdRemaining() > 0 {
		next.coldUntil = now + i.ColdRemaining()
	}
	if e := r.entries[i.ID()]; e != nil {
		*e = next
		return
	}
	r.entries[i.ID()] = &next
	r.sorted = nil
}

func (r *Registrar) drop(id string) {
	delete(r.entries, id)
	r.sorted = nil
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
		r.drop(id)
		return
	}
	if !e.missing || r.storeReachable { // during an outage, repeated reports of a removal do not delay it
		e.dropAt = effectiveAt
	}
	e.missing, r.mayExpire = true, true
}

// removalEffectiveAt returns the time from which an instance without a
// registration is dropped; 0 means at once. A host that cannot reach the store
// receives removals from other hosts. Unless they say when the store returned, either
// they could always reach it, or it has just recovered and this host will reach it in
// a moment too.
func (r *Registrar) removalEffectiveAt(now time.Duration) time.Duration {
	if r.LocalOutage(now) {
		return 0
	}
	if at, ok := r.Returned(now); ok {
		return at + renewalGrace
	}
	if !r.storeReachable {
		return now + relayedRemovalGrace
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
	if !r.mayExpire {
		return nil
	}
	r.mayExpire = false
	var dropped []string
	for id, e := range r.entries {
		r.mayExpire = r.mayExpire || e.missing
		if e.missing && now >= e.dropAt {
			dropped = append(dropped, id)
			r.drop(id)
		}
	}
	sort.Strings(dropped)
	return dropped
}

// Instances returns all instances that are considered registered, missing ones in
// their grace period included, in the order of their ids.
func (r *Registrar) Instances() []Registered {
	if r.sorted == nil {
		r.sorted = slices.SortedFunc(maps.Values(r.entries), func(a, b *entry) int { return cmp.Compare(a.ID(), b.ID()) })
	}
	all := make([]Registered, 0, len(r.sorted))
	for _, e := range r.sorted {
		all = append(all, e.Registered)
	}
	return all
}
