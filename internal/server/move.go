package server

import (
	"context"
	"fmt"
	"time"

	"magnoliahill.example/magnoliahill/internal/recorder"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/mover"
	"magnoliahill.example/magnoliahill/pkg/router"
)

const (
	movePollInterval = 500 * time.Millisecond
	moveTimeout      = time.Second
	moveRole         = "move"
)

// moveWorker polls the planned moves and applies them to the routing of this
// host. Only its own goroutine uses it.
type moveWorker struct {
	server *Server
	moves  map[string]*moveState // by name
}

// moveState is one move, as this host last read it from the store.
type moveState struct {
	record  mover.Record
	version int64
	stepper mover.Stepper
	applied mover.AppliedShare
}

func newMoveWorker(s *Server) *moveWorker {
	return &moveWorker{server: s, moves: map[string]*moveState{}}
}

// poll reads each move's record, advances it when this host is elected to do
// so, and applies its share. While the store cannot be reached, the share stays
// as it is.
func (w *moveWorker) poll() {
	catalog := w.server.snapshot.Load().catalog
	if catalog == nil {
		return
	}
	for _, plan := range catalog.Moves() {
		m := w.moves[plan.Name()]
		if m == nil {
			m = &moveState{record: mover.NewRecord(plan.Name(), string(w.server.moveChart.Initial()))}
			w.moves[plan.Name()] = m
		}
		if w.readRecord(m, plan) {
			w.step(m, plan)
		}
		w.applyShare(m, plan)
	}
}

// readRecord reads a move's record from the store. It returns false when the
// record is missing, malformed or cannot be read.
func (w *moveWorker) readRecord(m *moveState, plan *cataloger.Move) bool {
	ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
	defer cancel()
	object, err := w.server.store.Get(ctx, mover.Key(plan.Name()))
	if err != nil {
		return false
	}
	record, err := mover.Decode(object.Value())
	if err != nil {
		return false
	}
	m.record, m.version = record, object.Version()
	m.stepper.RecordVersion(w.server.clock.Now(), object.Version())
	return true
}

// step advances the move by one step when that is due and this host is elected
// to do so. The conditional update allows only one of several hosts to do so.
func (w *moveWorker) step(m *moveState, plan *cataloger.Move) {
	s := w.server
	p := s.snapshot.Load().pools[plan.Service()]
	if p == nil || !m.stepper.Due(s.clock.Now(), plan, p.router.MaxLatency(plan.To())) || !w.isElected(plan) {
		return
	}
	next, ok := m.record.Next(s.moveChart, plan, s.id.Name)
	if !ok {
		return
	}
	data, err := next.Encode()
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
	defer cancel()
	version, err := s.store.Put(ctx, mover.Key(plan.Name()), data, m.version)
	if err != nil {
		return // the next poll reads the current record
	}
	m.record, m.version = next, version
	m.stepper.RecordVersion(s.clock.Now(), version)
	s.recorder.TimeLine().Record(recorder.MoveStep, plan.Name(),
		fmt.Sprintf("%s, %.1f%% of %s to %s", next.State, float64(next.SharePPM)/mover.Million*100, plan.From(), plan.To()))
}

// isElected reports whether this host is elected to advance a move.
func (w *moveWorker) isElected(plan *cataloger.Move) bool {
	m := &electionQuery{completion: completion{done: make(chan struct{})}, role: moveRole + "/" + plan.Name(), count: 1, allZones: true}
	return w.server.loop.sendAndWait(m, m.done) && m.elected
}

// applyShare sets the share of the move at the router of its service.
func (w *moveWorker) applyShare(m *moveState, plan *cataloger.Move) {
	s := w.server
	p := s.snapshot.Load().pools[plan.Service()]
	if p == nil {
		return
	}
	ppm := m.applied.Advance(s.clock.Now(), m.record.SharePPM, plan)
	p.router.SetShift(router.Shift{From: plan.From(), To: plan.To(), PPM: ppm})
}
