package main

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Of the case "limit".
const (
	usualClients = 1100
	burstFactor  = 1.7 // the largest of the sites
	burstLength  = 5 * time.Second
	burstPause   = 6 * time.Second
	bursts       = 4
	lostAllowed  = 3 // by the rule, at one machine

	minDescriptors = 8192 // of this process, for all clients and targets
)

// playLimit lets many users come at once, so that there are more connections than the
// hosts accept, and counts the orders that a target has answered and whose client's kept
// connection was closed without that answer.
func playLimit(d *deployment) (bool, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < minDescriptors {
		return false, errors.Errorf("the case needs %d descriptors", minDescriptors)
	}
	d.configure(map[string]any{"r-orders": route("/orders/", "unsafe", "orders", 6)}, "orders")
	if err := d.addTargets("orders", 160, 9, func(*http.Request) reply {
		return reply{work: time.Duration(1000+rand.IntN(320)) * time.Millisecond, status: http.StatusOK, body: []byte("order placed\n")}
	}); err != nil {
		return false, err
	}
	if err := d.startHosts(machine{memoryMB: 136, descriptors: 2870}); err != nil {
		return false, err
	}
	var usual, extra sync.WaitGroup
	var stopped, burst atomic.Bool
	for i := range usualClients {
		usual.Go(func() { d.placeOrders(i, func() bool { return !stopped.Load() }) })
		time.Sleep(time.Millisecond)
	}
	for n := range bursts {
		time.Sleep(burstPause)
		if d.trouble {
			burst.Store(true)
			d.notef("burst %d: %d more clients", n+1, int(usualClients*(burstFactor-1)))
			for i := range int(usualClients * (burstFactor - 1)) {
				extra.Go(func() { d.placeOrders(usualClients*(n+1)+i, burst.Load) })
			}
		}
		time.Sleep(burstLength)
		burst.Store(false)
	}
	stopped.Store(true)
	extra.Wait()
	usual.Wait()
	return d.lostOrders(), nil
}

// placeOrders is a client that places one order after the other while more returns true.
func (d *deployment) placeOrders(number int, more func() bool) {
	c := &client{deployment: d, name: clientName(number), limit: 6 * time.Second}
	defer c.disconnect()
	for more() {
		err := c.connect()
		status := 0
		if err == nil {
			r, sendErr := c.send(http.MethodPost, "/orders/new", []byte("one broom"))
			if sendErr != nil {
				d.ended(r, 0, "closed: "+sendErr.Error(), time.Now())
				c.disconnect()
			} else {
				status = c.receive(r)
			}
		}
		if status != http.StatusOK {
			time.Sleep(time.Duration(200+rand.IntN(200)) * time.Millisecond)
		}
	}
}

// lostOrders reports whether a host has lost more answers than the rule allows.
func (d *deployment) lostOrders() bool {
	lost, answered, first := map[string]int{}, 0, 0
	for _, r := range d.all() {
		if r.status != 0 {
			answered++
		}
		if r.status != 0 || r.runs == 0 || !r.sound || !strings.HasPrefix(r.answer, "closed") || r.endedAt.Sub(r.sentAt) > 5*time.Second {
			continue
		}
		if !r.kept {
			first++
			continue
		}
		lost[r.host]++
		d.notef("lost: order %s, answered %s by %s at %.3f, the client's connection was closed at %.3f (%s)",
			r.id, r.theirs, r.target, r.theirsAt.Sub(d.began).Seconds(), r.endedAt.Sub(d.began).Seconds(), r.answer)
	}
	d.notef("answered: %d; run, but closed without an answer: on kept connections by host %v, on new connections %d", answered, lost, first)
	for _, n := range lost {
		if n > lostAllowed {
			return true
		}
	}
	return false
}
