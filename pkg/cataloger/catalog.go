// Package cataloger holds the configuration in force as one immutable value,
// checked as a whole before anyone can use it.
package cataloger

import (
	"fmt"
	"strings"
)

// Fault is one item that does not fit the rest of the configuration.
type Fault struct {
	Origin
	field string
	text  string
}

// Field returns the field at fault.
func (f Fault) Field() string { return f.field }

// Text says what is wrong.
func (f Fault) Text() string { return f.text }

// Faults is the error of a configuration that does not fit together.
type Faults []Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, one := range f {
		lines = append(lines, fmt.Sprintf("%s:%d: field %q: %s", one.File(), one.Line(), one.field, one.text))
	}
	return strings.Join(lines, "\n")
}

// Parts are the items a catalog is built from.
type Parts struct {
	Services   []*Service
	Workspaces []*Workspace
	Keys       []*Key
	Regions    []*Region
	Links      []*Link
	Moves      []*Move
	Sites      []*Site
	Routes     []*Route
	Limits     CallerLimits // of the latest part that sets any
}

// Append adds another file's items.
func (p *Parts) Append(more Parts) {
	p.Services = append(p.Services, more.Services...)
	p.Workspaces = append(p.Workspaces, more.Workspaces...)
	p.Keys = append(p.Keys, more.Keys...)
	p.Regions = append(p.Regions, more.Regions...)
	p.Links = append(p.Links, more.Links...)
	p.Moves = append(p.Moves, more.Moves...)
	p.Sites = append(p.Sites, more.Sites...)
	p.Routes = append(p.Routes, more.Routes...)
	if more.Limits != (CallerLimits{}) {
		p.Limits = more.Limits
	}
}

// Catalog is one configuration. It never changes once built, and every name in
// it that refers to another item refers to one that exists.
type Catalog struct {
	generation int64 // strictly higher for each later configuration
	parts      Parts
	services   map[string]*Service
	workspaces map[string]*Workspace
	keys       map[KeyHash]*Key
	zoneRegion map[string]string
	links      map[[2]string]*Link
	routes     map[routeKey]*Route
}

// New checks the parts against one another and returns them as a catalog.
// The error is of type Faults.
func New(generation int64, parts Parts) (*Catalog, error) {
	c := &Catalog{
		generation: generation,
		parts:      parts,
		services:   map[string]*Service{},
		workspaces: map[string]*Workspace{},
		keys:       map[KeyHash]*Key{},
		zoneRegion: map[string]string{},
		links:      map[[2]string]*Link{},
		routes:     map[routeKey]*Route{},
	}
	v := &validator{catalog: c}
	v.topology()
	v.allServices()
	v.allWorkspaces()
	v.allKeys()
	v.allMoves()
	v.allSites()
	v.allRoutes()
	if len(v.faults) > 0 {
		return nil, v.faults
	}
	return c, nil
}

// Generation returns the configuration's number.
func (c *Catalog) Generation() int64 { return c.generation }

// Service returns a service by name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Services returns all services. The slice must not be changed.
func (c *Catalog) Services() []*Service { return c.parts.Services }

// Workspace returns a workspace by name, or nil.
func (c *Catalog) Workspace(name string) *Workspace { return c.workspaces[name] }

// Workspaces returns all workspaces. The slice must not be changed.
func (c *Catalog) Workspaces() []*Workspace { return c.parts.Workspaces }

// Key returns the key in force with a hash, or nil.
func (c *Catalog) Key(hash KeyHash) *Key { return c.keys[hash] }

// Keys returns all keys in force. The slice must not be changed.
func (c *Catalog) Keys() []*Key { return c.parts.Keys }

// Regions returns all regions. The slice must not be changed.
func (c *Catalog) Regions() []*Region { return c.parts.Regions }

// Moves returns all planned moves. The slice must not be changed.
func (c *Catalog) Moves() []*Move { return c.parts.Moves }

// Sites returns all sites. The slice must not be changed.
func (c *Catalog) Sites() []*Site { return c.parts.Sites }

// RegionOf returns the region of an availability zone, or "".
func (c *Catalog) RegionOf(zone string) string { return c.zoneRegion[zone] }

// Link returns what two regions share, or nil.
func (c *Catalog) Link(from, to string) *Link {
	if from > to {
		from, to = to, from
	}
	return c.links[[2]string{from, to}]
}
