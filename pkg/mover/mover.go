// Package mover computes the steps of a move, which is a planned shift of requests
// between regions. The state of a move is one object in the platform's store,
// replaced only by conditional update. A host applies the stored share no faster
// than the move's cap allows. The package does no I/O.
package mover

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

// Million is the whole, in the unit of shares (millionths).
const Million = 1_000_000

// Triggers of the move state chart, fired by operators and by the host that makes
// a step.
const (
	Start    = "start"
	Step     = "step"
	Finish   = "finish"
	Pause    = "pause"
	Abort    = "abort"
	Returned = "returned"
)

// StateChart is the state machine of a move.
type StateChart interface {
	Step(from, trigger string) (string, error)
}

// Record is the stored state of a move.
type Record struct {
	Move     string
	State    string // of the move state chart
	SharePPM int64  // share of the region's requests that is moved, in millionths
	Author   string // operator or, for a step, host that made the last change
	Change   string // trigger of the last change
}

// Key returns the store key of a move's record.
func Key(move string) string { return "moves/" + move }

// wireRecord is a record as stored, in JSON.
type wireRecord struct {
	Move     string `json:"move"`
	State    string `json:"state"`
	SharePPM int64  `json:"share_ppm"`
	Author   string `json:"author"`
	Change   string `json:"change"`
}

// Encode returns the record in its stored form.
func (r Record) Encode() ([]byte, error) { return json.Marshal(wireRecord(r)) }

// Decode parses a stored record.
func Decode(data []byte) (Record, error) {
	var wire wireRecord
	if err := json.Unmarshal(data, &wire); err != nil {
		return Record{}, errors.Wrap(err, "move record is malformed")
	}
	return Record(wire), nil
}

// NewRecord returns the record of a move that has not started, in the initial
// state.
func NewRecord(move, initial string) Record { return Record{Move: move, State: initial} }

// Fire returns the record after a trigger. When the state chart does not allow the
// trigger, it returns the record unchanged and an error.
func (r Record) Fire(chart StateChart, trigger, author string) (Record, error) {
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

// Next returns the record after one step by a host, or false when the state of the
// move requires no step.
func (r Record) Next(chart StateChart, plan *cataloger.Move, host string) (Record, bool) {
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

// Stepper decides when its host may make the next step of a move. Every host
// waits a whole interval after it first saw the present version of the record, so
// that steps are at least an interval apart, whichever hosts make them.
type Stepper struct {
	version       int64
	versionSeenAt time.Duration // when the host first saw the version
}

// RecordVersion records the version of the record in the store.
func (s *Stepper) RecordVersion(now time.Duration, version int64) {
	if version != s.version {
		s.version = version
		s.versionSeenAt = now
	}
}

// Due reports whether the next step may be made: the record has been read, the
// interval has passed, and the latency in the region that receives the requests is
// within the limit of the plan.
func (s *Stepper) Due(now time.Duration, plan *cataloger.Move, latency time.Duration) bool {
	return s.version > 0 && now-s.versionSeenAt >= plan.Interval() && latency <= plan.MaxLatency()
}

// AppliedShare is the share that one host applies. It follows the stored share, but
// changes by at most one step per interval of the host's own clock, so that a host
// that was cut off or paused does not catch up at once.
type AppliedShare struct {
	ppm        int64
	lastChange time.Duration // 0 before the first change
}

// PPM returns the share in millionths.
func (a *AppliedShare) PPM() int64 { return a.ppm }

// Advance changes the applied share towards the wanted one by at most one step, if
// an interval has passed since the last change, and returns it.
func (a *AppliedShare) Advance(now time.Duration, wanted int64, plan *cataloger.Move) int64 {
	if wanted == a.ppm || (a.lastChange > 0 && now-a.lastChange < plan.Interval()) {
		return a.ppm
	}
	step := int64(plan.Step() * Million)
	a.ppm = min(max(wanted, a.ppm-step), a.ppm+step)
	a.lastChange = now
	return a.ppm
}
