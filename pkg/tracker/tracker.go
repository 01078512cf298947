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
	dead    map[HostID]bool // incarnations that certainly do not run any more
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
		if beat.ID.Name == t.self.ID.Name || t.dead[beat.ID] {
			continue
		}
		t.hear(now, beat)
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

// Dead records proof that an incarnation does not run any more.
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
// Leaving hosts are in it; gone ones are not.
func (t *Tracker) Live(now time.Duration) []Host {
	live := []Host{{Beat: t.self}}
	for _, host := range t.Known(now) {
		if host.Silent < t.silence && host.State != Gone {
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
