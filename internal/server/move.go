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
	movePoll    = 500 * time.Millisecond
	moveTimeout = time.Second
	moveDuty    = "move"
)

// moveWorker follows the planned moves and applies them to this host's routing.
// Only its own goroutine uses it.
type moveWorker struct {
	server *Server
	moves  map[string]*movement // by name
}

// movement is one move as this host knows it.
type movement struct {
	record  mover.Record
	version int64
	stepper mover.Stepper
	applied mover.Applied
}

func newMoveWorker(s *Server) *moveWorker {
	return &moveWorker{server: s, moves: map[string]*movement{}}
}

// poll reads each move's record, takes a step where this host has the duty, and
// applies what holds now. When the store is out, the share stays as it is.
func (w *moveWorker) poll() {
	catalog := w.server.snapshot.Load().catalog
	if catalog == nil {
		return
	}
	for _, plan := range catalog.Moves() {
		m := w.moves[plan.Name()]
		if m == nil {
			m = &movement{record: mover.New(plan.Name(), string(w.server.moveChart.Initial()))}
			w.moves[plan.Name()] = m
		}
		if w.read(m, plan) {
			w.step(m, plan)
		}
		w.apply(m, plan)
	}
}

func (w *moveWorker) read(m *movement, plan *cataloger.Move) bool {
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
	m.stepper.Seen(w.server.clock.Now(), object.Version())
	return true
}

// step takes the move one step further when that is due and this host has the
// duty. The conditional update lets only one of several hosts do so.
func (w *moveWorker) step(m *movement, plan *cataloger.Move) {
	s := w.server
	p := s.snapshot.Load().pools[plan.Service()]
	if p == nil || !m.stepper.Due(s.clock.Now(), plan, p.router.LatencyIn(plan.To())) || !w.onDuty(plan) {
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
		return // the next reading shows what holds
	}
	m.record, m.version = next, version
	m.stepper.Seen(s.clock.Now(), version)
	s.recorder.TimeLine().Record(recorder.MoveStep, plan.Name(),
		fmt.Sprintf("%s, %.1f%% of %s to %s", next.State, float64(next.SharePPM)/mover.Million*100, plan.From(), plan.To()))
}

// onDuty reports whether this host is the one to step a move.
func (w *moveWorker) onDuty(plan *cataloger.Move) bool {
	m := &dutyAsked{base: base{done: make(chan struct{})}, duty: moveDuty + "/" + plan.Name(), hosts: 1, fleet: true}
	return w.server.loop.ask(m, m.done) && m.holds
}

func (w *moveWorker) apply(m *movement, plan *cataloger.Move) {
	s := w.server
	p := s.snapshot.Load().pools[plan.Service()]
	if p == nil {
		return
	}
	ppm := m.applied.Advance(s.clock.Now(), m.record.SharePPM, plan)
	p.router.SetShift(router.Shift{From: plan.From(), To: plan.To(), PPM: ppm})
}
