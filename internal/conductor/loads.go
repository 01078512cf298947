package conductor

import (
	"time"

	"magnoliahill.example/magnoliahill/pkg/greeter"
	"magnoliahill.example/magnoliahill/pkg/placer"
)

// load returns what the host was asked for lately and has under way.
func (l *loop) load() greeter.Load {
	demand := l.conductor.divider.Demand()
	running := l.conductor.placer.Running()
	load := greeter.Load{Demands: make(map[uint32]float64, len(demand)), Running: make(map[uint32]int, len(running))}
	for name, rate := range demand {
		load.Demands[greeter.Number(name)] = rate
	}
	for id, count := range running {
		load.Running[greeter.Number(id)] = count
	}
	load.Origins = origins(l.conductor.placer.Demand())
	return load
}

// origins puts the numbers that hosts use between them for names.
func origins(demand map[string]placer.Demand) map[uint32]greeter.Origin {
	all := make(map[uint32]greeter.Origin, len(demand))
	for service, one := range demand {
		origin := greeter.Origin{Free: one.Free, Bound: make(map[uint32]int, len(one.Bound))}
		for region, count := range one.Bound {
			origin.Bound[greeter.Number(region)] = count
		}
		all[greeter.Number(service)] = origin
	}
	return all
}

// demand returns what all hosts have under way, by service and by the region of
// the hosts.
func (l *loop) demand(now time.Duration) map[string]map[string]placer.Demand {
	if l.catalog == nil {
		return nil
	}
	zones := l.greeter.Zones(now, origins(l.conductor.placer.Demand()))
	all := map[string]map[string]placer.Demand{}
	for _, service := range l.catalog.Services() {
		byRegion := map[string]greeter.Origin{}
		for zone, origins := range zones {
			region := l.conductor.settings.Regions[zone]
			byRegion[region] = byRegion[region].Add(origins[greeter.Number(service.Name())])
		}
		all[service.Name()] = l.named(byRegion)
	}
	return all
}

// named puts names for the numbers that hosts use between them.
func (l *loop) named(byRegion map[string]greeter.Origin) map[string]placer.Demand {
	all := make(map[string]placer.Demand, len(byRegion))
	for region, origin := range byRegion {
		one := placer.Demand{Free: origin.Free, Bound: map[string]int{}}
		for _, other := range l.conductor.settings.Regions {
			if count := origin.Bound[greeter.Number(other)]; count > 0 {
				one.Bound[other] = count
			}
		}
		all[region] = one
	}
	return all
}

// evidence returns what the host's tries said of backend servers.
func (l *loop) evidence(now time.Duration) greeter.Evidence {
	all := greeter.Evidence{}
	for id, one := range l.conductor.placer.Evidence(now) {
		all[greeter.Number(id)] = one
	}
	return all
}

// learnEvidence takes in what the tries of another host's zone said.
func (l *loop) learnEvidence(now time.Duration, zone string, told greeter.Evidence) {
	l.greeter.HeardEvidence(zone, told)
	named := make(map[string]placer.Evidence, len(told))
	for number, one := range told {
		if id, ok := l.numbers[number]; ok {
			named[id] = one
		}
	}
	l.conductor.placer.Learn(now, named)
}

// others returns the demand that other hosts told, by name of the limit.
func (l *loop) others(told greeter.Load) map[string]float64 {
	if l.catalog == nil {
		return nil
	}
	named := make(map[string]float64, len(told.Demands))
	for _, w := range l.catalog.Workspaces() {
		named[w.Name()] = told.Demands[greeter.Number(w.Name())]
	}
	return named
}

// underWay returns the requests of other hosts by the backend server's id.
func (l *loop) underWay(told greeter.Load) map[string]int {
	running := make(map[string]int, len(told.Running))
	for number, count := range told.Running {
		if id, ok := l.numbers[number]; ok {
			running[id] = count
		}
	}
	return running
}
