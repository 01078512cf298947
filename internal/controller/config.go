package controller

import (
	"fmt"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/internal/storer"
	"magnoliahill.example/magnoliahill/pkg/allocator"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

// activeConfig is the configuration that this host applies, and the latest one that
// another host reported. The store may come back from a copy that has neither.
type activeConfig struct {
	catalog   *cataloger.Catalog // nil before the first configuration
	item      storer.Item        // the object that the catalog was decoded from
	appliedAt time.Duration      // when the catalog became active

	peerGeneration int64         // highest generation that another host reported
	peerAddress    string        // control address of that host
	peerAheadSince time.Duration // when another host first reported a higher generation than this host's
	queryAfter     time.Duration // time before which the active configuration is not queried again
}

// generation returns the generation of the active configuration; 0 if there is none.
func (c *activeConfig) generation() int64 {
	if c.catalog == nil {
		return 0
	}
	return c.catalog.Generation()
}

// recordPeerGeneration records the generation that another host reported, with its
// control address.
func (c *activeConfig) recordPeerGeneration(now time.Duration, generation int64, control string) {
	if generation <= c.generation() {
		return
	}
	if c.peerGeneration <= c.generation() {
		c.peerAheadSince = now
	}
	if generation >= c.peerGeneration {
		c.peerGeneration = generation
		c.peerAddress = control
	}
}

// outdated reports whether this host has to fetch the configuration of the host with
// the highest generation. If that host is also at a later position in the store, the
// change arrives by itself, unless it takes longer than stallTimeout.
func (c *activeConfig) outdated(now time.Duration, storeAhead bool) bool {
	return c.peerGeneration > c.generation() && (!storeAhead || now-c.peerAheadSince >= stallTimeout)
}

// applyConfig activates the configuration with the highest generation among the
// objects if its generation is higher than that of the active one.
func (l *loop) applyConfig(now time.Duration, items []storer.Item) {
	for _, item := range items {
		if item.Deleted() {
			continue
		}
		catalog, err := l.controller.platform.DecodeConfig(item, l.controller.settings.Regions)
		if err != nil {
			klog.ErrorS(err, "invalid configuration ignored", "object", item.Name(), "revision", item.Revision())
			continue
		}
		if catalog.Generation() > l.config.generation() {
			l.activateConfig(now, item, catalog)
		} else if catalog.Generation() < l.config.generation() {
			klog.InfoS("older configuration ignored", "config", catalog.Generation(), "active", l.config.generation(), "revision", item.Revision())
		}
	}
}

// activateConfig puts a configuration into force.
func (l *loop) activateConfig(now time.Duration, item storer.Item, catalog *cataloger.Catalog) {
	logRateChanges(l.config.catalog, catalog)
	logWeightChanges(l.config.catalog, catalog)
	l.controller.placer.ForgetRoutes(replacedRoutes(l.config.catalog, catalog))
	l.config.catalog, l.config.item, l.config.appliedAt = catalog, item, now
	klog.InfoS("configuration applied", "config", catalog.Generation(), "revision", item.Revision(),
		"routes", len(catalog.Routes()), "services", len(catalog.Services()), "workspaces", len(catalog.Workspaces()))
	l.controller.allocator.SetLimits(now, rateLimits(catalog))
	l.updatePlacer(now)
	l.publishSnapshot()
}

// activeConfigQuery returns the query for the active configuration of the host with
// the highest generation, or nil if this host is not outdated. It returns a query
// once in stallTimeout.
func (l *loop) activeConfigQuery(now time.Duration) *peerv1.Position {
	if now < l.config.queryAfter || !l.config.outdated(now, l.caches[l.kinds.Config].peerAhead()) {
		return nil
	}
	klog.InfoS("configuration outdated", "config", l.config.generation(), "others", l.config.peerGeneration, "host", l.config.peerAddress)
	l.config.queryAfter = now + stallTimeout
	return &peerv1.Position{Kind: l.kinds.Config, Active: true}
}

// activeConfigTable returns the response to a query for the active configuration, or
// nil if there is none.
func (l *loop) activeConfigTable() *peerv1.ObjectTable {
	if l.config.catalog == nil {
		return nil
	}
	return messenger.EncodeObjects(l.kinds.Config, storer.NewItemList([]storer.Item{l.config.item}, 0), 0, false)
}

// rateLimits returns the rate limits of workspaces, which all hosts share.
func rateLimits(catalog *cataloger.Catalog) []allocator.Limit {
	var limits []allocator.Limit
	for _, w := range catalog.Workspaces() {
		if w.Rate() > 0 {
			limits = append(limits, allocator.Limit{Name: w.Name(), Rate: w.Rate(), Burst: w.Burst()})
		}
	}
	return limits
}

// logRateChanges logs each workspace whose rate or burst changed.
func logRateChanges(before, after *cataloger.Catalog) {
	for _, w := range after.Workspaces() {
		var old *cataloger.Workspace
		if before != nil {
			old = before.Workspace(w.Name())
		}
		if old == nil || old.Rate() != w.Rate() || old.Burst() != w.Burst() {
			klog.InfoS("workspace rate changed", "workspace", w.Name(), "rate", w.Rate(), "burst", w.Burst(),
				"homes", w.HomeRegions(), "config", after.Generation())
		}
	}
}

// replacedRoutes returns the names of the routes that are gone, and of those whose name
// belongs to a route for another host name or prefix.
func replacedRoutes(before, after *cataloger.Catalog) []string {
	if before == nil {
		return nil
	}
	kept := routesByName(after)
	var replaced []string
	for _, route := range before.Routes() {
		same := kept[route.Name()]
		if same == nil || same.Host() != route.Host() || same.Prefix() != route.Prefix() {
			replaced = append(replaced, route.Name())
		}
	}
	return replaced
}

// routesByName returns the routes of a configuration; none if it is nil.
func routesByName(catalog *cataloger.Catalog) map[string]*cataloger.Route {
	if catalog == nil {
		return nil
	}
	routes := make(map[string]*cataloger.Route, len(catalog.Routes()))
	for _, route := range catalog.Routes() {
		routes[route.Name()] = route
	}
	return routes
}

// maxWeightLines limits the log lines about weights per configuration.
const maxWeightLines = 50

// logWeightChanges logs each route that divides its requests among several services if
// these or their weights changed.
func logWeightChanges(before, after *cataloger.Catalog) {
	old, changed := routesByName(before), 0
	for _, route := range after.Routes() {
		if len(route.Splits()) < 2 {
			continue
		}
		now, then := formatWeights(route), formatWeights(old[route.Name()])
		if now == then {
			continue
		}
		if changed++; changed <= maxWeightLines {
			klog.InfoS("route weights changed", "route", route.Name(), "host", route.Host(), "prefix", route.Prefix(),
				"weights", now, "before", then, "homes", route.HomeRegions(), "config", after.Generation())
		}
	}
	if changed > maxWeightLines {
		klog.InfoS("weights of further routes changed", "routes", changed-maxWeightLines, "config", after.Generation())
	}
}

// formatWeights returns the services of a route and their weights for the log; it is empty
// for no route.
func formatWeights(route *cataloger.Route) string {
	if route == nil {
		return ""
	}
	texts := make([]string, len(route.Splits()))
	for i, split := range route.Splits() {
		texts[i] = fmt.Sprintf("%s:%g", split.Service(), split.Weight())
	}
	return strings.Join(texts, "+")
}
