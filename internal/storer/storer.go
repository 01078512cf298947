// Package storer is a client of the platform's object store and host list. It is
// the only package that implements the platform's protocol.
package storer

import (
	"context"

	"github.com/pkg/errors"
)

// Errors of the store, for use with errors.Is.
var (
	ErrNotFound    = errors.New("object does not exist")
	ErrConflict    = errors.New("object was modified concurrently")
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	// The caller has to read the object again to find out.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
	ErrUnchanged      = errors.New("object has not changed")
)

// Object is a stored value with its version.
type Object struct {
	version int64 // increases with each change; 0 for an object that does not exist
	value   []byte
}

// NewObject returns an object with a version and a value.
func NewObject(version int64, value []byte) Object {
	return Object{version: version, value: value}
}

// Version returns the object's version.
func (o Object) Version() int64 { return o.version }

// Value returns the stored bytes. The caller must not modify them.
func (o Object) Value() []byte { return o.value }

// ListedHost is one host in the platform's list, which lags behind the actual state
// of the hosts.
type ListedHost struct {
	id      string
	address string
	zone    string
	leaving bool
}

// NewListedHost returns one host of the platform's list.
func NewListedHost(id, address, zone string, leaving bool) ListedHost {
	return ListedHost{id: id, address: address, zone: zone, leaving: leaving}
}

// ID returns the name that the platform uses for the host.
func (l ListedHost) ID() string { return l.id }

// Address returns the host:port of its control listener.
func (l ListedHost) Address() string { return l.address }

// Zone returns its availability zone.
func (l ListedHost) Zone() string { return l.zone }

// Leaving reports whether the platform is about to remove the host.
func (l ListedHost) Leaving() bool { return l.leaving }

// Store is the part of the platform that the rest of the program uses.
type Store interface {
	// Get returns an object, or ErrNotFound if it does not exist.
	Get(ctx context.Context, key string) (Object, error)
	// Put replaces the object if it still has the given version; 0 means that
	// the object must not exist yet. It returns the new version.
	Put(ctx context.Context, key string, value []byte, version int64) (int64, error)
	// Watch waits until the object's version is above the given one. It
	// returns ErrUnchanged if the wait ends first.
	Watch(ctx context.Context, key string, version int64) (Object, error)
	// Hosts returns the platform's list of hosts, which lags behind their
	// actual state.
	Hosts(ctx context.Context) ([]ListedHost, error)
}
