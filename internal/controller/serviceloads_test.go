package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/placer"
	"magnoliahill.example/magnoliahill/pkg/registrar"
)

// A host of a large fleet publishes the average load of a service and what it declined,
// and notes a lack of room and other slots than registered at most every ten seconds.
func TestServiceLoadsArePublished(t *testing.T) {
	is := is.New(t)
	l := newTestLoop(t, "h")
	p := l.controller.placer
	var names []string
	for i := range 24 {
		names = append(names, fmt.Sprint("h", i))
	}
	p.SetHosts(names)
	r := registrar.New()
	r.Put(0, registrar.NewInstance("i-1", "svc", "127.0.0.1:1", "z", registrar.WithSlots(8)))
	p.Update(0, []placer.Service{{Name: "svc"}}, r.Instances(), nil)
	query := placer.Query{Service: "svc", Route: "r", Object: "1", Goal: time.Second, TimeLeft: time.Second}
	pick, _, _ := p.Choose(0, query)
	p.Done(0, pick, placer.Answered, placer.Load{Slots: 6, Known: true})

	l.updateImpaired(time.Second)
	is.Equal(len(l.serviceRooms), 0)
	is.Equal(l.slotMismatches, "i-1:6/8")
	for now := time.Second; now < 4*time.Second; now += 100 * time.Millisecond {
		p.SetRemoteRunning(now, map[string]int{"i-1": 64})
	}
	_, verdict, _ := p.Choose(4*time.Second, query)
	is.Equal(verdict, placer.NoRoom)
	l.updateImpaired(4 * time.Second)
	is.Equal(l.serviceRooms["svc"], roomChange{hasRoom: false, loggedAt: 4 * time.Second})
	for now := 4 * time.Second; now < 6*time.Second; now += 100 * time.Millisecond {
		p.SetRemoteRunning(now, nil)
	}
	l.updateImpaired(6 * time.Second)
	is.Equal(l.serviceRooms["svc"].hasRoom, false) // too soon for another line
	l.updateImpaired(14 * time.Second)
	is.Equal(l.serviceRooms["svc"].hasRoom, true)
}

func TestSmallFleetsPublishNoServiceLoads(t *testing.T) {
	is := is.New(t)
	p := placer.New("h", placer.Location{}, nil)
	p.SetHosts([]string{"h"})
	p.Update(0, []placer.Service{{Name: "svc"}}, nil, nil)
	is.Equal(len(p.TakeServiceLoads()), 0)
}
