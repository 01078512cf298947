package registrar

import (
	"sort"
	"time"
)

const (
	// lapseGrace is how long after the store's return a registration that
	// lapsed meanwhile may still come back: the platform promises about two
	// seconds.
	lapseGrace = 2300 * time.Millisecond
	// toldGrace is how long a host that the store turns away doubts a removal
	// told by others: the longest pause between its own calls, and a little.
	toldGrace = time.Second
	// fineLife is how long another host's word holds that the store answers it.
	fineLife = 1500 * time.Millisecond
	// privateSlack is how much later than this host another may have noticed
	// the end of an earlier outage.
	privateSlack = 500 * time.Millisecond
)

// Registered is an instance as this host believes in it.
type Registered struct {
	Instance
	coldUntil time.Duration // monotonic; 0 when warm
}

// ColdUntil returns when the backend server will be warm; 0 when it is.
func (r Registered) ColdUntil() time.Duration { return r.coldUntil }

type entry struct {
	Registered
	lapsed  bool          // its registration is gone, perhaps only for want of a store
	dropsAt time.Duration // when a lapsed one is taken as gone
}

// Registrar is the set of instances that a host believes in. It is not safe for
// concurrent use.
type Registrar struct {
	entries  map[string]*entry
	storeUp  bool
	lost     time.Duration // when the store was lost last
	regained time.Duration // when it came back last
	lostOnce bool          // the store was away at least once
	fine     span          // in which it answered another host all the while
}

// span is a stretch of time.
type span struct{ from, until time.Duration }

// New returns a registrar that knows no instance.
func New() *Registrar {
	return &Registrar{entries: map[string]*entry{}, storeUp: true}
}

// StoreLost records that the store stopped answering this host.
func (r *Registrar) StoreLost(now time.Duration) {
	if r.storeUp {
		r.lost = now
	}
	r.storeUp = false
}

// StoreFine records that the store answered another host all the while. Backend
// servers could renew their registrations then.
func (r *Registrar) StoreFine(from, until time.Duration) {
	longer := from <= r.fine.from
	if longer || until-r.fine.until > fineLife {
		r.fine = span{from: from, until: until}
	}
}

// Private reports whether the store is or was away from this host alone.
func (r *Registrar) Private(now time.Duration) bool {
	return r.fine.until > 0 && now-r.fine.until <= fineLife && r.fine.from <= r.lost+privateSlack
}

// StoreRegained records that the store answers again.
func (r *Registrar) StoreRegained(now time.Duration) {
	if !r.storeUp {
		r.regained = now
		r.lostOnce = true
	}
	r.storeUp = true
}

// Put takes in a registration.
func (r *Registrar) Put(now time.Duration, i Instance) {
	e := &entry{Registered: Registered{Instance: i}}
	if i.Cold() > 0 {
		e.coldUntil = now + i.Cold()
	}
	r.entries[i.ID()] = e
}

// Remove takes in that a registration is gone. One that was ready is kept for a
// while when it may only have lapsed because the store was away.
func (r *Registrar) Remove(now time.Duration, id string) {
	e := r.entries[id]
	if e == nil {
		return
	}
	until := r.believedFrom(now)
	if now >= until || e.State() == Draining {
		delete(r.entries, id)
		return
	}
	e.lapsed = true
	e.dropsAt = until
}

// believedFrom returns from when on a missing registration is believed. A host
// that is turned away by the store hears from others; either the store works for
// them, or it has just come back and answers this host as well in a moment.
func (r *Registrar) believedFrom(now time.Duration) time.Duration {
	switch {
	case r.Private(now):
		return 0
	case !r.storeUp:
		return now + toldGrace
	case r.lostOnce:
		return r.regained + lapseGrace
	}
	return 0
}

// Replace takes in a complete list. Instances that are not in it are removed.
func (r *Registrar) Replace(now time.Duration, all []Instance) {
	listed := make(map[string]bool, len(all))
	for _, i := range all {
		listed[i.ID()] = true
		known := r.entries[i.ID()]
		if known == nil || known.lapsed || known.Instance != i {
			r.Put(now, i)
		}
	}
	for id := range r.entries {
		if !listed[id] {
			r.Remove(now, id)
		}
	}
}

// Tick drops lapsed instances that did not come back, and returns their ids.
func (r *Registrar) Tick(now time.Duration) []string {
	var dropped []string
	for id, e := range r.entries {
		if e.lapsed && now >= e.dropsAt {
			dropped = append(dropped, id)
			delete(r.entries, id)
		}
	}
	sort.Strings(dropped)
	return dropped
}

// Instances returns all that are believed to exist, by id.
func (r *Registrar) Instances() []Registered {
	all := make([]Registered, 0, len(r.entries))
	for _, e := range r.entries {
		all = append(all, e.Registered)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID() < all[j].ID() })
	return all
}
