package controller

import (
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/roundtripper"
	"magnoliahill.example/magnoliahill/internal/storer"
	"magnoliahill.example/magnoliahill/pkg/gossiper"
	"magnoliahill.example/magnoliahill/pkg/placer"
	"magnoliahill.example/magnoliahill/pkg/registrar"
)

// applyChanges applies changes of a kind's objects that are in its cache.
func (l *loop) applyChanges(now time.Duration, cache *objectCache, changes []storer.Item) {
	if applied := cache.release(changes, l.precedence(cache.kind)); len(applied) > 0 {
		l.applyUpdate(now, cache.kind, applied)
	}
}

// applyUpdate applies the objects of a kind after an update. If changes is nil, any
// object of the kind may have changed.
func (l *loop) applyUpdate(now time.Duration, kind string, changes []storer.Item) {
	switch kind {
	case l.kinds.Config:
		l.applyConfig(now, slices.Collect(maps.Values(l.caches[kind].items)))
	case l.kinds.Servers:
		l.applyServers(now, changes)
	case l.kinds.Evacuations:
		l.applyEvacuations(now)
	case l.kinds.Hosts:
		l.applyHosts(now)
	case l.kinds.Quarantines:
		l.applyQuarantines(now)
	}
}

// applyServers applies registrations of backend servers. If changes is nil, the
// cached registrations replace all earlier ones.
func (l *loop) applyServers(now time.Duration, changes []storer.Item) {
	if changes == nil {
		var all []registrar.Instance
		for _, item := range l.caches[l.kinds.Servers].effective() {
			if instance, ok := l.decodeServer(item); ok {
				all = append(all, instance)
			}
		}
		l.registrar.Replace(now, all)
	} else {
		for _, item := range changes {
			l.applyServer(now, item)
		}
	}
	l.updatePlacer(now)
}

// applyServer applies the registration or the removal of one backend server. An
// invalid registration counts as a removal.
func (l *loop) applyServer(now time.Duration, item storer.Item) {
	if item.Deleted() {
		l.registrar.Remove(now, item.Name())
		klog.InfoS("backend server gone", "server", item.Name(), "revision", item.Revision())
		return
	}
	instance, ok := l.decodeServer(item)
	if !ok {
		l.registrar.Remove(now, item.Name())
		return
	}
	l.registrar.Put(now, instance)
	klog.InfoS("backend server registered", "server", instance.ID(), "service", instance.Service(),
		"zone", instance.Zone(), "draining", instance.State() == registrar.Draining,
		"cold", instance.ColdRemaining(), "revision", item.Revision())
}

// dropLapsed drops backend servers that are still missing when the time in which they
// could return after an outage of the store has ended.
func (l *loop) dropLapsed(now time.Duration) {
	if dropped := l.registrar.DropExpired(now); len(dropped) > 0 {
		klog.InfoS("lapsed backend servers removed", "servers", dropped)
		l.updatePlacer(now)
	}
}

func (l *loop) decodeServer(item storer.Item) (registrar.Instance, bool) {
	instance, err := l.controller.platform.DecodeServer(item)
	if err != nil {
		l.controller.recorder.Scope().Counter("registrations_rejected").Inc(1)
		l.rejectionLog.Do(func() {
			klog.InfoS("invalid backend server registration ignored", "server", item.Name(), "revision", item.Revision(), "cause", err.Error())
		})
		return registrar.Instance{}, false
	}
	return instance, true
}

// applyEvacuations replaces the evacuated zones by those in the cache.
func (l *loop) applyEvacuations(now time.Duration) {
	l.evacuatedZones = l.evacuatedZones[:0]
	for name := range l.caches[l.kinds.Evacuations].effective() {
		l.evacuatedZones = append(l.evacuatedZones, name)
	}
	klog.InfoS("evacuated zones changed", "zones", l.evacuatedZones, "revision", l.caches[l.kinds.Evacuations].position.Revision())
	l.updatePlacer(now)
}

// updatePlacer passes the services, registered backend servers and evacuated
// zones to the placer. It does nothing before the first configuration.
func (l *loop) updatePlacer(now time.Duration) {
	if l.config.catalog == nil {
		return
	}
	services := make([]placer.Service, 0, len(l.config.catalog.Services()))
	for _, s := range l.config.catalog.Services() {
		services = append(services, placer.Service{Name: s.Name(), ColdRate: s.ColdRate(), ColdStart: s.ColdStart()})
	}
	instances := l.registrar.Instances()
	l.controller.placer.Update(now, services, instances, l.evacuatedZones)
	l.retainConnections(instances)
}

// retainConnections closes idle connections to backend servers that are not
// registered, and rebuilds the index of their numbers.
func (l *loop) retainConnections(instances []registrar.Registered) {
	targets := make([]roundtripper.Target, 0, len(instances))
	l.serverIDs = make(map[uint32]string, len(instances))
	l.serverRuns = make(map[uint32]string, len(instances))
	for _, i := range instances {
		l.serverRuns[runHash(i.Instance)] = i.ID()
		targets = append(targets, roundtripper.Target{Address: i.Address(), Instance: i.ID()})
		l.serverIDs[gossiper.NameHash(i.ID())] = i.ID()
	}
	l.controller.roundTripper.Retain(targets)
}
