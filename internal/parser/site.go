package parser

import (
	"net/netip"

	"magnoliahill.example/magnoliahill/internal/decoder"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

func parseSite(m *decoder.Mapping) cataloger.Items {
	name := m.Required("site")
	zone := m.Required("zone")
	var blocks []netip.Prefix
	for _, text := range m.Strings("blocks") {
		block, err := netip.ParsePrefix(text)
		if err != nil {
			m.AddProblem("blocks", "%q is not an address block such as 10.1.0.0/16", text)
			continue
		}
		if block != block.Masked() {
			m.AddProblem("blocks", "%q has bits set after its prefix length; expected %s", text, block.Masked())
		}
		blocks = append(blocks, block)
	}
	return cataloger.Items{Sites: []*cataloger.Site{cataloger.NewSite(origin(m), name, zone, blocks)}}
}
