package cataloger

import (
	"crypto/sha256"
	"encoding/hex"
)

// Workspace is one tenant. Its rate and burst are limits over all hosts together.
type Workspace struct {
	Origin
	name        string
	services    []string // names of the services it may call; each exists
	rate        float64  // requests per second over all hosts; 0 means no limit
	burst       float64  // requests admitted at once over all hosts; at least 1
	weight      int      // against other workspaces when capacity is short; at least 1
	priority    int      // takes precedence over the priority of a route; 0 is the most urgent
	hasPriority bool     // priority is set
	homeRegions []string // regions that its requests may be executed in; empty means all
}

// WorkspaceOption sets one property of a workspace under construction.
type WorkspaceOption func(*Workspace)

// WithHomeRegions sets the regions that the workspace's requests may be executed
// in.
func WithHomeRegions(regions []string) WorkspaceOption {
	return func(w *Workspace) { w.homeRegions = regions }
}

// WithPriority sets a priority that takes precedence over those of routes; 0 is
// the most urgent.
func WithPriority(priority int) WorkspaceOption {
	return func(w *Workspace) { w.priority, w.hasPriority = priority, true }
}

// NewWorkspace returns a workspace with its rate in requests per second and its
// burst in requests. A rate of 0 means no limit.
func NewWorkspace(origin Origin, name string, services []string, rate, burst float64, weight int, options ...WorkspaceOption) *Workspace {
	w := &Workspace{Origin: origin, name: name, services: services, rate: rate, burst: burst, weight: weight}
	for _, option := range options {
		option(w)
	}
	return w
}

// HomeRegions returns the regions that its requests may be executed in; an empty
// list means all.
func (w *Workspace) HomeRegions() []string { return w.homeRegions }

// Priority returns the workspace's priority, and false when none is set and those
// of the routes apply.
func (w *Workspace) Priority() (int, bool) { return w.priority, w.hasPriority }

// Name returns the workspace's name.
func (w *Workspace) Name() string { return w.name }

// Services returns the names of the services it may call.
func (w *Workspace) Services() []string { return w.services }

// Rate returns the limit in requests per second over all hosts; 0 means no limit.
func (w *Workspace) Rate() float64 { return w.rate }

// Burst returns how many requests are admitted at once over all hosts.
func (w *Workspace) Burst() float64 { return w.burst }

// Weight returns its weight against other workspaces when capacity is short.
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

// KeyHash is the SHA-256 hash of a key's text. Keys themselves are never stored.
type KeyHash [sha256.Size]byte

// HashKey returns the hash that a key is looked up by.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String returns the hash in hexadecimal.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

// Key is one credential of a workspace. A revoked key is removed from the
// configuration, so every key in a catalog is valid.
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

// ID returns the identifier of the key that operators see; it is not secret.
func (k *Key) ID() string { return k.id }

// Hash returns the hash of the key.
func (k *Key) Hash() KeyHash { return k.hash }

// Workspace returns the name of the workspace that the key belongs to.
func (k *Key) Workspace() string { return k.workspace }
