package server

import (
	"magnoliahill.example/magnoliahill/internal/admitter"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/steerer"
)

// snapshot is what the request path reads. It never changes once it is visible;
// the control loop replaces it whole.
type snapshot struct {
	catalog *cataloger.Catalog // nil before the first configuration
	table   *admitter.Table    // nil before the first configuration
	pools   map[string]*pool   // by service
	lookup  *steerer.Table
	blocks  *steerer.Blocks // nil before the first configuration
	phase   phase
}

// phase is what the host does with new requests.
type phase int

const (
	starting  phase = iota // refuses: no configuration yet
	serving                // answers and is named in look-ups
	leaving                // answers, but asks callers not to come back
	finishing              // refuses new requests, finishes what runs
)
