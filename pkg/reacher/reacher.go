// Package reacher decides for a host whether it reaches the backend servers of each
// service. Failed attempts raise a suspicion, which a check decides: a few servers are
// asked for connections. A service that was lost is checked until it is reached again,
// and requests return to the host's own links step by step. The package does no I/O.
package reacher

import (
	"slices"
	"sync"
	"time"
)

const (
	checkInterval   = 300 * time.Millisecond // between the checks of a service
	returnStep      = 500 * time.Millisecond // after which a larger share of the requests uses the host's own links
	returnShare     = 0.25                   // by which that share grows
	maxChecksPassed = 4                      // in a row, that a service which was lost several times needs to return
	lossMemory      = 30 * time.Second       // for which a loss counts towards that number
)

// States of the chart of a service, and its triggers.
const (
	stateReached   = "reached"
	stateLost      = "lost"
	stateReturning = "returning"

	triggerFailed  = "check-failed"
	triggerPassed  = "check-passed"
	triggerSettled = "settled"
)

// Chart is the state chart of a service. Step returns the state that a trigger leads
// to.
type Chart interface {
	Step(from, trigger string) (string, error)
}

// Reacher holds what a host knows of its reach. It is safe for concurrent use.
type Reacher struct {
	chart    Chart
	initial  string
	mu       sync.Mutex
	services map[string]*service
}

// service is the host's reach of one service.
type service struct {
	state     string
	since     time.Duration // when the state was entered
	checking  bool
	checkedAt time.Duration // when the last check ended
	passed    int           // checks passed in a row while lost
	losses    int           // losses within lossMemory of one another
	lostAt    time.Duration // when the service was last lost
}

// New returns a reacher that assumes that all services are reached.
func New(chart Chart, initial string) *Reacher {
	return &Reacher{chart: chart, initial: initial, services: map[string]*service{}}
}

func (r *Reacher) service(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{state: r.initial, checkedAt: -checkInterval}
		r.services[name] = s
	}
	return s
}

// Suspect reports whether a service must be checked, after an attempt at one of its
// backend servers failed. The caller then checks it and calls Checked.
func (r *Reacher) Suspect(now time.Duration, name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	return s.state != stateLost && s.startCheck(now)
}

// DueChecks returns the services that must be checked now since they were lost. The
// caller checks them and calls Checked.
func (r *Reacher) DueChecks(now time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []string
	for name, s := range r.services {
		r.settle(now, s)
		if s.state != stateReached && s.startCheck(now) {
			due = append(due, name)
		}
	}
	return due
}

func (s *service) startCheck(now time.Duration) bool {
	if s.checking || now-s.checkedAt < checkInterval {
		return false
	}
	s.checking = true
	return true
}

// Checked records the result of a check: whether any backend server of the service
// accepted a connection. It reports whether the service was lost or began to return.
func (r *Reacher) Checked(now time.Duration, name string, passed bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(name)
	s.checking = false
	s.checkedAt = now
	before := s.state
	switch {
	case !passed:
		s.passed = 0
		r.step(now, s, triggerFailed)
	case s.state != stateLost:
		r.step(now, s, triggerPassed)
	default:
		s.passed++
		if s.passed >= min(s.losses, maxChecksPassed) {
			r.step(now, s, triggerPassed)
		}
	}
	return s.state != before
}

// step changes the state of a service by a trigger.
func (r *Reacher) step(now time.Duration, s *service, trigger string) {
	next, err := r.chart.Step(s.state, trigger)
	if err != nil || next == s.state {
		return // no trigger of this package is illegal
	}
	if next == stateLost {
		if now-s.lostAt >= lossMemory {
			s.losses = 0
		}
		s.losses++
		s.lostAt = now
		s.passed = 0
	}
	s.state, s.since = next, now
}

// UsesOwnLinks reports whether a request of a service, with a random number in [0, 1),
// is sent over the host's own links.
func (r *Reacher) UsesOwnLinks(now time.Duration, name string, draw float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil {
		return true
	}
	r.settle(now, s)
	if s.state == stateReturning {
		return draw < s.share(now)
	}
	return s.state != stateLost
}

// share returns the share of the requests that uses the host's own links while a service
// returns.
func (s *service) share(now time.Duration) float64 {
	return returnShare * float64(1+(now-s.since)/returnStep)
}

// settle ends the return of a service when all requests use the host's own links.
func (r *Reacher) settle(now time.Duration, s *service) {
	if s.state == stateReturning && s.share(now) >= 1 {
		r.step(now, s, triggerSettled)
	}
}

// Lost returns the services that the host has lost, sorted.
func (r *Reacher) Lost() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lost []string
	for name, s := range r.services {
		if s.state == stateLost {
			lost = append(lost, name)
		}
	}
	slices.Sort(lost)
	return lost
}

// Retain forgets all services but those with the given names.
func (r *Reacher) Retain(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.services {
		if !slices.Contains(names, name) {
			delete(r.services, name)
		}
	}
}
