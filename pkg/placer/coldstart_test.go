package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/placer"
	"magnoliahill.example/magnoliahill/pkg/registrar"
)

// While a server starts cold, which few hosts may send to, its objects run at the next
// servers of their order as long as these have free slots, also if the service has
// little room.
func TestColdStartBesideFreeSlots(t *testing.T) {
	is := is.New(t)
	p := placer.New("host-0", placer.Location{Zone: "a1", Region: "a"}, regions, placer.WithRandom(func() float64 { return 0.5 }))
	var hosts []string
	for i := range 60 {
		hosts = append(hosts, fmt.Sprint("host-", i))
	}
	p.SetHosts(hosts)
	all := []registrar.Instance{instance("cold", "a1", registrar.WithColdRemaining(10*time.Second))}
	others := map[string]int{}
	for i := range 7 {
		id := fmt.Sprint("warm-", i)
		all = append(all, instance(id, "a1"))
		others[id] = 7 // of eight slots
	}
	update(p, 0, 1, nil, all...)
	now := time.Duration(0)
	for ; now < 5*time.Second; now += 100 * time.Millisecond {
		p.SetRemoteRunning(now, others)
	}
	refused := 0
	for i := range 200 {
		pick, verdict, _ := p.Choose(now, query(fmt.Sprint(i)))
		if verdict != placer.Chosen {
			refused++
			continue
		}
		p.Done(now, pick, placer.Canceled, placer.Load{})
	}
	t.Logf("refused %d of 200, loads %+v", refused, p.TakeServiceLoads())
	is.Equal(refused, 0)
}
