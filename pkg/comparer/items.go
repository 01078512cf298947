package comparer

import (
	"fmt"
	"strconv"
	"strings"

	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

func routes(catalog *cataloger.Catalog) map[string]fields {
	items := make(map[string]fields, len(catalog.Routes()))
	for _, r := range catalog.Routes() {
		items[r.Name()] = fields{
			{"host", r.Host()},
			{"prefix", r.Prefix()},
			{"splits", splits(r)},
			{"idempotent", strconv.FormatBool(r.Idempotent())},
			{"timeout", r.Timeout().String()},
			{"latency-goal", r.LatencyGoal().String()},
			{"max-attempts", strconv.Itoa(r.MaxAttempts())},
			{"priority", strconv.Itoa(r.Priority())},
			{"public", strconv.FormatBool(r.Public())},
			{"sticky", strconv.FormatBool(r.StickySessions())},
			{"home-regions", regions(r.HomeRegions())},
		}
	}
	return items
}

// splits returns the services of a route with their shares of its requests.
func splits(route *cataloger.Route) string {
	total := 0.0
	for _, split := range route.Splits() {
		total += split.Weight()
	}
	parts := make([]string, 0, len(route.Splits()))
	for _, split := range route.Splits() {
		share := 0.0
		if total > 0 {
			share = 100 * split.Weight() / total
		}
		parts = append(parts, fmt.Sprintf("%s %.4g%%", split.Service(), share))
	}
	return strings.Join(parts, ", ")
}

func regions(homes []string) string {
	if len(homes) == 0 {
		return "all"
	}
	return strings.Join(homes, ", ")
}

func services(catalog *cataloger.Catalog) map[string]fields {
	items := make(map[string]fields, len(catalog.Services()))
	for _, s := range catalog.Services() {
		items[s.Name()] = fields{
			{"health-path", s.HealthPath()},
			{"connections", strconv.Itoa(s.Connections())},
			{"cold-start", s.ColdStart().String()},
			{"cold-rate", number(s.ColdRate())},
		}
	}
	return items
}

func workspaces(catalog *cataloger.Catalog) map[string]fields {
	items := make(map[string]fields, len(catalog.Workspaces()))
	for _, w := range catalog.Workspaces() {
		priority := "that of the route"
		if p, ok := w.Priority(); ok {
			priority = strconv.Itoa(p)
		}
		items[w.Name()] = fields{
			{"rate", number(w.Rate())},
			{"burst", number(w.Burst())},
			{"priority", priority},
			{"home-regions", regions(w.HomeRegions())},
		}
	}
	return items
}

func limits(catalog *cataloger.Catalog) map[string]fields {
	l := catalog.CallerLimits()
	return map[string]fields{"": {
		{"header-bytes", strconv.Itoa(l.HeaderBytes())},
		{"body-bytes", strconv.FormatInt(l.BodyBytes(), 10)},
		{"header-timeout", l.HeaderTimeout().String()},
		{"idle-timeout", l.IdleTimeout().String()},
	}}
}

func number(value float64) string { return strconv.FormatFloat(value, 'g', -1, 64) }

// unused are the fields that hosts read and do not use.
var unused = map[string]bool{
	"header-bytes": true, "header-timeout": true, "idle-timeout": true, "health-path": true, "connections": true,
}

// onlyUnused reports whether a change is one of fields that hosts do not use.
func onlyUnused(change Change) bool {
	for _, field := range change.fields {
		if !unused[field.field] {
			return false
		}
	}
	return len(change.fields) > 0
}

const noEffect = "no effect: hosts do not use it"

const newOnly = "requests under way keep what they were admitted with; new ones get this"

// routeEffect tells where the requests of a route go.
func (c *comparison) routeEffect(change Change) string {
	switch change.action {
	case Removed:
		old := routeNamed(c.before, change.name)
		if next := c.after.Route(old.Host(), old.Prefix()); next != nil {
			return fmt.Sprintf("requests under way finish; new ones match route %q", next.Name())
		}
		return "requests under way finish; new ones match no route (404)"
	case Added:
		route := routeNamed(c.after, change.name)
		if old := c.before.Route(route.Host(), route.Prefix()); old != nil {
			return fmt.Sprintf("new requests that matched route %q match this one; those under way stay with it", old.Name())
		}
		return "matched from when a host has the version"
	}
	return newOnly
}

func routeNamed(catalog *cataloger.Catalog, name string) *cataloger.Route {
	for _, route := range catalog.Routes() {
		if route.Name() == name {
			return route
		}
	}
	return nil
}

func serviceEffect(change Change) string {
	switch change.action {
	case Added:
		return "used as soon as backend servers register and a route leads to it"
	case Removed:
		return "requests under way finish at its registered backend servers; the bound for cold ones ends at once"
	}
	if onlyUnused(change) {
		return noEffect
	}
	return "holds at once, also for further attempts of requests under way"
}

func workspaceEffect(change Change) string {
	switch change.action {
	case Added:
		return "accepted from when a host has the version"
	case Removed:
		return "requests under way finish; new ones with its keys are refused (401)"
	}
	for _, field := range change.fields {
		if field.field == "rate" || field.field == "burst" {
			return "requests under way stay admitted; new ones are counted against the new rate and burst"
		}
	}
	return newOnly
}

func limitsEffect(change Change) string {
	if onlyUnused(change) {
		return noEffect
	}
	return newOnly
}
