package placer

import "magnoliahill.example/magnoliahill/pkg/registrar"

// Leaving returns the backend servers that said in an answer to this or another host
// that they leave, and that are still registered as ready.
func (p *Placer) Leaving() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.leaveKnown {
		return nil
	}
	p.leaveKnown = false
	var ids []string
	for _, s := range p.list {
		p.leaveKnown = p.leaveKnown || s.leaving
		if s.leaving && s.State() == registrar.Ready {
			ids = append(ids, s.ID())
		}
	}
	return ids
}

// ApplyLeaving applies that backend servers told another host that they leave. Unknown
// ones are ignored. It returns those that this host did not know to leave.
func (p *Placer) ApplyLeaving(ids []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var added []string
	for _, id := range ids {
		if s := p.servers[id]; s != nil && !s.leaving {
			s.leaving, p.leaveKnown = true, true
			added = append(added, id)
		}
	}
	if len(added) > 0 {
		p.rebuildPools(p.services)
	}
	return added
}

// markLeaving takes a server out of its pool. Requests that it runs are not affected.
func (p *Placer) markLeaving(s *server) {
	if !s.leaving {
		s.leaving, p.leaveKnown = true, true
		p.rebuildPools(p.services)
	}
}
