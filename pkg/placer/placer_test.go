package placer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/placer"
	"magnoliahill.example/magnoliahill/pkg/registrar"
)

var regions = map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}

const service = "svc"

func instance(id, zone string, options ...registrar.InstanceOption) registrar.Instance {
	return registrar.NewInstance(id, service, id+":1", zone, append([]registrar.InstanceOption{registrar.WithSlots(8)}, options...)...)
}

func update(p *placer.Placer, now time.Duration, cold float64, evacuated []string, instances ...registrar.Instance) {
	r := registrar.New()
	for _, i := range instances {
		r.Put(now, i)
	}
	p.Update(now, []placer.Service{{Name: service, ColdRate: cold, ColdStart: 3 * time.Second}}, r.Instances(), evacuated)
}

func query(object string) placer.Query {
	return placer.Query{Service: service, Route: "r", Object: object, Goal: 400 * time.Millisecond, TimeLeft: 3 * time.Second}
}

// When demand shifts, no more objects change their region within two seconds
// than the cap allows, but they do change in the end.
func TestRegionSharesFollowDemandWithinCap(t *testing.T) {
	is := is.New(t)
	p := placer.New("h", placer.Location{Zone: "a1", Region: "a"}, regions, placer.WithShiftCap(0.15))
	var all []registrar.Instance
	others := map[string]int{}
	for zone, region := range regions {
		for i := range 4 {
			id := fmt.Sprint(zone, "-", i)
			all = append(all, instance(id, zone))
			others[id] = 1
			if region == "a" {
				others[id] = 12 // of 8 slots
			}
		}
	}
	update(p, 0, 0, nil, all...)
	regionsOfObjects := func(now time.Duration) map[string]string {
		regionOf := map[string]string{}
		for i := range 400 {
			pick, _, _ := p.Choose(now, placer.Query{Service: service, Route: "r", Object: fmt.Sprint(i), Goal: 100 * time.Second, TimeLeft: 1000 * time.Second})
			p.Done(now, pick, placer.Canceled, placer.Load{})
			regionOf[fmt.Sprint(i)] = pick.Region()
		}
		return regionOf
	}
	demand := map[string]placer.Demand{"a": {Free: 96}, "b": {Free: 8}, "c": {Free: 8}}
	first := regionsOfObjects(0)
	before := first
	for now := 500 * time.Millisecond; now < 30*time.Second; now += 500 * time.Millisecond {
		p.SetRemoteRunning(now, others)
		p.SetDemand(now, map[string]map[string]placer.Demand{service: demand})
		if now%(2*time.Second) == 0 {
			after := regionsOfObjects(now)
			is.True(countChanged(before, after) <= 0.15*400)
			before = after
		}
	}
	is.True(countChanged(first, before) > 0.4*400)
}

func countChanged(before, after map[string]string) float64 {
	n := 0.0
	for object, region := range after {
		if before[object] != region {
			n++
		}
	}
	return n
}

// An attempt that takes too long is reported before it ends, and only once per
// doubling of its time.
func TestOverdueAttemptsAreReported(t *testing.T) {
	is := is.New(t)
	p := placer.New("h", placer.Location{Zone: "a1", Region: "a"}, regions)
	update(p, 0, 0, nil, instance("s", "a1"))
	_, verdict, _ := p.Choose(0, query("o"))
	is.Equal(verdict, placer.Chosen)
	is.Equal(len(p.TakeHealthReports(850*time.Millisecond)), 0) // a cold run is expected to take 600 ms
	reports := p.TakeHealthReports(time.Second)
	is.Equal(reports["s"].Attempts, 1)
	is.True(reports["s"].Slowness > 2)
	is.Equal(len(p.TakeHealthReports(1100*time.Millisecond)), 0)
}

// Health reports of other hosts count like the host's own attempts.
func TestHealthReportsOfOtherHostsAreApplied(t *testing.T) {
	is := is.New(t)
	p := placer.New("h", placer.Location{Zone: "a1", Region: "a"}, regions)
	update(p, 0, 0, nil, instance("s1", "a1"), instance("s2", "a1"))
	first, _, _ := p.Choose(0, query("o"))
	p.Done(0, first, placer.Canceled, placer.Load{})
	p.ApplyHealthReports(0, map[string]placer.HealthReport{first.ID(): {Attempts: 8, Failed: 8, Slowness: 6}, "unknown": {Attempts: 1}})
	second, _, _ := p.Choose(0, query("o"))
	is.True(second.ID() != first.ID())
	p.ApplyHealthReports(time.Second, map[string]placer.HealthReport{first.ID(): {Attempts: 12, Slowness: 1}})
	again, _, _ := p.Choose(time.Second, query("o"))
	is.Equal(again.ID(), first.ID())
}

// All hosts choose the same server for an object that their region leaves to
// others, and adding or removing a server moves few objects.
func TestOrderIsStable(t *testing.T) {
	is := is.New(t)
	var all []registrar.Instance
	for i := range 12 {
		all = append(all, instance(fmt.Sprint("s", i), "a1"))
	}
	choose := func(host string, servers []registrar.Instance) map[string]string {
		p := placer.New(host, placer.Location{Zone: "b1", Region: "b"}, regions)
		update(p, 0, 0, nil, servers...)
		chosen := map[string]string{}
		for i := range 200 {
			object := fmt.Sprint(i)
			pick, verdict, _ := p.Choose(0, query(object))
			is.Equal(verdict, placer.Chosen)
			chosen[object] = pick.ID()
			p.Done(0, pick, placer.Canceled, placer.Load{})
		}
		return chosen
	}
	chosen, otherHost, withoutFirst := choose("h1", all), choose("h2", all), choose("h1", all[1:])
	moved := 0
	for object, server := range chosen {
		is.Equal(server, otherHost[object])
		if withoutFirst[object] != server {
			is.Equal(server, "s0") // only objects of the removed server have moved
			moved++
		}
	}
	is.True(moved > 0 && moved < 50)
}

func TestDrainingAndEvacuatedServersAreNotChosen(t *testing.T) {
	is := is.New(t)
	p := placer.New("h", placer.Location{Zone: "a1", Region: "a"}, regions)
	update(p, 0, 0, []string{"a2"}, instance("leaves", "a1", registrar.WithState(registrar.Draining)), instance("out", "a2"))
	_, verdict, wait := p.Choose(0, query("1"))
	is.Equal(verdict, placer.NoServer)
	is.True(wait > 0)
	update(p, 0, 0, nil, instance("out", "a2"))
	pick, verdict, _ := p.Choose(0, query("1"))
	is.Equal(verdict, placer.Chosen)
	is.Equal(pick.ID(), "out")
}

func TestOnlyAllowedRegionsAreChosen(t *testing.T) {
	is := is.New(t)
	p := placer.New("h", placer.Location{Zone: "a1", Region: "a"}, regions)
	update(p, 0, 0, nil, instance("near", "a1"), instance("home", "b1"))
	for i := range 50 {
		q := query(fmt.Sprint(i))
		q.AllowedRegions = []string{"b"}
		pick, verdict, _ := p.Choose(0, q)
		is.Equal(verdict, placer.Chosen)
		is.Equal(pick.ID(), "home")
		p.Done(0, pick, placer.Canceled, placer.Load{})
		q.AllowedRegions = []string{}
		_, verdict, _ = p.Choose(0, q)
		is.Equal(verdict, placer.NoServer)
	}
}

// All hosts together stay within the limit of a cold server in every second,
// even if they have different lists of hosts.
func TestColdServerRateIsLimited(t *testing.T) {
	const coldRate, factor, slack = 6.8, 1.5, 5.0
	for _, count := range []int{1, 2, 8, 60} {
		for _, cause := range []string{"registered cold", "evacuation ended", "unreachable"} {
			t.Run(fmt.Sprintf("%d hosts, %s", count, cause), func(t *testing.T) {
				is := is.New(t)
				var names []string
				for i := range count {
					names = append(names, fmt.Sprint("h", i))
				}
				var sent []time.Duration
				rng := rand.New(rand.NewPCG(1, uint64(count)))
				hosts := make([]*placer.Placer, count)
				for i := range hosts {
					hosts[i] = placer.New(names[i], placer.Location{Zone: "a1", Region: "a"}, regions, placer.WithColdLimit(factor, slack))
					known := names
					if i%3 == 2 && count > 2 {
						known = names[:count-1] // its list lacks the last host
					}
					hosts[i].SetHosts(known)
					switch cause {
					case "registered cold":
						update(hosts[i], 0, coldRate, nil, instance("s", "a1", registrar.WithColdRemaining(3*time.Second)))
					case "evacuation ended":
						update(hosts[i], 0, coldRate, []string{"a1"}, instance("s", "a1"))
						update(hosts[i], 0, coldRate, nil, instance("s", "a1"))
					case "unreachable":
						update(hosts[i], 0, coldRate, nil, instance("s", "a1"))
						pick, _, _ := hosts[i].Choose(0, query("x"))
						hosts[i].Done(0, pick, placer.Unreachable, placer.Load{})
					}
				}
				for now := 400 * time.Millisecond; now < 3*time.Second; now += 5 * time.Millisecond {
					h := hosts[rng.IntN(count)]
					pick, verdict, _ := h.Choose(now, query(fmt.Sprint(rng.IntN(20))))
					if verdict == placer.Chosen {
						sent = append(sent, now)
						h.Done(now, pick, placer.Answered, placer.Load{})
					}
				}
				most, first := 0, 0
				for last := range sent {
					for sent[last]-sent[first] >= time.Second {
						first++
					}
					most = max(most, last-first+1)
				}
				t.Logf("most in a second %d, bound %.1f", most, coldRate*factor+slack)
				is.True(float64(most) <= coldRate*factor+slack)
				is.True(len(sent) > 0) // it gets some requests, so that it warms up
			})
		}
	}
}

func TestUnreachableServerIsEjectedAndRetried(t *testing.T) {
	is := is.New(t)
	p := placer.New("h", placer.Location{Zone: "a1", Region: "a"}, regions)
	update(p, 0, 0, nil, instance("one", "a1"), instance("two", "a1"))
	first, _, _ := p.Choose(0, query("1"))
	p.Done(0, first, placer.Unreachable, placer.Load{})
	other, verdict, _ := p.Choose(time.Millisecond, query("1"))
	is.Equal(verdict, placer.Chosen)
	is.True(other.ID() != first.ID())
	p.Done(time.Millisecond, other, placer.Answered, placer.Load{})
	again, _, _ := p.Choose(time.Second, query("1"))
	is.Equal(again.ID(), first.ID())
	// Only one request is sent to it until it answers.
	second, _, _ := p.Choose(time.Second, query("1"))
	is.Equal(second.ID(), other.ID())
}

func TestFailingOrSlowServerIsAvoidedAndRetried(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome placer.Outcome
		took    time.Duration
	}{
		{"fails at once", placer.Failed, time.Millisecond},
		{"is eight times slower", placer.Answered, 1600 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := placer.New("h", placer.Location{Zone: "a1", Region: "a"}, regions)
			update(p, 0, 0, nil, instance("one", "a1"), instance("two", "a1"))
			pick, _, _ := p.Choose(0, query("1"))
			bad := pick.ID()
			now := time.Duration(0)
			for range 12 {
				took := 200 * time.Millisecond
				outcome := placer.Answered
				if pick.ID() == bad {
					took, outcome = c.took, c.outcome
				}
				now += took
				p.Done(now, pick, outcome, placer.Load{})
				pick, _, _ = p.Choose(now, query("1"))
			}
			is.True(pick.ID() != bad)
			p.Done(now, pick, placer.Canceled, placer.Load{})
			pick, _, _ = p.Choose(now+time.Minute, query("1"))
			is.Equal(pick.ID(), bad)
		})
	}
}

func TestRestartUnderSameIDResetsState(t *testing.T) {
	is := is.New(t)
	p := placer.New("h", placer.Location{Zone: "a1", Region: "a"}, regions)
	update(p, 0, 0, nil, instance("one", "a1", registrar.WithIncarnation(1)))
	pick, _, _ := p.Choose(0, query("1"))
	p.Done(0, pick, placer.Unreachable, placer.Load{})
	is.True(p.Summaries(0)[0].Ejected)
	update(p, 0, 0, nil, instance("one", "a1", registrar.WithIncarnation(2)))
	is.True(!p.Summaries(0)[0].Ejected)
}

// Hosts that a server turned away together must not return to it together.
func TestRequestsReturnGraduallyAfterRetryAfter(t *testing.T) {
	is := is.New(t)
	var hosts []*placer.Placer
	for i := range 11 {
		p := placer.New(fmt.Sprint("host-", i), placer.Location{Zone: "a1", Region: "a"}, regions)
		update(p, 0, 0, nil, instance("busy", "a1"))
		pick, _, _ := p.Choose(0, query(""))
		p.Done(0, pick, placer.Shed, placer.Load{RetryAfter: 2 * time.Second})
		hosts = append(hosts, p)
	}
	sent := func(from, until time.Duration) (n int) {
		for now := from; now < until; now += 10 * time.Millisecond {
			for _, host := range hosts {
				if _, verdict, _ := host.Choose(now, query("")); verdict == placer.Chosen {
					n++
				}
			}
		}
		return n
	}
	_, verdict, wait := hosts[0].Choose(time.Second, query(""))
	is.Equal(verdict, placer.NoServer)
	is.True(wait >= time.Second && wait <= 1500*time.Millisecond) // until this host may send again
	is.Equal(sent(100*time.Millisecond, 2*time.Second), 0)
	first := sent(2*time.Second, 2250*time.Millisecond)
	is.True(first > 0 && first < 11) // none of them ends
	is.True(first+sent(2250*time.Millisecond, 2500*time.Millisecond) <= 22)
	is.True(sent(2500*time.Millisecond, 6*time.Second) > 22)
}

func TestOnlyServicesWhoseServersAllFellSilentAreSilent(t *testing.T) {
	is := is.New(t)
	p := placer.New("h", placer.Location{Zone: "a1", Region: "a"}, regions)
	update(p, 0, 0, nil, instance("one", "a1"), instance("two", "a1"))
	first, _, _ := p.Choose(0, query("x"))
	is.Equal(len(p.SilentServices(time.Second)), 0) // a single server may be slow
	q := query("x")
	q.Attempted = []string{first.ID()}
	second, _, _ := p.Choose(0, q)
	is.Equal(p.SilentServices(500*time.Millisecond), []string{service})
	is.Equal(len(p.SilentServices(200*time.Millisecond)), 0)
	p.Done(450*time.Millisecond, first, placer.Answered, placer.Load{})
	third, _, _ := p.Choose(460*time.Millisecond, q)
	is.Equal(len(p.SilentServices(500*time.Millisecond)), 0)
	is.True(p.RespondedSince(450*time.Millisecond, service))
	is.True(!p.RespondedSince(460*time.Millisecond, service))
	p.Done(time.Second, second, placer.Failed, placer.Load{})
	p.Done(time.Second, third, placer.Failed, placer.Load{})
	is.True(!p.RespondedSince(460*time.Millisecond, service))
}
