package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/gossiper"
	"magnoliahill.example/magnoliahill/pkg/placer"
	"magnoliahill.example/magnoliahill/pkg/prioritizer"
	"magnoliahill.example/magnoliahill/pkg/registrar"
)

// A host tells others what it counted by priority, applies what they tell, and notes at
// most every ten seconds that less urgent requests give way.
func TestPrioritiesAreExchanged(t *testing.T) {
	is := is.New(t)
	l := newTestLoop(t, "h")
	origin := cataloger.NewOrigin("test", 0)
	catalog, err := cataloger.New(1, cataloger.Items{Services: []*cataloger.Service{cataloger.NewService(origin, "svc", cataloger.Urgent)}})
	is.NoErr(err)
	l.config.catalog = catalog
	p := l.controller.placer
	r := registrar.New()
	r.Put(0, registrar.NewInstance("i-1", "svc", "127.0.0.1:1", "z", registrar.WithSlots(8)))
	p.Update(0, []placer.Service{{Name: "svc"}}, r.Instances(), nil)

	ask := func(from, to time.Duration, priority int) {
		for now := from; now < to; now += 20 * time.Millisecond {
			pick, verdict, _ := p.Choose(now, placer.Query{Service: "svc", Route: "r", Priority: priority, Goal: time.Second, TimeLeft: time.Second})
			if verdict == placer.Chosen {
				p.Done(now, pick, placer.Answered, placer.Load{})
			}
		}
	}
	ask(0, time.Second, 0)
	hash := gossiper.NameHash("svc")
	is.Equal(len(l.localLoad(time.Second).Services[hash].Priorities), 0) // others know of one priority too
	ask(time.Second, 2*time.Second, 1)
	sent := l.localLoad(2 * time.Second).Services[hash].Priorities
	is.True(sent[1].Asked > 20 && sent[0].Asked > 5 && sent[1].Refused == 0)

	l.updatePriorities(2 * time.Second)
	is.Equal(len(l.priorityChanges), 0) // nobody lacks room
	other := gossiper.Load{Services: map[uint32]gossiper.ServiceLoad{hash: {Priorities: map[int]prioritizer.Counts{0: {Asked: 400, Refused: 200}, 1: {Asked: 400}}}}}
	l.gossiper.Apply(2*time.Second, "g", "y", nil, []gossiper.LoadRecord{{Scope: "zone/y", Load: other}})
	for now := 2 * time.Second; now < 4*time.Second; now += 100 * time.Millisecond {
		p.SetPriorityReports(now, l.priorityReports(now))
		ask(now, now+100*time.Millisecond, 1)
	}
	state := p.TakePriorities(4 * time.Second)["svc"]
	is.True(state.GivesWay && state.Urgent == 0 && state.Margin > 0)
	l.updatePriorities(4 * time.Second)
	is.Equal(l.priorityChanges["svc"], priorityChange{givesWay: true, loggedAt: 4 * time.Second})

	p.SetPriorityReports(9*time.Second, l.priorityReports(9*time.Second)) // the zone's record has expired
	ask(9*time.Second, 10*time.Second, 1)
	l.updatePriorities(10 * time.Second)
	is.True(l.priorityChanges["svc"].givesWay) // too soon for another line
	ask(13*time.Second, 14*time.Second, 1)
	is.Equal(len(p.TakePriorities(14*time.Second)), 0) // one priority is left
	l.updatePriorities(14 * time.Second)
	is.Equal(l.priorityChanges["svc"], priorityChange{givesWay: false, loggedAt: 14 * time.Second})
}
