package placer_test

import "time"

// kindResults counts what became of requests, and holds what hosts heard of others.
type kindResults struct {
	counts   map[origin]*kindCount
	heard    news
	nextNews news
}

// origin is where and when requests of a kind arrived.
type origin struct{ second, host, kind int }

type kindCount struct{ asked, onTime, late float64 }

func (c *kindCount) served() float64 { return (c.onTime + c.late) / max(c.asked, 1) }

func (c *kindCount) benefit() float64 { return (c.onTime + lateBenefit*c.late) / max(c.asked, 1) }

func (r *kindResults) at(now time.Duration, host, kind int) *kindCount {
	key := origin{int(now / time.Second), host, kind}
	if r.counts == nil {
		r.counts = map[origin]*kindCount{}
	}
	if r.counts[key] == nil {
		r.counts[key] = &kindCount{}
	}
	return r.counts[key]
}

func (r *kindResults) asked(now time.Duration, host, kind int) { r.at(now, host, kind).asked++ }

func (r *kindResults) answered(request simulatedRequest, onTime, inTime bool) {
	switch c := r.at(request.arrived, request.host, request.kind); {
	case onTime:
		c.onTime++
	case inTime:
		c.late++
	}
}

// sum adds up the requests that arrived in a part of the run at the hosts that are meant.
func (sim *simulation) sum(from, to int, hosts func(int) bool) []kindCount {
	sums := make([]kindCount, len(sim.workload.Kinds))
	for key, c := range sim.kinds.counts {
		if key.second >= from && key.second < to && hosts(key.host) {
			sums[key.kind].asked += c.asked
			sums[key.kind].onTime += c.onTime
			sums[key.kind].late += c.late
		}
	}
	return sums
}

func anyHost(int) bool { return true }

// judged returns the seconds of the run that are judged: what arrives later may still
// be open at its end.
func (sim *simulation) judged() (int, int) {
	return int(warmUp.Seconds()), int(sim.workload.Seconds - sim.workload.Limit.Seconds())
}

// gap is by how much an urgent kind was served less than a less urgent one at most, as
// shares of requests and of benefit.
type gap struct{ served, benefit float64 }

func (g *gap) add(kinds []requestKind, sums []kindCount) {
	for u, urgent := range kinds {
		for v, other := range kinds {
			a, b := &sums[u], &sums[v]
			if urgent.Priority < other.Priority && min(a.asked, b.asked) >= minJudged {
				g.served = max(g.served, b.served()-a.served())
				g.benefit = max(g.benefit, b.benefit()-a.benefit())
			}
		}
	}
}

func (sim *simulation) wholeGap(kinds []requestKind) gap {
	g := gap{-1, -1}
	from, to := sim.judged()
	g.add(kinds, sim.sum(from, to, anyHost))
	return g
}

func (sim *simulation) windowGap(kinds []requestKind) gap {
	g := gap{-1, -1}
	from, to := sim.judged()
	for ; from+judgedSeconds <= to; from++ {
		g.add(kinds, sim.sum(from, from+judgedSeconds, anyHost))
	}
	return g
}

func (sim *simulation) zoneGap(kinds []requestKind) gap {
	g := gap{-1, -1}
	from, to := sim.judged()
	for zone := range regions {
		g.add(kinds, sim.sum(from, to, func(host int) bool { return sim.zones[host] == zone }))
	}
	return g
}

func (sim *simulation) hostGap(kinds []requestKind) gap {
	g := gap{-1, -1}
	from, to := sim.judged()
	for i := range sim.hosts {
		g.add(kinds, sim.sum(from, to, func(host int) bool { return host == i }))
	}
	return g
}
