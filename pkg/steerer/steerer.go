// Package steerer answers which entry hosts a caller should use. Answers are
// made ahead, so that a look-up is two index operations and no allocation.
package steerer

import (
	"encoding/json"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	slots    = 256 // workspaces with the same slot get the same order of hosts
	maxHosts = 4   // entry hosts in one answer
)

// weights of the hosts of an answer, in order. The first host takes most of a
// workspace's work, so that its share of the rate lives where demand arrives.
var weights = [maxHosts]int{100, 10, 1, 1}

// entryCodec is one host of an answer on the wire.
type entryCodec struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Weight  int    `json:"weight"`
}

// answerCodec is an answer on the wire.
type answerCodec struct {
	Hosts []entryCodec `json:"hosts"`
	TTLMs int64        `json:"ttl_ms"`
}

// Distance orders zones as seen from a zone; nearer is smaller.
type Distance func(from, to string) time.Duration

// Table holds the answers to all look-ups for one view of the live hosts.
type Table struct {
	zones map[string]*[slots][]byte
}

// Build makes the answers for callers near each zone. Leaving hosts are left
// out as long as a serving one is known.
func Build(zones []string, hosts []tracker.Host, distance Distance, ttl time.Duration) *Table {
	t := &Table{zones: make(map[string]*[slots][]byte, len(zones))}
	rankings := rankZones(servingHosts(hosts))
	for _, zone := range zones {
		t.zones[zone] = buildZone(zone, rankings, distance, ttl)
	}
	return t
}

func servingHosts(hosts []tracker.Host) []tracker.Host {
	var serving []tracker.Host
	for _, host := range hosts {
		if host.State == tracker.Serving {
			serving = append(serving, host)
		}
	}
	if len(serving) == 0 {
		return hosts
	}
	return serving
}

// ranking holds for each slot the first hosts of one zone.
type ranking [slots][]tracker.Host

// rankZones ranks the hosts of each zone for each slot.
func rankZones(hosts []tracker.Host) map[string]*ranking {
	byZone := map[string][]tracker.Host{}
	for _, host := range hosts {
		byZone[host.Zone] = append(byZone[host.Zone], host)
	}
	rankings := make(map[string]*ranking, len(byZone))
	for zone, members := range byZone {
		r := &ranking{}
		for slot := range slots {
			ranked := tracker.Rank("slot/"+strconv.Itoa(slot), members)
			r[slot] = ranked[:min(maxHosts, len(ranked))]
		}
		rankings[zone] = r
	}
	return rankings
}

func buildZone(zone string, rankings map[string]*ranking, distance Distance, ttl time.Duration) *[slots][]byte {
	near := make([]string, 0, len(rankings))
	for other := range rankings {
		near = append(near, other)
	}
	sort.Slice(near, func(i, j int) bool {
		a, b := distance(zone, near[i]), distance(zone, near[j])
		if a != b {
			return a < b
		}
		return near[i] < near[j]
	})
	var answers [slots][]byte
	for slot := range slots {
		var chosen []tracker.Host
		for _, other := range near {
			if len(chosen) >= maxHosts {
				break
			}
			chosen = append(chosen, rankings[other][slot]...)
		}
		answers[slot] = encode(chosen[:min(maxHosts, len(chosen))], ttl)
	}
	return &answers
}

func encode(hosts []tracker.Host, ttl time.Duration) []byte {
	answer := answerCodec{Hosts: []entryCodec{}, TTLMs: ttl.Milliseconds()}
	for i, host := range hosts {
		answer.Hosts = append(answer.Hosts, entryCodec{
			Address: host.Data, Zone: host.Zone, Weight: weights[i],
		})
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return []byte(`{"hosts":[],"ttl_ms":0}`)
	}
	return append(data, '\n')
}

// Answer returns the hosts for a workspace's callers near a zone, or nil when
// the zone is not known. The bytes must not be changed.
func (t *Table) Answer(zone, workspace string) []byte {
	answers := t.zones[zone]
	if answers == nil {
		return nil
	}
	return answers[xxhash.Sum64String(workspace)%slots]
}
