package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/placer"
	"magnoliahill.example/magnoliahill/pkg/registrar"
)

// failAttempt makes an attempt at the backend server of a service fail.
func failAttempt(is *is.I, l *loop, now time.Duration) {
	p := l.controller.placer
	pick, verdict, _ := p.Choose(now, placer.Query{Service: "svc", Route: "r", Goal: time.Second, TimeLeft: time.Second})
	is.Equal(verdict, placer.Chosen)
	p.Done(now, pick, placer.Failed, placer.Load{})
}

func TestCutOffHostReportsNoFailures(t *testing.T) {
	is := is.New(t)
	l := newTestLoop(t, "h")
	r := registrar.New()
	r.Put(0, registrar.NewInstance("i-1", "svc", "127.0.0.1:1", "z", registrar.WithSlots(8)))
	l.controller.placer.Update(0, []placer.Service{{Name: "svc"}}, r.Instances(), nil)
	failAttempt(is, l, 0)
	is.Equal(len(l.healthReports(time.Second)), 1)
	failAttempt(is, l, time.Second)
	is.True(l.controller.reach.Suspect(time.Second, "svc"))
	l.controller.reach.Checked(time.Second, "svc", false)
	l.updateCutOff(time.Second)
	is.Equal(len(l.healthReports(2*time.Second)), 0)
	is.True(l.controller.reach.DueChecks(3 * time.Second)[0] == "svc")
	l.controller.reach.Checked(3*time.Second, "svc", true)
	l.updateCutOff(3 * time.Second)
	failAttempt(is, l, 3*time.Second)
	is.Equal(len(l.healthReports(4*time.Second)), 1)
}
