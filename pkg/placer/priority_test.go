package placer_test

import (
	"flag"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/pkg/placer"
	"magnoliahill.example/magnoliahill/pkg/prioritizer"
)

// requestKind is a kind of requests in a workload.
type requestKind struct {
	Route    string
	Priority int
	Share    float64 // of the requests of a workload, against those of other kinds
	Goal     time.Duration
	// In the first part of each period the kind has peak times its share.
	Wave struct {
		Period, From, To time.Duration
		Peak             float64
	}
}

const (
	tick          = 100 * time.Millisecond // between updates of what hosts know of others
	judgedSeconds = 5                      // windows in which kinds are compared
	minJudged     = 50                     // requests of a kind in a window from which it is judged
	lateBenefit   = 0.2

	mostServedLess  = 0.05 // share of an urgent kind's requests
	mostBenefitLess = 0.15 // share of an urgent kind's benefit
	mostOnTimeLost  = 0.02 // share of all requests
	leastPart       = 0.25 // of the share served of all, for each kind
)

func hostsOfZone(l workload, before int) int {
	if l.Fleet == 0 {
		return max(1, l.Hosts)
	}
	share := (l.Fleet + len(regions) - 1) / len(regions)
	return min(share, l.Fleet-before)
}

func (k requestKind) share(now time.Duration) float64 {
	if k.Wave.Period > 0 && now%k.Wave.Period >= k.Wave.From && now%k.Wave.Period < k.Wave.To {
		return k.Wave.Peak * k.Share
	}
	return k.Share
}

// drawKind returns a kind and its number.
func (sim *simulation) drawKind() (int, requestKind) {
	sum := 0.0
	for _, k := range sim.workload.Kinds {
		sum += k.share(sim.now)
	}
	if sum == 0 {
		return 0, requestKind{Route: "r", Goal: sim.workload.Goal}
	}
	draw := sum * sim.rng.Float64()
	for i, k := range sim.workload.Kinds {
		if draw -= k.share(sim.now); draw < 0 {
			return i, k
		}
	}
	last := len(sim.workload.Kinds) - 1
	return last, sim.workload.Kinds[last]
}

func (sim *simulation) goal(kind int) time.Duration {
	if len(sim.workload.Kinds) == 0 {
		return sim.workload.Goal
	}
	return sim.workload.Kinds[kind].Goal
}

// news is what hosts tell one another.
type news struct {
	at      time.Duration
	running []map[string]int
	counts  []map[int]prioritizer.Counts
}

// dead reports whether a host has ended.
func (sim *simulation) dead(host int) bool {
	return host == 0 && sim.failures.diesAt > 0 && sim.now >= sim.failures.diesAt
}

// gossipKinds gives each host what the others had in flight and counted some time ago.
// Hosts forget news that are not renewed.
func (sim *simulation) gossipKinds() {
	if len(sim.workload.Kinds) == 0 || sim.now%tick != 0 {
		return
	}
	r := &sim.kinds
	silent := sim.failures.silentFrom > 0 && sim.now >= sim.failures.silentFrom
	if !silent && sim.now%max(tick, sim.workload.News) == 0 {
		latest := sim.collectNews()
		if r.heard = r.nextNews; sim.workload.News == 0 {
			r.heard = latest
		}
		r.heard.at, r.nextNews = sim.now, latest
	}
	if sim.now-r.heard.at >= recordExpiry {
		r.heard = news{at: r.heard.at}
	}
	running, counts := r.heard.total()
	for i, host := range sim.hosts {
		if sim.dead(i) {
			continue
		}
		others, reports := maps.Clone(running), map[string][]prioritizer.Report{}
		if len(r.heard.counts) > 0 {
			for id, own := range r.heard.running[i] {
				others[id] -= own
			}
			report := prioritizer.Report{Counts: map[int]prioritizer.Counts{}, Age: sim.now - r.heard.at}
			for priority, c := range counts {
				own := r.heard.counts[i][priority]
				report.Counts[priority] = prioritizer.Counts{Asked: c.Asked - own.Asked, Refused: c.Refused - own.Refused, Late: c.Late - own.Late}
			}
			reports[service] = append(reports[service], report)
		}
		host.SetRemoteRunning(sim.now, others)
		host.SetPriorityReports(sim.now, reports)
	}
}

var silentHost = placer.New("", placer.Location{}, nil) // has no requests

func (sim *simulation) collectNews() news {
	n := news{}
	for i, host := range sim.hosts {
		if sim.dead(i) {
			host = silentHost
		}
		n.running = append(n.running, host.Running())
		n.counts = append(n.counts, host.PriorityCounts(sim.now)[service])
	}
	return n
}

func (n news) total() (map[string]int, map[int]prioritizer.Counts) {
	running, counts := map[string]int{}, map[int]prioritizer.Counts{}
	for i := range n.running {
		for id, count := range n.running[i] {
			running[id] += count
		}
		for priority, c := range n.counts[i] {
			counts[priority] = counts[priority].Add(c)
		}
	}
	return running, counts
}

// withoutPriorities returns the workload with one priority for all kinds.
func withoutPriorities(l workload) workload {
	kinds := l.Kinds
	l.Kinds = nil
	for _, k := range kinds {
		k.Priority = 0
		l.Kinds = append(l.Kinds, k)
	}
	return l
}

// priorityRun is a workload that was simulated with and without its priorities.
type priorityRun struct {
	with, without *simulation
	kinds         []requestKind
}

// onTime returns the share of all requests that were answered on time, with and without
// priorities.
func (r priorityRun) onTime() (float64, float64) {
	return float64(r.with.results.onTime) / float64(r.with.results.requests),
		float64(r.without.results.onTime) / float64(r.without.results.requests)
}

// leastServed returns the smallest share served of a kind, as a multiple of that of all.
func (r priorityRun) leastServed() float64 {
	from, to := r.with.judged()
	sums, all, least := r.with.sum(from, to, anyHost), kindCount{}, 1.0
	for _, c := range sums {
		all.asked += c.asked
		all.onTime += c.onTime
		all.late += c.late
	}
	for i := range sums {
		least = min(least, sums[i].served()/all.served())
	}
	return least
}

func (r priorityRun) log(t *testing.T) {
	onTime, before := r.onTime()
	t.Logf("on time %.3f, before %.3f; least served kind %.3f of all", onTime, before, r.leastServed())
	for name, sim := range map[string]*simulation{"with": r.with, "without": r.without} {
		t.Logf("%s: urgent served less by (with benefit) %.3f, in 5 s %.3f, by zone %.3f, by host %.3f",
			name, sim.wholeGap(r.kinds), sim.windowGap(r.kinds), sim.zoneGap(r.kinds), sim.hostGap(r.kinds))
	}
}

// priorityRuns holds the runs that several tests check.
var priorityRuns sync.Map // of *lazyRun, by workload and failures

// lazyRun is a run that the first test that needs it makes.
type lazyRun struct {
	once sync.Once
	run  priorityRun
}

func priorityRunOf(l workload, fail failures) priorityRun {
	entry, _ := priorityRuns.LoadOrStore(fmt.Sprint(l.Name, fail), &lazyRun{})
	lazy := entry.(*lazyRun)
	lazy.once.Do(func() {
		lazy.run = priorityRun{newSimulation(l, *prioritySeed), newSimulation(withoutPriorities(l), *prioritySeed), l.Kinds}
		var both sync.WaitGroup
		for _, sim := range []*simulation{lazy.run.with, lazy.run.without} {
			sim.failures = fail
			both.Go(func() { sim.run() })
		}
		both.Wait()
	})
	return lazy.run
}

// runPriorities simulates the workloads of a file and lets a function check them.
func runPriorities(t *testing.T, file string, fail failures, check func(*is.I, priorityRun)) {
	var workloads []workload
	readCases(t, file, &workloads)
	for _, l := range workloads {
		t.Run(l.Name, func(t *testing.T) {
			r := priorityRunOf(l, fail)
			r.log(t)
			check(is.New(t), r)
		})
	}
}

var prioritySeed = flag.Uint64("priority.seed", 1, "seed of the simulations of priorities")

// checkServed checks that no urgent kind is served less than a less urgent one, and that
// less urgent ones keep a part.
func checkServed(is *is.I, r priorityRun) {
	is.True(r.with.wholeGap(r.kinds).served <= mostServedLess)
	is.True(r.with.windowGap(r.kinds).served <= mostServedLess)
	is.True(r.with.zoneGap(r.kinds).served <= mostServedLess)
	is.True(r.leastServed() >= leastPart)
}

// checkBenefit checks that urgent kinds have no less benefit than less urgent ones.
func checkBenefit(is *is.I, r priorityRun) {
	is.True(r.with.wholeGap(r.kinds).benefit <= mostBenefitLess)
	is.True(r.with.windowGap(r.kinds).benefit <= mostBenefitLess)
	is.True(r.with.zoneGap(r.kinds).benefit <= mostBenefitLess)
}

// checkOnTime checks that in all as many answers are on time as without priorities.
func checkOnTime(is *is.I, r priorityRun) {
	onTime, before := r.onTime()
	is.True(onTime >= before-mostOnTimeLost)
}

// checkHosts checks that no urgent kind is served less at any host, where each host has
// hundreds of requests of a kind.
func checkHosts(is *is.I, r priorityRun) {
	is.True(len(r.with.hosts) > 8 || r.with.hostGap(r.kinds).served <= mostServedLess)
}

func checkAll(is *is.I, r priorityRun) {
	checkServed(is, r)
	checkBenefit(is, r)
	checkOnTime(is, r)
}

// TestPriorities runs kinds of different urgency at one service that has too little room.
func TestPriorities(t *testing.T) {
	t.Parallel()
	runPriorities(t, "priorities.yaml", failures{}, checkAll)
}

func TestPrioritiesByHost(t *testing.T) {
	t.Parallel()
	runPriorities(t, "priorities.yaml", failures{}, checkHosts)
}

// The loads of priorities-hard.yaml, by one bound at a time.

func TestServedWhenLate(t *testing.T) {
	t.Parallel()
	runPriorities(t, "priorities-hard.yaml", failures{}, checkServed)
}

func TestBenefitWhenLate(t *testing.T) {
	t.Parallel()
	runPriorities(t, "priorities-hard.yaml", failures{}, checkBenefit)
}

func TestOnTimeWhenLate(t *testing.T) {
	t.Parallel()
	runPriorities(t, "priorities-hard.yaml", failures{}, checkOnTime)
}

// TestPrioritiesWithoutGossip stops gossip midway: hosts go on by their own requests.
func TestPrioritiesWithoutGossip(t *testing.T) {
	t.Parallel()
	runPriorities(t, "priorities-failures.yaml", failures{silentFrom: 8 * time.Second}, func(is *is.I, r priorityRun) {
		checkServed(is, r)
		checkOnTime(is, r)
	})
}

// TestPrioritiesWhenAHostDies ends a host with an eighth of all requests that wait.
func TestPrioritiesWhenAHostDies(t *testing.T) {
	t.Parallel()
	runPriorities(t, "priorities-failures.yaml", failures{diesAt: 8 * time.Second}, checkAll)
}

// Kinds of one priority are served exactly as if there were none.
func TestOnePriority(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var workloads []workload
	readCases(t, "priorities.yaml", &workloads)
	for _, l := range []workload{workloads[0], workloads[len(workloads)-1]} {
		none := withoutPriorities(l)
		same := withoutPriorities(l)
		for i := range same.Kinds {
			same.Kinds[i].Priority = 3
		}
		is.Equal(newSimulation(same, 1).run(), newSimulation(none, 1).run())
	}
}
