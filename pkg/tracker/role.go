package tracker

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Rank orders hosts for a duty by rendezvous hashing: each host that is added
// or removed changes the order of no others. The result is a new slice.
func Rank(duty string, hosts []Host) []Host {
	ranked := make([]Host, len(hosts))
	copy(ranked, hosts)
	sort.SliceStable(ranked, func(i, j int) bool {
		a, b := weight(duty, ranked[i].ID.Name), weight(duty, ranked[j].ID.Name)
		if a != b {
			return a > b
		}
		return ranked[i].ID.Name < ranked[j].ID.Name
	})
	return ranked
}

// Holds reports whether a host is among the first n for a duty. Views differ
// between hosts, so duties must be safe when more or fewer than n hold one.
func Holds(duty string, hosts []Host, name string, n int) bool {
	for i, host := range Rank(duty, hosts) {
		if i == n {
			return false
		}
		if host.ID.Name == name {
			return true
		}
	}
	return false
}

func weight(duty, host string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(duty)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(host)
	return digest.Sum64()
}
