package greeter

import (
	"sort"
	"time"

	"magnoliahill.example/magnoliahill/pkg/placer"
)

// Evidence holds health reports by the hash of the backend server's id.
type Evidence map[uint32]placer.Evidence

// healthRound collects the health reports of one gossip round and sends them to
// each host once. In each availability zone only the first relay forwards the
// reports of its zone to other zones and theirs to its own, so that none is
// counted twice.
type healthRound struct {
	fromZone, fromOtherZones Evidence        // received since the last round
	toZone, toOtherZones     Evidence        // to be sent in this round
	sent                     map[string]bool // addresses that the reports of this round were sent to
}

func newHealthRound() healthRound {
	return healthRound{fromZone: Evidence{}, fromOtherZones: Evidence{}, sent: map[string]bool{}}
}

// Round starts a gossip round with the health reports of this host's own
// attempts and, on the first relay, the reports to forward. Other zones get only
// the reports of impaired backend servers.
func (g *Greeter) Round(now time.Duration, own Evidence) {
	toZone, toOtherZones := Evidence{}, Evidence{}
	toZone.add(own)
	if g.elected(now, 1) {
		toZone.add(g.round.fromOtherZones)
		toOtherZones.add(own)
		toOtherZones.add(g.round.fromZone)
	}
	g.round = newHealthRound()
	g.round.toZone = toZone.mostAttempted(func(placer.Evidence) bool { return true })
	g.round.toOtherZones = toOtherZones.mostAttempted(func(e placer.Evidence) bool { return e.Impaired })
}

// HeardEvidence adds the health reports that a host of a zone sent.
func (g *Greeter) HeardEvidence(zone string, reports Evidence) {
	if zone == g.zone {
		g.round.fromZone.add(reports)
	} else {
		g.round.fromOtherZones.add(reports)
	}
}

// Evidence returns the health reports to send to a host, or nil when it has got
// them in this round or is to get none.
func (g *Greeter) Evidence(recipient Letter) Evidence {
	if !recipient.Tells || g.round.sent[recipient.Control] {
		return nil
	}
	g.round.sent[recipient.Control] = true
	if recipient.Foreign {
		return g.round.toOtherZones
	}
	return g.round.toZone
}

func (e Evidence) add(other Evidence) {
	for hash, report := range other {
		e[hash] = e[hash].Add(report)
	}
}

// mostAttempted returns the included health reports, limited to the backend
// servers with the most attempts.
func (e Evidence) mostAttempted(include func(placer.Evidence) bool) Evidence {
	hashes := make([]uint32, 0, len(e))
	for hash, report := range e {
		if include(report) {
			hashes = append(hashes, hash)
		}
	}
	sort.Slice(hashes, func(i, j int) bool {
		a, b := e[hashes[i]].Tries, e[hashes[j]].Tries
		return a > b || a == b && hashes[i] < hashes[j]
	})
	chosen := make(Evidence, len(hashes))
	for _, hash := range hashes[:min(maxBackendServers, len(hashes))] {
		chosen[hash] = e[hash]
	}
	return chosen
}
