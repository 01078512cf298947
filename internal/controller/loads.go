package controller

import (
	"time"

	"magnoliahill.example/magnoliahill/pkg/gossiper"
	"magnoliahill.example/magnoliahill/pkg/placer"
)

// localLoad returns the recent request rates by limit and the running requests of
// this host.
func (l *loop) localLoad(now time.Duration) gossiper.Load {
	demand := l.controller.allocator.Demand()
	running := l.controller.placer.Running()
	load := gossiper.Load{Demands: make(map[uint32]float64, len(demand)), Running: make(map[uint32]int, len(running))}
	for name, rate := range demand {
		load.Demands[gossiper.NameHash(name)] = rate
	}
	for id, count := range running {
		load.Running[gossiper.NameHash(id)] = count
	}
	load.Services = encodeDemand(l.controller.placer.Demand())
	for service, counts := range l.controller.placer.PriorityCounts(now) {
		hash := gossiper.NameHash(service)
		serviceLoad := load.Services[hash]
		serviceLoad.Priorities = counts
		load.Services[hash] = serviceLoad
	}
	return load
}

// encodeDemand replaces the names of services and regions by the numbers that
// gossip messages carry.
func encodeDemand(demand map[string]placer.Demand) map[uint32]gossiper.ServiceLoad {
	all := make(map[uint32]gossiper.ServiceLoad, len(demand))
	for service, serviceDemand := range demand {
		load := gossiper.ServiceLoad{Free: serviceDemand.Free, Bound: make(map[uint32]int, len(serviceDemand.Bound))}
		for region, count := range serviceDemand.Bound {
			load.Bound[gossiper.NameHash(region)] = count
		}
		all[gossiper.NameHash(service)] = load
	}
	return all
}

// regionDemand returns the running requests of all hosts, by service and by the
// region of the hosts. It returns nil before the first configuration.
func (l *loop) regionDemand(now time.Duration) map[string]map[string]placer.Demand {
	if l.config.catalog == nil {
		return nil
	}
	zones := l.gossiper.ServicesByZone(now, encodeDemand(l.controller.placer.Demand()))
	all := map[string]map[string]placer.Demand{}
	for _, service := range l.config.catalog.Services() {
		byRegion := map[string]gossiper.ServiceLoad{}
		for zone, services := range zones {
			region := l.controller.settings.Regions[zone]
			byRegion[region] = byRegion[region].Add(services[gossiper.NameHash(service.Name())])
		}
		all[service.Name()] = l.decodeDemand(byRegion)
	}
	return all
}

// decodeDemand replaces the numbers of regions that gossip messages carry by their
// names.
func (l *loop) decodeDemand(byRegion map[string]gossiper.ServiceLoad) map[string]placer.Demand {
	all := make(map[string]placer.Demand, len(byRegion))
	for region, load := range byRegion {
		demand := placer.Demand{Free: load.Free, Bound: map[string]int{}}
		for _, boundRegion := range l.controller.settings.Regions {
			if count := load.Bound[gossiper.NameHash(boundRegion)]; count > 0 {
				demand.Bound[boundRegion] = count
			}
		}
		all[region] = demand
	}
	return all
}

// healthReports returns the outcomes and latency of this host's attempts since the
// last call, by the number of the backend server. It returns none while this host is cut
// off: its failures say nothing about the backend servers.
func (l *loop) healthReports(now time.Duration) gossiper.HealthReports {
	all := gossiper.HealthReports{}
	for id, report := range l.controller.placer.TakeHealthReports(now) {
		if !l.cutOff {
			all[gossiper.NameHash(id)] = report
		}
	}
	return all
}

// applyHealthReports applies health reports that a host of the given zone sent.
// Reports on backend servers that are not registered here are only passed on.
func (l *loop) applyHealthReports(now time.Duration, zone string, reports gossiper.HealthReports) {
	l.gossiper.ApplyHealthReports(zone, reports)
	byServer := make(map[string]placer.HealthReport, len(reports))
	for number, report := range reports {
		if id, ok := l.serverIDs[number]; ok {
			byServer[id] = report
		}
	}
	l.controller.placer.ApplyHealthReports(now, byServer)
}

// remoteDemand returns the request rates that other hosts reported, by name of the
// limit. It returns nil before the first configuration.
func (l *loop) remoteDemand(reported gossiper.Load) map[string]float64 {
	if l.config.catalog == nil {
		return nil
	}
	byLimit := make(map[string]float64, len(reported.Demands))
	for _, w := range l.config.catalog.Workspaces() {
		byLimit[w.Name()] = reported.Demands[gossiper.NameHash(w.Name())]
	}
	return byLimit
}

// remoteRunning returns the running requests of other hosts, by the id of the
// backend server.
func (l *loop) remoteRunning(reported gossiper.Load) map[string]int {
	running := make(map[string]int, len(reported.Running))
	for number, count := range reported.Running {
		if id, ok := l.serverIDs[number]; ok {
			running[id] = count
		}
	}
	return running
}
