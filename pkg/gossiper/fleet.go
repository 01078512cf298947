package gossiper

import (
	"time"

	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// fleetView is what follows from the live and the registered hosts. It is worked out
// again only when these change: ranking a zone for each message would take a small host
// more time than the message itself.
type fleetView struct {
	version       uint64 // of the tracker; 0 if the view was never worked out
	registrations uint64
	ranked        []tracker.Host            // live hosts of the own zone, by rank
	role          relayRole                 // of this host
	others        map[string][]tracker.Host // all other hosts by zone; those that sent heartbeats come before those only registered
	relays        map[string][]tracker.Host // of each other zone, by rank
}

// view returns the hosts as of a time. Their counters and the ages of their heartbeats
// may be older.
func (g *Gossiper) view(now time.Duration) *fleetView {
	version := g.tracker.Version(now)
	if g.fleet.version == version && g.fleet.registrations == g.registrations {
		return &g.fleet
	}
	live := map[string]bool{}
	var own []tracker.Host
	for _, host := range g.tracker.Live(now) {
		live[host.ID.Name] = true
		if host.Zone == g.zone {
			own = append(own, host)
		}
	}
	next := fleetView{version: version, registrations: g.registrations, others: g.otherHosts(now), relays: map[string][]tracker.Host{}}
	next.ranked = tracker.Rank(zoneRole, own)
	next.role = relayRole{rank: -1, count: min(relaysPerZone, len(own))}
	for i, host := range next.ranked[:next.role.count] {
		if host.ID.Name == g.self {
			next.role.rank = i
		}
	}
	for zone, hosts := range next.others {
		if zone != g.zone {
			next.relays[zone] = relaysAmong(hosts, live)
		}
	}
	g.fleet = next
	return &g.fleet
}

// otherHosts returns all other hosts by zone. In each zone, hosts whose heartbeats
// were received come before those that are only registered.
func (g *Gossiper) otherHosts(now time.Duration) map[string][]tracker.Host {
	hosts := g.tracker.Known(now)
	seen := map[string]bool{g.self: true}
	byZone := map[string][]tracker.Host{}
	for _, host := range hosts {
		seen[host.ID.Name] = true
		byZone[host.Zone] = append(byZone[host.Zone], host)
	}
	for _, host := range g.registered {
		if seen[host.Name] {
			continue
		}
		heartbeat := tracker.Heartbeat{ID: tracker.HostID{Name: host.Name}, Zone: host.Zone, Control: host.Control, Data: host.Data}
		byZone[host.Zone] = append(byZone[host.Zone], tracker.Host{Heartbeat: heartbeat, HeartbeatAge: now})
	}
	return byZone
}

// relaysAmong returns the relays of another zone, elected from its live hosts, or
// from all of its hosts when none is live.
func relaysAmong(hosts []tracker.Host, live map[string]bool) []tracker.Host {
	var candidates []tracker.Host
	for _, host := range hosts {
		if live[host.ID.Name] {
			candidates = append(candidates, host)
		}
	}
	if len(candidates) == 0 {
		candidates = hosts
	}
	ranked := tracker.Rank(zoneRole, candidates)
	return ranked[:min(relaysPerZone, len(ranked))]
}
