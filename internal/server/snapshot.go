package server

import (
	"magnoliahill.example/magnoliahill/internal/admitter"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/steerer"
)

// snapshot is the state that the request path reads. It is immutable once
// published; the control loop replaces it as a whole.
type snapshot struct {
	catalog  *cataloger.Catalog // nil before the first configuration
	keyTable *admitter.KeyTable // nil before the first configuration
	pools    map[string]*pool   // by service
	lookup   *steerer.HostTable
	blocks   *steerer.SiteTable // nil before the first configuration
	phase    phase
}

// phase is how the host treats new requests.
type phase int

const (
	starting  phase = iota // refuses requests: no configuration yet
	serving                // serves requests and is listed in look-ups
	leaving                // serves requests, but asks callers to close their connections
	finishing              // refuses new requests and finishes running ones
)
