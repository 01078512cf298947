package cataloger

import "net/netip"

// Site is a location that callers are directed to, with the blocks of client
// addresses for which it is the fastest.
type Site struct {
	Origin
	name   string
	zone   string         // availability zone of its entry hosts
	blocks []netip.Prefix // unique over all sites
}

// NewSite returns a site with its blocks of client addresses.
func NewSite(origin Origin, name, zone string, blocks []netip.Prefix) *Site {
	return &Site{Origin: origin, name: name, zone: zone, blocks: blocks}
}

// Name returns the site's name.
func (s *Site) Name() string { return s.name }

// Zone returns the availability zone of its entry hosts.
func (s *Site) Zone() string { return s.zone }

// Blocks returns the blocks of client addresses. The slice must not be changed.
func (s *Site) Blocks() []netip.Prefix { return s.blocks }
