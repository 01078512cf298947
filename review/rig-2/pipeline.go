package main

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Of the case "pipeline".
const (
	rollBytes    = 1500 << 10
	garbleShare  = 0.02 // of the answers of half of the targets that are broken off
	garbleLength = 5500 * time.Millisecond
	garblePause  = 3 * time.Second
	garbleTimes  = 6
	assessors    = 24
	behind       = 6 // requests that are sent behind a download
)

// playPipeline lets targets break off some downloads, and counts the requests that clients
// sent behind them, that other targets have answered, and whose connection was closed
// without that answer.
func playPipeline(d *deployment) (bool, error) {
	d.configure(map[string]any{
		"r-rolls": route("/rolls/", "download", "rolls", 20), "r-parcels": route("/parcels/", "safe", "parcels", 20),
	}, "rolls", "parcels")
	var garbled atomic.Bool
	roll, parcel := bytes.Repeat([]byte("roll "), rollBytes/5), bytes.Repeat([]byte("parcel "), 200)
	good := func(*http.Request) reply {
		return reply{work: time.Duration(20+rand.IntN(40)) * time.Millisecond, status: http.StatusOK, body: roll}
	}
	bad := func(r *http.Request) reply {
		answer := good(r)
		if garbled.Load() && rand.Float64() < garbleShare {
			answer.cutFrom = len(roll) * 9 / 10
		}
		return answer
	}
	lookup := func(*http.Request) reply {
		return reply{work: time.Duration(20+rand.IntN(40)) * time.Millisecond, status: http.StatusOK, body: parcel}
	}
	for _, err := range []error{d.addTargets("rolls", 4, 9, good), d.addTargets("parcels", 12, 9, lookup)} {
		if err != nil {
			return false, err
		}
	}
	for _, id := range []string{"i-rolls-bad-0", "i-rolls-bad-1", "i-rolls-bad-2", "i-rolls-bad-3"} {
		if err := d.addNamedTarget("rolls", id, 9, bad); err != nil {
			return false, err
		}
	}
	if err := d.startHosts(machine{memoryMB: 284, descriptors: 4100}); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	var stopped atomic.Bool
	for i := range assessors {
		clients.Go(func() { d.assess(i, &stopped) })
	}
	for n := range garbleTimes {
		time.Sleep(garblePause)
		if d.trouble {
			d.notef("garbled answers %d", n+1)
			garbled.Store(true)
		}
		time.Sleep(garbleLength)
		garbled.Store(false)
	}
	stopped.Store(true)
	clients.Wait()
	return d.lostBehind(), nil
}

// assess is a client that sends lookups behind a download, on a kept connection.
func (d *deployment) assess(number int, stopped *atomic.Bool) {
	c := &client{deployment: d, name: clientName(number), limit: 20 * time.Second}
	defer c.disconnect()
	for !stopped.Load() {
		if c.connect() != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		batch := []string{"/rolls/ogun"}
		if c.answered == 0 {
			batch = []string{"/parcels/first"} // makes the connection a kept one
		} else {
			for range behind {
				batch = append(batch, "/parcels/one")
			}
		}
		var sent []*request
		for _, path := range batch {
			r, err := c.send(http.MethodGet, path, nil)
			sent = append(sent, r)
			if err != nil {
				break
			}
		}
		for _, r := range sent {
			if c.conn == nil {
				d.ended(r, 0, "closed before its turn", time.Now())
				continue
			}
			c.receive(r)
		}
		time.Sleep(time.Duration(50+rand.IntN(100)) * time.Millisecond)
	}
}

// lostBehind reports whether a host has lost more answers than the rule allows.
func (d *deployment) lostBehind() bool {
	lost, downloads, brokenOff, failed := map[string]int{}, 0, 0, 0
	for _, r := range d.all() {
		switch {
		case strings.Contains(r.what, "/rolls/"):
			downloads++
			if r.status == 0 {
				brokenOff++
			}
		case r.status != 0 && r.status != http.StatusOK:
			failed++
		case r.status == 0 && r.kept && r.runs > 0 && r.sound && strings.HasPrefix(r.answer, "closed"):
			lost[r.host]++
			d.notef("lost: lookup %s, answered %s by %s at %.3f, client saw %q at %.3f", r.id, r.theirs, r.target,
				r.theirsAt.Sub(d.began).Seconds(), r.answer, r.endedAt.Sub(d.began).Seconds())
		}
	}
	d.notef("downloads: %d, broken off: %d; lookups not served: %d; run, but closed without an answer, by host: %v", downloads, brokenOff, failed, lost)
	for _, n := range lost {
		if n > lostAllowed {
			return true
		}
	}
	return false
}
