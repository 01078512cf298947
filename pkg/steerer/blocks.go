package steerer

import (
	"net/netip"
	"slices"

	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

// Blocks finds the site of a client's address by the longest block that holds
// it.
type Blocks struct {
	sites   []*cataloger.Site
	lengths []int // lengths of blocks in use, longest first
	byBlock map[netip.Prefix]uint16
}

// BuildBlocks returns the table of all sites' blocks. At most 65,536 sites are
// told apart.
func BuildBlocks(sites []*cataloger.Site) *Blocks {
	count := 0
	for _, site := range sites {
		count += len(site.Blocks())
	}
	b := &Blocks{sites: sites, byBlock: make(map[netip.Prefix]uint16, count)}
	seen := map[int]bool{}
	for i, site := range sites {
		for _, block := range site.Blocks() {
			b.byBlock[block] = uint16(i)
			if !seen[block.Bits()] {
				seen[block.Bits()] = true
				b.lengths = append(b.lengths, block.Bits())
			}
		}
	}
	slices.Sort(b.lengths)
	slices.Reverse(b.lengths)
	return b
}

// Find returns the site of an address, or nil when no block holds it.
func (b *Blocks) Find(address netip.Addr) *cataloger.Site {
	address = address.Unmap()
	for _, bits := range b.lengths {
		block, err := address.Prefix(bits)
		if err != nil {
			continue // longer than the address
		}
		if site, ok := b.byBlock[block]; ok {
			return b.sites[site]
		}
	}
	return nil
}
