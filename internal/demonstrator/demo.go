package demonstrator

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"magnoliahill.example/magnoliahill/internal/clocker"
)

// demo is one demonstration.
type demo struct {
	fleet     *fleet
	traffic   *traffic
	drainTime time.Duration
	mu        sync.Mutex
	broken    []string
}

func (d *demo) fail(text string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.broken = append(d.broken, text)
}

// Result is what a demonstration measured.
type Result struct {
	Layout string
	Rows   []Row
	Broken []string // invariants that broke
}

// Run runs all scenes of a layout and writes a line for each as it ends.
func Run(ctx context.Context, layout Layout, progress io.Writer) (*Result, error) {
	f, err := newFleet(ctx, layout)
	if err != nil {
		return nil, err
	}
	defer f.close()
	d := &demo{fleet: f, traffic: newTraffic(f)}
	sending, stopSending := context.WithCancel(ctx)
	defer stopSending()
	d.traffic.start(sending)
	result := &Result{Layout: layout.name}
	// The first second fills connections and moves parts to where demand is.
	d.traffic.scene.Store(-1)
	if err := clocker.Sleep(ctx, time.Second); err != nil {
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
	d.traffic.stop()
	d.traffic.checkOrders()
	d.checkLimits()
	for i, s := range scenes {
		result.Rows = append(result.Rows, d.row(i, s.name))
	}
	result.Broken = append(d.broken, d.traffic.broken...)
	return result, nil
}

// checkLimits checks each workspace's rate over the whole run, the keys, and
// the invariants that the hosts watch themselves.
func (d *demo) checkLimits() {
	for _, w := range d.fleet.layout.workspaces {
		for _, text := range d.fleet.auditor.check("rate/"+w.name, w.rate, w.burst) {
			d.fail(text)
		}
	}
	for _, t := range d.fleet.targets {
		if n := t.backend.KeysSeen(); n > 0 {
			d.fail(fmt.Sprintf("backend server %s saw a key in %d requests", t.name, n))
		}
	}
	for _, host := range d.fleet.hosts {
		if n := host.server.BrokenInvariants(); n > 0 {
			d.fail(fmt.Sprintf("host %s saw %d broken invariants", host.name, n))
		}
	}
}
