package parser

import (
	"time"

	"magnoliahill.example/magnoliahill/internal/decoder"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

func parseMove(m *decoder.Mapping) cataloger.Items {
	name := m.Required("move")
	service := m.Required("service")
	from := m.Required("from")
	to := m.Required("to")
	if from == to {
		m.AddProblem("to", "the move ends in the region %q it starts from", from)
	}
	move := cataloger.NewMove(
		origin(m), name, service, from, to,
		m.Float("target", 1, 0, 1),
		m.Float("step", 0.1, 0.001, 1),
		m.Duration("interval", 10*time.Second, 100*time.Millisecond, 24*time.Hour),
		m.Duration("promise", cataloger.DefaultLatencyTarget, time.Millisecond, maxTimeout),
	)
	return cataloger.Items{Moves: []*cataloger.Move{move}}
}
