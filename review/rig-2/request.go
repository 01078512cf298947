package main

import (
	"fmt"
	"sort"
	"time"
)

// request is one client attempt, as clients and targets saw it.
type request struct {
	id, what string
	host     string    // set by the client, as the following two
	kept     bool      // the connection had an answer before
	sentAt   time.Time // zero until it was sent
	runs     int       // times that a target ran it
	ranAt    time.Time
	target   string
	theirs   string // what the target answered; "" if nothing
	sound    bool   // the target sent its whole answer
	theirsAt time.Time
	answer   string // what the client saw; "" until the attempt ended
	status   int    // 0 without an answer
	endedAt  time.Time
}

// add adds a request that is about to be sent.
func (d *deployment) add(id, what string) *request {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &request{id: id, what: what}
	d.requests[id] = r
	return r
}

// ended records what the client saw in the end.
func (d *deployment) ended(r *request, status int, saw string, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.status, r.answer, r.endedAt = status, saw, at
}

// ran records that a target begins to work on a request.
func (d *deployment) ran(id, target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.requests[id]; r != nil {
		r.runs++
		r.target, r.ranAt = target, time.Now()
	}
}

// targetAnswered records what a target has answered.
func (d *deployment) targetAnswered(id, answer string, whole bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.requests[id]; r != nil {
		r.theirs, r.sound, r.theirsAt = answer, whole, time.Now()
	}
}

// all returns the requests in the order in which they were sent. The caller must not
// change them.
func (d *deployment) all() []request {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sorted()
}

func (d *deployment) sorted() []request {
	list := make([]request, 0, len(d.requests))
	for _, r := range d.requests {
		if !r.sentAt.IsZero() {
			list = append(list, *r)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].sentAt.Before(list[j].sentAt) })
	return list
}

// writeRequests writes what was sent, answered and run. The caller holds the lock.
func (d *deployment) writeRequests() {
	_, _ = d.record.WriteString("sent id request host kept | runs target at | target's answer at | client saw at\n")
	at := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.3f", t.Sub(d.began).Seconds())
	}
	for _, r := range d.sorted() {
		_, _ = fmt.Fprintf(d.record, "%s %s %s %s kept=%v | %d %s %s | %s %s | %s %s\n", at(r.sentAt), r.id, r.what, r.host, r.kept,
			r.runs, r.target, at(r.ranAt), r.theirs, at(r.theirsAt), r.answer, at(r.endedAt))
	}
}
