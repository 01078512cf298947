package cataloger

import (
	"fmt"
	"net/netip"
)

// validator fills the indexes of a catalog and collects the problems it finds.
type validator struct {
	catalog  *Catalog
	problems Problems
}

func (v *validator) addProblem(origin Origin, field, format string, args ...any) {
	v.problems = append(v.problems, Problem{Origin: origin, field: field, message: fmt.Sprintf(format, args...)})
}

func (v *validator) checkTopology() {
	regions := map[string]bool{}
	for _, region := range v.catalog.parts.Regions {
		if regions[region.name] {
			v.addProblem(region.Origin, "name", "region %q is defined twice", region.name)
		}
		regions[region.name] = true
		for _, zone := range region.zones {
			if other, duplicate := v.catalog.zoneRegion[zone]; duplicate {
				v.addProblem(region.Origin, "zones", "availability zone %q is already in region %q", zone, other)
			}
			v.catalog.zoneRegion[zone] = region.name
		}
	}
	for _, link := range v.catalog.parts.Links {
		v.checkLink(link, regions)
	}
}

func (v *validator) checkLink(link *Link, regions map[string]bool) {
	for _, end := range []string{link.from, link.to} {
		if !regions[end] {
			v.addProblem(link.Origin, "between", "region %q does not exist", end)
		}
	}
	pair := [2]string{link.from, link.to}
	if pair[0] > pair[1] {
		pair[0], pair[1] = pair[1], pair[0]
	}
	if v.catalog.links[pair] != nil {
		v.addProblem(link.Origin, "between", "the link between %q and %q is defined twice", pair[0], pair[1])
	}
	v.catalog.links[pair] = link
}

func (v *validator) checkServices() {
	for _, service := range v.catalog.parts.Services {
		if v.catalog.services[service.name] != nil {
			v.addProblem(service.Origin, "service", "service %q is defined twice", service.name)
		}
		v.catalog.services[service.name] = service
		v.checkBackendServers(service)
	}
}

func (v *validator) checkBackendServers(service *Service) {
	addresses := map[string]bool{}
	names := map[string]bool{}
	for _, server := range service.backendServers {
		if v.catalog.zoneRegion[server.zone] == "" {
			v.addProblem(server.Origin, "zone", "availability zone %q does not exist", server.zone)
		}
		if addresses[server.address] {
			v.addProblem(server.Origin, "address", "address %q is used twice in service %q", server.address, service.name)
		}
		if names[server.name] {
			v.addProblem(server.Origin, "name", "backend server %q is defined twice in service %q", server.name, service.name)
		}
		addresses[server.address] = true
		names[server.name] = true
	}
}

func (v *validator) checkWorkspaces() {
	for _, workspace := range v.catalog.parts.Workspaces {
		if v.catalog.workspaces[workspace.name] != nil {
			v.addProblem(workspace.Origin, "workspace", "workspace %q is defined twice", workspace.name)
		}
		v.catalog.workspaces[workspace.name] = workspace
		for _, service := range workspace.services {
			if v.catalog.services[service] == nil {
				v.addProblem(workspace.Origin, "services", "service %q does not exist", service)
			}
		}
	}
}

func (v *validator) checkKeys() {
	ids := map[string]bool{}
	for _, key := range v.catalog.parts.Keys {
		if v.catalog.workspaces[key.workspace] == nil {
			v.addProblem(key.Origin, "keys-of", "workspace %q does not exist", key.workspace)
		}
		if v.catalog.keys[key.hash] != nil {
			v.addProblem(key.Origin, "sha256", "key %q has the same hash as key %q", key.id, v.catalog.keys[key.hash].id)
		}
		if ids[key.id] {
			v.addProblem(key.Origin, "id", "key id %q is used twice", key.id)
		}
		ids[key.id] = true
		v.catalog.keys[key.hash] = key
	}
}

func (v *validator) checkMoves() {
	moveByService := map[string]string{}
	for _, move := range v.catalog.parts.Moves {
		if v.catalog.services[move.service] == nil {
			v.addProblem(move.Origin, "service", "service %q does not exist", move.service)
		}
		for _, region := range []string{move.from, move.to} {
			if !v.regionExists(region) {
				v.addProblem(move.Origin, "from", "region %q does not exist", region)
			}
		}
		if other, duplicate := moveByService[move.service]; duplicate {
			v.addProblem(move.Origin, "service", "move %q already moves service %q", other, move.service)
		}
		moveByService[move.service] = move.name
	}
}

func (v *validator) regionExists(name string) bool {
	for _, region := range v.catalog.parts.Regions {
		if region.name == name {
			return true
		}
	}
	return false
}

func (v *validator) checkSites() {
	names := map[string]bool{}
	siteByBlock := map[netip.Prefix]string{}
	for _, site := range v.catalog.parts.Sites {
		if names[site.name] {
			v.addProblem(site.Origin, "site", "site %q is defined twice", site.name)
		}
		names[site.name] = true
		if v.catalog.zoneRegion[site.zone] == "" {
			v.addProblem(site.Origin, "zone", "availability zone %q does not exist", site.zone)
		}
		for _, block := range site.blocks {
			if other, duplicate := siteByBlock[block]; duplicate {
				v.addProblem(site.Origin, "blocks", "block %s already belongs to site %q", block, other)
			}
			siteByBlock[block] = site.name
		}
	}
}
