package prioritizer_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/prioritizer"
)

const interval = 10 * time.Millisecond // between requests of a priority

// load lets requests of each priority ask at equal intervals. Those in the map are refused
// in part, with 1 for all of them; yielded ones are, with their bounds as the result.
type load struct {
	limits  map[int]float64 // by priority
	refused map[int]float64
}

func (l load) run(p *prioritizer.Prioritizer, from, to time.Duration) map[int]float64 {
	bounds, owed := map[int]float64{}, map[int]float64{}
	for now := from; now < to; now += interval {
		for priority, limit := range l.limits {
			bounds[priority] = p.Ask(now, priority, limit)
			if owed[priority] += l.refused[priority]; owed[priority] >= 1 {
				owed[priority]--
				p.Refuse(priority, false)
			}
		}
	}
	return bounds
}

func TestOnePriorityIsNotBound(t *testing.T) {
	is := is.New(t)
	p := prioritizer.New()
	bounds := load{limits: map[int]float64{0: 2}, refused: map[int]float64{0: 0.5}}.run(p, 0, 5*time.Second)
	is.True(math.IsInf(bounds[0], 1))
	is.Equal(len(p.Counts(5*time.Second)), 0) // nothing to tell others
	_, ok := p.TakeState(5 * time.Second)
	is.True(!ok)
}

// A patient kind joins no longer queue than an impatient one that is more urgent, by no
// margin while nobody is refused.
func TestLessUrgentJoinNoLongerQueue(t *testing.T) {
	is := is.New(t)
	p := prioritizer.New()
	bounds := load{limits: map[int]float64{0: 1, 1: 9}}.run(p, 0, 3*time.Second)
	is.Equal(bounds, map[int]float64{0: 1, 1: 1})
	state, ok := p.TakeState(3 * time.Second)
	is.True(ok && !state.GivesWay && state.Margin == 0)
}

// The margin grows while the urgent kind is served less, and goes when it is not.
func TestMarginFollowsRefusals(t *testing.T) {
	is := is.New(t)
	p := prioritizer.New()
	limits := map[int]float64{0: 1, 1: 9}
	bounds := load{limits, map[int]float64{0: 0.4, 1: 0.1}}.run(p, 0, 3*time.Second)
	is.True(bounds[1] < 0.5)
	is.Equal(bounds[0], 1.0)
	state, _ := p.TakeState(3 * time.Second)
	is.True(state.GivesWay && state.Urgent == 0 && state.UrgentRefused > 0.3 && state.Margin > 0.5)
	bounds = load{limits, map[int]float64{0: 0.1, 1: 0.4}}.run(p, 3*time.Second, 9*time.Second)
	is.Equal(bounds[1], 1.0)
	bounds = load{limits, nil}.run(p, 9*time.Second, 20*time.Second)
	is.Equal(bounds[1], 1.0)
	state, _ = p.TakeState(20 * time.Second)
	is.True(!state.GivesWay)
}

// An urgent kind that is patient leaves room to a less urgent one that gets too little.
func TestStarvedPriorityGetsRoom(t *testing.T) {
	is := is.New(t)
	p := prioritizer.New()
	limits := map[int]float64{0: 9, 1: 1}
	bounds := load{limits, map[int]float64{0: 0.2, 1: 0.6}}.run(p, 0, 4*time.Second)
	is.Equal(bounds, map[int]float64{0: 9, 1: 1}) // 0.4 of all is not too little
	bounds = load{limits, map[int]float64{0: 0.2, 1: 1}}.run(p, 4*time.Second, 12*time.Second)
	is.Equal(bounds, map[int]float64{0: 1, 1: 1})
}

// The counts of other hosts bind requests, and lose weight with age.
func TestReports(t *testing.T) {
	is := is.New(t)
	p := prioritizer.New()
	reports := []prioritizer.Report{{Counts: map[int]prioritizer.Counts{
		0: {Asked: 1000, Refused: 600}, 1: {Asked: 1000, Refused: 100},
	}}}
	own := load{limits: map[int]float64{1: 9}}
	own.run(p, 0, time.Second)
	var bounds map[int]float64
	for now := time.Second; now < 3*time.Second; now += 100 * time.Millisecond {
		p.SetReports(now, reports)
		bounds = own.run(p, now, now+100*time.Millisecond)
	}
	is.True(bounds[1] < 9 && bounds[1] > 7)
	is.Equal(len(p.Counts(3*time.Second)), 1) // only what this host counted is told
	state, _ := p.TakeState(3 * time.Second)
	is.True(state.GivesWay && state.Urgent == 0 && state.NewsAge <= 100*time.Millisecond)
	bounds = own.run(p, 3*time.Second, 30*time.Second)
	is.True(math.IsInf(bounds[1], 1))
	p.SetReports(30*time.Second, nil)
	bounds = own.run(p, 30*time.Second, 31*time.Second)
	is.True(math.IsInf(bounds[1], 1))
}

// Late answers count as not served while news are fresh.
func TestLateAnswersRaiseTheMargin(t *testing.T) {
	is := is.New(t)
	for _, age := range []time.Duration{0, 3 * time.Second} {
		p := prioritizer.New()
		for now := time.Duration(0); now < 4*time.Second; now += interval {
			for priority := range 2 {
				p.Ask(now, priority, 2)
			}
			if now%(50*time.Millisecond) == 0 {
				p.Refuse(0, false)
				p.Refuse(1, false)
				p.Late(0)
				p.Late(0)
				p.SetReports(now, []prioritizer.Report{{Counts: map[int]prioritizer.Counts{1: {Asked: 1}}, Age: age}})
			}
		}
		state, _ := p.TakeState(4 * time.Second)
		is.Equal(state.Margin > 0.2, age == 0)
	}
}

// Requests that yielded are told once.
func TestYieldedAreCounted(t *testing.T) {
	is := is.New(t)
	p := prioritizer.New()
	load{limits: map[int]float64{0: 1, 1: 2}}.run(p, 0, time.Second)
	p.Refuse(1, true)
	state, _ := p.TakeState(time.Second)
	is.Equal(state.Yielded, 1)
	state, _ = p.TakeState(time.Second)
	is.Equal(state.Yielded, 0)
}
