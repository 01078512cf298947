package server

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/keeper"
	"magnoliahill.example/magnoliahill/internal/recorder"
	"magnoliahill.example/magnoliahill/pkg/sharer"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// rosterKey is the store key of the object that says who holds parts of limits.
const rosterKey = "shares/roster"

const (
	storeTimeout = 5 * time.Second
	joinPeriod   = 250 * time.Millisecond // between two tries to become a member
)

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
			ID: hostIDCodec(m.ID), Zone: m.Zone, Control: m.Control,
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
			ID: tracker.HostID(m.ID), Zone: m.Zone, Control: m.Control, Joined: m.Joined,
			Floor: sharer.Floor{FleetPPM: m.FleetPPM, HomePPM: m.HomePPM},
		})
	}
	return r, nil
}

// readRoster reads the roster in the background.
func (l *loop) readRoster() {
	if l.rosterJob {
		return
	}
	l.rosterJob = true
	go func() {
		sent := l.server.clock.Now()
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		object, err := l.server.store.Get(ctx, rosterKey)
		m := &rosterSeen{sent: sent, version: object.Version(), err: err}
		if err == nil {
			m.roster, m.err = decodeRoster(object.Value())
		}
		l.send(m)
	}()
}

// writeRoster replaces the roster in the background, if it still has the
// version last seen.
func (l *loop) writeRoster(next sharer.Roster) {
	if l.rosterJob {
		return
	}
	l.rosterJob = true
	version := l.rosterAt
	go func() {
		sent := l.server.clock.Now()
		data, err := encodeRoster(next)
		m := &rosterSeen{sent: sent, roster: next, written: true}
		if err == nil {
			ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
			defer cancel()
			m.version, err = l.server.store.Put(ctx, rosterKey, data, version)
		}
		m.err = err
		l.send(m)
	}()
}

// rosterSeen is the end of a read or write of the roster.
type rosterSeen struct {
	sent    time.Duration
	version int64
	roster  sharer.Roster
	written bool
	err     error
}

func (m *rosterSeen) apply(l *loop, now time.Duration) {
	l.rosterJob = false
	l.rosterNews = now
	switch {
	case m.err == nil:
		l.storeAnswered(now, nil)
		l.rosterAt = m.version
		l.stored = m.roster
		l.takeRoster(now, m)
	case errors.Is(m.err, keeper.ErrNotFound):
		l.storeAnswered(now, nil)
		l.rosterAt = 0
		l.found()
	case errors.Is(m.err, keeper.ErrConflict):
		l.storeAnswered(now, nil)
		l.readRoster()
	default:
		l.storeAnswered(now, m.err)
	}
}

func (l *loop) takeRoster(now time.Duration, m *rosterSeen) {
	before := l.server.sharer.Roster().Epoch
	l.server.sharer.Contact(now, m.sent, m.roster)
	l.entered(now, before)
	l.startCensus(now, m.sent)
	if _, member := l.server.sharer.Roster().Member(l.server.id); !member && l.hostState == "serving" {
		l.writeRoster(m.roster.With(l.member()))
	}
}

func (l *loop) member() sharer.Member {
	shares := l.server.settings.Shares()
	return sharer.Member{
		ID: l.server.id, Zone: l.server.settings.Host().Zone(), Control: l.server.settings.Listen().Control(),
		Floor: sharer.Floor{FleetPPM: shares.FleetFloorPPM(), HomePPM: shares.HomeFloorPPM()},
	}
}

// found writes the first roster of all.
func (l *loop) found() {
	if l.hostState != "serving" {
		return
	}
	first := sharer.Roster{}.With(l.member())
	l.writeRoster(first.Next(l.server.id))
}

// startCensus starts adding up when the store shows this host as the taker of
// the present epoch.
func (l *loop) startCensus(now, sent time.Duration) {
	roster := l.server.sharer.Roster()
	if roster.Taker != l.server.id || l.census != nil {
		return
	}
	shares := l.server.settings.Shares()
	l.census = sharer.NewCensus(roster, l.server.sharer.Generation(), sent, shares.Lease(), shares.Drift())
	l.census.Add(l.server.sharer.Report())
	l.finishCensus(now)
}

// tickCensus checks members that are silent, finishes the running census, and
// starts one when it is due.
func (l *loop) tickCensus(now time.Duration) {
	shares := l.server.settings.Shares()
	if l.hostState != "serving" && l.hostState != "leaving" {
		return
	}
	if now-l.rosterNews > l.rosterPeriod(shares.Lease()) {
		l.readRoster()
	}
	l.checkSilent(now)
	l.finishCensus(now)
	view := sharer.View{
		Roster:    l.server.sharer.Roster(),
		Limits:    l.server.sharer.Limits(),
		Lost:      l.server.sharer.Lost(),
		Confirmed: l.server.sharer.Confirmed(),
		Live:      l.tracker.Live(now),
		Dead:      l.tracker.IsDead,
		Silent:    func(id tracker.HostID) time.Duration { return l.silent(now, id) },
		Census:    l.census,
	}
	reason, due := l.steward.Due(now, view)
	if !due || l.rosterAt == 0 || l.rosterJob || l.stored.Epoch != view.Roster.Epoch {
		return
	}
	next := l.stored.Without(func(id tracker.HostID) bool {
		return id != l.server.id && l.tracker.IsDead(id)
	}).Next(l.server.id)
	l.event(recorder.EpochEntered, l.server.id.String(), fmt.Sprintf("starts epoch %d: %s", next.Epoch, reason))
	l.census = nil
	l.writeRoster(next)
}

// rosterPeriod returns how old the last reading of the roster may get. A host
// that is no member yet has nothing to serve from, so it looks often.
func (l *loop) rosterPeriod(lease time.Duration) time.Duration {
	if _, member := l.server.sharer.Roster().Member(l.server.id); !member {
		return joinPeriod
	}
	return lease / 4
}

func (l *loop) finishCensus(now time.Duration) {
	if l.census == nil || l.census.Issued() {
		return
	}
	for _, m := range l.census.Roster().Members {
		if l.tracker.IsDead(m.ID) {
			l.census.Dead(m.ID)
		}
	}
	if l.server.sharer.Issue(now, l.census) {
		l.event(recorder.CensusIssued, l.server.id.String(), fmt.Sprintf("epoch %d", l.census.Roster().Epoch))
	}
}

// silent returns how long nothing has been heard of a host.
func (l *loop) silent(now time.Duration, id tracker.HostID) time.Duration {
	if id == l.server.id {
		return 0
	}
	for _, host := range l.tracker.Known(now) {
		if host.ID == id {
			return host.Silent
		}
	}
	since, known := l.silentFor[id]
	if !known {
		since = now
		l.silentFor[id] = now
	}
	return now - since
}

// checkSilent looks for proof that silent members have ended: nothing listens
// at their address any more, or a later run of the same host has taken it and
// the old one's lease is surely over.
func (l *loop) checkSilent(now time.Duration) {
	shares := l.server.settings.Shares()
	silence := l.server.settings.Membership().Silence()
	for _, m := range l.server.sharer.Roster().Members {
		if m.ID == l.server.id || l.tracker.IsDead(m.ID) {
			continue
		}
		silent := l.silent(now, m.ID)
		if l.gone(now, m.ID) || (silent > shares.Lease()+shares.Drift() && l.replaced(now, m.ID)) {
			l.proveDead(now, m.ID, "its host said so or was replaced")
			continue
		}
		if silent > silence && !l.probing[m.ID] {
			l.probe(m)
		}
	}
}

// gone reports whether a host's last heartbeat was its farewell.
func (l *loop) gone(now time.Duration, id tracker.HostID) bool {
	for _, host := range l.tracker.Known(now) {
		if host.ID == id {
			return host.State == tracker.Gone
		}
	}
	return false
}

func (l *loop) replaced(now time.Duration, id tracker.HostID) bool {
	for _, host := range l.tracker.Known(now) {
		if host.ID.Name == id.Name && host.ID.Incarnation > id.Incarnation {
			return true
		}
	}
	return false
}

func (l *loop) probe(m sharer.Member) {
	l.probing[m.ID] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
		defer cancel()
		l.send(&probed{id: m.ID, refused: l.server.messenger.Refused(ctx, m.Control)})
	}()
}

// probed is the end of a check whether a member's process still runs.
type probed struct {
	id      tracker.HostID
	refused bool
}

func (m *probed) apply(l *loop, now time.Duration) {
	delete(l.probing, m.id)
	if m.refused {
		l.proveDead(now, m.id, "connection refused at its address")
	}
}

func (l *loop) proveDead(now time.Duration, id tracker.HostID, text string) {
	l.tracker.Dead(id)
	l.event(recorder.HostDead, id.String(), text)
	l.finishCensus(now)
}
