package cataloger

import (
	"crypto/sha256"
	"encoding/hex"
)

// Workspace is one tenant, held to its rate and burst over all hosts together.
type Workspace struct {
	Origin
	name     string
	services []string // names of the services it may call; each exists
	rate     float64  // requests a second over all hosts; 0 for no limit
	burst    float64  // requests admitted at once over all hosts; at least 1
	weight   int      // share of scarce capacity against other workspaces; at least 1
	priority int      // rank that goes before a route's; 0 is the most urgent
	ranked   bool     // priority is set
	homes    []string // regions its requests may run in; empty means all
}

// WorkspaceOption sets one property of a workspace under construction.
type WorkspaceOption func(*Workspace)

// WithHomes sets the regions that the workspace's requests may run in.
func WithHomes(regions []string) WorkspaceOption {
	return func(w *Workspace) { w.homes = regions }
}

// WithPriority sets a rank that goes before that of routes; 0 is the most
// urgent.
func WithPriority(priority int) WorkspaceOption {
	return func(w *Workspace) { w.priority, w.ranked = priority, true }
}

// NewWorkspace returns a tenant with its rate in requests a second and burst in
// requests. A rate of 0 means no limit.
func NewWorkspace(origin Origin, name string, services []string, rate, burst float64, weight int, options ...WorkspaceOption) *Workspace {
	w := &Workspace{Origin: origin, name: name, services: services, rate: rate, burst: burst, weight: weight}
	for _, option := range options {
		option(w)
	}
	return w
}

// Homes returns the regions its requests may run in, or none for all.
func (w *Workspace) Homes() []string { return w.homes }

// Priority returns the workspace's rank, and false when routes' own ranks hold.
func (w *Workspace) Priority() (int, bool) { return w.priority, w.ranked }

// Name returns the workspace's name.
func (w *Workspace) Name() string { return w.name }

// Services returns the names of the services it may call.
func (w *Workspace) Services() []string { return w.services }

// Rate returns requests a second over all hosts.
func (w *Workspace) Rate() float64 { return w.rate }

// Burst returns the requests admitted at once over all hosts.
func (w *Workspace) Burst() float64 { return w.burst }

// Weight returns its share of scarce capacity against other workspaces.
func (w *Workspace) Weight() int { return w.weight }

// MayCall reports whether the workspace may call a service.
func (w *Workspace) MayCall(service string) bool {
	for _, name := range w.services {
		if name == service {
			return true
		}
	}
	return false
}

// KeyHash is the SHA-256 of a key's text. Keys themselves are never kept.
type KeyHash [sha256.Size]byte

// HashKey returns the hash that a key is looked up by.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String returns the hash in hexadecimal.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// Key is one credential of a workspace. A withdrawn key is removed from the
// configuration, so every key held is in force.
type Key struct {
	Origin
	id        string // shown to operators; not secret
	hash      KeyHash
	workspace string
}

// NewKey returns a credential of a workspace.
func NewKey(origin Origin, id string, hash KeyHash, workspace string) *Key {
	return &Key{Origin: origin, id: id, hash: hash, workspace: workspace}
}

// ID returns the name operators know the key by.
func (k *Key) ID() string { return k.id }

// Hash returns the key's hash.
func (k *Key) Hash() KeyHash { return k.hash }

// Workspace returns the name of the workspace it admits to.
func (k *Key) Workspace() string { return k.workspace }
