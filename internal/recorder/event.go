package recorder

import (
	"sync"

	"magnoliahill.example/magnoliahill/internal/timekeeper"
)

// Kind is the type of an event.
type Kind string

// Kinds of events.
const (
	HostState        Kind = "host-state"
	HostSeen         Kind = "host-seen"
	HostLost         Kind = "host-lost"
	HostDead         Kind = "host-dead"
	ConfigApplied    Kind = "config-adopted"
	KeyWithdrawn     Kind = "key-withdrawn"
	KeyRefused       Kind = "key-refused"
	BackendState     Kind = "backend-state"
	EpochEntered     Kind = "epoch-entered"
	CollectionDue    Kind = "census-due"
	CollectionIssued Kind = "census-issued"
	MoveStep         Kind = "move-step"
	StoreState       Kind = "store-state"
	InvariantBroken  Kind = "invariant-broken"
)

// Event is one change of state. Its hybrid logical timestamp orders an effect
// after its cause, also when they occur on different hosts.
type Event struct {
	Stamp   timekeeper.Stamp
	Host    string
	Kind    Kind
	Subject string // what changed: a host, service, workspace, key id or move
	Text    string // never contains a key
}

// TimeLine holds the latest events of one process.
type TimeLine struct {
	mu     sync.Mutex
	clock  *timekeeper.HybridClock
	host   string
	events []Event // ring buffer
	next   int     // index of the oldest event once the ring is full, which the next one replaces
	total  int64   // number of events recorded since the start
}

const maxEvents = 4096 // kept by a time line

// NewTimeLine returns an empty time line for a host.
func NewTimeLine(host string, clock *timekeeper.HybridClock) *TimeLine {
	return &TimeLine{host: host, clock: clock}
}

// Clock returns the hybrid clock that stamps the events.
func (t *TimeLine) Clock() *timekeeper.HybridClock { return t.clock }

// Record adds an event. When the ring buffer is full, it replaces the oldest one.
func (t *TimeLine) Record(kind Kind, subject, text string) {
	event := Event{Stamp: t.clock.Now(), Host: t.host, Kind: kind, Subject: subject, Text: text}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total++
	if len(t.events) < maxEvents {
		t.events = append(t.events, event)
		return
	}
	t.events[t.next] = event
	t.next = (t.next + 1) % maxEvents
}

// Events returns the latest events, oldest first, and the number of events
// recorded since the start.
func (t *TimeLine) Events() ([]Event, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	events := make([]Event, 0, len(t.events))
	events = append(events, t.events[t.next:]...)
	events = append(events, t.events[:t.next]...)
	return events, t.total
}
