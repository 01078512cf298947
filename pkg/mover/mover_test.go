package mover_test

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"magnoliahill.example/magnoliahill/internal/transitioner"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/mover"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

func plan(target, step float64, interval time.Duration) *cataloger.Move {
	return cataloger.NewMove(cataloger.Origin{}, "m", "orders", "a", "b", target, step, interval, 250*time.Millisecond)
}

// storedRecord is the record in the store with its version.
type storedRecord struct {
	record  mover.Record
	version int64
}

// hostView is the record that one host last read, and the share it applies.
type hostView struct {
	storedRecord
	stepper mover.Stepper
	applied mover.AppliedShare
}

// Several hosts step and apply one move. They read the store late, are paused and
// race each other, while operators fire triggers. In less than an interval, the
// sum of the shares that the hosts apply must not grow by more than one step per
// host.
func TestShiftGrowthStaysUnderCap(t *testing.T) {
	chart := transitioner.MustLoad("move")
	const hosts = 4
	interval := time.Second
	rapid.Check(t, func(t *rapid.T) {
		p := plan(1, rapid.Float64Range(0.01, 0.3).Draw(t, "step"), interval)
		step := int64(p.Step() * mover.Million)
		first, err := mover.NewRecord("m", string(chart.Initial())).Fire(chart, mover.Start, "operator")
		if err != nil {
			t.Fatal(err)
		}
		store := storedRecord{record: first, version: 1}
		views := make([]hostView, hosts)
		type change struct {
			at    time.Duration
			total int64
		}
		var history []change
		now := interval
		total := int64(0)
		for range rapid.IntRange(10, 150).Draw(t, "events") {
			now += time.Duration(rapid.Int64Range(0, 400).Draw(t, "ms")) * time.Millisecond
			h := &views[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2: // the host reads the store
				h.storedRecord = store
				h.stepper.RecordVersion(now, store.version)
			case 3, 4, 5, 6: // the host makes a step from the record it last read
				next, ok := h.record.Next(chart, p, "h")
				if ok && h.version > 0 && h.stepper.Due(now, p, 0) && h.version == store.version {
					store = storedRecord{record: next, version: store.version + 1}
				}
			case 7: // an operator fires a trigger
				trigger := rapid.SampledFrom([]string{mover.Start, mover.Start, mover.Pause, mover.Abort}).Draw(t, "trigger")
				if next, err := store.record.Fire(chart, trigger, "operator"); err == nil {
					store = storedRecord{record: next, version: store.version + 1}
				}
			}
			before := h.applied.PPM()
			total += h.applied.Advance(now, h.record.SharePPM, p) - before
			history = append(history, change{at: now, total: total})
			for i := len(history) - 1; i >= 0 && now-history[i].at < interval; i-- {
				if total-history[i].total > hosts*step {
					t.Fatalf("shift grew by %d in %v, cap is %d", total-history[i].total, now-history[i].at, hosts*step)
				}
			}
		}
	})
}

func TestMoveHoldsWhileLatencyIsTooHigh(t *testing.T) {
	is := is.New(t)
	p := plan(1, 0.1, time.Second)
	var s mover.Stepper
	is.True(!s.Due(time.Hour, p, 0)) // the store was never read
	s.RecordVersion(time.Second, 1)
	is.True(!s.Due(time.Second, p, 0))             // the interval has not passed
	is.True(!s.Due(2*time.Second, p, time.Second)) // the latency is too high
	is.True(s.Due(2*time.Second, p, 100*time.Millisecond))
	s.RecordVersion(3*time.Second, 2) // another host made a step
	is.True(!s.Due(3*time.Second, p, 0))
}

func TestMoveFinishesAndReturns(t *testing.T) {
	is := is.New(t)
	chart := transitioner.MustLoad("move")
	p := plan(0.25, 0.1, time.Second)
	r := mover.NewRecord("m", "planned")
	_, ok := r.Next(chart, p, "h")
	is.True(!ok) // not started
	r, err := r.Fire(chart, mover.Start, "amina")
	is.NoErr(err)
	_, err = r.Fire(chart, mover.Start, "jean")
	is.Equal(err.Error(), `move "m" is running since start by "amina", it can not start`)
	var shares []int64
	for r.State == "running" {
		r, ok = r.Next(chart, p, "h")
		is.True(ok)
		shares = append(shares, r.SharePPM)
	}
	is.Equal(shares, []int64{100_000, 200_000, 250_000})
	is.Equal(r.State, "finished")

	r, _ = mover.NewRecord("m", "planned").Fire(chart, mover.Start, "amina")
	r, _ = r.Next(chart, p, "h")
	r, err = r.Fire(chart, mover.Abort, "amina")
	is.NoErr(err)
	r, ok = r.Next(chart, p, "h")
	is.True(ok)
	is.Equal(r.State, "aborted")
	is.Equal(r.SharePPM, int64(0))
}

// A host that was cut off while the move advanced must not catch up at once, but
// by one step per interval.
func TestHostCatchesUpStepByStep(t *testing.T) {
	is := is.New(t)
	p := plan(1, 0.1, time.Second)
	var a mover.AppliedShare
	is.Equal(a.Advance(time.Second, 500_000, p), int64(100_000))
	is.Equal(a.Advance(1999*time.Millisecond, 500_000, p), int64(100_000))
	is.Equal(a.Advance(2*time.Second, 500_000, p), int64(200_000))
	is.Equal(a.Advance(time.Minute, 500_000, p), int64(300_000)) // paused for a while
	is.Equal(a.Advance(2*time.Minute, 0, p), int64(200_000))
}
