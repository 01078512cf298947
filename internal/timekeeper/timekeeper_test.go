package timekeeper

import (
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.yaml.in/yaml/v3"
)

// clockStep is one step of a case of the data file. All times are in milliseconds.
type clockStep struct {
	Monotonic, Wall, Suspended, Counts int
}

// clockCase is one case of the data file.
type clockCase struct {
	Name  string
	Steps []clockStep
}

// scriptedSource holds the clocks of a machine that was suspended before.
type scriptedSource struct{ monotonic, wall, suspended time.Duration }

func (s *scriptedSource) Now() (monotonic, wall time.Duration) { return s.monotonic, s.wall }
func (s *scriptedSource) Suspended() (time.Duration, error)    { return s.suspended, nil }
func (s *scriptedSource) advance(monotonic, wall, suspended int) {
	s.monotonic += time.Duration(monotonic) * time.Millisecond
	s.wall += time.Duration(wall) * time.Millisecond
	s.suspended += time.Duration(suspended) * time.Millisecond
}

// Guards against a host whose clock stands still after the time of day went forward and
// back: it stops too late and is killed with requests open.
func TestClockCountsSuspensionsAndNoStepsOfTheTimeOfDay(t *testing.T) {
	data, err := os.ReadFile("testdata/clocks.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []clockCase
	if err := yaml.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			s := &scriptedSource{suspended: time.Hour}
			clock := newClock(time.Now(), s)
			last := clock.Now()
			is.Equal(last, time.Duration(1))
			for _, step := range c.Steps {
				s.advance(step.Monotonic, step.Wall, step.Suspended)
				now := clock.Now()
				is.Equal(now-last, time.Duration(step.Counts)*time.Millisecond)
				last = now
			}
		})
	}
}

func TestClockFollowsTheMachine(t *testing.T) {
	is := is.New(t)
	clock := New()
	began, before := time.Now(), clock.Now()
	for last := before; last < before+250*time.Millisecond; {
		now := clock.Now()
		is.True(now >= last)
		last = now
	}
	is.True(time.Since(began) >= 250*time.Millisecond)
}

func TestClockFollowsTheTimeOfATestBubble(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		clock := New()
		before := clock.Now()
		time.Sleep(time.Hour)
		is.Equal(clock.Now()-before, time.Hour)
	})
}

func BenchmarkClock(b *testing.B) {
	clock := New()
	for b.Loop() {
		clock.Now()
	}
}
