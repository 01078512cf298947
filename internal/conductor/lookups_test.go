package conductor

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// An answer names no more than 64 hosts; over all answers each host is named
// once.
func TestAllHostsOfALargeRegionAreNamed(t *testing.T) {
	for _, hosts := range []int{0, 1, 64, 65, 191, 2300} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			is := is.New(t)
			var addresses []string
			for i := range hosts {
				addresses = append(addresses, fmt.Sprintf("10.0.%d.%d:80", i/250, i%250))
			}
			named := map[string]int{}
			for _, list := range split(addresses) {
				is.True(len(list) <= maxLookupHosts)
				is.True(len(list) >= hosts/(hosts/maxLookupHosts+1)-1) // callers of a short list would press on few hosts
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
