// Package prioritizer decides how long a queue a request may join, so that the more
// urgent requests of a service are served no less than the less urgent ones. A request
// joins no longer queue than more urgent ones that are in demand, less a margin that
// grows while those are served less. The package does no I/O and is not safe for
// concurrent use.
package prioritizer

import (
	"math"
	"slices"
	"time"
)

const (
	countDecay   = 1500 * time.Millisecond // a request this old has a weight of 1/e in the counts
	newsDecay    = 2 * time.Second         // counts of other hosts this old have a weight of 1/e
	windowLength = 2 * time.Second         // the shortest queue is that of the current and the previous window
	stepInterval = 50 * time.Millisecond   // between changes of the margins
	maxStep      = time.Second             // longest time that one change accounts for
	minDemand    = 0.1                     // requests per second from which a priority is in demand
	forgotten    = 0.001                   // requests per second below which a priority is not known any more
	minSample    = 8                       // counted requests from which a served share tells something
	minRefused   = 0.01                    // share of refused requests from which a priority is short of room
	lead         = 0.03                    // how much more of the more urgent requests are to be served
	lateSlack    = 0.05                    // how much fewer of them may be on time
	newsSlack    = 0.5                     // the same for news, per square of its age in seconds
	longestAge   = 3 * time.Second         // age of the news if there is none
	chance       = 0.35                    // difference of shares in a sample of one that may be chance
	chanceHere   = 0.7                     // the same for the requests of one host
	floorShare   = 0.4                     // a priority that is served less than this share of what all are served gets room
	marginGain   = 4.0                     // change of a margin per second and unit of difference
	marginDecay  = 1.0                     // decrease of a margin per second while nobody more urgent is short of room
	maxMargin    = 1.5                     // requests per slot
	reliefGain   = 4.0                     // change of a relief per second and unit of difference
)

// Counts are the requests of one priority per second, averaged over the latest ones.
type Counts struct {
	Asked   float64
	Refused float64
	Late    float64 // answered after their latency goal because they waited
}

// Add returns the sum of both.
func (c Counts) Add(other Counts) Counts {
	return Counts{Asked: c.Asked + other.Asked, Refused: c.Refused + other.Refused, Late: c.Late + other.Late}
}

func (c Counts) scale(factor float64) Counts {
	return Counts{Asked: c.Asked * factor, Refused: c.Refused * factor, Late: c.Late * factor}
}

func (c Counts) refusedShare() float64 {
	if c.Asked <= 0 {
		return 0
	}
	return min(1, c.Refused/c.Asked)
}

func (c Counts) served() float64 { return 1 - c.refusedShare() }

func (c Counts) onTime() float64 { return max(0, c.served()-c.Late/max(c.Asked, minDemand)) }

// sample returns how many requests the counts come from.
func (c Counts) sample() float64 { return c.Asked * countDecay.Seconds() }

// less returns by how much more the requests should be served, or be on time, than those
// of a less urgent priority. With old news of the others' requests, queues grow whoever
// yields, so that being late counts less.
func (c Counts) less(other Counts, newsAge time.Duration) float64 {
	late := other.onTime() - c.onTime() - lateSlack - newsSlack*newsAge.Seconds()*newsAge.Seconds()
	return max(late-noise(chance, c, other), c.lessServed(other, chance))
}

// lessServed is the same for requests that are served, on time or not.
func (c Counts) lessServed(other Counts, chance float64) float64 {
	return other.served() + lead - c.served() - noise(chance, c, other)
}

// noise returns the difference of the shares of two samples that may be chance.
func noise(chance float64, a, b Counts) float64 {
	return chance / math.Sqrt(1+min(a.sample(), b.sample()))
}

// Report is what another host, or the hosts of an availability zone, counted.
type Report struct {
	Counts map[int]Counts // by priority
	Age    time.Duration  // since it was received
}

// class holds what is known of the requests of one priority.
type class struct {
	own      Counts  // of this host
	all      Counts  // of all hosts, as of the last step
	current  float64 // shortest queue that a request would join in the current window
	previous float64 // the same in the window before
	limit    float64 // longest queue that all of them join, as of the last step; infinite if unknown
	margin   float64 // requests per slot by which their queue is shorter than that of more urgent ones
	relief   float64 // in [0, 1]; how far more urgent requests go down to this priority's queue
	inDemand bool
}

// Prioritizer decides for the requests of one service at one host. Queues are in
// requests per slot. Priority 0 is the most urgent.
type Prioritizer struct {
	classes    map[int]*class
	priorities []int // of the classes, the most urgent first
	reports    []Report
	reportedAt time.Duration
	decayedAt  time.Duration // when the own counts were last reduced
	windowAt   time.Duration // when the current window began
	steppedAt  time.Duration
	demanded   int  // priorities in demand
	yielded    int  // refused requests that yielded, since the state was last taken
	several    bool // when the state was last taken
}

// New returns a prioritizer that knows of no requests.
func New() *Prioritizer { return &Prioritizer{classes: map[int]*class{}} }

// Ask counts a request, which by itself would join a queue up to limit, and returns the
// longest queue that it may join. That is infinite unless several priorities are in
// demand: a request is then bound by its own limit only.
func (p *Prioritizer) Ask(now time.Duration, priority int, limit float64) float64 {
	p.step(now)
	c := p.class(priority)
	c.own.Asked += 1 / countDecay.Seconds()
	c.current = min(c.current, limit)
	if p.demanded < 2 {
		return math.Inf(1)
	}
	return p.bound(priority, limit)
}

// Refuse counts that a request which was asked for is refused for lack of room, and
// whether it yielded: by itself it would have joined a longer queue.
func (p *Prioritizer) Refuse(priority int, yielded bool) {
	p.class(priority).own.Refused += 1 / countDecay.Seconds()
	if yielded {
		p.yielded++
	}
}

// Late counts an answer after the latency goal because the request waited.
func (p *Prioritizer) Late(priority int) {
	p.class(priority).own.Late += 1 / countDecay.Seconds()
}

// SetReports replaces what other hosts counted.
func (p *Prioritizer) SetReports(now time.Duration, reports []Report) {
	p.reports, p.reportedAt = reports, now
}

// Counts returns what this host counted, by priority, without what is next to nothing.
// It returns nil while priority 0 is the only one known.
func (p *Prioritizer) Counts(now time.Duration) map[int]Counts {
	p.decay(now)
	if len(p.priorities) == 1 && p.priorities[0] == 0 {
		return nil
	}
	counts := map[int]Counts{}
	for priority, c := range p.classes {
		if c.own.Asked >= minDemand {
			counts[priority] = c.own
		}
	}
	return counts
}

func (p *Prioritizer) forget(priority int) {
	delete(p.classes, priority)
	p.priorities = slices.DeleteFunc(p.priorities, func(other int) bool { return other == priority })
}

func (p *Prioritizer) class(priority int) *class {
	c := p.classes[priority]
	if c == nil {
		c = &class{current: math.Inf(1), previous: math.Inf(1), limit: math.Inf(1)}
		p.classes[priority] = c
		p.priorities = append(p.priorities, priority)
		slices.Sort(p.priorities)
	}
	return c
}

// bound returns the longest queue that a request of a priority may join.
func (p *Prioritizer) bound(priority int, limit float64) float64 {
	c := p.classes[priority]
	for _, other := range p.priorities {
		if o := p.classes[other]; other < priority && o.inDemand {
			limit = min(limit, o.limit)
		}
	}
	if math.IsInf(limit, 1) {
		return limit // this host has no such requests, and nobody tells their limits
	}
	limit = max(limit-c.margin, 0)
	for _, other := range p.priorities {
		if o := p.classes[other]; other > priority && o.inDemand && o.shortest() < limit {
			limit -= o.relief * (limit - max(o.shortest(), 0))
		}
	}
	return limit
}

func (c *class) shortest() float64 { return min(c.current, c.previous) }

// decay reduces the weight of the own counts with time and begins windows.
func (p *Prioritizer) decay(now time.Duration) {
	factor := weight(now-p.decayedAt, countDecay)
	p.decayedAt = now
	for _, c := range p.classes {
		c.own = c.own.scale(factor)
	}
	if now-p.windowAt >= windowLength {
		p.windowAt = now
		for _, c := range p.classes {
			c.previous, c.current = c.current, math.Inf(1)
		}
	}
}

// step joins the counts of all hosts and changes the margins.
func (p *Prioritizer) step(now time.Duration) {
	elapsed := now - p.steppedAt
	if elapsed < stepInterval {
		return
	}
	p.steppedAt = now
	p.decay(now)
	total := p.join(now)
	seconds := min(elapsed, maxStep).Seconds()
	newsAge := p.newsAge(now)
	var urgent []*class // the more urgent priorities in demand
	for _, priority := range p.priorities {
		c := p.classes[priority]
		if !c.inDemand {
			c.margin, c.relief, c.limit = 0, 0, math.Inf(1)
			continue
		}
		c.adjust(seconds, newsAge, urgent, total)
		c.limit = p.bound(priority, c.shortest())
		urgent = append(urgent, c)
	}
}

// newsAge returns the mean age of the requests in the reports.
func (p *Prioritizer) newsAge(now time.Duration) time.Duration {
	asked, sum := 0.0, 0.0
	for _, r := range p.reports {
		for _, priority := range p.priorities {
			asked += r.Counts[priority].Asked
			sum += r.Counts[priority].Asked * r.Age.Seconds()
		}
	}
	if asked == 0 {
		return longestAge
	}
	return time.Duration(sum/asked*float64(time.Second)) + now - p.reportedAt
}

// join sums the counts of all hosts and finds the priorities in demand.
func (p *Prioritizer) join(now time.Duration) Counts {
	for _, c := range p.classes {
		c.all = c.own
	}
	for _, r := range p.reports {
		factor := weight(r.Age+now-p.reportedAt, newsDecay)
		for priority, counts := range r.Counts {
			c := p.class(priority)
			c.all = c.all.Add(counts.scale(factor))
		}
	}
	total := Counts{}
	p.demanded = 0
	for _, priority := range slices.Clone(p.priorities) {
		c := p.classes[priority]
		if c.all.Asked < forgotten {
			p.forget(priority)
			continue
		}
		total = total.Add(c.all)
		if c.inDemand = c.all.Asked >= minDemand; c.inDemand {
			p.demanded++
		}
	}
	return total
}

// adjust changes the margin and the relief of a priority in demand by what was served
// of it, of the more urgent ones, and of all.
func (c *class) adjust(seconds float64, newsAge time.Duration, urgent []*class, total Counts) {
	if c.all.sample() < minSample {
		return
	}
	floor := floorShare * total.served()
	c.relief = limited(c.relief+seconds*reliefGain*(floor-c.all.served()), 1)
	change := -marginDecay
	for _, u := range urgent {
		if u.all.refusedShare() < minRefused || c.all.served() < floor {
			continue
		}
		change = max(change, marginGain*u.all.less(c.all, newsAge), marginGain*u.own.lessServed(c.own, chanceHere))
	}
	c.margin = limited(c.margin+seconds*change, maxMargin)
}

func limited(value, highest float64) float64 { return min(max(value, 0), highest) }

func weight(age, decay time.Duration) float64 { return math.Exp(-float64(age) / float64(decay)) }
