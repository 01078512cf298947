package placer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"magnoliahill.example/magnoliahill/pkg/placer"
	"magnoliahill.example/magnoliahill/pkg/registrar"
)

const (
	limitBegins   = 5 * time.Second
	limitEnds     = 25 * time.Second
	limitGrace    = 3 * time.Second        // from its begin until a limit binds
	toldGrace     = 500 * time.Millisecond // from an answer that names a limit until it binds its host
	limitWindow   = 4 * time.Second
	limitOverage  = 1.5
	limitSlack    = 5 // requests
	limitRunTime  = 200 * time.Millisecond
	limitStep     = 10 * time.Millisecond
	limitDuration = 40 * time.Second
)

// limitCase is an entry of the data file.
type limitCase struct {
	Name         string
	Hosts        int
	Servers      int
	Slots        int
	Rate         float64   // requests per second over all hosts
	Limits       []float64 // of the first servers, requests per second
	UnknownHosts int       `yaml:"unknown-hosts"` // number of other hosts that each host does not know
	MaxRefused   float64   `yaml:"max-refused"`   // share of the requests while the limits hold
}

// limitRun runs a case in virtual time.
type limitRun struct {
	limitCase
	rng      *rand.Rand
	hosts    []*placer.Placer
	toldAt   []map[string]time.Duration // by host: when an answer first named a server's limit
	arrivals map[string][]time.Duration // at servers, from hosts that know their limit from an answer
	all      map[string][]time.Duration // at servers, from all hosts
	running  []limitedRequest
	sent     int // while the limits hold
	refused  int // of those sent
}

type limitedRequest struct {
	endsAt time.Duration
	host   int
	pick   placer.Pick
}

func newLimitRun(c limitCase) *limitRun {
	r := &limitRun{limitCase: c, rng: rand.New(rand.NewPCG(7, 7)), arrivals: map[string][]time.Duration{}, all: map[string][]time.Duration{}}
	var names []string
	for i := range c.Hosts {
		names = append(names, fmt.Sprint("host-", i))
	}
	var instances []registrar.Instance
	zones := []string{"a1", "a2", "b1", "b2", "c1", "c2"}
	for i := range c.Servers {
		instances = append(instances, registrar.NewInstance(serverName(i), service, serverName(i)+":1", zones[i%len(zones)], registrar.WithSlots(c.Slots)))
	}
	for i, name := range names {
		zone := zones[i%len(zones)]
		p := placer.New(name, placer.Location{Zone: zone, Region: regions[zone]}, regions, placer.WithColdLimit(1.5, 5))
		known := slices.Clone(names)
		for j := range c.UnknownHosts {
			known = slices.DeleteFunc(known, func(other string) bool { return other == names[(i+1+3*j)%len(names)] })
		}
		p.SetHosts(known)
		update(p, 0, 0, nil, instances...)
		r.hosts = append(r.hosts, p)
		r.toldAt = append(r.toldAt, map[string]time.Duration{})
	}
	return r
}

func serverName(i int) string { return fmt.Sprint("server-", i) }

// limitOf returns what a server's answer at a time says about its limit.
func (r *limitRun) limitOf(server string, now time.Duration) placer.RequestLimit {
	for i, perSecond := range r.Limits {
		if server == serverName(i) && now >= limitBegins && now < limitEnds {
			return placer.RequestLimit{Known: true, Limited: true, PerSecond: perSecond}
		}
	}
	return placer.RequestLimit{Known: true}
}

func (r *limitRun) run() {
	for now := time.Duration(0); now < limitDuration; now += limitStep {
		r.finish(now)
		for range poisson(r.rng, r.Rate*limitStep.Seconds()) {
			r.send(now)
		}
		if now%(500*time.Millisecond) == 0 {
			r.gossip(now)
		}
	}
}

func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for left := rng.ExpFloat64(); left < mean; left += rng.ExpFloat64() {
		n++
	}
	return n
}

func (r *limitRun) send(now time.Duration) {
	host := r.rng.IntN(len(r.hosts))
	pick, verdict, _ := r.hosts[host].Choose(now, query(fmt.Sprint(r.rng.IntN(200))))
	held := now >= limitBegins+limitGrace && now < limitEnds
	if held {
		r.sent++
	}
	if verdict != placer.Chosen {
		if held {
			r.refused++
		}
		return
	}
	r.all[pick.ID()] = append(r.all[pick.ID()], now)
	if told, ok := r.toldAt[host][pick.ID()]; ok && now-told >= toldGrace {
		r.arrivals[pick.ID()] = append(r.arrivals[pick.ID()], now)
	}
	r.running = append(r.running, limitedRequest{endsAt: now + limitRunTime, host: host, pick: pick})
}

func (r *limitRun) finish(now time.Duration) {
	r.running = slices.DeleteFunc(r.running, func(request limitedRequest) bool {
		if now < request.endsAt {
			return false
		}
		limit := r.limitOf(request.pick.ID(), now)
		if _, told := r.toldAt[request.host][request.pick.ID()]; limit.Limited && !told {
			r.toldAt[request.host][request.pick.ID()] = now
		}
		r.hosts[request.host].Done(now, request.pick, placer.Answered, placer.Load{Limit: limit})
		return true
	})
}

// gossip lets each host apply what the others report, each message with a loss of a
// third.
func (r *limitRun) gossip(now time.Duration) {
	for from, sender := range r.hosts {
		reports := sender.Limits(now)
		for to, receiver := range r.hosts {
			if from != to && len(reports) > 0 && r.rng.IntN(3) > 0 {
				receiver.ApplyLimits(now, reports)
			}
		}
	}
}

// mostInWindow returns the largest number of arrivals in any window while a limit binds.
func mostInWindow(arrivals []time.Duration) int {
	most := 0
	for i, from := range arrivals {
		if from < limitBegins+limitGrace || from+limitWindow > limitEnds {
			continue
		}
		n := 0
		for _, at := range arrivals[i:] {
			if at < from+limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func readLimitCases(t *testing.T) []limitCase {
	var cases []limitCase
	readCases(t, "limits.yaml", &cases)
	return cases
}

func TestServerThatNamesALimitGetsNoMoreThanThatFromAllHosts(t *testing.T) {
	t.Parallel()
	for _, c := range readLimitCases(t) {
		t.Run(c.Name, func(t *testing.T) {
			r := newLimitRun(c)
			r.run()
			for i, perSecond := range c.Limits {
				allowed := int(limitOverage*perSecond*limitWindow.Seconds() + limitSlack)
				if most := mostInWindow(r.arrivals[serverName(i)]); most > allowed {
					t.Errorf("server with a limit of %v got %d requests in %v; allowed %d", perSecond, most, limitWindow, allowed)
				}
			}
			if share := float64(r.refused) / float64(r.sent); share > c.MaxRefused {
				t.Errorf("%.3f of the requests were refused; allowed %.3f", share, c.MaxRefused)
			}
		})
	}
}

func TestRequestsReturnToAServerWhoseLimitHasEnded(t *testing.T) {
	t.Parallel()
	for _, c := range readLimitCases(t) {
		t.Run(c.Name, func(t *testing.T) {
			r := newLimitRun(c)
			r.run()
			for i := range c.Limits {
				before, after := 0, 0
				for _, at := range r.all[serverName(i)] {
					switch {
					case at < limitBegins:
						before++
					case at >= limitDuration-limitBegins:
						after++
					}
				}
				if 2*after < before {
					t.Errorf("%s got %d requests in %v before its limit and %d after it", serverName(i), before, limitBegins, after)
				}
			}
		})
	}
}

// The hosts that a limit selects as senders may all be down.
func TestOtherHostsSendToALimitedServerWhoseSendersAreDown(t *testing.T) {
	c := limitCase{Hosts: 11, Servers: 1, Slots: 8, Rate: 40, Limits: []float64{2}}
	r := newLimitRun(c)
	for now := time.Duration(0); now < 9*time.Second; now += limitStep {
		r.finish(now)
		r.send(now)
		if now%(500*time.Millisecond) == 0 {
			r.gossip(now)
		}
	}
	var others []*placer.Placer
	for i, host := range r.hosts {
		sent := slices.ContainsFunc(r.running, func(request limitedRequest) bool { return request.host == i })
		if _, verdict, _ := host.Choose(10*time.Second, query("")); verdict != placer.Chosen && !sent {
			others = append(others, host)
		}
	}
	served := func(now time.Duration) bool {
		return slices.ContainsFunc(others, func(host *placer.Placer) bool {
			_, verdict, _ := host.Choose(now, query(""))
			return verdict == placer.Chosen
		})
	}
	if served(11 * time.Second) {
		t.Error("a host that is not selected sent a request while answers were recent")
	}
	if !served(20 * time.Second) {
		t.Error("no other host sent a request after 10 s without an answer")
	}
}

func TestHugeLimitLimitsNothing(t *testing.T) {
	p := placer.New("h", placer.Location{Zone: "a1", Region: "a"}, regions)
	p.SetHosts([]string{"h"})
	update(p, 0, 0, nil, instance("s", "a1"))
	for now := time.Duration(0); now < time.Minute; now += 3 * time.Second {
		pick, verdict, _ := p.Choose(now, query(""))
		if verdict != placer.Chosen {
			t.Fatalf("no server is chosen at %v", now)
		}
		p.Done(now, pick, placer.Answered, placer.Load{Limit: placer.RequestLimit{Known: true, Limited: true, PerSecond: 1e300}})
	}
}

// An answer that was on its way when the server named its limit says nothing about it.
func TestLateAnswerDoesNotEndALimit(t *testing.T) {
	p := placer.New("h", placer.Location{Zone: "a1", Region: "a"}, regions)
	p.SetHosts([]string{"h"})
	update(p, 0, 0, nil, instance("s", "a1"))
	early, _, _ := p.Choose(0, query(""))
	first, _, _ := p.Choose(0, query(""))
	p.Done(100*time.Millisecond, first, placer.Answered, placer.Load{Limit: placer.RequestLimit{Known: true, Limited: true, PerSecond: 2}})
	p.Done(110*time.Millisecond, early, placer.Answered, placer.Load{Limit: placer.RequestLimit{Known: true}})
	if !p.Limits(200 * time.Millisecond)["s"].Limited {
		t.Fatal("the limit ended by an answer to an earlier request")
	}
	later, verdict, _ := p.Choose(5*time.Second, query(""))
	if verdict != placer.Chosen {
		t.Fatal("no request is sent within the limit")
	}
	p.Done(5200*time.Millisecond, later, placer.Answered, placer.Load{Limit: placer.RequestLimit{Known: true}})
	if p.Limits(6 * time.Second)["s"].Limited {
		t.Fatal("the limit did not end by an answer to a later request")
	}
}
