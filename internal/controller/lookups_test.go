package controller

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// An answer holds at most 64 hosts, and each host is in exactly one answer.
func TestEachHostIsInOneLookupAnswer(t *testing.T) {
	for _, hosts := range []int{0, 1, 64, 65, 191, 2300} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			is := is.New(t)
			var addresses []string
			for i := range hosts {
				addresses = append(addresses, fmt.Sprintf("10.0.%d.%d:80", i/250, i%250))
			}
			named := map[string]int{}
			for _, list := range splitAddresses(addresses) {
				is.True(len(list) <= maxLookupHosts)
				is.True(len(list) >= hosts/(hosts/maxLookupHosts+1)-1) // a short list would concentrate its callers on few hosts
				for _, address := range list {
					named[address]++
				}
			}
			is.Equal(len(named), hosts)
			for _, count := range named {
				is.Equal(count, 1)
			}
		})
	}
}
