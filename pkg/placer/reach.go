package placer

import (
	"cmp"
	"slices"

	"magnoliahill.example/magnoliahill/pkg/registrar"
)

// Endpoint is a backend server and its address.
type Endpoint struct {
	ID      string
	Address string // host:port
}

// Responsive returns up to n backend servers that responded to this host, those that
// did so last first. The server with the given ID is left out.
func (p *Placer) Responsive(except string, n int) []Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	var responsive []*server
	for id, s := range p.servers {
		if id != except && s.respondedAt > 0 {
			responsive = append(responsive, s)
		}
	}
	slices.SortFunc(responsive, func(a, b *server) int { return cmp.Compare(b.respondedAt, a.respondedAt) })
	endpoints := make([]Endpoint, 0, n)
	for _, s := range responsive[:min(n, len(responsive))] {
		endpoints = append(endpoints, Endpoint{ID: s.ID(), Address: s.Address()})
	}
	return endpoints
}

// Leaves reports whether the backend server of a pick has announced that it leaves, or
// is not registered any more.
func (p *Placer) Leaves(pick Pick) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[pick.id]
	return s == nil || !s.SameIncarnation(pick.server.Instance) || s.leaving || s.State() != registrar.Ready
}
