package gossiper

import (
	"sort"
	"time"

	"magnoliahill.example/magnoliahill/pkg/placer"
)

// HealthReports holds health reports by the hash of the backend server's id.
type HealthReports map[uint32]placer.HealthReport

// healthRound collects the health reports of one gossip round and sends them to
// each host once. In each availability zone only the first relay forwards the
// reports of its zone to other zones and theirs to its own, so that none is
// counted twice.
type healthRound struct {
	fromZone, fromOtherZones HealthReports   // received since the last round
	toZone, toOtherZones     HealthReports   // to be sent in this round
	sent                     map[string]bool // addresses that the reports of this round were sent to
	deferred                 HealthReports   // for other zones, to be sent in the next round
}

func newHealthRound() healthRound {
	return healthRound{fromZone: HealthReports{}, fromOtherZones: HealthReports{}, sent: map[string]bool{}, deferred: HealthReports{}}
}

// StartRound starts a gossip round with the health reports of this host's own
// attempts and, on the first relay, the reports to forward. Other zones get only
// the reports of impaired backend servers, in rounds in which the first relay sends
// to all of them.
func (g *Gossiper) StartRound(now time.Duration, own HealthReports) {
	toZone, toOtherZones := HealthReports{}, HealthReports{}
	toZone.add(own)
	if g.relayRole(now).rank == 0 {
		toZone.add(g.round.fromOtherZones)
		toOtherZones.add(own)
		toOtherZones.add(g.round.fromZone)
	}
	toOtherZones.add(g.round.deferred)
	g.round = newHealthRound()
	g.rounds++
	g.forgetUnknown(now)
	g.round.toZone = toZone.mostAttempted(func(placer.HealthReport) bool { return true })
	impaired := toOtherZones.mostAttempted(func(e placer.HealthReport) bool { return e.Impaired })
	if !g.byTurns() || g.rounds%relaysPerZone == 0 {
		g.round.toOtherZones = impaired
	} else {
		g.round.deferred = impaired
	}
}

// ApplyHealthReports adds the health reports that a host of a zone sent.
func (g *Gossiper) ApplyHealthReports(zone string, reports HealthReports) {
	if zone == g.zone {
		g.round.fromZone.add(reports)
	} else {
		g.round.fromOtherZones.add(reports)
	}
}

// HealthReportsFor returns the health reports to send to a host, or nil when it
// has got them in this round or is to get none.
func (g *Gossiper) HealthReportsFor(recipient Recipient) HealthReports {
	if !recipient.WithHealthReports || g.round.sent[recipient.Control] {
		return nil
	}
	g.round.sent[recipient.Control] = true
	if recipient.OtherZone {
		return g.round.toOtherZones
	}
	return g.round.toZone
}

func (r HealthReports) add(other HealthReports) {
	for hash, report := range other {
		r[hash] = r[hash].Add(report)
	}
}

// mostAttempted returns the included health reports, limited to the backend
// servers with the most attempts.
func (r HealthReports) mostAttempted(include func(placer.HealthReport) bool) HealthReports {
	hashes := make([]uint32, 0, len(r))
	for hash, report := range r {
		if include(report) {
			hashes = append(hashes, hash)
		}
	}
	sort.Slice(hashes, func(i, j int) bool {
		a, b := r[hashes[i]].Attempts, r[hashes[j]].Attempts
		return a > b || a == b && hashes[i] < hashes[j]
	})
	chosen := make(HealthReports, len(hashes))
	for _, hash := range hashes[:min(maxBackendServers, len(hashes))] {
		chosen[hash] = r[hash]
	}
	return chosen
}
