package tracker

import "time"

// Pulse is a heartbeat without what seldom changes. It is enough between hosts
// that know the same incarnations.
type Pulse struct {
	Incarnation uint64
	Counter     uint64
	State       State
}

// Digest returns a number that is the same on hosts that know the same live
// incarnations, and hardly ever the same on others.
func (t *Tracker) Digest(now time.Duration) uint64 {
	digest := t.self.ID.Incarnation
	for _, host := range t.Known(now) {
		if host.Silent < t.silence {
			digest ^= host.ID.Incarnation
		}
	}
	return digest
}

// Pulses returns the own pulse and those of all known live hosts, for relaying.
func (t *Tracker) Pulses(now time.Duration) []Pulse {
	beats := t.Beats(now)
	pulses := make([]Pulse, 0, len(beats))
	for _, beat := range beats {
		pulses = append(pulses, Pulse{Incarnation: beat.ID.Incarnation, Counter: beat.Counter, State: beat.State})
	}
	return pulses
}

// HeardPulses takes in pulses, in any order and any number of times. Those of
// incarnations that are not known are ignored.
func (t *Tracker) HeardPulses(now time.Duration, pulses []Pulse) {
	byIncarnation := make(map[uint64]*entry, len(t.entries))
	for _, e := range t.entries {
		byIncarnation[e.beat.ID.Incarnation] = e
	}
	for _, pulse := range pulses {
		e := byIncarnation[pulse.Incarnation]
		if e == nil || pulse.Counter <= e.beat.Counter {
			continue
		}
		e.beat.Counter = pulse.Counter
		e.beat.State = pulse.State
		e.heard = now
	}
}
