package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Of the case "stall".
const (
	tenantClients = 240
	usualInterval = 1500 * time.Millisecond // between the requests of one client
	hotFactor     = 7.5                     // the largest of the sites
	hotLength     = 6500 * time.Millisecond
	hotPause      = 4 * time.Second
	hotTimes      = 5
	stallTimeout  = 2 * time.Second        // of the route
	answerSlack   = 500 * time.Millisecond // by the rule
	minStalled    = 8                      // by the rule
)

func clientName(number int) string { return fmt.Sprintf("%010x", number+1<<20) }

// playStall lets a tenant send many times its usual, and counts the requests that have no
// answer half a second after the time-out of their route.
func playStall(d *deployment) (bool, error) {
	d.configure(map[string]any{"r-filing": route("/filing/", "unsafe", "filing", stallTimeout.Seconds())}, "filing")
	if err := d.addTargets("filing", 60, 6, func(*http.Request) reply {
		return reply{work: 220 * time.Millisecond, status: http.StatusOK, body: []byte("filed\n")}
	}); err != nil {
		return false, err
	}
	if err := d.startHosts(machine{memoryMB: 284, descriptors: 4100}); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	var stopped, hot atomic.Bool
	for i := range tenantClients {
		clients.Go(func() { d.fileObjections(i, &stopped, &hot) })
	}
	for n := range hotTimes {
		time.Sleep(hotPause)
		if d.trouble {
			d.notef("hot tenant %d: %v times its usual", n+1, hotFactor)
			hot.Store(true)
		}
		time.Sleep(hotLength)
		hot.Store(false)
	}
	stopped.Store(true)
	clients.Wait()
	time.Sleep(time.Second)
	return d.stalled(), nil
}

// fileObjections is a client of the tenant, which sends one request after the other on a
// kept connection: now and then as usual, and as soon as there is an answer when it is hot.
func (d *deployment) fileObjections(number int, stopped, hot *atomic.Bool) {
	c := &client{deployment: d, name: clientName(number), limit: 4 * time.Second}
	defer c.disconnect()
	time.Sleep(time.Duration(rand.Int64N(int64(usualInterval))))
	prepare := func() (*request, []byte) {
		return c.prepare(http.MethodPost, "/filing/objection", []byte("one objection"))
	}
	next, data := prepare()
	for !stopped.Load() {
		if err := c.connect(); err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		err := c.write(next, data)
		for err == nil {
			r := next
			next, data = prepare()
			status, saw, closes := c.read(r)
			at := time.Now()
			more := !closes && !stopped.Load()
			if more && hot.Load() {
				err = c.write(next, data)
				d.ended(r, status, saw, at)
				continue
			}
			d.ended(r, status, saw, at)
			for time.Since(r.sentAt) < usualInterval && !hot.Load() && !stopped.Load() {
				time.Sleep(time.Millisecond)
			}
			if closes || stopped.Load() {
				break
			}
			err = c.write(next, data)
		}
		if err != nil {
			d.ended(next, 0, "closed: "+err.Error(), time.Now())
			next, data = prepare()
		}
		c.disconnect()
	}
}

// stalled reports whether of the requests that are unanswered at their route's time-out
// more than half have no answer half a second later.
func (d *deployment) stalled() bool {
	sent, unanswered, late, ranLate := 0, 0, 0, 0
	for _, r := range d.all() {
		sent++
		if took := r.endedAt.Sub(r.sentAt); took <= stallTimeout {
			continue
		} else if unanswered++; took <= stallTimeout+answerSlack {
			continue
		}
		late++
		if r.runs > 0 {
			ranLate++
		}
		d.notef("late: request %s, sent at %.3f to %s on a kept connection: %v, client saw %q after %v, run %d times (at %.3f)", r.id,
			r.sentAt.Sub(d.began).Seconds(), r.host, r.kept, r.answer, r.endedAt.Sub(r.sentAt).Round(time.Millisecond), r.runs, r.ranAt.Sub(d.began).Seconds())
	}
	d.notef("sent: %d; unanswered at the time-out of %v: %d, of these half a second later: %d, of these run by a target: %d", sent, stallTimeout, unanswered, late, ranLate)
	return late >= minStalled && 2*late > unanswered
}
