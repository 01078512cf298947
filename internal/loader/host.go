package loader

import "magnoliahill.example/magnoliahill/internal/decoder"

// Host is the settings section for the identity of the daemon's host.
type Host struct {
	name string
	zone string
}

// Name returns the host's name, which is unique in the fleet.
func (h Host) Name() string { return h.name }

// Zone returns the host's availability zone.
func (h Host) Zone() string { return h.zone }

func readHost(m *decoder.Mapping) Host {
	return Host{name: m.Required("name"), zone: m.Required("zone")}
}
