package auditor

import (
	"net"
	"slices"
	"strings"
	"time"

	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

func (u *audit) checkRoutes() {
	for _, route := range u.items.Routes {
		u.checkHost(route)
		u.checkPrefix(route)
		u.checkSplits(route)
		u.checkTimes(route)
		u.checkRouteHomes(route)
		if route.Priority() < 0 {
			u.warn(route.Origin, KindPriority, FieldPriority, "priority %d is above the highest rank, which is 0", route.Priority())
		}
	}
}

// checkHost reports a host name that no request has. Hosts compare names without the
// port, and have no wildcards.
func (u *audit) checkHost(route *cataloger.Route) {
	host := route.Host()
	_, port, err := net.SplitHostPort(host)
	switch {
	case host == "":
		u.warn(route.Origin, KindUnmatchable, FieldHost, "no request has an empty host name")
	case err == nil:
		u.warn(route.Origin, KindUnmatchable, FieldHost, "host names are compared without a port: no request matches port %q", port)
	case strings.Contains(host, "*"):
		u.warn(route.Origin, KindUnmatchable, FieldHost, "hosts have no wildcards: no request has the host name %q", host)
	case strings.ContainsFunc(host, invalidInHost):
		u.warn(route.Origin, KindUnmatchable, FieldHost, "no request has the host name %q", host)
	}
}

// invalidInHost reports whether a character cannot occur in a host name. Callers send
// other than ASCII letters encoded.
func invalidInHost(c rune) bool {
	return c <= ' ' || c >= 0x7f || strings.ContainsRune(`/\?#@"<>[]`, c)
}

func (u *audit) checkPrefix(route *cataloger.Route) {
	if !strings.HasPrefix(route.Prefix(), "/") || !strings.HasSuffix(route.Prefix(), "/") {
		u.warn(route.Origin, KindUnmatchable, FieldPrefix, "no request matches %q: a prefix begins and ends with a slash", route.Prefix())
	}
}

func (u *audit) checkSplits(route *cataloger.Route) {
	total := 0.0
	for _, split := range route.Splits() {
		if split.Weight() < 0 {
			u.warn(split.Origin, KindWeights, FieldWeight, "weight %v is below 0: the proportions are not what they say", split.Weight())
		}
		total += split.Weight()
	}
	if len(route.Splits()) > 0 && total <= 0 {
		u.warn(route.Origin, KindWeights, FieldSplits, "the weights add up to nothing: all requests go to %q", route.Splits()[0].Service())
	}
}

// checkTimes compares the time limit with the goal and with the number of attempts,
// each of which may take as long as the goal.
func (u *audit) checkTimes(route *cataloger.Route) {
	timeout, goal, attempts := route.Timeout(), route.LatencyGoal(), route.MaxAttempts()
	switch {
	case timeout <= 0:
		u.warn(route.Origin, KindTimeout, FieldTimeout, "the time limit %s leaves no time: every request is refused", timeout)
	case goal > timeout:
		u.warn(route.Origin, KindGoal, FieldLatencyGoal, "the goal %s is above the time limit %s", goal, timeout)
	case goal > 0 && attempts > 1 && time.Duration(attempts) > timeout/goal:
		u.warn(route.Origin, KindAttempts, FieldMaxAttempts, "%d attempts of %s each do not fit into the time limit %s", attempts, goal, timeout)
	}
}

// checkRouteHomes reports home regions that do not exist or have no backend server of
// a service of the route, and routes that no workspace's home regions allow.
func (u *audit) checkRouteHomes(route *cataloger.Route) {
	u.checkRegions(route.Origin, route.HomeRegions())
	for _, split := range route.Splits() {
		if missing := u.withoutServer(split.Service(), route.HomeRegions()); len(missing) > 0 {
			u.warn(route.Origin, KindHomes, FieldHomeRegions, "no backend server of %q is in %s", split.Service(), strings.Join(missing, ", "))
		}
	}
	if route.Public() || len(u.items.Workspaces) == 0 {
		return
	}
	for _, w := range u.items.Workspaces {
		if homesMeet(route.HomeRegions(), w.HomeRegions()) {
			return
		}
	}
	u.warn(route.Origin, KindUnusable, FieldHomeRegions, "no workspace has a home region in common with the route: every request is refused")
}

// checkRegions reports regions that the deployment does not have.
func (u *audit) checkRegions(origin cataloger.Origin, homes []string) {
	for _, region := range homes {
		if len(u.regions) > 0 && !u.regions[region] {
			u.warn(origin, KindHomes, FieldHomeRegions, "region %q does not exist", region)
		}
	}
}

// withoutServer returns those existing home regions that have no backend server of a
// service.
func (u *audit) withoutServer(service string, homes []string) []string {
	var missing []string
	for _, region := range homes {
		if u.knowServers && u.regions[region] && u.servers[[2]string{service, region}] == 0 {
			missing = append(missing, region)
		}
	}
	return missing
}

// homesMeet reports whether two lists of home regions have one in common. An empty
// list means all regions.
func homesMeet(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(region string) bool { return slices.Contains(b, region) })
}

func (u *audit) checkServices() {
	used := map[string]bool{}
	for _, route := range u.items.Routes {
		for _, split := range route.Splits() {
			used[split.Service()] = true
		}
	}
	for _, service := range u.items.Services {
		if !used[service.Name()] {
			u.warn(service.Origin, KindServiceUnused, "", "no route leads to the service")
		}
	}
}
