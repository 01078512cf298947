package placer

import (
	"cmp"
	"math/rand/v2"
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
	sortReachable(now, others)
	return endpoints(others, n)
}

// CheckTargets returns up to n ready backend servers of a service by which to check
// whether this host reaches it: those that it can most probably reach, or a random
// choice.
func (p *Placer) CheckTargets(now time.Duration, service string, n int, random bool) []Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ready []*server
	for _, s := range p.servers {
		if s.Service() == service && s.State() == registrar.Ready {
			ready = append(ready, s)
		}
	}
	rand.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
	if !random {
		sortReachable(now, ready)
	}
	return endpoints(ready, n)
}

// sortReachable moves the servers that this host can most probably reach to the front.
func sortReachable(now time.Duration, servers []*server) {
	slices.SortStableFunc(servers, func(a, b *server) int {
		return cmp.Or(cmp.Compare(max(a.ejectedUntil, now), max(b.ejectedUntil, now)), cmp.Compare(b.respondedAt, a.respondedAt))
	})
}

func endpoints(servers []*server, n int) []Endpoint {
	list := make([]Endpoint, 0, n)
	for _, s := range servers[:min(n, len(servers))] {
		list = append(list, Endpoint{ID: s.ID(), Address: s.Address()})
	}
	return list
}

const (
	silenceAge     = 300 * time.Millisecond // of an open attempt that counts as silent
	silenceTime    = 400 * time.Millisecond // without a response of any backend server of the service
	minSilentCount = 2                      // backend servers with silent attempts
)

// SilentServices returns the services of which no backend server has responded for a
// while, although requests run at several of them.
func (p *Placer) SilentServices(now time.Duration) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	silent := map[string]int{}
	for _, s := range p.list {
		if len(s.openAttempts) > 0 && now-s.openAttempts[0].pick.began >= silenceAge {
			silent[s.Service()]++
		}
	}
	if len(silent) == 0 {
		return nil
	}
	respondedAt := map[string]time.Duration{}
	for _, s := range p.list {
		respondedAt[s.Service()] = max(respondedAt[s.Service()], s.respondedAt)
	}
	var services []string
	for service, count := range silent {
		if count >= minSilentCount && now-respondedAt[service] >= silenceTime {
			services = append(services, service)
		}
	}
	return services
}

// RespondedSince reports whether any backend server of a service has responded to this
// host since a time.
func (p *Placer) RespondedSince(since time.Duration, service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.Service() == service && s.respondedAt > 0 && s.respondedAt >= since {
			return true
		}
	}
	return false
}

// ServiceNames returns the services that have ready backend servers, sorted.
func (p *Placer) ServiceNames() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for _, s := range p.servers {
		if s.State() == registrar.Ready && !slices.Contains(names, s.Service()) {
			names = append(names, s.Service())
		}
	}
	slices.Sort(names)
	return names
}

// Leaves reports whether the backend server of a pick has announced that it leaves, or
// is not registered any more.
func (p *Placer) Leaves(pick Pick) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[pick.id]
	return s == nil || !s.SameIncarnation(pick.server.Instance) || s.leaving || s.State() != registrar.Ready
}
