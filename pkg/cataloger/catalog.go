// Package cataloger holds a configuration as one immutable value that is
// validated as a whole before it can be used.
package cataloger

import (
	"fmt"
	"strings"
)

// Problem is one inconsistency between an item and the rest of the configuration.
type Problem struct {
	Origin
	field   string
	message string
}

// Field returns the name of the invalid field.
func (p Problem) Field() string { return p.field }

// Message returns a description of the problem.
func (p Problem) Message() string { return p.message }

// Problems is the error of a configuration whose items are inconsistent.
type Problems []Problem

// Error lists the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, fmt.Sprintf("%s:%d: field %q: %s", problem.File(), problem.Line(), problem.field, problem.message))
	}
	return strings.Join(lines, "\n")
}

// Items holds the items that a catalog is built from.
type Items struct {
	Services   []*Service
	Workspaces []*Workspace
	Keys       []*Key
	Regions    []*Region
	Links      []*Link
	Moves      []*Move
	Sites      []*Site
	Routes     []*Route
	Limits     CallerLimits // of the last file that sets any
}

// Append adds the items of another file. Its caller limits, if any, replace
// those set so far.
func (p *Items) Append(other Items) {
	p.Services = append(p.Services, other.Services...)
	p.Workspaces = append(p.Workspaces, other.Workspaces...)
	p.Keys = append(p.Keys, other.Keys...)
	p.Regions = append(p.Regions, other.Regions...)
	p.Links = append(p.Links, other.Links...)
	p.Moves = append(p.Moves, other.Moves...)
	p.Sites = append(p.Sites, other.Sites...)
	p.Routes = append(p.Routes, other.Routes...)
	if other.Limits != (CallerLimits{}) {
		p.Limits = other.Limits
	}
}

// Catalog is one configuration. It is immutable, and every name in it that
// refers to another item refers to one that exists.
type Catalog struct {
	generation int64 // strictly higher for each later configuration
	parts      Items
	services   map[string]*Service
	workspaces map[string]*Workspace
	keys       map[KeyHash]*Key
	zoneRegion map[string]string
	links      map[[2]string]*Link
	routes     map[routeKey]*Route
}

// New validates the parts against one another and returns them as a catalog.
// The error is of type Faults.
func New(generation int64, parts Items) (*Catalog, error) {
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
	v.checkTopology()
	v.checkServices()
	v.checkWorkspaces()
	v.checkKeys()
	v.checkMoves()
	v.checkSites()
	v.checkRoutes()
	if len(v.problems) > 0 {
		return nil, v.problems
	}
	return c, nil
}

// Generation returns the number of the configuration.
func (c *Catalog) Generation() int64 { return c.generation }

// Service returns the service with a name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Services returns all services. The slice must not be changed.
func (c *Catalog) Services() []*Service { return c.parts.Services }

// Workspace returns the workspace with a name, or nil.
func (c *Catalog) Workspace(name string) *Workspace { return c.workspaces[name] }

// Workspaces returns all workspaces. The slice must not be changed.
func (c *Catalog) Workspaces() []*Workspace { return c.parts.Workspaces }

// Key returns the valid key with a hash, or nil.
func (c *Catalog) Key(hash KeyHash) *Key { return c.keys[hash] }

// Keys returns all valid keys. The slice must not be changed.
func (c *Catalog) Keys() []*Key { return c.parts.Keys }

// Regions returns all regions. The slice must not be changed.
func (c *Catalog) Regions() []*Region { return c.parts.Regions }

// Moves returns all planned moves. The slice must not be changed.
func (c *Catalog) Moves() []*Move { return c.parts.Moves }

// Sites returns all sites. The slice must not be changed.
func (c *Catalog) Sites() []*Site { return c.parts.Sites }

// RegionOf returns the region of an availability zone, or "".
func (c *Catalog) RegionOf(zone string) string { return c.zoneRegion[zone] }

// Link returns the link between two regions in either order, or nil.
func (c *Catalog) Link(from, to string) *Link {
	if from > to {
		from, to = to, from
	}
	return c.links[[2]string{from, to}]
}
