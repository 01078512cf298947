package cataloger

import (
	"fmt"
	"net/netip"
)

// validator fills a catalog's indexes and collects what does not fit.
type validator struct {
	catalog *Catalog
	faults  Faults
}

func (v *validator) fail(at Origin, field, format string, args ...any) {
	v.faults = append(v.faults, Fault{Origin: at, field: field, text: fmt.Sprintf(format, args...)})
}

func (v *validator) topology() {
	regions := map[string]bool{}
	for _, region := range v.catalog.parts.Regions {
		if regions[region.name] {
			v.fail(region.Origin, "name", "region %q stands twice", region.name)
		}
		regions[region.name] = true
		for _, zone := range region.zones {
			if other, twice := v.catalog.zoneRegion[zone]; twice {
				v.fail(region.Origin, "zones", "availability zone %q is in region %q already", zone, other)
			}
			v.catalog.zoneRegion[zone] = region.name
		}
	}
	for _, link := range v.catalog.parts.Links {
		v.link(link, regions)
	}
}

func (v *validator) link(link *Link, regions map[string]bool) {
	for _, end := range []string{link.from, link.to} {
		if !regions[end] {
			v.fail(link.Origin, "between", "region %q does not exist", end)
		}
	}
	pair := [2]string{link.from, link.to}
	if pair[0] > pair[1] {
		pair[0], pair[1] = pair[1], pair[0]
	}
	if v.catalog.links[pair] != nil {
		v.fail(link.Origin, "between", "the link between %q and %q stands twice", pair[0], pair[1])
	}
	v.catalog.links[pair] = link
}

func (v *validator) allServices() {
	for _, service := range v.catalog.parts.Services {
		if v.catalog.services[service.name] != nil {
			v.fail(service.Origin, "service", "service %q stands twice", service.name)
		}
		v.catalog.services[service.name] = service
		v.backendServers(service)
	}
}

func (v *validator) backendServers(service *Service) {
	addresses := map[string]bool{}
	names := map[string]bool{}
	for _, server := range service.backendServers {
		if v.catalog.zoneRegion[server.zone] == "" {
			v.fail(server.Origin, "zone", "availability zone %q does not exist", server.zone)
		}
		if addresses[server.address] {
			v.fail(server.Origin, "address", "address %q stands twice in service %q", server.address, service.name)
		}
		if names[server.name] {
			v.fail(server.Origin, "name", "backend server %q stands twice in service %q", server.name, service.name)
		}
		addresses[server.address] = true
		names[server.name] = true
	}
}

func (v *validator) allWorkspaces() {
	for _, workspace := range v.catalog.parts.Workspaces {
		if v.catalog.workspaces[workspace.name] != nil {
			v.fail(workspace.Origin, "workspace", "workspace %q stands twice", workspace.name)
		}
		v.catalog.workspaces[workspace.name] = workspace
		for _, service := range workspace.services {
			if v.catalog.services[service] == nil {
				v.fail(workspace.Origin, "services", "service %q does not exist", service)
			}
		}
	}
}

func (v *validator) allKeys() {
	ids := map[string]bool{}
	for _, key := range v.catalog.parts.Keys {
		if v.catalog.workspaces[key.workspace] == nil {
			v.fail(key.Origin, "keys-of", "workspace %q does not exist", key.workspace)
		}
		if v.catalog.keys[key.hash] != nil {
			v.fail(key.Origin, "sha256", "key %q has the hash of key %q", key.id, v.catalog.keys[key.hash].id)
		}
		if ids[key.id] {
			v.fail(key.Origin, "id", "key id %q stands twice", key.id)
		}
		ids[key.id] = true
		v.catalog.keys[key.hash] = key
	}
}

func (v *validator) allMoves() {
	busy := map[string]string{}
	for _, move := range v.catalog.parts.Moves {
		if v.catalog.services[move.service] == nil {
			v.fail(move.Origin, "service", "service %q does not exist", move.service)
		}
		for _, region := range []string{move.from, move.to} {
			if !v.regionExists(region) {
				v.fail(move.Origin, "from", "region %q does not exist", region)
			}
		}
		if other, twice := busy[move.service]; twice {
			v.fail(move.Origin, "service", "move %q moves service %q already", other, move.service)
		}
		busy[move.service] = move.name
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

func (v *validator) allSites() {
	names := map[string]bool{}
	owners := map[netip.Prefix]string{}
	for _, site := range v.catalog.parts.Sites {
		if names[site.name] {
			v.fail(site.Origin, "site", "site %q stands twice", site.name)
		}
		names[site.name] = true
		if v.catalog.zoneRegion[site.zone] == "" {
			v.fail(site.Origin, "zone", "availability zone %q does not exist", site.zone)
		}
		for _, block := range site.blocks {
			if other, twice := owners[block]; twice {
				v.fail(site.Origin, "blocks", "block %s belongs to site %q already", block, other)
			}
			owners[block] = site.name
		}
	}
}
