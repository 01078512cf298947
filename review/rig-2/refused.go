package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Of the case "refused".
const (
	greyTargets = 8    // of which one is grey; the sites have a share of 0.14
	greyShare   = 0.45 // of its requests; the sites have up to 0.55
	greyLength  = 6500 * time.Millisecond
	greyPause   = 3 * time.Second
	greyTimes   = 4
	traders     = 40
)

// playRefused lets one target fail a part of the orders after it has run them, with a
// status that promises the opposite but without the header that states it, and counts the
// orders that were answered with such a status and have run.
func playRefused(d *deployment) (bool, error) {
	d.configure(map[string]any{"r-orders": route("/orders/", "unsafe", "orders", 4)}, "orders")
	var grey atomic.Bool
	var failures atomic.Int64
	work := func() time.Duration { return time.Duration(60+rand.IntN(40)) * time.Millisecond }
	good := func(*http.Request) reply {
		return reply{work: work(), status: http.StatusOK, body: []byte("order placed\n")}
	}
	bad := func(r *http.Request) reply {
		if !grey.Load() || rand.Float64() >= greyShare {
			return good(r)
		}
		status := []int{http.StatusTooManyRequests, http.StatusRequestTimeout}[failures.Add(1)%2]
		return reply{work: work(), status: status, body: []byte("order placed, but its receipt could not be printed\n")}
	}
	if err := d.addTargets("orders", greyTargets-1, 8, good); err != nil {
		return false, err
	}
	if err := d.addNamedTarget("orders", "i-orders-grey", 8, bad); err != nil {
		return false, err
	}
	if err := d.startHosts(machine{memoryMB: 284, descriptors: 4100}); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	var stopped atomic.Bool
	for i := range traders {
		clients.Go(func() { d.trade(i, &stopped) })
	}
	for n := range greyTimes {
		time.Sleep(greyPause)
		if d.trouble {
			d.notef("grey target %d", n+1)
			grey.Store(true)
		}
		time.Sleep(greyLength)
		grey.Store(false)
	}
	stopped.Store(true)
	clients.Wait()
	return d.falselyRefused(), nil
}

// trade is a trader who places orders, and places one again, in an attempt of its own, if the
// answer promises that it has not run.
func (d *deployment) trade(number int, stopped *atomic.Bool) {
	c := &client{deployment: d, name: clientName(number), limit: 4 * time.Second}
	defer c.disconnect()
	for n := 0; !stopped.Load(); n++ {
		for range 2 { // the sites allow one retry
			if c.connect() != nil {
				break
			}
			r, err := c.send(http.MethodPost, fmt.Sprintf("/orders/%d-%d", number, n), []byte("one broom"))
			if err != nil {
				d.ended(r, 0, "closed: "+err.Error(), time.Now())
				c.disconnect()
				break
			}
			status := c.receive(r)
			if !promises(status) {
				break
			}
			c.disconnect() // clients retry on a new connection
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Duration(300+rand.IntN(400)) * time.Millisecond)
	}
}

// promises reports whether a status promises that the request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// falselyRefused reports whether a request was answered with a promise and has run.
func (d *deployment) falselyRefused() bool {
	sent, broken := 0, 0
	runs := map[string]int{}
	for _, r := range d.all() {
		sent++
		runs[r.what] += r.runs
		if promises(r.status) && r.runs > 0 {
			broken++
			d.notef("refused, but run: %s (%s) at %s, answered %s, client saw %s", r.id, r.what, r.target, r.theirs, r.answer)
		}
	}
	doubled := 0
	for _, n := range runs {
		if n > 1 {
			doubled++
		}
	}
	d.notef("sent: %d; answered with a promise, but run: %d; orders that were placed twice: %d", sent, broken, doubled)
	return broken > 0
}
