package conductor

import (
	"time"

	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/exchanger"
	"magnoliahill.example/magnoliahill/internal/keeper"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/divider"
	"magnoliahill.example/magnoliahill/pkg/greeter"
	"magnoliahill.example/magnoliahill/pkg/placer"
	"magnoliahill.example/magnoliahill/pkg/registrar"
)

// changed takes in what stands in the table of a kind. Without the changes the
// whole table may have changed.
func (l *loop) changed(now time.Duration, kind string, changes *keeper.Table) {
	switch kind {
	case l.kinds.Config:
		l.adopt(now)
	case l.kinds.Servers:
		l.register(now, changes)
	case l.kinds.Evacuations:
		l.evacuate(now)
	case l.kinds.Hosts:
		l.meet(now)
	}
}

// adopt puts the configuration in force if it is newer.
func (l *loop) adopt(now time.Duration) {
	for _, item := range l.tables[l.kinds.Config].items {
		catalog, err := l.conductor.platform.DecodeConfig(item, l.conductor.settings.Regions)
		if err != nil {
			klog.ErrorS(err, "configuration ignored", "object", item.Name(), "revision", item.Revision())
			continue
		}
		if l.catalog != nil && catalog.Generation() <= l.catalog.Generation() {
			continue
		}
		logRates(l.catalog, catalog)
		l.catalog = catalog
		l.adopted = now
		klog.InfoS("configuration adopted", "config", catalog.Generation(), "revision", item.Revision(),
			"routes", len(catalog.Routes()), "services", len(catalog.Services()), "workspaces", len(catalog.Workspaces()))
		l.conductor.divider.SetLimits(now, limits(catalog))
		l.place(now)
		l.publish()
	}
}

// limits returns the rates that all hosts share.
func limits(catalog *cataloger.Catalog) []divider.Limit {
	var limits []divider.Limit
	for _, w := range catalog.Workspaces() {
		if w.Rate() > 0 {
			limits = append(limits, divider.Limit{Name: w.Name(), Rate: w.Rate(), Burst: w.Burst()})
		}
	}
	return limits
}

// logRates writes a line for each workspace whose rate changed.
func logRates(before, after *cataloger.Catalog) {
	for _, w := range after.Workspaces() {
		var old *cataloger.Workspace
		if before != nil {
			old = before.Workspace(w.Name())
		}
		if old == nil || old.Rate() != w.Rate() || old.Burst() != w.Burst() {
			klog.InfoS("rate of workspace", "workspace", w.Name(), "rate", w.Rate(), "burst", w.Burst(),
				"homes", w.Homes(), "config", after.Generation())
		}
	}
}

// register takes in registrations of backend servers.
func (l *loop) register(now time.Duration, changes *keeper.Table) {
	items := l.tables[l.kinds.Servers].items
	if changes == nil {
		var all []registrar.Instance
		for _, item := range items {
			if instance, ok := l.decodeServer(item); ok {
				all = append(all, instance)
			}
		}
		l.registrar.Replace(now, all)
	} else {
		for _, item := range changes.Items() {
			l.registerOne(now, item)
		}
	}
	l.place(now)
}

func (l *loop) registerOne(now time.Duration, item keeper.Item) {
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
		"cold", instance.Cold(), "revision", item.Revision())
}

func (l *loop) decodeServer(item keeper.Item) (registrar.Instance, bool) {
	instance, err := l.conductor.platform.DecodeServer(item)
	if err != nil {
		klog.InfoS("registration ignored", "server", item.Name(), "cause", err.Error())
		return registrar.Instance{}, false
	}
	return instance, true
}

func (l *loop) evacuate(now time.Duration) {
	l.evacuated = l.evacuated[:0]
	for name := range l.tables[l.kinds.Evacuations].items {
		l.evacuated = append(l.evacuated, name)
	}
	klog.InfoS("evacuations", "zones", l.evacuated, "revision", l.tables[l.kinds.Evacuations].revision)
	l.place(now)
}

// place tells the placer what may get requests.
func (l *loop) place(now time.Duration) {
	if l.catalog == nil {
		return
	}
	services := make([]placer.Service, 0, len(l.catalog.Services()))
	for _, s := range l.catalog.Services() {
		services = append(services, placer.Service{Name: s.Name(), ColdRate: s.ColdRate(), ColdStart: s.ColdStart()})
	}
	instances := l.registrar.Instances()
	l.conductor.placer.Update(now, services, instances, l.evacuated)
	l.retain(instances)
}

// retain keeps idle connections only to backend servers that are registered.
func (l *loop) retain(instances []registrar.Registered) {
	targets := make([]exchanger.Target, 0, len(instances))
	l.numbers = make(map[uint32]string, len(instances))
	for _, i := range instances {
		targets = append(targets, exchanger.Target{Address: i.Address(), Instance: i.ID()})
		l.numbers[greeter.Number(i.ID())] = i.ID()
	}
	l.conductor.exchanger.Retain(targets)
}
