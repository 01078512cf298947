package auditor

import (
	"slices"
	"strings"

	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

const maxRefillSeconds = 60 // time in which an unused rate should fill up its burst

func (u *audit) checkWorkspaces() {
	keys := map[string]int{}
	for _, key := range u.items.Keys {
		keys[key.Workspace()]++
	}
	for _, w := range u.items.Workspaces {
		if keys[w.Name()] == 0 {
			u.warn(w.Origin, KindNoKey, FieldKeys, "no key opens the workspace")
		}
		u.checkRate(w)
		u.checkRegions(w.Origin, w.HomeRegions())
		u.checkWorkspaceHomes(w)
		if priority, ok := w.Priority(); ok && priority < 0 {
			u.warn(w.Origin, KindPriority, FieldPriority, "priority %d is above the highest rank, which is 0", priority)
		}
	}
	u.checkKeys()
}

func (u *audit) checkRate(w *cataloger.Workspace) {
	switch {
	case w.Rate() < 0:
		u.warn(w.Origin, KindRate, FieldRate, "rate %v is below 0 and limits nothing", w.Rate())
	case w.Rate() == 0 && w.Burst() > 0:
		u.warn(w.Origin, KindRate, FieldBurst, "a burst without a rate limits nothing")
	case w.Rate() > 0 && w.Burst() > w.Rate()*maxRefillSeconds:
		u.warn(w.Origin, KindBurst, FieldRate, "rate %v does not fill up the burst %v within %d s", w.Rate(), w.Burst(), maxRefillSeconds)
	}
}

// checkKeys reports keys that no request needs, and the empty key, which requests
// without a key have.
func (u *audit) checkKeys() {
	empty := cataloger.HashKey("")
	opens := map[string]bool{}
	for _, w := range u.items.Workspaces {
		opens[w.Name()] = u.opensRoute(w)
	}
	for _, key := range u.items.Keys {
		if key.Hash() == empty {
			u.warn(key.Origin, KindKeyless, "", "the key is empty: requests without a key are those of workspace %q", key.Workspace())
		}
		if open, known := opens[key.Workspace()]; known && !open {
			u.warn(key.Origin, KindKeyOpensNothing, "", "no route needs a key of workspace %q and allows its home regions", key.Workspace())
		}
	}
}

// opensRoute reports whether a route needs a key and allows the workspace's home
// regions.
func (u *audit) opensRoute(w *cataloger.Workspace) bool {
	for _, route := range u.items.Routes {
		if !route.Public() && homesMeet(route.HomeRegions(), w.HomeRegions()) {
			return true
		}
	}
	return false
}

// checkWorkspaceHomes reports services that no request of a workspace can reach, since
// no home region that the workspace and the route have in common has a backend server.
func (u *audit) checkWorkspaceHomes(w *cataloger.Workspace) {
	reported := map[string]bool{}
	for _, route := range u.items.Routes {
		if route.Public() || len(w.HomeRegions()) == 0 {
			continue
		}
		common := commonHomes(w.HomeRegions(), route.HomeRegions())
		for _, split := range route.Splits() {
			missing := u.withoutServer(split.Service(), common)
			if len(missing) == 0 || len(missing) < len(common) || reported[split.Service()] {
				continue
			}
			reported[split.Service()] = true
			u.warn(w.Origin, KindHomes, FieldHomeRegions, "no backend server of %q is in %s, for route %q",
				split.Service(), strings.Join(missing, ", "), route.Name())
		}
	}
}

// commonHomes returns the home regions of a workspace that a route allows.
func commonHomes(workspace, route []string) []string {
	var common []string
	for _, region := range workspace {
		if len(route) == 0 || slices.Contains(route, region) {
			common = append(common, region)
		}
	}
	return common
}

// checkPriorities reports priorities that are set but are the same for all requests.
// The priority of a workspace takes precedence over that of a route.
func (u *audit) checkPriorities() {
	effective := map[int]bool{}
	for _, route := range u.items.Routes {
		if route.Public() {
			effective[route.Priority()] = true
			continue
		}
		for _, w := range u.items.Workspaces {
			if priority, ok := w.Priority(); ok {
				effective[priority] = true
			} else {
				effective[route.Priority()] = true
			}
		}
	}
	if len(effective) != 1 {
		return
	}
	for _, w := range u.items.Workspaces {
		if priority, ok := w.Priority(); ok {
			u.warn(w.Origin, KindPriority, FieldPriority, "all requests have priority %d: it orders nothing", priority)
			return
		}
	}
	for _, route := range u.items.Routes {
		if route.Priority() != 0 && effective[route.Priority()] {
			u.warn(route.Origin, KindPriority, FieldPriority, "all requests have priority %d: it orders nothing", route.Priority())
			return
		}
	}
}
