package main

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Of the case "framing".
const (
	buyers      = 60
	spoilShare  = 0.02 // of the answers of half of the targets
	spoilLength = 5500 * time.Millisecond
	spoilPause  = 3 * time.Second
	spoilTimes  = 5
)

var priceList = bytes.Repeat([]byte("sorghum broom 1200\n"), 20)

// playFraming lets targets spoil some answers: these are sent in chunks, but with a version
// of the protocol that knows none. It counts the successes with another body than the target's.
func playFraming(d *deployment) (bool, error) {
	d.configure(map[string]any{"r-stock": route("/stock/", "safe", "stock", 3)}, "stock")
	var spoiled atomic.Bool
	good := func(*http.Request) reply {
		return reply{work: time.Duration(40+rand.IntN(40)) * time.Millisecond, status: http.StatusOK, body: priceList}
	}
	bad := func(r *http.Request) reply {
		answer := good(r)
		answer.old = spoiled.Load() && rand.Float64() < spoilShare
		return answer
	}
	if err := d.addTargets("stock", 4, 8, good); err != nil {
		return false, err
	}
	for _, id := range []string{"i-stock-bad-0", "i-stock-bad-1", "i-stock-bad-2", "i-stock-bad-3"} {
		if err := d.addNamedTarget("stock", id, 8, bad); err != nil {
			return false, err
		}
	}
	if err := d.startHosts(machine{memoryMB: 284, descriptors: 4100}); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	var stopped atomic.Bool
	var wrong, answered atomic.Int64
	for i := range buyers {
		clients.Go(func() {
			c := &client{deployment: d, name: clientName(i), limit: 3 * time.Second}
			defer c.disconnect()
			for ; !stopped.Load(); time.Sleep(time.Duration(50+rand.IntN(50)) * time.Millisecond) {
				if c.connect() != nil {
					continue
				}
				r, err := c.send(http.MethodGet, "/stock/brooms", nil)
				if err != nil {
					d.ended(r, 0, "closed: "+err.Error(), time.Now())
					c.disconnect()
					continue
				}
				if c.receive(r) != http.StatusOK {
					continue
				}
				answered.Add(1)
				if !bytes.Equal(c.body, priceList) {
					wrong.Add(1)
					d.notef("wrong: %s, status 200 with the stamp %q and %d bytes, which begin with %q; the target's body has %d", r.id, c.stamp, len(c.body), c.body[:min(24, len(c.body))], len(priceList))
				}
			}
		})
	}
	for n := range spoilTimes {
		time.Sleep(spoilPause)
		if d.trouble {
			d.notef("spoiled answers %d", n+1)
			spoiled.Store(true)
		}
		time.Sleep(spoilLength)
		spoiled.Store(false)
	}
	stopped.Store(true)
	clients.Wait()
	d.notef("answered with success: %d; with another body than the target's: %d", answered.Load(), wrong.Load())
	return wrong.Load() > 0, nil
}
