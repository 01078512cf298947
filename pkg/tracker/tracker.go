package tracker

import (
	"slices"
	"sort"
	"time"
)

const defaultTimeout = 2 * time.Second

// Tracker is the membership state machine of one host. Times are offsets on the
// caller's clock. It is not safe for concurrent use.
type Tracker struct {
	self             Heartbeat
	timeout          time.Duration            // without a new heartbeat for this long, a host is not live
	zoneTimeouts     map[string]time.Duration // the same for the hosts of some availability zones
	entries          map[string]*entry
	byIncarnation    map[uint64]*entry // the same entries
	sorted           []*entry          // the same entries, ordered by name; nil when it must be rebuilt
	view             view
	dead             map[HostID]bool // incarnations that have certainly ended or given up what they held
	laterIncarnation uint64          // highest incarnation of the own host above its current one, or 0
}

// Option sets one property of a tracker.
type Option func(*Tracker)

// WithTimeout sets the time without a new heartbeat after which a host is not
// live; the default is 2 s.
func WithTimeout(d time.Duration) Option {
	return func(t *Tracker) { t.timeout = d }
}

// WithZoneTimeouts sets the timeouts of the hosts of some availability zones, whose
// heartbeats arrive less often.
func WithZoneTimeouts(timeouts map[string]time.Duration) Option {
	return func(t *Tracker) { t.zoneTimeouts = timeouts }
}

// New returns a tracker that contains only its own host.
func New(self Heartbeat, options ...Option) *Tracker {
	t := &Tracker{
		self:          self,
		timeout:       defaultTimeout,
		entries:       map[string]*entry{},
		byIncarnation: map[uint64]*entry{},
		dead:          map[HostID]bool{},
	}
	for _, option := range options {
		option(t)
	}
	return t
}

// NextHeartbeat returns the next heartbeat of the own host, with a higher counter.
func (t *Tracker) NextHeartbeat() Heartbeat {
	t.self.Counter++
	return t.self
}

// SetState sets the state in the heartbeats of the own host.
func (t *Tracker) SetState(state State) {
	t.self.State = state
	t.view.stale = true
}

// SetCutOff sets in the heartbeats of the own host whether it reaches no backend server.
func (t *Tracker) SetCutOff(cutOff bool) {
	t.self.CutOff = cutOff
	t.view.stale = true
}

// CutOffCount returns the number of live hosts that reach no backend server.
func (t *Tracker) CutOffCount(now time.Duration) int { return t.current(now).cutOff }

// Apply merges heartbeats, in any order and any number of times. Those of
// replaced or dead incarnations are ignored; one of a gone host marks its
// incarnation as dead.
func (t *Tracker) Apply(now time.Duration, heartbeats ...Heartbeat) {
	for _, heartbeat := range heartbeats {
		switch {
		case heartbeat.ID.Name == t.self.ID.Name:
			t.noteOwnIncarnation(heartbeat.ID.Incarnation)
		case heartbeat.State == Gone:
			t.MarkDead(heartbeat.ID)
		case !t.dead[heartbeat.ID]:
			t.applyOne(now, heartbeat)
		}
	}
}

// Superseded reports whether a later incarnation of the own host exists. The
// process must then give up everything it holds.
func (t *Tracker) Superseded() bool { return t.laterIncarnation != 0 }

func (t *Tracker) noteOwnIncarnation(incarnation uint64) {
	if incarnation > t.self.ID.Incarnation {
		t.laterIncarnation = max(t.laterIncarnation, incarnation)
	}
}

// RaiseIncarnation raises the own incarnation above all others of the host. It is
// for a process that is certainly the latest of its host but has a lower
// incarnation, because the clock was set back before it started.
func (t *Tracker) RaiseIncarnation() {
	if t.laterIncarnation != 0 {
		t.self.ID.Incarnation = t.laterIncarnation + 1<<randomBits
		t.laterIncarnation = 0
		t.view.stale = true
	}
}

func (t *Tracker) applyOne(now time.Duration, heartbeat Heartbeat) {
	known := t.entries[heartbeat.ID.Name]
	if known == nil || heartbeat.ID.Incarnation > known.heartbeat.ID.Incarnation {
		t.remove(known)
		added := &entry{heartbeat: heartbeat, updatedAt: now}
		t.entries[heartbeat.ID.Name] = added
		t.byIncarnation[heartbeat.ID.Incarnation] = added
		return
	}
	if heartbeat.ID != known.heartbeat.ID || heartbeat.Counter <= known.heartbeat.Counter {
		return
	}
	known.heartbeat.Counter = heartbeat.Counter
	t.touch(now, known, known.heartbeat != heartbeat)
	known.heartbeat = heartbeat
}

// MarkDead records that an incarnation has provably ended or given up everything it
// held.
func (t *Tracker) MarkDead(id HostID) {
	t.dead[id] = true
	if known := t.entries[id.Name]; known != nil && known.heartbeat.ID == id {
		t.remove(known)
	}
}

// remove removes an entry, or does nothing if it is nil.
func (t *Tracker) remove(e *entry) {
	t.sorted = nil
	t.view.stale = true
	if e != nil {
		delete(t.entries, e.heartbeat.ID.Name)
		delete(t.byIncarnation, e.heartbeat.ID.Incarnation)
	}
}

// byName returns all entries ordered by name.
func (t *Tracker) byName() []*entry {
	if t.sorted == nil {
		t.sorted = make([]*entry, 0, len(t.entries))
		for _, e := range t.entries {
			t.sorted = append(t.sorted, e)
		}
		sort.Slice(t.sorted, func(i, j int) bool { return t.sorted[i].heartbeat.ID.Name < t.sorted[j].heartbeat.ID.Name })
	}
	return t.sorted
}

// live reports whether the latest heartbeat of a host is recent.
func (t *Tracker) live(now time.Duration, e *entry) bool {
	return now-e.updatedAt < t.timeoutOf(e)
}

func (t *Tracker) timeoutOf(e *entry) time.Duration {
	if timeout, ok := t.zoneTimeouts[e.heartbeat.Zone]; ok {
		return timeout
	}
	return t.timeout
}

// IsDead reports whether an incarnation has provably ended or given up everything
// it held.
func (t *Tracker) IsDead(id HostID) bool { return t.dead[id] }

// Known returns the latest heartbeat of every other host, live or not, ordered by
// name.
func (t *Tracker) Known(now time.Duration) []Host {
	hosts := make([]Host, 0, len(t.entries))
	for _, e := range t.byName() {
		hosts = append(hosts, Host{Heartbeat: e.heartbeat, HeartbeatAge: now - e.updatedAt})
	}
	return hosts
}

// Live returns the hosts with a recent heartbeat, ordered by name. It includes the
// own host and leaving hosts.
func (t *Tracker) Live(now time.Duration) []Host {
	others := t.current(now).live
	live := make([]Host, 0, len(others)+1)
	self := Host{Heartbeat: t.self}
	selfAdded := false
	for _, e := range others {
		if !selfAdded && t.self.ID.Name < e.heartbeat.ID.Name {
			live, selfAdded = append(live, self), true
		}
		live = append(live, Host{Heartbeat: e.heartbeat, HeartbeatAge: now - e.updatedAt})
	}
	if !selfAdded {
		live = append(live, self)
	}
	return live
}

// LiveCount returns the number of hosts that Live returns.
func (t *Tracker) LiveCount(now time.Duration) int { return len(t.current(now).live) + 1 }

// Heartbeats returns the next heartbeat of the own host and the latest ones of all
// other live hosts, to be relayed.
func (t *Tracker) Heartbeats(now time.Duration) []Heartbeat { return t.AppendHeartbeats(now, nil) }

// AppendHeartbeats appends what Heartbeats returns to a list.
func (t *Tracker) AppendHeartbeats(now time.Duration, heartbeats []Heartbeat) []Heartbeat {
	live := t.current(now).live
	heartbeats = append(slices.Grow(heartbeats, len(live)+1), t.NextHeartbeat())
	for _, e := range live {
		heartbeats = append(heartbeats, e.heartbeat)
	}
	return heartbeats
}

// Find returns the latest heartbeat of an incarnation. It returns false when the
// incarnation is unknown, dead or replaced by a later one of the same host.
func (t *Tracker) Find(now time.Duration, id HostID) (Host, bool) {
	known := t.entries[id.Name]
	if known == nil || known.heartbeat.ID != id {
		return Host{}, false
	}
	return Host{Heartbeat: known.heartbeat, HeartbeatAge: now - known.updatedAt}, true
}

// FindIncarnation returns the latest heartbeat of an incarnation without the
// host's name.
func (t *Tracker) FindIncarnation(now time.Duration, incarnation uint64) (Host, bool) {
	e := t.byIncarnation[incarnation]
	if e == nil {
		return Host{}, false
	}
	return Host{Heartbeat: e.heartbeat, HeartbeatAge: now - e.updatedAt}, true
}

// Replaced reports whether a later incarnation of a host listens on the same
// address in the same boot of the same machine. The earlier process has then
// ended, because the kernel lets no other process listen there before. On
// another machine, or after another boot, the earlier one may still run, paused
// or partitioned.
func (t *Tracker) Replaced(id HostID, control, boot string) bool {
	known := t.entries[id.Name]
	return known != nil && known.heartbeat.ID.Incarnation > id.Incarnation &&
		boot != "" && known.heartbeat.Boot == boot && known.heartbeat.Control == control
}
