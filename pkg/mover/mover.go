// Package mover decides how a planned shift of work between regions advances.
// The state of a move is one object in the platform's store, replaced only by
// conditional update; a host applies what the store says no faster than the
// move's cap allows. The package does no I/O.
package mover

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

// Million is the whole of a share in millionths.
const Million = 1_000_000

// Triggers of the move chart that operators and the stepping host fire.
const (
	Start    = "start"
	Step     = "step"
	Finish   = "finish"
	Pause    = "pause"
	Abort    = "abort"
	Returned = "returned"
)

// Chart moves a move through its states.
type Chart interface {
	Step(from, trigger string) (string, error)
}

// Record is the state of a move in the store.
type Record struct {
	Move     string
	State    string // of the move chart
	SharePPM int64  // share of the region's work that is moved, in millionths
	Author   string // who made the last change; a host's name for steps
	Change   string // what the last change was
}

// Key returns the store key of a move's record.
func Key(move string) string { return "moves/" + move }

// recordCodec is a record in the store.
type recordCodec struct {
	Move     string `json:"move"`
	State    string `json:"state"`
	SharePPM int64  `json:"share_ppm"`
	Author   string `json:"author"`
	Change   string `json:"change"`
}

// Encode returns the record as it stands in the store.
func (r Record) Encode() ([]byte, error) { return json.Marshal(recordCodec(r)) }

// Decode reads a record from the store.
func Decode(data []byte) (Record, error) {
	var wire recordCodec
	if err := json.Unmarshal(data, &wire); err != nil {
		return Record{}, errors.Wrap(err, "record of a move is malformed")
	}
	return Record(wire), nil
}

// New returns the record of a move that has not started.
func New(move, initial string) Record { return Record{Move: move, State: initial} }

// Fire returns the record after an operator's trigger.
func (r Record) Fire(chart Chart, trigger, author string) (Record, error) {
	state, err := chart.Step(r.State, trigger)
	if err != nil && r.Change == "" {
		return r, errors.Errorf("move %q is %s, it can not %s", r.Move, r.State, trigger)
	}
	if err != nil {
		return r, errors.Errorf("move %q is %s since %s by %q, it can not %s", r.Move, r.State, r.Change, r.Author, trigger)
	}
	r.State = state
	r.Author = author
	r.Change = trigger
	return r, nil
}

// Next returns the record one step further, and false when there is nothing to
// do in its state.
func (r Record) Next(chart Chart, plan *cataloger.Move, host string) (Record, bool) {
	step := int64(plan.Step() * Million)
	target := int64(plan.Target() * Million)
	trigger := Step
	switch r.State {
	case "running":
		r.SharePPM = min(r.SharePPM+step, target)
		if r.SharePPM == target {
			trigger = Finish
		}
	case "returning":
		r.SharePPM = max(r.SharePPM-step, 0)
		if r.SharePPM == 0 {
			trigger = Returned
		}
	default:
		return r, false
	}
	next, err := r.Fire(chart, trigger, host)
	return next, err == nil
}

// Stepper decides when its host may take a move one step further. Every host
// that comes to step waits a whole interval from when it first saw the present
// version, so steps are never closer than that, whoever makes them.
type Stepper struct {
	version int64
	seen    time.Duration
}

// Seen takes in the version of the record in the store.
func (s *Stepper) Seen(now time.Duration, version int64) {
	if version != s.version {
		s.version = version
		s.seen = now
	}
}

// Due reports whether the next step may be made: the interval has passed and
// the region that takes the work keeps its promise.
func (s *Stepper) Due(now time.Duration, plan *cataloger.Move, latency time.Duration) bool {
	return s.version > 0 && now-s.seen >= plan.Interval() && latency <= plan.Promise()
}

// Applied is the share that one host applies. It follows the store, but rises
// and falls by at most one step an interval of the host's own clock, so that a
// host that was cut off or paused does not catch up at once.
type Applied struct {
	ppm     int64
	changed time.Duration // of the last change; 0 before the first
}

// PPM returns the share in millionths.
func (a *Applied) PPM() int64 { return a.ppm }

// Advance moves the applied share towards the one wanted and returns it.
func (a *Applied) Advance(now time.Duration, wanted int64, plan *cataloger.Move) int64 {
	if wanted == a.ppm || (a.changed > 0 && now-a.changed < plan.Interval()) {
		return a.ppm
	}
	step := int64(plan.Step() * Million)
	a.ppm = min(max(wanted, a.ppm-step), a.ppm+step)
	a.changed = now
	return a.ppm
}
