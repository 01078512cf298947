package recorder

import (
	"sync"

	"magnoliahill.example/magnoliahill/internal/clocker"
)

// Kind names a type of event.
type Kind string

// Kinds of events on the time line.
const (
	HostState       Kind = "host-state"
	HostSeen        Kind = "host-seen"
	HostLost        Kind = "host-lost"
	HostDead        Kind = "host-dead"
	ConfigAdopted   Kind = "config-adopted"
	KeyWithdrawn    Kind = "key-withdrawn"
	KeyRefused      Kind = "key-refused"
	BackendState    Kind = "backend-state"
	EpochEntered    Kind = "epoch-entered"
	CensusDue       Kind = "census-due"
	CensusIssued    Kind = "census-issued"
	MoveStep        Kind = "move-step"
	StoreState      Kind = "store-state"
	InvariantBroken Kind = "invariant-broken"
)

// Event is one change of state, stamped by hybrid logical time so that an
// effect is never before its cause, on whatever hosts they happen.
type Event struct {
	Stamp   clocker.Stamp
	Host    string
	Kind    Kind
	Subject string // what changed: a host, service, workspace, key id or move
	Text    string // never holds a key
}

// TimeLine keeps the latest events of one process.
type TimeLine struct {
	mu     sync.Mutex
	clock  *clocker.Hybrid
	host   string
	events []Event // ring of fixed size
	next   int     // place of the next event
	total  int64   // events ever recorded
}

const ringSize = 4096 // events

// NewTimeLine returns an empty time line of a host.
func NewTimeLine(host string, clock *clocker.Hybrid) *TimeLine {
	return &TimeLine{host: host, clock: clock}
}

// Clock returns the hybrid clock that stamps the events.
func (t *TimeLine) Clock() *clocker.Hybrid { return t.clock }

// Record adds an event. The oldest one goes when the ring is full.
func (t *TimeLine) Record(kind Kind, subject, text string) {
	event := Event{Stamp: t.clock.Now(), Host: t.host, Kind: kind, Subject: subject, Text: text}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total++
	if len(t.events) < ringSize {
		t.events = append(t.events, event)
		return
	}
	t.events[t.next] = event
	t.next = (t.next + 1) % ringSize
}

// Events returns the events kept, oldest first, and how many there ever were.
func (t *TimeLine) Events() ([]Event, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	events := make([]Event, 0, len(t.events))
	events = append(events, t.events[t.next:]...)
	events = append(events, t.events[:t.next]...)
	return events, t.total
}
