package server

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/recorder"
	"magnoliahill.example/magnoliahill/internal/storer"
	"magnoliahill.example/magnoliahill/pkg/sharer"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// rosterKey is the store key of the roster, which lists the hosts that may hold
// shares of limits.
const rosterKey = "shares/roster"

const storeTimeout = 5 * time.Second

// storedHostID is the JSON form of a host id in the store.
type storedHostID struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// storedMember is the JSON form of a member in the store.
type storedMember struct {
	ID       storedHostID `json:"id"`
	Zone     string       `json:"zone"`
	Control  string       `json:"control"`
	FleetPPM int64        `json:"fleet_floor_ppm"`
	HomePPM  int64        `json:"home_floor_ppm"`
	Boot     string       `json:"boot"`
	Joined   int64        `json:"joined"`
}

// storedRoster is the JSON form of the roster in the store.
type storedRoster struct {
	Epoch     int64          `json:"epoch"`
	Collector storedHostID   `json:"taker"`
	Members   []storedMember `json:"members"`
}

func encodeRoster(r sharer.Roster) ([]byte, error) {
	stored := storedRoster{Epoch: r.Epoch, Collector: storedHostID(r.Collector)}
	for _, m := range r.Members {
		stored.Members = append(stored.Members, storedMember{
			ID: storedHostID(m.ID), Zone: m.Zone, Control: m.Control, Boot: m.BootID,
			FleetPPM: m.Floor.FleetPPM, HomePPM: m.Floor.HomePPM, Joined: m.Joined,
		})
	}
	return json.Marshal(stored)
}

func decodeRoster(data []byte) (sharer.Roster, error) {
	var stored storedRoster
	if err := json.Unmarshal(data, &stored); err != nil {
		return sharer.Roster{}, errors.Wrap(err, "roster in the store is malformed")
	}
	r := sharer.Roster{Epoch: stored.Epoch, Collector: tracker.HostID(stored.Collector)}
	for _, m := range stored.Members {
		r.Members = append(r.Members, sharer.Member{
			ID: tracker.HostID(m.ID), Zone: m.Zone, Control: m.Control, BootID: m.Boot, Joined: m.Joined,
			Floor: sharer.Floor{FleetPPM: m.FleetPPM, HomePPM: m.HomePPM},
		})
	}
	return r, nil
}

// performActions performs the actions that the share controller returned.
func (l *loop) performActions(actions []sharer.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case sharer.ReadRoster:
			go l.readRoster()
		case sharer.WriteRoster:
			go l.writeRoster(a)
		case sharer.ProbeMember:
			go l.probeMember(a.Member)
		case sharer.Notice:
			l.recordNotice(a)
		case sharer.StopProcess:
			l.recordEvent(recorder.HostState, l.server.id.String(), "a later run of this host exists; stopping")
			l.server.Stop()
		}
	}
}

// recordNotice records an event for a notice of the share controller. A new
// epoch is sent to the other hosts at once.
func (l *loop) recordNotice(n sharer.Notice) {
	kinds := map[sharer.NoticeKind]recorder.Kind{
		sharer.EpochEntered:     recorder.EpochEntered,
		sharer.CollectionDue:    recorder.CollectionDue,
		sharer.CollectionIssued: recorder.CollectionIssued,
		sharer.MemberDead:       recorder.HostDead,
	}
	l.recordEvent(kinds[n.Kind], n.Subject.String(), n.Text)
	if n.Kind == sharer.EpochEntered {
		l.exchangeAll(l.server.clock.Now())
	}
}

func (l *loop) readRoster() {
	sent := l.server.clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	object, err := l.server.store.Get(ctx, rosterKey)
	m := &rosterResult{sent: sent, version: object.Version(), err: err}
	if err == nil {
		m.roster, m.err = decodeRoster(object.Value())
	}
	l.send(m)
}

func (l *loop) writeRoster(a sharer.WriteRoster) {
	sent := l.server.clock.Now()
	m := &rosterResult{sent: sent, roster: a.Roster}
	data, err := encodeRoster(a.Roster)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		m.version, err = l.server.store.Put(ctx, rosterKey, data, a.Version)
	}
	m.err = err
	l.send(m)
}

// rosterResult is the message that a read or write of the roster has finished.
type rosterResult struct {
	sent    time.Duration
	version int64
	roster  sharer.Roster
	err     error
}

func (m *rosterResult) apply(l *loop, now time.Duration) {
	switch {
	case m.err == nil:
		l.recordStoreResult(now, nil)
		l.performActions(l.shareController.RosterRead(now, m.sent, m.roster, m.version))
	case errors.Is(m.err, storer.ErrNotFound):
		l.recordStoreResult(now, nil)
		l.performActions(l.shareController.RosterAbsent(now))
	case errors.Is(m.err, storer.ErrConflict):
		l.recordStoreResult(now, nil)
		l.performActions(l.shareController.RosterConflict(now))
	default:
		l.recordStoreResult(now, m.err)
		l.performActions(l.shareController.RosterFailed(now))
	}
}

func (l *loop) probeMember(member sharer.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	l.send(&memberProbed{id: member.ID, refused: l.server.messenger.ConnectionRefused(ctx, member.Control)})
}

// memberProbed is the message that a probe of a member has finished. A refused
// connection shows that its process has ended.
type memberProbed struct {
	id      tracker.HostID
	refused bool
}

func (m *memberProbed) apply(l *loop, now time.Duration) {
	l.performActions(l.shareController.RecordProbe(now, m.id, m.refused))
}

// tickShareController steps the share controller and performs the actions it
// returns.
func (l *loop) tickShareController(now time.Duration) {
	l.shareController.SetServing(l.hostState == "serving" || l.hostState == "leaving")
	l.performActions(l.shareController.Tick(now))
}
