// Package admitter decides whose request it is and whether it may run: service,
// key, workspace, and the workspace's rate.
package admitter

import (
	"net"
	"net/http"
	"path"
	"strings"
	"time"

	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/marker"
)

// Shares is this host's part of the counted limits.
type Shares interface {
	Take(now time.Duration, limit string, n int64) bool
	Wait(now time.Duration, limit string) (time.Duration, bool)
}

// Grant is what a key allows.
type Grant struct {
	workspace *cataloger.Workspace
	limit     string // name of the workspace's rate
}

// Workspace returns the key's workspace.
func (g *Grant) Workspace() *cataloger.Workspace { return g.workspace }

// Limit returns the name of the workspace's rate.
func (g *Grant) Limit() string { return g.limit }

// Table answers whom a key belongs to, under one configuration.
type Table struct {
	catalog *cataloger.Catalog
	grants  map[cataloger.KeyHash]*Grant
}

// LimitName returns the name of the rate that all hosts share for a workspace.
func LimitName(workspace string) string { return "rate/" + workspace }

// NewTable returns the table of a configuration.
func NewTable(catalog *cataloger.Catalog) *Table {
	t := &Table{catalog: catalog, grants: map[cataloger.KeyHash]*Grant{}}
	for _, key := range catalog.Keys() {
		workspace := catalog.Workspace(key.Workspace())
		t.grants[key.Hash()] = &Grant{workspace: workspace, limit: LimitName(workspace.Name())}
	}
	return t
}

// Valid reports whether a key is in force.
func (t *Table) Valid(hash cataloger.KeyHash) bool { return t.grants[hash] != nil }

// Admission is a request that was identified.
type Admission struct {
	service *cataloger.Service
	grant   *Grant // nil on open routes
	key     string // as presented; must not leave the host
	hash    cataloger.KeyHash
}

// Service returns the service called.
func (a *Admission) Service() *cataloger.Service { return a.service }

// Grant returns what the key allows, or nil on an open route.
func (a *Admission) Grant() *Grant { return a.grant }

// Key returns the key as presented, for stripping.
func (a *Admission) Key() string { return a.key }

// Workspace returns the workspace's name, or "" on an open route.
func (a *Admission) Workspace() string {
	if a.grant == nil {
		return ""
	}
	return a.grant.workspace.Name()
}

// Weight returns the workspace's weight in queues.
func (a *Admission) Weight() int {
	if a.grant == nil {
		return 1
	}
	return a.grant.workspace.Weight()
}

// InForce reports whether the admission still holds under a later table.
func (a *Admission) InForce(t *Table) bool {
	return a.grant == nil || t.Valid(a.hash)
}

// Identify finds the service and workspace of a request.
func (t *Table) Identify(r *http.Request) (*Admission, *Refusal) {
	key, refusal := presented(r)
	if refusal != nil {
		return nil, refusal
	}
	service := t.catalog.Service(serviceName(r))
	if service == nil {
		return nil, NotRun(http.StatusNotFound, marker.ReasonNoService, "the service does not exist", 0)
	}
	a := &Admission{service: service, key: key}
	// A path with dot segments could name an open route here and another one at
	// the backend server.
	if service.Open(r.URL.Path) && plain(r.URL.Path) {
		return a, nil
	}
	if key == "" {
		return nil, NotRun(http.StatusUnauthorized, marker.ReasonNoKey, "a key is required", 0)
	}
	a.hash = cataloger.HashKey(key)
	a.grant = t.grants[a.hash]
	if a.grant == nil {
		return nil, NotRun(http.StatusUnauthorized, marker.ReasonKeyUnknown, "the key is not in force", 0)
	}
	if !a.grant.workspace.MayCall(service.Name()) {
		return nil, NotRun(http.StatusForbidden, marker.ReasonForbidden, "the workspace may not call this service", 0)
	}
	return a, nil
}

func serviceName(r *http.Request) string {
	if name := r.Header.Get(marker.Service); name != "" {
		return name
	}
	host := r.Host
	if bare, _, err := net.SplitHostPort(host); err == nil {
		host = bare
	}
	label, _, _ := strings.Cut(host, ".")
	return label
}

// plain reports whether a path has no dot segments or doubled slashes.
func plain(p string) bool {
	clean := path.Clean(p)
	return clean == p || clean+"/" == p
}
