package quarantiner_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.yaml.in/yaml/v3"
	"pgregory.net/rapid"

	"magnoliahill.example/magnoliahill/pkg/quarantiner"
)

const request = quarantiner.Digest(0x0123456789abcdef)

// step is one operation of a case in the data file.
type step struct {
	Do      string
	At      float64 // seconds; not before the previous step
	Run     string
	Term    uint32
	Crashes []uint32
	Age     float64 // seconds
	Trial   int
	Granted bool
	Verdict string
}

type recordCase struct {
	Name  string
	Steps []step
}

func TestRecords(t *testing.T) {
	data, err := os.ReadFile("testdata/records.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []recordCase
	if err := yaml.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			q := quarantiner.New(func() {})
			for _, s := range c.Steps {
				s.apply(is, q)
				is.Equal(enter(q), s.Verdict)
			}
		})
	}
}

func (s step) apply(is *is.I, q *quarantiner.Quarantiner) {
	now := time.Duration(s.At * float64(time.Second))
	switch s.Do {
	case "answered":
		q.Answered(now, request)
	case "crashed":
		q.Crashed(now, request, s.Run, "route")
	case "released":
		q.Release(now, request)
	case "shared":
		is.Equal(len(q.States(now, 64)), 1)
	case "pruned":
		q.Prune(now)
	case "merged":
		age := time.Duration(s.Age * float64(time.Second))
		q.Merge(now, []quarantiner.State{{Digest: request, Term: s.Term, Crashes: s.Crashes, Age: age}}, quarantiner.ByHost)
	case "used":
		q.UseTrial(quarantiner.Trial{Digest: request, Term: s.Term, Number: s.Trial})
	case "claim":
		trial, due := q.Claim(now, request)
		is.Equal(trial.Number, s.Trial)
		if due && q.EndClaim(trial, s.Granted) == quarantiner.Alone {
			is.True(s.Granted)
			q.Leave(request)
		}
	default:
		is.Fail() // the data file has an unknown operation
	}
}

// enter returns the name of the verdict on the request, and ends its run.
func enter(q *quarantiner.Quarantiner) string {
	switch q.Enter(context.Background(), request) {
	case quarantiner.Alone:
		q.Leave(request)
		return "alone"
	case quarantiner.Quarantined:
		return "quarantined"
	}
	return "clear"
}

func TestCopiesOfASuspectedRequestRunOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := quarantiner.New(func() {})
		q.Crashed(0, request, "a", "route")
		is.Equal(q.Enter(context.Background(), request), quarantiner.Alone)
		verdicts := make(chan quarantiner.Verdict, 2)
		for range 2 {
			go func() { verdicts <- q.Enter(context.Background(), request) }()
		}
		synctest.Wait()
		is.Equal(len(verdicts), 0)
		q.Leave(request)
		is.Equal(<-verdicts, quarantiner.Alone)
		synctest.Wait()
		is.Equal(len(verdicts), 0)
		q.Crashed(0, request, "b", "route")
		q.Crashed(0, request, "c", "route")
		is.Equal(<-verdicts, quarantiner.Quarantined) // while the other copy still runs
	})
}

func TestWaitingCopyEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	q := quarantiner.New(func() {})
	q.Crashed(0, request, "a", "route")
	is.Equal(q.Enter(context.Background(), request), quarantiner.Alone)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(q.Enter(ctx, request), quarantiner.Interrupted)
}

func TestRecordsAreBoundedAndQuarantinesEvictedLast(t *testing.T) {
	is := is.New(t)
	q := quarantiner.New(func() {})
	for _, run := range []string{"a", "b", "c"} {
		q.Crashed(0, request, run, "route")
	}
	for i := range 5000 {
		q.Crashed(time.Second, quarantiner.Digest(i), "a", "route")
	}
	suspected, quarantined := q.Prune(time.Second)
	is.Equal(suspected+quarantined, 1024)
	is.Equal(quarantined, 1)
	is.Equal(len(q.States(2*time.Second, 64)), 64)
	is.Equal(len(q.States(9*time.Second, 64)), 8)
}

// Whatever hosts observe, and in whatever order they exchange it, they come to the same
// records, and a later exchange changes nothing.
func TestRecordsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]*quarantiner.Quarantiner, 3)
		for i := range hosts {
			hosts[i] = quarantiner.New(func() {})
		}
		now := time.Duration(0)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond
			q := hosts[rapid.IntRange(0, 2).Draw(t, "host")]
			d := quarantiner.Digest(rapid.IntRange(0, 2).Draw(t, "request"))
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0:
				q.Answered(now, d)
			case 1:
				other := hosts[rapid.IntRange(0, 2).Draw(t, "other")]
				other.Merge(now, q.States(now, 64), quarantiner.ByHost)
			default:
				q.Crashed(now, d, fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "run")), "route")
			}
		}
		now += time.Second
		for range 12 { // a few of the older records at a time
			for i, from := range hosts {
				hosts[(i+1)%3].Merge(now, from.States(now, 64), quarantiner.ByHost)
			}
		}
		if hosts[0].Hash(now) != hosts[1].Hash(now) || hosts[0].Hash(now) != hosts[2].Hash(now) {
			t.Fatalf("records differ: %v, %v, %v", hosts[0].States(now, 64), hosts[1].States(now, 64), hosts[2].States(now, 64))
		}
	})
}

// Most requests that were in flight at a crash are retried and answered soon; other
// hosts need not hear of them.
func TestSuspicionThatAResponseEndsAtOnceIsNotShared(t *testing.T) {
	is := is.New(t)
	q := quarantiner.New(func() {})
	q.Crashed(0, request, "a", "route")
	is.Equal(q.Hash(600*time.Millisecond), uint64(0))
	is.Equal(len(q.States(600*time.Millisecond, 64)), 0)
	q.Answered(600*time.Millisecond, request)
	is.True(q.Empty())
	q.Crashed(time.Second, request, "a", "route")
	is.Equal(len(q.States(1700*time.Millisecond, 64)), 1)
	q.Answered(1800*time.Millisecond, request)
	is.True(!q.Empty()) // others have to hear that it is cleared
	q.Crashed(2*time.Second, request+1, "a", "route")
	q.Crashed(2*time.Second, request+1, "b", "route")
	is.Equal(len(q.States(2*time.Second, 64)), 2) // two crashes are shared at once
}
