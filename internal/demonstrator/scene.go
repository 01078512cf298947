package demonstrator

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/publisher"
	"magnoliahill.example/magnoliahill/internal/timekeeper"
	"magnoliahill.example/magnoliahill/internal/transitioner"
	"magnoliahill.example/magnoliahill/pkg/caller"
	"magnoliahill.example/magnoliahill/pkg/header"
	"magnoliahill.example/magnoliahill/pkg/mover"
)

// scene is one situation that the demonstration brings about. Its function returns
// a note on the progress line.
type scene struct {
	name string
	run  func(ctx context.Context, d *demo) (string, error)
}

var scenes = []scene{
	{name: "calm", run: sceneCalm},
	{name: "key withdrawn", run: sceneKeyWithdrawal},
	{name: "backend server leaves", run: sceneBackendLeaves},
	{name: "host stops", run: sceneHostStop},
	{name: "host is killed", run: sceneHostKill},
	{name: "tenant at 5 times its rate", run: sceneTenantOverload},
	{name: "zone cut off, then healed", run: sceneZoneCut},
	{name: "store out, then back", run: sceneStoreOutage},
	{name: "planned move", run: sceneMove},
	{name: "region fails", run: sceneRegionFailure},
}

const sceneDuration = 3 * time.Second

func sceneCalm(ctx context.Context, _ *demo) (string, error) {
	return "", timekeeper.Sleep(ctx, sceneDuration)
}

// sceneKeyWithdrawal withdraws a key that is in use and measures the time until
// the last request with it is accepted.
func sceneKeyWithdrawal(ctx context.Context, d *demo) (string, error) {
	w := d.fleet.layout.workspaces[0].name
	id := w + "-2"
	withdrawn := make(chan time.Time, 1)
	last := make(chan time.Time, 1)
	go d.useKey(ctx, w, d.fleet.keys[w][id], last)
	if err := timekeeper.Sleep(ctx, time.Second); err != nil {
		return "", err
	}
	if err := d.fleet.withdrawKey(ctx, w, id); err != nil {
		return "", err
	}
	withdrawn <- time.Now()
	withdrawnAt := <-withdrawn
	lastAccepted := <-last
	took := lastAccepted.Sub(withdrawnAt)
	if took > 2*time.Second {
		d.addViolation(fmt.Sprintf("a withdrawn key was still accepted %v after its withdrawal", took))
	}
	return fmt.Sprintf("last request accepted %d ms after the withdrawal", max(0, took.Milliseconds())), timekeeper.Sleep(ctx, sceneDuration-time.Second)
}

// useKey sends requests with a key through every live host for the length of a
// scene. It then sends on last the time at which the last answered request was
// sent.
func (d *demo) useKey(ctx context.Context, workspace, key string, last chan<- time.Time) {
	var lastAccepted time.Time
	end := time.Now().Add(sceneDuration)
	var callers []*caller.Caller
	for _, host := range d.fleet.liveHosts() {
		c := caller.New([]string{host.dataAddress}, caller.WithKey(key), caller.WithZone(host.zone),
			caller.WithWorkspace(workspace), caller.WithMaxRetryWait(0))
		defer c.Close()
		callers = append(callers, c)
	}
	for time.Now().Before(end) && ctx.Err() == nil {
		for _, c := range callers {
			sent := time.Now()
			answer, err := c.Do(ctx, caller.Request{Service: d.fleet.layout.services[0].name, Method: http.MethodGet, Path: "/stock/key"})
			if err == nil && answer.Outcome == header.OutcomeAnswered {
				lastAccepted = sent
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	last <- lastAccepted
}

// sceneBackendLeaves publishes that a backend server is leaving and measures the
// time until its last new request.
func sceneBackendLeaves(ctx context.Context, d *demo) (string, error) {
	b := d.fleet.backendServers[0]
	b.leaving = true
	if err := d.fleet.publishService(ctx, b.service); err != nil {
		return "", err
	}
	announced := time.Now()
	executed := b.backend.Executed()
	lastNew := announced
	for time.Since(announced) < sceneDuration {
		if err := timekeeper.Sleep(ctx, 20*time.Millisecond); err != nil {
			return "", err
		}
		if now := b.backend.Executed(); now != executed {
			executed = now
			lastNew = time.Now()
		}
	}
	took := lastNew.Sub(announced)
	if took > 2900*time.Millisecond {
		d.addViolation("a leaving backend server still received requests after 2.9 s")
	}
	d.drainTime = took
	return fmt.Sprintf("last new request after %d ms", took.Milliseconds()), nil
}

func sceneHostStop(ctx context.Context, d *demo) (string, error) {
	host := d.fleet.liveHostIn(d.fleet.layout.zoneOf(0))
	if host == nil {
		return "", errors.New("no host is left to stop")
	}
	began := time.Now()
	d.fleet.stopHost(host)
	took := time.Since(began)
	return fmt.Sprintf("%s stopped in %d ms", host.name, took.Milliseconds()), timekeeper.Sleep(ctx, time.Second)
}

func sceneHostKill(ctx context.Context, d *demo) (string, error) {
	host := d.fleet.liveHostIn(d.fleet.layout.zoneOf(1))
	if host == nil {
		return "", errors.New("no host is left to kill")
	}
	d.fleet.killHost(host)
	return host.name + " killed", timekeeper.Sleep(ctx, sceneDuration)
}

func sceneTenantOverload(ctx context.Context, d *demo) (string, error) {
	w := d.fleet.layout.workspaces[0].name
	d.traffic.loadFactors.Store(w, 5.0)
	defer d.traffic.loadFactors.Delete(w)
	return w + " sends 5 times its rate", timekeeper.Sleep(ctx, sceneDuration)
}

// sceneZoneCut cuts a zone off for longer than a lease of shares.
func sceneZoneCut(ctx context.Context, d *demo) (string, error) {
	zone := d.fleet.layout.zoneOf(3)
	d.fleet.links.setIsolated(zone, true)
	err := timekeeper.Sleep(ctx, shareLease+2*time.Second)
	d.fleet.links.setIsolated(zone, false)
	if err != nil {
		return "", err
	}
	return zone + " cut off for 5 s", timekeeper.Sleep(ctx, 2*time.Second)
}

// sceneStoreOutage stops the platform's store for longer than a lease of shares.
func sceneStoreOutage(ctx context.Context, d *demo) (string, error) {
	d.fleet.platform.SetOutage(true)
	err := timekeeper.Sleep(ctx, shareLease+2*time.Second)
	d.fleet.platform.SetOutage(false)
	if err != nil {
		return "", err
	}
	return "store unavailable for 5 s", timekeeper.Sleep(ctx, 2*time.Second)
}

const (
	moveStep     = 0.25 // share of the traffic that one step moves
	moveInterval = time.Second
)

// sceneMove moves the first service's traffic from the first region to the second
// and checks that no step is larger or earlier than configured.
func sceneMove(ctx context.Context, d *demo) (string, error) {
	layout := d.fleet.layout
	service := layout.services[0].name
	file := fmt.Sprintf("kind: move\nmove: shift\nservice: %s\nfrom: %s\nto: %s\nstep: %g\ninterval: %s\npromise: 1s\n",
		service, layout.regions[0], layout.regions[1], moveStep, moveInterval)
	_, err := publisher.New(d.fleet.store).Publish(ctx, publisher.Change{
		Author: "demo", Edits: map[string]func([]byte) ([]byte, error){"shift.yaml": publisher.ReplaceWith([]byte(file))},
	})
	if err != nil {
		return "", err
	}
	began := time.Now()
	record, err := mover.NewRecord("shift", "planned").Fire(transitioner.MustLoad("move"), mover.Start, "demo")
	if err != nil {
		return "", err
	}
	if err := d.putMove(ctx, record); err != nil {
		return "", err
	}
	return d.watchMove(ctx, began)
}

func (d *demo) putMove(ctx context.Context, record mover.Record) error {
	data, err := record.Encode()
	if err != nil {
		return err
	}
	_, err = d.fleet.store.Put(ctx, mover.Key(record.Move), data, 0)
	return err
}

// watchMove polls the record of the move until it is finished and checks the size
// and the time of each step.
func (d *demo) watchMove(ctx context.Context, began time.Time) (string, error) {
	steps := 0
	sharePPM := int64(0)
	last := began
	for time.Since(began) < 3*time.Duration(1/moveStep)*moveInterval {
		object, err := d.fleet.store.Get(ctx, mover.Key("shift"))
		if err != nil {
			return "", err
		}
		record, err := mover.Decode(object.Value())
		if err != nil {
			return "", err
		}
		if record.SharePPM != sharePPM {
			steps++
			if increase := record.SharePPM - sharePPM; increase > moveStep*mover.Million {
				d.addViolation(fmt.Sprintf("move grew by %d millionths in one step", increase))
			}
			if since := time.Since(last); steps > 1 && since < moveInterval-100*time.Millisecond {
				d.addViolation(fmt.Sprintf("move took two steps within %v", since))
			}
			sharePPM, last = record.SharePPM, time.Now()
		}
		if record.State == "finished" {
			return fmt.Sprintf("moved in %d steps, %d ms", steps, time.Since(began).Milliseconds()), timekeeper.Sleep(ctx, moveInterval)
		}
		if err := timekeeper.Sleep(ctx, 20*time.Millisecond); err != nil {
			return "", err
		}
	}
	d.addViolation("the move did not finish")
	return "not finished", nil
}

func sceneRegionFailure(ctx context.Context, d *demo) (string, error) {
	region := d.fleet.layout.regions[len(d.fleet.layout.regions)-1]
	for _, host := range d.fleet.liveHosts() {
		if d.fleet.layout.regionOf(host.zone) == region {
			d.fleet.killHost(host)
		}
	}
	for _, b := range d.fleet.backendServers {
		if d.fleet.layout.regionOf(b.zone) == region {
			_ = b.http.Close()
		}
	}
	return "all hosts and backend servers of " + region + " stopped", timekeeper.Sleep(ctx, sceneDuration+2*time.Second)
}
