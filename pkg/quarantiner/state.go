package quarantiner

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is a record as hosts exchange it.
type State struct {
	Digest  Digest
	Term    uint32
	Crashes []uint32      // numbers of runs of backend servers, sorted
	Age     time.Duration // since the record changed
}

// Quarantined reports whether the request of the record must not run.
func (s State) Quarantined() bool { return len(s.Crashes) >= crashLimit }

// Cause is what changed a record.
type Cause string

// Causes of a change.
const (
	ByCrash    Cause = "crash"
	ByResponse Cause = "response"
	ByRelease  Cause = "release"
	ByHost     Cause = "other host"
	ByStore    Cause = "store"
)

// Change is a change of a record.
type Change struct {
	Digest         Digest
	Route          string // "" if the request was only seen at other hosts
	Term           uint32
	Crashes        int
	Quarantined    bool
	WasQuarantined bool
	Cause          Cause
}

// TakeChanges returns the changes since the last call.
func (q *Quarantiner) TakeChanges() []Change {
	q.mu.Lock()
	defer q.mu.Unlock()
	changes := q.changes
	q.changes = nil
	return changes
}

// Merge merges records of another host or of the store into those of this host, and
// reports whether that changed any.
func (q *Quarantiner) Merge(now time.Duration, states []State, cause Cause) bool {
	changed := false
	q.update(func() {
		for _, s := range states {
			changed = q.mergeState(now, s, cause) || changed
		}
	})
	return changed
}

func (q *Quarantiner) mergeState(now time.Duration, s State, cause Cause) bool {
	s.Crashes = union(s.Crashes, nil)
	r := q.records[s.Digest]
	switch {
	case r == nil && (s.Term == 0 && len(s.Crashes) == 0 || s.Age >= suspicionTTL && !s.Quarantined()):
		return false
	case r == nil:
		r = q.recordFor(now, s.Digest)
	case s.Term < r.term:
		return false
	}
	crashes := s.Crashes
	if s.Term == r.term {
		crashes = union(r.crashes, s.Crashes)
	}
	r.shared = true
	before := r.changedAt
	if !q.set(now, s.Digest, r, s.Term, crashes, cause) {
		r.changedAt = min(before, now-s.Age) // the same record reaches its end of life at all hosts
		return false
	}
	r.changedAt = max(before, now-s.Age)
	return true
}

// Hash returns a hash of the records that are exchanged, and 0 if there are none. Hosts
// with the same records have the same hash.
func (q *Quarantiner) Hash(now time.Duration) uint64 {
	if q.Empty() {
		return 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	sum := uint64(0)
	for d, r := range q.records {
		if !r.visible(now) {
			continue
		}
		data := binary.BigEndian.AppendUint64(nil, uint64(d))
		data = binary.BigEndian.AppendUint32(data, r.term)
		for _, crash := range r.crashes {
			data = binary.BigEndian.AppendUint32(data, crash)
		}
		sum ^= xxhash.Sum64(data)
	}
	return sum
}

// States returns up to most records to exchange: those that changed lately first, and a
// random choice of a few others, so that all are exchanged in time.
func (q *Quarantiner) States(now time.Duration, most int) []State {
	if q.Empty() {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	digests := slices.DeleteFunc(q.sorted(func(a, b *record) int { return cmp.Compare(b.changedAt, a.changedAt) }), func(d Digest) bool {
		return !q.records[d].visible(now)
	})
	recent, _ := slices.BinarySearchFunc(digests, recentChange, func(d Digest, limit time.Duration) int {
		return cmp.Compare(now-q.records[d].changedAt, limit)
	})
	older := digests[recent:]
	rand.Shuffle(len(older), func(i, j int) { older[i], older[j] = older[j], older[i] })
	var states []State
	for _, d := range digests[:min(most, recent+maxOldStates, len(digests))] {
		r := q.records[d]
		r.shared = true
		states = append(states, State{Digest: d, Term: r.term, Crashes: slices.Clone(r.crashes), Age: now - r.changedAt})
	}
	return states
}

// Quarantine returns the quarantined requests, by digest, with their routes.
func (q *Quarantiner) Quarantine(now time.Duration) map[Digest]Entry {
	if q.Empty() {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	entries := map[Digest]Entry{}
	for d, r := range q.records {
		if r.quarantined() {
			entries[d] = Entry{
				State: State{Digest: d, Term: r.term, Crashes: slices.Clone(r.crashes), Age: now - r.changedAt},
				Route: r.route, Since: now - r.quarantinedAt,
			}
		}
	}
	return entries
}

// Entry is a quarantined request.
type Entry struct {
	State
	Route string        // "" if the request was only seen at other hosts
	Since time.Duration // since the start of its quarantine, as far as this host knows
}
