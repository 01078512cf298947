package placer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/placer"
	"magnoliahill.example/magnoliahill/pkg/registrar"
)

const (
	newsAge      = 1500 * time.Millisecond // the oldest news of a server
	recordExpiry = 3 * time.Second         // hosts forget what a silent host had in flight
	recoveryTime = 3 * time.Second         // longest time that false figures may overrun or empty a server
)

// failures is what goes wrong in a simulation, and what was seen of it.
type failures struct {
	liar         string        // server that always reports lies
	lies         placer.Load   // running and waiting requests
	silentFrom   time.Duration // no host hears of others from then on; 0 for never
	diesAt       time.Duration // the first host ends then; 0 for never
	emptySince   time.Duration // the liar is idle since then
	fullSince    time.Duration // the queue of the liar is full since then
	longestEmpty time.Duration // of the liar
	longestFull  time.Duration // of the liar
	idleSince    map[string]time.Duration
	besideIdle   int // requests refused while a server was idle for longer than the news is old
}

func (f *failures) lie(id string, load *placer.Load) {
	if id == f.liar {
		load.Running, load.Waiting = f.lies.Running, f.lies.Waiting
	}
}

// silent reports whether gossip has stopped. Hosts then forget what others had.
func (sim *simulation) silent() bool {
	from := sim.failures.silentFrom
	if from == 0 || sim.now < from {
		return false
	}
	if sim.now >= from+recordExpiry {
		sim.reported, sim.ownReported = map[string]int{}, nil
	}
	for i, host := range sim.hosts {
		others := map[string]int{}
		for id, count := range sim.reported {
			others[id] = count - sim.ownReported[i][id]
		}
		host.SetRemoteRunning(sim.now, others)
	}
	return true
}

func (f *failures) observe(sim *simulation) {
	if f.idleSince == nil {
		f.idleSince = map[string]time.Duration{}
	}
	for id, s := range sim.servers {
		if s.running > 0 {
			f.idleSince[id] = sim.now
		}
	}
	liar := sim.servers[f.liar]
	if liar == nil || sim.now < warmUp {
		f.emptySince, f.fullSince = sim.now, sim.now
		return
	}
	if liar.running > 0 {
		f.emptySince = sim.now
	}
	if len(liar.waiting) < liar.queue {
		f.fullSince = sim.now
	}
	f.longestEmpty = max(f.longestEmpty, sim.now-f.emptySince)
	f.longestFull = max(f.longestFull, sim.now-f.fullSince)
}

func (f *failures) refused(sim *simulation) {
	for id := range sim.servers {
		if sim.now >= warmUp && sim.now-f.idleSince[id] > newsAge {
			f.besideIdle++
			return
		}
	}
}

// staleWorkload returns the workload of stale.yaml, for as long as failures take to show.
func staleWorkload(t *testing.T) workload {
	var workloads []workload
	readCases(t, "stale.yaml", &workloads)
	workloads[0].Seconds = 16
	return workloads[0]
}

// A server whose figures are always the same is neither overrun nor emptied by them.
func TestFalseLoads(t *testing.T) {
	t.Parallel()
	for name, lies := range map[string]placer.Load{"always 0": {}, "always full": {Running: 6, Waiting: 18}} {
		t.Run(name, func(t *testing.T) { testFalseLoad(t, lies) })
	}
}

// The same with the largest figure that the platform lets through.
func TestAbsurdLoad(t *testing.T) {
	t.Parallel()
	testFalseLoad(t, placer.Load{Running: 1 << 20})
}

func testFalseLoad(t *testing.T, lies placer.Load) {
	is := is.New(t)
	sim := newSimulation(staleWorkload(t), 1)
	sim.failures = failures{liar: "a1-3", lies: lies}
	got := sim.run()
	t.Logf("empty for %v, queue full for %v, worst window %.3f of the whole, beside idle %d of %d refused",
		sim.failures.longestEmpty, sim.failures.longestFull, got.worstWindow(), sim.failures.besideIdle, got.refused)
	is.True(sim.failures.longestEmpty <= recoveryTime)
	is.True(sim.failures.longestFull <= recoveryTime)
	is.True(got.worstWindow() >= 0.7)
}

// When gossip stops, hosts decide by their own requests once the records of others are
// forgotten, and refuse nothing beside idle servers.
func TestGossipStops(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newSimulation(staleWorkload(t), 1)
	sim.failures = failures{silentFrom: 8 * time.Second}
	got := sim.run()
	t.Logf("worst window %.3f of the whole, beside idle %d of %d refused", got.worstWindow(), sim.failures.besideIdle, got.refused)
	is.True(got.worstWindow() >= 0.7)
	is.Equal(sim.failures.besideIdle, 0)
}

// No request is refused while a server that could take it was idle for longer than the
// news is old, also if fewer objects are asked for than there are servers.
func TestNoRefusalBesideIdleServers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := staleWorkload(t)
	w.Servers, w.Objects, w.Rate = map[string]int{"a1": 3, "a2": 2, "c1": 3, "c2": 2}, 6, 260
	sim := newSimulation(w, 1)
	got := sim.run()
	t.Logf("beside idle %d of %d refused of %d", sim.failures.besideIdle, got.refused, got.requests)
	is.Equal(sim.failures.besideIdle, 0)
}

// largeFleet returns a host of 60 with four servers of eight slots in each zone.
func largeFleet(evacuated ...string) *placer.Placer {
	p := placer.New("host-0", placer.Location{Zone: "a1", Region: "a"}, regions, placer.WithRandom(func() float64 { return 0.5 }))
	var hosts []string
	for i := range 60 {
		hosts = append(hosts, fmt.Sprint("host-", i))
	}
	p.SetHosts(hosts)
	var all []registrar.Instance
	for zone := range regions {
		for i := range 4 {
			all = append(all, instance(fmt.Sprint(zone, "-", i), zone))
		}
	}
	update(p, 0, 0, evacuated, all...)
	return p
}

// Averages lose weight with age: what others had in flight, and what a server reported
// once, keep a server empty no longer than the news is old.
func TestOldAveragesExpire(t *testing.T) {
	for name, load := range map[string]placer.Load{"gossip": {}, "full": {Running: 8, Waiting: 24, Known: true}} {
		t.Run(name, func(t *testing.T) { testExpiry(t, load, newsAge) })
	}
}

// A figure that no server can mean empties it for a few seconds at most.
func TestOldAbsurdLoadExpires(t *testing.T) {
	testExpiry(t, placer.Load{Running: 1 << 20, Known: true}, recoveryTime)
}

// testExpiry lets all servers be full, by a report of one and by what others have in
// flight at all, and checks that they get requests again after a time.
func testExpiry(t *testing.T, load placer.Load, within time.Duration) {
	is := is.New(t)
	p := largeFleet()
	pick, _, _ := p.Choose(0, query("1"))
	p.Done(0, pick, placer.Answered, placer.Load{})
	last, _, _ := p.Choose(0, query("1")) // its answer comes when the others have ended
	others := map[string]int{}
	for zone := range regions {
		for i := range 4 {
			others[fmt.Sprint(zone, "-", i)] = 40
		}
	}
	const tick = 100 * time.Millisecond
	now := time.Duration(0)
	for ; now <= time.Second; now += tick {
		p.SetRemoteRunning(now, others)
	}
	_, verdict, _ := p.Choose(now, query("1"))
	is.Equal(verdict, placer.NoRoom)
	loads := p.TakeServiceLoads()
	is.Equal(len(loads), 1)
	is.Equal(loads[0].Declined, 1)
	is.True(!loads[0].HasRoom && loads[0].Utilization > 1)
	is.Equal(p.TakeServiceLoads()[0].Declined, 0)
	p.Done(now, last, placer.Answered, load)
	until := now + within
	for ; now <= until; now += tick {
		p.SetRemoteRunning(now, nil)
	}
	again, verdict, _ := p.Choose(until, query("1"))
	is.Equal(verdict, placer.Chosen)
	is.Equal(again.ID(), pick.ID())
}

// Neither full servers nor large exchanges send a request to a region where it may not
// run, or to an evacuated zone.
func TestAverageLoadsKeepRegionsAndEvacuations(t *testing.T) {
	is := is.New(t)
	p := largeFleet("a1", "b2")
	rules := func(pick placer.Pick) bool {
		return pick.Region() == "b" && !slices.Contains([]string{"a1", "b2"}, pick.ID()[:2])
	}
	bound := func(i int) placer.Query {
		q := query(fmt.Sprint(i % 40))
		q.AllowedRegions = []string{"b"}
		return q
	}
	now, chosen := time.Duration(0), 0
	for i := range 400 {
		others := map[string]int{}
		for j := range 4 {
			others[fmt.Sprint("b1-", j)] = i / 10 // up to five requests per slot
		}
		p.SetRemoteRunning(now, others)
		pick, verdict, retry := p.Choose(now, bound(i))
		now += 50 * time.Millisecond
		if verdict != placer.Chosen {
			is.Equal(verdict, placer.NoRoom)
			is.True(retry > 0)
			continue
		}
		chosen++
		is.True(rules(pick))
		p.Done(now, pick, placer.Answered, placer.Load{Bytes: 90_000})
	}
	is.True(chosen > 0 && chosen < 400)
}
