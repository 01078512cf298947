package prioritizer

import "time"

// State is how a service decides by priorities, for operators.
type State struct {
	GivesWay         bool          // several priorities are in demand, and a more urgent one lacks room
	Urgent           int           // the more urgent priority of which the largest share is refused
	UrgentAsked      float64       // requests of that priority per second
	UrgentRefused    float64       // share of them that is refused
	LessUrgentServed float64       // smallest share served of a less urgent priority
	Margin           float64       // largest margin of a priority, in requests per slot
	Relief           float64       // largest relief of a priority, in [0, 1]
	NewsAge          time.Duration // mean age of the counts of other hosts
	Yielded          int           // requests refused that would have joined a longer queue by themselves
}

// TakeState returns the state, with the requests that yielded since the last call, and
// whether there is more than one priority or was at the last call.
func (p *Prioritizer) TakeState(now time.Duration) (State, bool) {
	p.step(now)
	several := p.several
	p.several = p.demanded > 1
	s := State{LessUrgentServed: 1, NewsAge: p.newsAge(now), Yielded: p.yielded}
	p.yielded = 0
	demanded := 0
	for _, priority := range p.priorities {
		c := p.classes[priority]
		if !c.inDemand {
			continue
		}
		demanded++
		if refused := c.all.refusedShare(); demanded < p.demanded && (demanded == 1 || refused > s.UrgentRefused) {
			s.Urgent, s.UrgentAsked, s.UrgentRefused = priority, c.all.Asked, refused
		}
		if demanded > 1 {
			s.LessUrgentServed = min(s.LessUrgentServed, c.all.served())
		}
		s.Margin, s.Relief = max(s.Margin, c.margin), max(s.Relief, c.relief)
	}
	s.GivesWay = s.UrgentRefused >= minRefused
	return s, several || p.several
}
