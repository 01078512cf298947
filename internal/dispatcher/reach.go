package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/roundtripper"
	"magnoliahill.example/magnoliahill/pkg/placer"
)

const (
	firstCheckTimeout = 150 * time.Millisecond // of the first connection of a check: three round trips between regions
	checkTimeout      = 250 * time.Millisecond // of the others, which are opened together
	checkTargets      = 4                      // backend servers that a check asks for connections
)

// reportReach starts a check of the service if a connection could not be opened, or broke
// while no other one had a response.
func (c *call) reportReach(ctx context.Context, pick placer.Pick, err error) {
	if ctx.Err() != nil {
		return // the backend server may just be slow
	}
	broken := errors.Is(err, roundtripper.ErrBadResponse) && !c.dispatcher.placer.RespondedSince(pick.StartedAt(), c.service)
	if broken || errors.Is(err, roundtripper.ErrUnreachable) {
		c.dispatcher.SuspectReach(c.service)
	}
}

// SuspectReach starts to check whether the host reaches a service, unless that was done
// just now.
func (c *Dispatcher) SuspectReach(service string) {
	if c.reach != nil && c.reach.Suspect(c.clock.Now(), service) {
		go c.CheckReach(service, false)
	}
}

// CheckReach checks whether any backend server of a service accepts a connection. A
// service that was lost is checked by a random choice of servers: the ones that
// responded last may be gone.
func (c *Dispatcher) CheckReach(service string, lost bool) {
	began := c.clock.Now()
	targets := c.placer.CheckTargets(began, service, checkTargets, lost)
	passed := len(targets) == 0 || c.anyAccepts(targets[:1], firstCheckTimeout) || c.anyAccepts(targets[1:], checkTimeout)
	now := c.clock.Now()
	if c.reach.Checked(now, service, passed) {
		klog.InfoS("reach of service changed", "service", service, "reached", passed, "servers", len(targets), "took", now-began)
		c.onReach(service)
	}
}

// anyAccepts reports whether any of the backend servers accepts a connection.
func (c *Dispatcher) anyAccepts(targets []placer.Endpoint, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	accepted := make(chan bool, len(targets))
	for _, t := range targets {
		go func() {
			accepted <- c.roundTripper.Check(ctx, roundtripper.Target{Address: t.Address, Instance: t.ID}) == nil
		}()
	}
	for range targets {
		if <-accepted {
			return true
		}
	}
	return false
}

// reaches reports whether the request uses the host's own links. The choice stays the
// same for all attempts while the service returns.
func (c *call) reaches(now time.Duration) bool {
	if !c.linksChosen {
		c.linkDraw = rand.Float64()
		c.linksChosen = true
	}
	return c.dispatcher.reach == nil || c.dispatcher.reach.UsesOwnLinks(now, c.service, c.linkDraw)
}
