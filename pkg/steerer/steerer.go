// Package steerer selects the entry hosts that a caller should use. Responses are
// encoded in advance, so that a look-up takes two index operations and does not
// allocate.
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
	slotCount = 256 // workspaces in one slot get the same order of hosts
	maxHosts  = 4   // entry hosts in one response
)

// hostWeights are the weights of the hosts of a response, in order. The first
// host gets most of a workspace's requests, so that it also holds the share of
// the rate limit that they need.
var hostWeights = [maxHosts]int{100, 10, 1, 1}

// lookupHost is one host of a look-up response on the wire.
type lookupHost struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Weight  int    `json:"weight"`
}

// lookupResponse is a look-up response on the wire.
type lookupResponse struct {
	Hosts []lookupHost `json:"hosts"`
	TTLMs int64        `json:"ttl_ms"`
}

// Distance returns the distance between two zones. Nearer zones have a smaller
// distance.
type Distance func(from, to string) time.Duration

// HostTable holds the encoded responses to all look-ups, for one set of live hosts.
type HostTable struct {
	byZone map[string]*[slotCount][]byte
}

// BuildHostTable encodes the responses for callers near each zone, which expire
// after ttl. Hosts that are leaving are omitted unless no host is serving.
func BuildHostTable(zones []string, hosts []tracker.Host, distance Distance, ttl time.Duration) *HostTable {
	t := &HostTable{byZone: make(map[string]*[slotCount][]byte, len(zones))}
	rankings := rankZones(servingHosts(hosts))
	for _, zone := range zones {
		t.byZone[zone] = buildResponses(zone, rankings, distance, ttl)
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

// ranking holds the highest-ranked hosts of one zone for each slot.
type ranking [slotCount][]tracker.Host

// rankZones ranks the hosts of each zone for each slot.
func rankZones(hosts []tracker.Host) map[string]*ranking {
	byZone := map[string][]tracker.Host{}
	for _, host := range hosts {
		byZone[host.Zone] = append(byZone[host.Zone], host)
	}
	rankings := make(map[string]*ranking, len(byZone))
	for zone, members := range byZone {
		r := &ranking{}
		for slot := range slotCount {
			ranked := tracker.Rank("slot/"+strconv.Itoa(slot), members)
			r[slot] = ranked[:min(maxHosts, len(ranked))]
		}
		rankings[zone] = r
	}
	return rankings
}

func buildResponses(zone string, rankings map[string]*ranking, distance Distance, ttl time.Duration) *[slotCount][]byte {
	zonesByDistance := make([]string, 0, len(rankings))
	for other := range rankings {
		zonesByDistance = append(zonesByDistance, other)
	}
	sort.Slice(zonesByDistance, func(i, j int) bool {
		a, b := distance(zone, zonesByDistance[i]), distance(zone, zonesByDistance[j])
		if a != b {
			return a < b
		}
		return zonesByDistance[i] < zonesByDistance[j]
	})
	var responses [slotCount][]byte
	for slot := range slotCount {
		var chosen []tracker.Host
		for _, other := range zonesByDistance {
			if len(chosen) >= maxHosts {
				break
			}
			chosen = append(chosen, rankings[other][slot]...)
		}
		responses[slot] = encode(chosen[:min(maxHosts, len(chosen))], ttl)
	}
	return &responses
}

func encode(hosts []tracker.Host, ttl time.Duration) []byte {
	response := lookupResponse{Hosts: []lookupHost{}, TTLMs: ttl.Milliseconds()}
	for i, host := range hosts {
		response.Hosts = append(response.Hosts, lookupHost{
			Address: host.Data, Zone: host.Zone, Weight: hostWeights[i],
		})
	}
	data, err := json.Marshal(response)
	if err != nil {
		return []byte(`{"hosts":[],"ttl_ms":0}`)
	}
	return append(data, '\n')
}

// Response returns the encoded response for a workspace's callers near a zone, or
// nil when the zone is unknown. The bytes must not be changed.
func (t *HostTable) Response(zone, workspace string) []byte {
	responses := t.byZone[zone]
	if responses == nil {
		return nil
	}
	return responses[xxhash.Sum64String(workspace)%slotCount]
}
