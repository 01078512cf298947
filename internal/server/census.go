package server

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/keeper"
	"magnoliahill.example/magnoliahill/internal/recorder"
	"magnoliahill.example/magnoliahill/pkg/sharer"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// rosterKey is the store key of the object that says who holds parts of limits.
const rosterKey = "shares/roster"

const storeTimeout = 5 * time.Second

// hostIDCodec is a host id in the store.
type hostIDCodec struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// memberCodec is a member in the store.
type memberCodec struct {
	ID       hostIDCodec `json:"id"`
	Zone     string      `json:"zone"`
	Control  string      `json:"control"`
	FleetPPM int64       `json:"fleet_floor_ppm"`
	HomePPM  int64       `json:"home_floor_ppm"`
	Boot     string      `json:"boot"`
	Joined   int64       `json:"joined"`
}

// rosterCodec is a roster in the store.
type rosterCodec struct {
	Epoch   int64         `json:"epoch"`
	Taker   hostIDCodec   `json:"taker"`
	Members []memberCodec `json:"members"`
}

func encodeRoster(r sharer.Roster) ([]byte, error) {
	wire := rosterCodec{Epoch: r.Epoch, Taker: hostIDCodec(r.Taker)}
	for _, m := range r.Members {
		wire.Members = append(wire.Members, memberCodec{
			ID: hostIDCodec(m.ID), Zone: m.Zone, Control: m.Control, Boot: m.Boot,
			FleetPPM: m.Floor.FleetPPM, HomePPM: m.Floor.HomePPM, Joined: m.Joined,
		})
	}
	return json.Marshal(wire)
}

func decodeRoster(data []byte) (sharer.Roster, error) {
	var wire rosterCodec
	if err := json.Unmarshal(data, &wire); err != nil {
		return sharer.Roster{}, errors.Wrap(err, "roster in the store is malformed")
	}
	r := sharer.Roster{Epoch: wire.Epoch, Taker: tracker.HostID(wire.Taker)}
	for _, m := range wire.Members {
		r.Members = append(r.Members, sharer.Member{
			ID: tracker.HostID(m.ID), Zone: m.Zone, Control: m.Control, Boot: m.Boot, Joined: m.Joined,
			Floor: sharer.Floor{FleetPPM: m.FleetPPM, HomePPM: m.HomePPM},
		})
	}
	return r, nil
}

// perform does what the shares' controller wants done.
func (l *loop) perform(actions []sharer.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case sharer.ReadRoster:
			go l.readRoster()
		case sharer.WriteRoster:
			go l.writeRoster(a)
		case sharer.ProbeMember:
			go l.probe(a.Member)
		case sharer.Notice:
			l.notice(a)
		case sharer.Retired:
			l.event(recorder.HostState, l.server.id.String(), "a later run of this host exists; stopping")
			l.server.Stop()
		}
	}
}

func (l *loop) notice(n sharer.Notice) {
	kinds := map[sharer.NoticeKind]recorder.Kind{
		sharer.EpochEntered: recorder.EpochEntered,
		sharer.CensusDue:    recorder.CensusDue,
		sharer.CensusIssued: recorder.CensusIssued,
		sharer.MemberDead:   recorder.HostDead,
	}
	l.event(kinds[n.Kind], n.Subject.String(), n.Text)
	if n.Kind == sharer.EpochEntered {
		l.exchangeAll(l.server.clock.Now())
	}
}

func (l *loop) readRoster() {
	sent := l.server.clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	object, err := l.server.store.Get(ctx, rosterKey)
	m := &rosterSeen{sent: sent, version: object.Version(), err: err}
	if err == nil {
		m.roster, m.err = decodeRoster(object.Value())
	}
	l.send(m)
}

func (l *loop) writeRoster(a sharer.WriteRoster) {
	sent := l.server.clock.Now()
	m := &rosterSeen{sent: sent, roster: a.Next}
	data, err := encodeRoster(a.Next)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		m.version, err = l.server.store.Put(ctx, rosterKey, data, a.Version)
	}
	m.err = err
	l.send(m)
}

// rosterSeen is the end of a read or write of the roster.
type rosterSeen struct {
	sent    time.Duration
	version int64
	roster  sharer.Roster
	err     error
}

func (m *rosterSeen) apply(l *loop, now time.Duration) {
	switch {
	case m.err == nil:
		l.storeAnswered(now, nil)
		l.perform(l.shares.RosterRead(now, m.sent, m.roster, m.version))
	case errors.Is(m.err, keeper.ErrNotFound):
		l.storeAnswered(now, nil)
		l.perform(l.shares.RosterAbsent(now))
	case errors.Is(m.err, keeper.ErrConflict):
		l.storeAnswered(now, nil)
		l.perform(l.shares.RosterConflict(now))
	default:
		l.storeAnswered(now, m.err)
		l.perform(l.shares.RosterFailed(now))
	}
}

func (l *loop) probe(member sharer.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	l.send(&probed{id: member.ID, refused: l.server.messenger.Refused(ctx, member.Control)})
}

// probed is the end of a check whether a member's process still runs.
type probed struct {
	id      tracker.HostID
	refused bool
}

func (m *probed) apply(l *loop, now time.Duration) {
	l.perform(l.shares.Probed(now, m.id, m.refused))
}

// tickShares steps the shares' controller.
func (l *loop) tickShares(now time.Duration) {
	l.shares.SetServing(l.hostState == "serving" || l.hostState == "leaving")
	l.perform(l.shares.Tick(now))
}
