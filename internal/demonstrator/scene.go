package demonstrator

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/charter"
	"magnoliahill.example/magnoliahill/internal/clocker"
	"magnoliahill.example/magnoliahill/internal/publisher"
	"magnoliahill.example/magnoliahill/pkg/caller"
	"magnoliahill.example/magnoliahill/pkg/marker"
	"magnoliahill.example/magnoliahill/pkg/mover"
)

// scene is one situation that the fleet is put into.
type scene struct {
	name string
	run  func(ctx context.Context, d *demo) (string, error)
}

var scenes = []scene{
	{name: "calm", run: sceneCalm},
	{name: "key withdrawn", run: sceneKey},
	{name: "backend server leaves", run: sceneBackend},
	{name: "host stops", run: sceneStop},
	{name: "host is killed", run: sceneKill},
	{name: "tenant at 5 times its rate", run: sceneTenant},
	{name: "zone cut off, then healed", run: sceneCut},
	{name: "store out, then back", run: sceneStore},
	{name: "planned move", run: sceneMove},
	{name: "region fails", run: sceneRegion},
}

const sceneTime = 3 * time.Second

func sceneCalm(ctx context.Context, _ *demo) (string, error) {
	return "", clocker.Sleep(ctx, sceneTime)
}

// sceneKey withdraws a key that is in use and measures until its last request
// ran.
func sceneKey(ctx context.Context, d *demo) (string, error) {
	w := d.fleet.layout.workspaces[0].name
	id := w + "-2"
	withdrawn := make(chan time.Time, 1)
	last := make(chan time.Time, 1)
	go d.useKey(ctx, w, d.fleet.keys[w][id], last)
	if err := clocker.Sleep(ctx, time.Second); err != nil {
		return "", err
	}
	if err := d.fleet.withdraw(ctx, w, id); err != nil {
		return "", err
	}
	withdrawn <- time.Now()
	at := <-withdrawn
	ran := <-last
	took := ran.Sub(at)
	if took > 2*time.Second {
		d.fail(fmt.Sprintf("a withdrawn key ran a request %v later", took))
	}
	return fmt.Sprintf("last request %d ms after the withdrawal", max(0, took.Milliseconds())), clocker.Sleep(ctx, sceneTime-time.Second)
}

// useKey sends requests with a key through every host for a while, and tells
// when the last one was answered.
func (d *demo) useKey(ctx context.Context, workspace, key string, last chan<- time.Time) {
	var ran time.Time
	end := time.Now().Add(sceneTime)
	var callers []*caller.Caller
	for _, host := range d.fleet.liveHosts() {
		c := caller.New([]string{host.data}, caller.WithKey(key), caller.WithZone(host.zone),
			caller.WithWorkspace(workspace), caller.WithPatience(0))
		defer c.Close()
		callers = append(callers, c)
	}
	for time.Now().Before(end) && ctx.Err() == nil {
		for _, c := range callers {
			sent := time.Now()
			answer, err := c.Do(ctx, caller.Request{Service: d.fleet.layout.services[0].name, Method: http.MethodGet, Path: "/stock/key"})
			if err == nil && answer.Outcome == marker.OutcomeAnswered {
				ran = sent
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	last <- ran
}

// sceneBackend announces that a backend server leaves and measures until its
// last new request.
func sceneBackend(ctx context.Context, d *demo) (string, error) {
	t := d.fleet.targets[0]
	t.leaving = true
	if err := d.fleet.publishService(ctx, t.service); err != nil {
		return "", err
	}
	at := time.Now()
	before := t.backend.Executed()
	lastNew := at
	for time.Since(at) < sceneTime {
		if err := clocker.Sleep(ctx, 20*time.Millisecond); err != nil {
			return "", err
		}
		if now := t.backend.Executed(); now != before {
			before = now
			lastNew = time.Now()
		}
	}
	took := lastNew.Sub(at)
	if took > 2900*time.Millisecond {
		d.fail("a leaving backend server still got work after 2.9 s")
	}
	d.drainTime = took
	return fmt.Sprintf("last new request %d ms after", took.Milliseconds()), nil
}

func sceneStop(ctx context.Context, d *demo) (string, error) {
	host := d.fleet.host(d.fleet.layout.zoneOf(0))
	if host == nil {
		return "", errors.New("no host is left to stop")
	}
	began := time.Now()
	d.fleet.stopHost(host)
	took := time.Since(began)
	return fmt.Sprintf("%s stopped in %d ms", host.name, took.Milliseconds()), clocker.Sleep(ctx, time.Second)
}

func sceneKill(ctx context.Context, d *demo) (string, error) {
	host := d.fleet.host(d.fleet.layout.zoneOf(1))
	if host == nil {
		return "", errors.New("no host is left to kill")
	}
	d.fleet.killHost(host)
	return host.name + " killed", clocker.Sleep(ctx, sceneTime)
}

func sceneTenant(ctx context.Context, d *demo) (string, error) {
	w := d.fleet.layout.workspaces[0].name
	d.traffic.boost.Store(w, 5.0)
	defer d.traffic.boost.Delete(w)
	return w + " sends 5 times its rate", clocker.Sleep(ctx, sceneTime)
}

func sceneCut(ctx context.Context, d *demo) (string, error) {
	zone := d.fleet.layout.zoneOf(3)
	d.fleet.links.cutOff(zone, true)
	err := clocker.Sleep(ctx, lease+2*time.Second)
	d.fleet.links.cutOff(zone, false)
	if err != nil {
		return "", err
	}
	return zone + " cut off for 5 s", clocker.Sleep(ctx, 2*time.Second)
}

func sceneStore(ctx context.Context, d *demo) (string, error) {
	d.fleet.platform.SetOutage(true)
	err := clocker.Sleep(ctx, lease+2*time.Second)
	d.fleet.platform.SetOutage(false)
	if err != nil {
		return "", err
	}
	return "store out for 5 s", clocker.Sleep(ctx, 2*time.Second)
}

const (
	moveStep     = 0.25
	moveInterval = time.Second
)

// sceneMove shifts the first service's work from the first region to the second
// and checks that no interval moved more than the cap.
func sceneMove(ctx context.Context, d *demo) (string, error) {
	layout := d.fleet.layout
	service := layout.services[0].name
	file := fmt.Sprintf("kind: move\nmove: shift\nservice: %s\nfrom: %s\nto: %s\nstep: %g\ninterval: %s\npromise: 1s\n",
		service, layout.regions[0], layout.regions[1], moveStep, moveInterval)
	_, err := publisher.New(d.fleet.store).Publish(ctx, publisher.Change{
		Author: "demo", Edits: map[string]func([]byte) ([]byte, error){"shift.yaml": publisher.Replace([]byte(file))},
	})
	if err != nil {
		return "", err
	}
	began := time.Now()
	record, err := mover.New("shift", "planned").Fire(charter.MustLoad("move"), mover.Start, "demo")
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

// watchMove follows the move to its end and checks the times of its steps.
func (d *demo) watchMove(ctx context.Context, began time.Time) (string, error) {
	steps := 0
	share := int64(0)
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
		if record.SharePPM != share {
			steps++
			if grown := record.SharePPM - share; grown > moveStep*mover.Million {
				d.fail(fmt.Sprintf("move grew by %d millionths in one step", grown))
			}
			if since := time.Since(last); steps > 1 && since < moveInterval-100*time.Millisecond {
				d.fail(fmt.Sprintf("move took two steps within %v", since))
			}
			share, last = record.SharePPM, time.Now()
		}
		if record.State == "finished" {
			return fmt.Sprintf("moved in %d steps, %d ms", steps, time.Since(began).Milliseconds()), clocker.Sleep(ctx, moveInterval)
		}
		if err := clocker.Sleep(ctx, 20*time.Millisecond); err != nil {
			return "", err
		}
	}
	d.fail("the move did not finish")
	return "not finished", nil
}

func sceneRegion(ctx context.Context, d *demo) (string, error) {
	region := d.fleet.layout.regions[len(d.fleet.layout.regions)-1]
	for _, host := range d.fleet.liveHosts() {
		if d.fleet.layout.regionOf(host.zone) == region {
			d.fleet.killHost(host)
		}
	}
	for _, t := range d.fleet.targets {
		if d.fleet.layout.regionOf(t.zone) == region {
			_ = t.http.Close()
		}
	}
	return "all hosts and backend servers of " + region + " end", clocker.Sleep(ctx, sceneTime+2*time.Second)
}
