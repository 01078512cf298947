// Package keeper reads and writes the platform's object store and host list.
// It is the only package that knows the platform's protocol.
package keeper

import (
	"context"

	"github.com/pkg/errors"
)

// Errors that a caller can tell apart with errors.Is.
var (
	ErrNotFound    = errors.New("object does not exist")
	ErrConflict    = errors.New("object was changed by someone else")
	ErrUnavailable = errors.New("platform is not available")
	// ErrUnsettled means that a write may or may not have taken effect. Read
	// the object again to find out.
	ErrUnsettled = errors.New("outcome of the write is not known")
	ErrUnchanged = errors.New("object has not changed")
)

// Object is one stored value with its version.
type Object struct {
	version int64 // strictly higher after each change; 0 for an object that does not exist
	value   []byte
}

// NewObject returns a value at a version.
func NewObject(version int64, value []byte) Object {
	return Object{version: version, value: value}
}

// Version returns the object's version.
func (o Object) Version() int64 { return o.version }

// Value returns the stored bytes. They must not be changed.
func (o Object) Value() []byte { return o.value }

// Listing is one host in the platform's list, which lags behind the truth.
type Listing struct {
	id      string
	address string
	zone    string
	leaving bool
}

// NewListing returns one host of the platform's list.
func NewListing(id, address, zone string, leaving bool) Listing {
	return Listing{id: id, address: address, zone: zone, leaving: leaving}
}

// ID returns the platform's name for the host.
func (l Listing) ID() string { return l.id }

// Address returns the host:port of its control listener.
func (l Listing) Address() string { return l.address }

// Zone returns its availability zone.
func (l Listing) Zone() string { return l.zone }

// Leaving reports whether the platform is about to take the host away.
func (l Listing) Leaving() bool { return l.leaving }

// Store is what the rest of the program needs from the platform.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Put replaces the object if it still has the version given; 0 means that
	// it must not exist. It returns the new version.
	Put(ctx context.Context, key string, value []byte, version int64) (int64, error)
	// Watch waits until the object's version is above the one given. It
	// returns ErrUnchanged when the wait ends first.
	Watch(ctx context.Context, key string, version int64) (Object, error)
	// Hosts returns the platform's lagging list.
	Hosts(ctx context.Context) ([]Listing, error)
}
