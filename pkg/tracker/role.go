package tracker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders hosts for a role by rendezvous hashing: adding or removing a host
// does not change the order of the others. The result is a new slice.
func Rank(role string, hosts []Host) []Host {
	order := make([]ranking, len(hosts))
	for i, host := range hosts {
		order[i] = ranking{weight(role, host.ID.Name), i}
	}
	slices.SortStableFunc(order, func(a, b ranking) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(hosts[a.index].ID.Name, hosts[b.index].ID.Name))
	})
	ranked := make([]Host, 0, len(hosts))
	for _, r := range order {
		ranked = append(ranked, hosts[r.index])
	}
	return ranked
}

// First returns the first host of a ranking. There must be one.
func First(role string, hosts []Host) Host {
	first, highest := hosts[0], weight(role, hosts[0].ID.Name)
	for _, host := range hosts[1:] {
		if w := weight(role, host.ID.Name); w > highest || w == highest && host.ID.Name < first.ID.Name {
			first, highest = host, w
		}
	}
	return first
}

type ranking struct {
	weight uint64
	index  int // in the hosts to rank
}

// Elected reports whether a host has a role, as one of the first n in its ranking.
// Hosts may see different members, so a role must be safe when more or fewer than
// n hosts assume that they have it.
func Elected(role string, hosts []Host, name string, n int) bool {
	for i, host := range Rank(role, hosts) {
		if i == n {
			return false
		}
		if host.ID.Name == name {
			return true
		}
	}
	return false
}

func weight(role, host string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(role)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(host)
	return digest.Sum64()
}
