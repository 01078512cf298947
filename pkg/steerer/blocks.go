package steerer

import (
	"net/netip"
	"slices"

	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

// SiteTable maps client addresses to sites by the longest matching address block.
type SiteTable struct {
	sites         []*cataloger.Site
	prefixLengths []int // of all blocks, longest first
	siteIndexes   map[netip.Prefix]uint16
}

// BuildSiteTable returns the address blocks of all sites. It can distinguish at
// most 65,536 sites.
func BuildSiteTable(sites []*cataloger.Site) *SiteTable {
	count := 0
	for _, site := range sites {
		count += len(site.Blocks())
	}
	b := &SiteTable{sites: sites, siteIndexes: make(map[netip.Prefix]uint16, count)}
	seen := map[int]bool{}
	for i, site := range sites {
		for _, block := range site.Blocks() {
			b.siteIndexes[block] = uint16(i)
			if !seen[block.Bits()] {
				seen[block.Bits()] = true
				b.prefixLengths = append(b.prefixLengths, block.Bits())
			}
		}
	}
	slices.Sort(b.prefixLengths)
	slices.Reverse(b.prefixLengths)
	return b
}

// Find returns the site of an address, or nil when no block contains it.
func (b *SiteTable) Find(address netip.Addr) *cataloger.Site {
	address = address.Unmap()
	for _, bits := range b.prefixLengths {
		block, err := address.Prefix(bits)
		if err != nil {
			continue // the prefix is longer than the address
		}
		if site, ok := b.siteIndexes[block]; ok {
			return b.sites[site]
		}
	}
	return nil
}
