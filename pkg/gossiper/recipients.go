package gossiper

import (
	"maps"
	"slices"
	"sort"
	"time"

	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// Recipients returns the hosts to send gossip to when the state of this host has
// changed, ordered by address. The seeds are included while there is no other
// recipient or no other live host.
func (g *Gossiper) Recipients(now time.Duration) []Recipient { return g.recipients(now, false) }

// RoundRecipients returns the hosts to send gossip to in the present round,
// ordered by address: those of Recipients whose turn it is.
func (g *Gossiper) RoundRecipients(now time.Duration) []Recipient { return g.recipients(now, true) }

func (g *Gossiper) recipients(now time.Duration, dueOnly bool) []Recipient {
	fleet, digests := g.view(now), g.tracker.ZoneDigests(now)
	role := fleet.role
	recipients := g.zoneRecipients(fleet.others[g.zone], digests, role)
	for zone, relays := range fleet.relays {
		if role.rank < 0 || dueOnly && !g.due(zone, role) {
			continue
		}
		for _, index := range g.partners(role) {
			if index < len(relays) {
				recipient := g.otherZoneRecipient(relays[index], digests)
				recipient.WithHealthReports = index == 0 && role.rank == 0
				recipients = append(recipients, recipient)
			}
		}
	}
	recipients = append(recipients, g.isolatedRecipients(fleet.others, digests)...)
	if len(recipients) == 0 || g.tracker.LiveCount(now) == 1 {
		for _, seed := range g.seeds {
			recipients = append(recipients, Recipient{Control: seed, OtherZone: true, FullZones: []string{g.zone}})
		}
	}
	sort.Slice(recipients, func(i, j int) bool { return recipients[i].Control < recipients[j].Control })
	return recipients
}

// zoneRecipients returns the other hosts of this host's zone. A relay also tells
// them which hosts other zones have.
func (g *Gossiper) zoneRecipients(hosts []tracker.Host, digests map[string]uint32, role relayRole) []Recipient {
	zones := []string{g.zone}
	if role.rank >= 0 {
		zones = slices.Sorted(maps.Keys(digests))
	}
	recipients := make([]Recipient, 0, len(hosts))
	for _, host := range hosts {
		recipients = append(recipients, Recipient{
			Control: host.Control, Name: host.ID.Name, Zone: g.zone, WithHealthReports: true,
			FullZones: g.differing(host.ID.Name, zones, digests),
		})
	}
	return recipients
}

func (g *Gossiper) otherZoneRecipient(host tracker.Host, digests map[string]uint32) Recipient {
	return Recipient{
		Control: host.Control, Name: host.ID.Name, Zone: host.Zone, OtherZone: true,
		FullZones: g.differing(host.ID.Name, []string{g.zone}, digests),
	}
}

// isolatedRecipients returns the isolated hosts of other zones, which get the
// complete heartbeats of their own zone.
func (g *Gossiper) isolatedRecipients(byZone map[string][]tracker.Host, digests map[string]uint32) []Recipient {
	if len(g.isolated) == 0 {
		return nil
	}
	var recipients []Recipient
	for zone, hosts := range byZone {
		for _, host := range hosts {
			if _, ok := g.isolated[host.ID.Name]; !ok || zone == g.zone {
				continue
			}
			recipient := g.otherZoneRecipient(host, digests)
			recipient.FullZones = []string{g.zone, zone}
			slices.Sort(recipient.FullZones)
			recipients = append(recipients, recipient)
		}
	}
	return recipients
}

// relayRole is a host's place among the relays of its zone.
type relayRole struct {
	rank  int // 0 is the first relay; negative if the host is not a relay
	count int // relays of the zone; at least 1
}

// maxZonesEveryRound is the number of availability zones up to which relays send
// to all zones in every round. The messages grow with its square.
const maxZonesEveryRound = 6

func (g *Gossiper) byTurns() bool { return len(g.regions) > maxZonesEveryRound }

// partners returns the indexes of the relays of each other zone that the host sends
// gossip to in the present round. A zone with a single relay reaches all of them.
func (g *Gossiper) partners(role relayRole) []int {
	switch {
	case role.count > 1:
		return []int{role.rank}
	case g.byTurns():
		return []int{g.rounds % relaysPerZone}
	}
	return []int{0, 1}
}

// due reports whether a relay sends gossip to another zone in the present round.
// With many zones, the relays send to those of other regions by turns.
func (g *Gossiper) due(zone string, role relayRole) bool {
	return !g.byTurns() || g.regions[zone] == g.regions[g.zone] || g.rounds%role.count == role.rank
}

func (g *Gossiper) relayRole(now time.Duration) relayRole { return g.view(now).role }

// IsRelay reports whether this host is a relay, which exchanges gossip with other
// zones.
func (g *Gossiper) IsRelay(now time.Duration) bool { return g.relayRole(now).rank >= 0 }

// RegisteredRank returns the place of this host in the ranking of the registered
// hosts of its zone, live or not; 0 is the first.
func (g *Gossiper) RegisteredRank() int {
	hosts := []tracker.Host{{Heartbeat: tracker.Heartbeat{ID: tracker.HostID{Name: g.self}}}}
	for _, host := range g.registered {
		if host.Zone == g.zone && host.Name != g.self {
			hosts = append(hosts, tracker.Host{Heartbeat: tracker.Heartbeat{ID: tracker.HostID{Name: host.Name}}})
		}
	}
	return slices.IndexFunc(tracker.Rank(zoneRole, hosts), func(h tracker.Host) bool { return h.ID.Name == g.self })
}
