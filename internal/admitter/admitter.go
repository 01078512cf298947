// Package admitter identifies the service and workspace of an incoming request,
// checks its key, and names the rate limit that the request counts against.
package admitter

import (
	"net"
	"net/http"
	"path"
	"strings"

	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/header"
)

// Grant holds what a key gives access to.
type Grant struct {
	workspace *cataloger.Workspace
	rateLimit string // name of the workspace's rate limit
}

// Workspace returns the key's workspace.
func (g *Grant) Workspace() *cataloger.Workspace { return g.workspace }

// Limit returns the name of the workspace's rate limit.
func (g *Grant) Limit() string { return g.rateLimit }

// KeyTable maps key hashes to grants for one configuration.
type KeyTable struct {
	catalog *cataloger.Catalog
	grants  map[cataloger.KeyHash]*Grant
}

// LimitName returns the name of the rate limit that all hosts share for a
// workspace.
func LimitName(workspace string) string { return "rate/" + workspace }

// NewKeyTable returns a table of all keys in a configuration.
func NewKeyTable(catalog *cataloger.Catalog) *KeyTable {
	t := &KeyTable{catalog: catalog, grants: map[cataloger.KeyHash]*Grant{}}
	for _, key := range catalog.Keys() {
		workspace := catalog.Workspace(key.Workspace())
		t.grants[key.Hash()] = &Grant{workspace: workspace, rateLimit: LimitName(workspace.Name())}
	}
	return t
}

// Valid reports whether the configuration contains the key.
func (t *KeyTable) Valid(hash cataloger.KeyHash) bool { return t.grants[hash] != nil }

// Admission holds the service, key and grant of an identified request.
type Admission struct {
	service *cataloger.Service
	grant   *Grant // nil on open routes
	key     string // as the caller sent it; must not be forwarded
	hash    cataloger.KeyHash
}

// Service returns the requested service.
func (a *Admission) Service() *cataloger.Service { return a.service }

// Grant returns the grant of the key, or nil on an open route.
func (a *Admission) Grant() *Grant { return a.grant }

// Key returns the key as the caller sent it, so that it can be removed from the
// forwarded request. It is "" when an open route was called without a key.
func (a *Admission) Key() string { return a.key }

// Workspace returns the workspace's name, or "" on an open route.
func (a *Admission) Workspace() string {
	if a.grant == nil {
		return ""
	}
	return a.grant.workspace.Name()
}

// Weight returns the workspace's weight in queues, or 1 on an open route.
func (a *Admission) Weight() int {
	if a.grant == nil {
		return 1
	}
	return a.grant.workspace.Weight()
}

// StillValid reports whether the key of the admission is still valid in a later
// table. An admission on an open route is always valid.
func (a *Admission) StillValid(t *KeyTable) bool {
	return a.grant == nil || t.Valid(a.hash)
}

// Identify returns the service and grant of a request, or a refusal when the
// service does not exist, the key is missing, malformed or unknown, or the
// workspace may not call the service.
func (t *KeyTable) Identify(r *http.Request) (*Admission, *Refusal) {
	key, refusal := keyFromRequest(r)
	if refusal != nil {
		return nil, refusal
	}
	service := t.catalog.Service(serviceName(r))
	if service == nil {
		return nil, RefuseNotRun(http.StatusNotFound, header.ReasonServiceUnknown, "the service does not exist", 0)
	}
	a := &Admission{service: service, key: key}
	// A path with dot segments could match an open route here and a different
	// route at the backend server.
	if service.IsPublic(r.URL.Path) && isCleanPath(r.URL.Path) {
		return a, nil
	}
	if key == "" {
		return nil, RefuseNotRun(http.StatusUnauthorized, header.ReasonNoKey, "a key is required", 0)
	}
	a.hash = cataloger.HashKey(key)
	a.grant = t.grants[a.hash]
	if a.grant == nil {
		return nil, RefuseNotRun(http.StatusUnauthorized, header.ReasonKeyUnknown, "the key is not in force", 0)
	}
	if !a.grant.workspace.MayCall(service.Name()) {
		return nil, RefuseNotRun(http.StatusForbidden, header.ReasonWorkspaceNotAllowed, "the workspace may not call this service", 0)
	}
	return a, nil
}

// serviceName returns the service header, or the first label of the host name
// when the header is absent.
func serviceName(r *http.Request) string {
	if name := r.Header.Get(header.Service); name != "" {
		return name
	}
	host := r.Host
	if bare, _, err := net.SplitHostPort(host); err == nil {
		host = bare
	}
	label, _, _ := strings.Cut(host, ".")
	return label
}

// isCleanPath reports whether a path has no dot segments or repeated slashes.
func isCleanPath(p string) bool {
	clean := path.Clean(p)
	return clean == p || clean+"/" == p
}
