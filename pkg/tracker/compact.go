package tracker

import "time"

// CompactHeartbeat is a heartbeat without the fields that seldom change. It is
// enough between hosts that have the same live incarnations.
type CompactHeartbeat struct {
	Incarnation uint64
	Counter     uint64
	State       State
}

// Digest returns a hash of the live incarnations. It is equal on hosts that have
// the same ones and almost never equal on others.
func (t *Tracker) Digest(now time.Duration) uint64 {
	digest := t.self.ID.Incarnation
	for _, host := range t.Known(now) {
		if host.HeartbeatAge < t.timeout {
			digest ^= host.ID.Incarnation
		}
	}
	return digest
}

// CompactHeartbeats returns compact heartbeats of the own host and of all other
// live hosts, to be relayed.
func (t *Tracker) CompactHeartbeats(now time.Duration) []CompactHeartbeat {
	heartbeats := t.Heartbeats(now)
	compact := make([]CompactHeartbeat, 0, len(heartbeats))
	for _, heartbeat := range heartbeats {
		compact = append(compact, CompactHeartbeat{Incarnation: heartbeat.ID.Incarnation, Counter: heartbeat.Counter, State: heartbeat.State})
	}
	return compact
}

// ApplyCompact merges compact heartbeats, in any order and any number of times.
// Those of unknown incarnations are ignored.
func (t *Tracker) ApplyCompact(now time.Duration, heartbeats []CompactHeartbeat) {
	byIncarnation := make(map[uint64]*entry, len(t.entries))
	for _, e := range t.entries {
		byIncarnation[e.heartbeat.ID.Incarnation] = e
	}
	for _, update := range heartbeats {
		e := byIncarnation[update.Incarnation]
		if e == nil || update.Counter <= e.heartbeat.Counter {
			continue
		}
		e.heartbeat.Counter = update.Counter
		e.heartbeat.State = update.State
		e.updatedAt = now
	}
}
