package tracker

import (
	"sort"
	"time"
)

const defaultSilence = 2 * time.Second

// Tracker is the membership state machine of one host. It is not safe for
// concurrent use.
type Tracker struct {
	self    Beat
	silence time.Duration // a host not heard of for this long is not live
	entries map[string]*entry
	dead    map[HostID]bool // incarnations that certainly hold nothing any more
	outrun  uint64          // highest later incarnation of the own host that was heard of, or 0
}

// Option sets one property of a tracker.
type Option func(*Tracker)

// WithSilence sets after how long without news a host is not live.
func WithSilence(d time.Duration) Option {
	return func(t *Tracker) { t.silence = d }
}

// New returns a tracker that knows only its own host.
func New(self Beat, options ...Option) *Tracker {
	t := &Tracker{
		self:    self,
		silence: defaultSilence,
		entries: map[string]*entry{},
		dead:    map[HostID]bool{},
	}
	for _, option := range options {
		option(t)
	}
	return t
}

// Self returns the next own heartbeat.
func (t *Tracker) Self() Beat {
	t.self.Counter++
	return t.self
}

// SetState changes what the own heartbeats say.
func (t *Tracker) SetState(state State) { t.self.State = state }

// Heard takes in heartbeats, in any order and any number of times. Those of
// replaced incarnations are ignored.
func (t *Tracker) Heard(now time.Duration, beats ...Beat) {
	for _, beat := range beats {
		switch {
		case beat.ID.Name == t.self.ID.Name:
			t.overtake(beat.ID.Incarnation)
		case beat.State == Gone:
			t.Dead(beat.ID)
		case !t.dead[beat.ID]:
			t.hear(now, beat)
		}
	}
}

// Superseded reports whether a later run of the own host exists. The own
// process must then give everything up.
func (t *Tracker) Superseded() bool { return t.outrun != 0 }

func (t *Tracker) overtake(incarnation uint64) {
	if incarnation > t.self.ID.Incarnation {
		t.outrun = max(t.outrun, incarnation)
	}
}

// Renew gives the own run a number above all that were heard of. It is for a
// process that is certain to be the latest run of its host, and whose clock was
// set back before it started.
func (t *Tracker) Renew() {
	if t.outrun != 0 {
		t.self.ID.Incarnation = t.outrun + 1<<chanceBits
		t.outrun = 0
	}
}

func (t *Tracker) hear(now time.Duration, beat Beat) {
	known := t.entries[beat.ID.Name]
	if known == nil || beat.ID.Incarnation > known.beat.ID.Incarnation {
		t.entries[beat.ID.Name] = &entry{beat: beat, heard: now}
		return
	}
	if beat.ID != known.beat.ID || beat.Counter <= known.beat.Counter {
		return
	}
	known.beat = beat
	known.heard = now
}

// Dead records proof that an incarnation has ended or given everything up.
func (t *Tracker) Dead(id HostID) {
	t.dead[id] = true
	if known := t.entries[id.Name]; known != nil && known.beat.ID == id {
		delete(t.entries, id.Name)
	}
}

// IsDead reports whether there is proof that an incarnation ended.
func (t *Tracker) IsDead(id HostID) bool { return t.dead[id] }

// Known returns the latest heartbeat of every host but the own one, live or
// not, by name.
func (t *Tracker) Known(now time.Duration) []Host {
	hosts := make([]Host, 0, len(t.entries))
	for _, e := range t.entries {
		hosts = append(hosts, Host{Beat: e.beat, Silent: now - e.heard})
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID.Name < hosts[j].ID.Name })
	return hosts
}

// Live returns the hosts with recent news, the own one included, by name.
// Leaving hosts are in it.
func (t *Tracker) Live(now time.Duration) []Host {
	live := []Host{{Beat: t.self}}
	for _, host := range t.Known(now) {
		if host.Silent < t.silence {
			live = append(live, host)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].ID.Name < live[j].ID.Name })
	return live
}

// Beats returns the own heartbeat and all known live ones, for relaying.
func (t *Tracker) Beats(now time.Duration) []Beat {
	beats := []Beat{t.Self()}
	for _, host := range t.Known(now) {
		if host.Silent < t.silence {
			beats = append(beats, host.Beat)
		}
	}
	return beats
}

// Find returns the latest heartbeat of an incarnation, unless a later one of the
// same host is known.
func (t *Tracker) Find(now time.Duration, id HostID) (Host, bool) {
	known := t.entries[id.Name]
	if known == nil || known.beat.ID != id {
		return Host{}, false
	}
	return Host{Beat: known.beat, Silent: now - known.heard}, true
}

// FindRun returns the latest heartbeat of an incarnation by its number alone.
func (t *Tracker) FindRun(now time.Duration, incarnation uint64) (Host, bool) {
	for _, e := range t.entries {
		if e.beat.ID.Incarnation == incarnation {
			return Host{Beat: e.beat, Silent: now - e.heard}, true
		}
	}
	return Host{}, false
}

// Replaced reports whether a later run of a host listens at the same address of
// the same boot of the same machine. The kernel lets nobody listen there before
// the earlier process has ended. On another machine, or after another boot, the
// earlier one may still run, paused or cut off.
func (t *Tracker) Replaced(id HostID, control, boot string) bool {
	known := t.entries[id.Name]
	return known != nil && known.beat.ID.Incarnation > id.Incarnation &&
		boot != "" && known.beat.Boot == boot && known.beat.Control == control
}
