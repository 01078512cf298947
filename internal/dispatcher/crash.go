package dispatcher

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/roundtripper"
	"magnoliahill.example/magnoliahill/internal/timekeeper"
	"magnoliahill.example/magnoliahill/pkg/placer"
)

const (
	crashCheckTimeout = 250 * time.Millisecond // of one connection attempt: six round trips between regions
	crashMemory       = 2 * time.Second        // for which a crash explains other broken connections to the same run
	maxReachable      = 4                      // other backend servers that are tried
)

// crashDetector tells crashes of backend servers from broken connections. A backend
// server has crashed if it refuses connections while this host can connect to another
// one: a host that is cut off must not blame its requests. It is safe for concurrent
// use.
type crashDetector struct {
	clock        *timekeeper.Clock
	placer       Placer
	roundTripper RoundTripper
	mu           sync.Mutex
	checks       map[string]*crashCheck // running and recent ones, by run of the backend server
}

// crashCheck is the check of one run of a backend server.
type crashCheck struct {
	done    chan struct{} // closed at the end
	crashed bool          // valid when done is closed, as are the following fields
	endedAt time.Duration
}

func newCrashDetector(clock *timekeeper.Clock, placer Placer, roundTripper RoundTripper) *crashDetector {
	return &crashDetector{clock: clock, placer: placer, roundTripper: roundTripper, checks: map[string]*crashCheck{}}
}

// crashed reports whether the backend server of an attempt whose connection broke has
// crashed. Requests that broke together share one check.
func (d *crashDetector) crashed(pick placer.Pick) bool {
	check, isNew := d.check(pick.RunName())
	if isNew {
		d.run(check, pick)
	}
	<-check.done
	return check.crashed
}

// check returns the running or recent check of a run, or a new one, and whether it is
// new. Only crashes are remembered: a server that accepted a connection may crash later.
func (d *crashDetector) check(run string) (*crashCheck, bool) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, check := range d.checks {
		if check.isOver() && (!check.crashed || now-check.endedAt >= crashMemory) {
			delete(d.checks, name)
		}
	}
	if check := d.checks[run]; check != nil {
		return check, false
	}
	check := &crashCheck{done: make(chan struct{})}
	d.checks[run] = check
	return check, true
}

func (c *crashCheck) isOver() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// run carries out a check and logs its result.
func (d *crashDetector) run(check *crashCheck, pick placer.Pick) {
	defer close(check.done)
	startedAt := d.clock.Now()
	target := roundtripper.Target{Address: pick.Address(), Instance: pick.ID()}
	err := d.connect(target)
	reached := ""
	if errors.Is(err, roundtripper.ErrRefused) {
		reached = d.reachable(pick.ID())
	}
	leaves := d.placer.Leaves(pick)
	check.crashed = reached != "" && !leaves
	check.endedAt = d.clock.Now()
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	klog.InfoS("backend server checked for a crash", "server", pick.ID(), "crashed", check.crashed, "cause", cause,
		"reached", reached, "leaves", leaves, "took", check.endedAt-startedAt)
}

// reachable returns the ID of another backend server that this host can connect to, or
// "".
func (d *crashDetector) reachable(except string) string {
	for _, other := range d.placer.Reachable(d.clock.Now(), except, maxReachable) {
		if d.connect(roundtripper.Target{Address: other.Address, Instance: other.ID}) == nil {
			return other.ID
		}
	}
	return ""
}

func (d *crashDetector) connect(target roundtripper.Target) error {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	return d.roundTripper.Check(ctx, target)
}
