package parser

import (
	"time"

	"magnoliahill.example/magnoliahill/internal/decoder"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

const (
	maxLinkMbits   = 10_000_000
	bytesPerMbit   = 1_000_000 / 8
	maxLinkLatency = 10 * time.Second
)

func parseTopology(m *decoder.Mapping) cataloger.Items {
	var parts cataloger.Items
	for _, region := range m.Mappings("regions") {
		parts.Regions = append(parts.Regions, parseRegion(region))
	}
	for _, link := range m.Mappings("links") {
		parts.Links = append(parts.Links, parseLink(link))
	}
	return parts
}

func parseRegion(m *decoder.Mapping) *cataloger.Region {
	name := m.Required("name")
	zones := m.Strings("zones")
	if len(zones) == 0 {
		m.AddProblem("zones", "at least one availability zone is required")
	}
	return cataloger.NewRegion(origin(m), name, zones)
}

func parseLink(m *decoder.Mapping) *cataloger.Link {
	ends := m.Strings("between")
	if len(ends) != 2 {
		m.AddProblem("between", "expected two regions, found %d", len(ends))
		ends = []string{"", ""}
	}
	mbits := m.Int("capacity-mbits", 1000, 1, maxLinkMbits)
	latency := m.Duration("latency", 20*time.Millisecond, 0, maxLinkLatency)
	return cataloger.NewLink(origin(m), ends[0], ends[1], int64(mbits)*bytesPerMbit, latency)
}
