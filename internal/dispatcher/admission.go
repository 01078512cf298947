package dispatcher

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"magnoliahill.example/magnoliahill/internal/admitter"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/header"
)

// admit finds the route and workspace of the request and charges the workspace's
// rate limit.
func (c *call) admit() *admitter.Refusal {
	if c.snapshot.catalog == nil {
		return unavailable(header.ReasonNoConfig, "the host has no configuration yet", noConfigRetryAfter)
	}
	if c.snapshot.phase == Finishing {
		return unavailable(header.ReasonStopping, "the host is stopping, use another", stoppingRetryAfter)
	}
	c.route = c.snapshot.catalog.Route(hostName(c.r.Host), c.r.URL.Path)
	if c.route == nil && c.relayedBy != "" {
		return unavailable(header.ReasonNoConfig, "the host does not know the route yet", minRetryAfter)
	}
	if c.route == nil {
		return admitter.RefuseNotRun(http.StatusNotFound, header.ReasonServiceUnknown, "no route is for this host and path", 0)
	}
	c.maxAttempts = c.route.MaxAttempts()
	c.setDeadline()
	if !c.snapshot.accepts(c.startedAt, c.deadline-c.startedAt) {
		return unavailable(header.ReasonStopping, "the host is stopping, use another", stoppingRetryAfter)
	}
	if limit := c.snapshot.catalog.CallerLimits().BodyBytes(); limit > 0 && c.r.ContentLength > limit {
		return admitter.RefuseNotRun(http.StatusRequestEntityTooLarge, header.ReasonBadRequest, "the body is too large", 0)
	}
	if cookie, err := c.r.Cookie(c.dispatcher.headerNames.ObjectCookie); err == nil {
		c.object = cookie.Value
	}
	if c.relayedBy != "" {
		return c.admitRelayed()
	}
	if !c.route.Public() {
		key := c.snapshot.catalog.Key(cataloger.HashKey(c.r.Header.Get(c.dispatcher.headerNames.Key)))
		if key == nil {
			return admitter.RefuseNotRun(http.StatusUnauthorized, header.ReasonKeyUnknown, "the key is not in force", 0)
		}
		c.workspace = c.snapshot.catalog.Workspace(key.Workspace())
	}
	object := ""
	if c.route.StickySessions() {
		object = c.object // only then backend servers are faster with an object that they know
	}
	c.split = c.dispatcher.splitter.choose(c.route, object, rand.Float64())
	c.service = c.split.service
	return c.charge()
}

// setDeadline sets the deadline to the earlier of the caller's and the route's
// time limits.
func (c *call) setDeadline() {
	limit := c.route.Timeout()
	if ms, err := strconv.ParseInt(c.r.Header.Get(c.dispatcher.headerNames.Deadline), 10, 64); err == nil && ms > 0 {
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	c.deadline = c.startedAt + limit
}

// hostName returns a Host header without its port. An IPv6 address is returned
// without its brackets.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return strings.Trim(host, "[]")
}

// charge counts the request against the workspace's rate limit.
func (c *call) charge() *admitter.Refusal {
	if c.workspace == nil || c.workspace.Rate() <= 0 {
		return nil
	}
	ok, wait := c.dispatcher.rateLimiter.Take(c.r.Context(), c.dispatcher.clock.Now(), c.workspace.Name())
	if ok {
		return nil
	}
	return admitter.RefuseNotRun(http.StatusTooManyRequests, header.ReasonOverRate, "the workspace is over its rate", wait)
}

// refund returns the charge for a request that never reached a backend server,
// so that a caller that retries it is not charged twice.
func (c *call) refund(refusal *admitter.Refusal) {
	if c.workspace != nil && c.relayedBy == "" && refusal.Outcome() == header.OutcomeNotRun && c.sentAttempts == 0 {
		c.dispatcher.rateLimiter.Refund(c.dispatcher.clock.Now(), c.workspace.Name())
	}
}
