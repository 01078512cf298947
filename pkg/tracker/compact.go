package tracker

import "time"

// CompactHeartbeat is a heartbeat without the fields that seldom change. It is
// enough between hosts that have the same live incarnations.
type CompactHeartbeat struct {
	Incarnation uint64
	Counter     uint64
	State       State
	CutOff      bool
}

// Compact returns the heartbeat without the fields that seldom change.
func (h Heartbeat) Compact() CompactHeartbeat {
	return CompactHeartbeat{Incarnation: h.ID.Incarnation, Counter: h.Counter, State: h.State, CutOff: h.CutOff}
}

// Digest returns a hash of the live incarnations. It is equal on hosts that have
// the same ones and almost never equal on others.
func (t *Tracker) Digest(now time.Duration) uint64 {
	digest := t.self.ID.Incarnation
	for _, e := range t.current(now).live {
		digest ^= e.heartbeat.ID.Incarnation
	}
	return digest
}

// ZoneDigests returns a hash of the live incarnations of each availability zone,
// own host included. Zones without a live host are left out. The result must not be
// changed.
func (t *Tracker) ZoneDigests(now time.Duration) map[string]uint32 { return t.current(now).digests }

// fold returns a 32-bit hash of an incarnation.
func fold(incarnation uint64) uint32 {
	return uint32(incarnation) ^ uint32(incarnation>>32)
}

// CompactHeartbeats returns compact heartbeats of the own host and of all other
// live hosts, to be relayed.
func (t *Tracker) CompactHeartbeats(now time.Duration) []CompactHeartbeat {
	heartbeats := t.Heartbeats(now)
	compact := make([]CompactHeartbeat, 0, len(heartbeats))
	for _, heartbeat := range heartbeats {
		compact = append(compact, heartbeat.Compact())
	}
	return compact
}

// ApplyCompact merges compact heartbeats, in any order and any number of times.
// Those of unknown incarnations are ignored.
func (t *Tracker) ApplyCompact(now time.Duration, heartbeats []CompactHeartbeat) {
	for _, update := range heartbeats {
		e := t.byIncarnation[update.Incarnation]
		if e == nil || update.Counter <= e.heartbeat.Counter {
			continue
		}
		h := &e.heartbeat
		t.touch(now, e, update.State != h.State || update.CutOff != h.CutOff)
		h.Counter, h.State, h.CutOff = update.Counter, update.State, update.CutOff
	}
}
