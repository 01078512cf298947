package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/placer"
	"magnoliahill.example/magnoliahill/pkg/registrar"
)

// A host of a large fleet learns the size of a route's exchanges from its own
// responses and keeps large ones in its availability zone, if that has its share of the
// servers.
func TestLargeExchangesStayInTheirZone(t *testing.T) {
	for _, c := range []struct {
		bytes     int64
		near, far int // servers in the host's zone and in another one; there are six zones
		zonal     bool
	}{
		{bytes: 1500, near: 4, far: 4},
		{bytes: 90_000, near: 4, far: 4, zonal: true},
		{bytes: 90_000, near: 1, far: 7}, // less than the zone's share
	} {
		t.Run(fmt.Sprint(c.bytes, " bytes, ", c.near, " near"), func(t *testing.T) {
			is := is.New(t)
			p := placer.New("host-0", placer.Location{Zone: "a1", Region: "a"}, regions)
			var hosts []string
			for i := range 60 {
				hosts = append(hosts, fmt.Sprint("host-", i))
			}
			p.SetHosts(hosts)
			var instances []registrar.Instance
			for i := range c.near {
				instances = append(instances, instance(fmt.Sprint("near-", i), "a1"))
			}
			for i := range c.far {
				instances = append(instances, instance(fmt.Sprint("far-", i), "a2"))
			}
			update(p, 0, 0, nil, instances...)
			now := time.Duration(0)
			elsewhere := 0
			for i := range 300 {
				pick, verdict, _ := p.Choose(now, query(fmt.Sprint(i%40)))
				is.Equal(verdict, placer.Chosen)
				if i >= 200 && pick.ID()[:3] == "far" {
					elsewhere++
				}
				now += 50 * time.Millisecond
				p.Done(now, pick, placer.Answered, placer.Load{Bytes: c.bytes})
			}
			is.Equal(elsewhere == 0, c.zonal)
		})
	}
}
