package placer

import (
	"cmp"
	"slices"
	"time"

	"magnoliahill.example/magnoliahill/pkg/registrar"
)

// Endpoint is a backend server and its address.
type Endpoint struct {
	ID      string
	Address string // host:port
}

// Reachable returns up to n backend servers that this host can probably reach, the most
// probable first: those that are not ejected, by their latest response. The server with
// the given ID is left out.
func (p *Placer) Reachable(now time.Duration, except string, n int) []Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	var others []*server
	for id, s := range p.servers {
		if id != except {
			others = append(others, s)
		}
	}
	slices.SortFunc(others, func(a, b *server) int {
		return cmp.Or(cmp.Compare(max(a.ejectedUntil, now), max(b.ejectedUntil, now)), cmp.Compare(b.respondedAt, a.respondedAt))
	})
	endpoints := make([]Endpoint, 0, n)
	for _, s := range others[:min(n, len(others))] {
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
