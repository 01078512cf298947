package demonstrator

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"magnoliahill.example/magnoliahill/internal/timekeeper"
)

// demo is the state of one demonstration.
type demo struct {
	fleet      *fleet
	traffic    *traffic
	drainTime  time.Duration
	mu         sync.Mutex
	violations []string
}

// addViolation records that an invariant was violated.
func (d *demo) addViolation(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, text)
}

// Result holds the measurements of one demonstration.
type Result struct {
	Layout string
	Rows   []Row
	Broken []string // descriptions of the violated invariants
}

// Run starts a fleet of the given layout, runs all scenes in order and writes a
// line to progress for each. Violated invariants are part of the result; an error
// means that the demonstration could not be run.
func Run(ctx context.Context, layout Layout, progress io.Writer) (*Result, error) {
	f, err := newFleet(ctx, layout)
	if err != nil {
		return nil, err
	}
	defer f.close()
	d := &demo{fleet: f, traffic: newTraffic(f)}
	trafficCtx, stopSending := context.WithCancel(ctx)
	defer stopSending()
	d.traffic.start(trafficCtx)
	result := &Result{Layout: layout.name}
	// The first second is not measured: hosts open connections, and shares move
	// to the hosts with demand.
	d.traffic.scene.Store(-1)
	if err := timekeeper.Sleep(ctx, time.Second); err != nil {
		return nil, err
	}
	notes := make([]string, len(scenes))
	for i, s := range scenes {
		d.traffic.scene.Store(int64(i))
		_, _ = fmt.Fprintf(progress, "%-28s ", s.name)
		notes[i], err = s.run(ctx, d)
		if err != nil {
			return nil, err
		}
		_, _ = fmt.Fprintln(progress, notes[i])
	}
	stopSending()
	d.traffic.close()
	d.traffic.checkOrders()
	d.checkInvariants()
	for i, s := range scenes {
		result.Rows = append(result.Rows, d.row(i, s.name))
	}
	result.Broken = append(d.violations, d.traffic.violations...)
	return result, nil
}

// checkInvariants checks that no workspace exceeded its rate over the whole run,
// that no backend server received a key, and that no host found a violated
// invariant itself.
func (d *demo) checkInvariants() {
	for _, w := range d.fleet.layout.workspaces {
		for _, text := range d.fleet.auditor.check("rate/"+w.name, w.rate, w.burst) {
			d.addViolation(text)
		}
	}
	for _, b := range d.fleet.backendServers {
		if n := b.backend.RequestsWithKey(); n > 0 {
			d.addViolation(fmt.Sprintf("backend server %s received a key in %d requests", b.name, n))
		}
	}
	for _, host := range d.fleet.hosts {
		if n := host.server.InvariantViolations(); n > 0 {
			d.addViolation(fmt.Sprintf("host %s found %d broken invariants", host.name, n))
		}
	}
}
