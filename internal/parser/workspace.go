package parser

import (
	"encoding/hex"

	"magnoliahill.example/magnoliahill/internal/decoder"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

const (
	minRate   = 0.001     // requests per second
	maxRate   = 1_000_000 // requests per second
	maxBurst  = 1_000_000 // requests
	maxWeight = 1000
)

func parseWorkspace(m *decoder.Mapping) cataloger.Items {
	name := m.Required("workspace")
	if !m.Has("rate") {
		m.AddProblem("rate", "a value is required")
	}
	rate := m.Float("rate", 1, minRate, maxRate)
	workspace := cataloger.NewWorkspace(
		origin(m),
		name,
		m.Strings("services"),
		rate,
		m.Float("burst", max(rate, 1), 1, maxBurst),
		m.Int("weight", 1, 1, maxWeight),
	)
	return cataloger.Items{Workspaces: []*cataloger.Workspace{workspace}}
}

func parseKeys(m *decoder.Mapping) cataloger.Items {
	workspace := m.Required("keys-of")
	var parts cataloger.Items
	for _, entry := range m.Mappings("keys") {
		id := entry.Required("id")
		hash := parseHash(entry)
		parts.Keys = append(parts.Keys, cataloger.NewKey(origin(entry), id, hash, workspace))
	}
	return parts
}

func parseHash(m *decoder.Mapping) cataloger.KeyHash {
	var hash cataloger.KeyHash
	text := m.Required("sha256")
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(hash) {
		m.AddProblem("sha256", "expected %d hexadecimal digits", 2*len(hash))
		return hash
	}
	copy(hash[:], raw)
	return hash
}
