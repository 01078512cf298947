package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/placer"
	"magnoliahill.example/magnoliahill/pkg/registrar"
)

// Objects run at the servers at which they ran with build a92b7fe, which runs beside this
// one in a rolling change: the hosts would else warm every object twice.
func TestObjectsKeepTheirServersOfTheOlderBuild(t *testing.T) {
	is := is.New(t)
	p := placer.New("host-0", placer.Location{Zone: "a1", Region: "a"}, regions)
	var all []registrar.Instance
	for i := range 40 {
		all = append(all, instance(fmt.Sprintf("i-%08x", i*7919), []string{"a1", "a2", "b1", "c2"}[i%4], registrar.WithSlots(1+i%5)))
	}
	update(p, 0, 0, nil, all...)
	digest := xxhash.New()
	for i := range 500 {
		q := query(fmt.Sprint("object-", i%250))
		q.Route = []string{"parcel-lookup", "r"}[i%2]
		pick, verdict, _ := p.Choose(time.Second, q)
		is.Equal(verdict, placer.Chosen)
		_, _ = digest.WriteString(pick.ID() + " ")
		p.Done(time.Second, pick, placer.Canceled, placer.Load{})
	}
	is.Equal(fmt.Sprintf("%016x", digest.Sum64()), "7d1734ca70c81c02")
}

// BenchmarkNewObject measures the choice of a server for an object that the host has not
// seen, with as many servers of its service as fleets of 30, 94 and 300 hosts have.
func BenchmarkNewObject(b *testing.B) {
	for _, servers := range []int{30, 90, 1000} {
		b.Run(fmt.Sprint(servers, "-servers"), func(b *testing.B) {
			p := placer.New("host-0", placer.Location{Zone: "a1", Region: "a"}, regions)
			zones := []string{"a1", "a2", "b1"}
			var all []registrar.Instance
			for i := range servers {
				all = append(all, instance(fmt.Sprintf("i-%08x", i*7919), zones[i%len(zones)]))
			}
			update(p, 0, 0, nil, all...)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				pick, _, _ := p.Choose(time.Second, placer.Query{
					Service: service, Route: "parcel-lookup", Object: fmt.Sprintf("xu%dva.example/noka930/%d", i%7, i), Goal: time.Second, TimeLeft: time.Second,
				})
				p.Done(time.Second, pick, placer.Canceled, placer.Load{})
			}
		})
	}
}
