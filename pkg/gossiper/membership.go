package gossiper

import (
	"maps"
	"slices"
	"time"

	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// Digests holds a hash of the live hosts of each availability zone, by the hash of
// the zone's name, so that hosts find out where their views differ.
type Digests map[uint32]uint32

// isolatedTTL is how long a host that knew no other host gets gossip directly: it
// sends gossip every half second until it knows its zone.
const isolatedTTL = time.Second

// DigestsFor returns the membership digests to send to a recipient: one for each
// zone, or only the one of the recipient's zone if that is another one.
func (g *Gossiper) DigestsFor(now time.Duration, recipient Recipient) Digests {
	digests := Digests{}
	for zone, digest := range g.tracker.ZoneDigests(now) {
		if !recipient.OtherZone || recipient.Zone == "" || zone == recipient.Zone {
			digests[NameHash(zone)] = digest
		}
	}
	return digests
}

// applyDigests stores the digests that a host sent. A host that sends only the
// digest of its own zone, though this host knows others there, is isolated: it
// does not know its neighbours.
func (g *Gossiper) applyDigests(now time.Duration, from, zone string, digests Digests) {
	g.digests[from] = digests
	if zone == g.zone {
		return
	}
	digest, sent := digests[NameHash(zone)]
	if sent && len(digests) == 1 && digest != g.tracker.ZoneDigests(now)[zone] {
		g.isolated[from] = now
	}
}

// forgetUnknown drops the state kept for hosts that the tracker no longer knows.
func (g *Gossiper) forgetUnknown(now time.Duration) {
	for name, at := range g.isolated {
		if now-at >= isolatedTTL {
			delete(g.isolated, name)
		}
	}
	version := g.tracker.Version(now)
	if version == g.forgottenAt {
		return
	}
	g.forgottenAt = version
	known := map[string]bool{}
	for _, host := range g.tracker.Known(now) {
		known[host.ID.Name] = true
	}
	maps.DeleteFunc(g.digests, func(name string, _ Digests) bool { return !known[name] })
	maps.DeleteFunc(g.isolated, func(name string, _ time.Duration) bool { return !known[name] })
	maps.DeleteFunc(g.storeUnreachable, func(name string, _ bool) bool { return !known[name] && name != g.self })
}

// differing returns those of the zones in which a host's view of the live hosts
// differs from the own one, according to the digests that it sent last.
func (g *Gossiper) differing(name string, zones []string, own map[string]uint32) []string {
	var differing []string
	received := g.digests[name]
	for _, zone := range zones {
		digest, ok := received[NameHash(zone)]
		if !ok || digest != own[zone] {
			differing = append(differing, zone)
		}
	}
	return differing
}

// HeartbeatsFor divides the heartbeats that a recipient is to get into complete
// and compact ones. Other zones get those of this host's zone, and so do the hosts
// of this zone unless this host is a relay.
func (g *Gossiper) HeartbeatsFor(now time.Duration, all []tracker.Heartbeat, recipient Recipient) ([]tracker.Heartbeat, []tracker.CompactHeartbeat) {
	ownZoneOnly := recipient.OtherZone || !g.IsRelay(now)
	var full []tracker.Heartbeat
	compact := make([]tracker.CompactHeartbeat, 0, len(all))
	for _, b := range all {
		switch {
		case slices.Contains(recipient.FullZones, b.Zone):
			full = append(full, b)
		case b.Zone == g.zone || !ownZoneOnly:
			compact = append(compact, b.Compact())
		}
	}
	return full, compact
}
