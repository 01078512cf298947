package carrier

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/admitter"
	"magnoliahill.example/magnoliahill/internal/exchanger"
	"magnoliahill.example/magnoliahill/internal/forwarder"
	"magnoliahill.example/magnoliahill/internal/recorder"
	"magnoliahill.example/magnoliahill/pkg/marker"
	"magnoliahill.example/magnoliahill/pkg/placer"
)

// Words of a call's trail, one for each try.
const (
	trailAnswered  = "answered"
	trailShed      = "shed"
	trailElsewhere = "other-instance"
	trailUnreached = "unreached"
	trailUnknown   = "unknown"
)

// note adds a try to the trail.
func (c *call) note(pick placer.Pick, answer *exchanger.Answer, err error) {
	word := trailUnknown
	switch {
	case err == nil && answer.Status < http.StatusInternalServerError && !c.garbled(answer):
		word = trailAnswered
	case errors.Is(err, forwarder.ErrShed):
		word = trailShed
	case errors.Is(err, exchanger.ErrMisdirected):
		word = trailElsewhere
	case errors.Is(err, exchanger.ErrUnreachable):
		word = trailUnreached
	}
	c.mayHaveRun = c.mayHaveRun || word == trailUnknown
	if c.trail != "" {
		c.trail += " | "
	}
	took := c.carrier.clock.Now() - pick.Began()
	c.trail += pick.ID() + ":" + word + ":" + strconv.FormatInt(took.Milliseconds(), 10) + "ms"
	if err != nil && word == trailUnknown {
		c.trail += ":" + err.Error()
	}
}

// pass hands the backend server's answer to the caller.
func (c *call) pass(answer *exchanger.Answer) {
	words := &c.carrier.words
	header := c.w.Header()
	closing := header.Get("Connection")
	forwarder.CopyEndToEnd(header, answer.Header)
	if closing != "" {
		header.Set("Connection", closing)
	}
	for _, name := range []string{words.RequestID, words.Signature} {
		if values := answer.Header[name]; len(values) > 0 {
			header[name] = values
		}
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil // keeps the library from guessing one
	}
	c.setLength(answer)
	c.w.WriteHeader(answer.Status)
	c.write(answer)
	took := c.carrier.clock.Now() - c.began
	c.carrier.latency.Answered(c.key(), took)
	c.log("answered", answer.Status, "")
}

func (c *call) setLength(answer *exchanger.Answer) {
	header := c.w.Header()
	switch {
	case c.r.Method == http.MethodHead || answer.Status == http.StatusNoContent || answer.Status == http.StatusNotModified:
	case answer.Length >= 0:
		header.Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	default:
		header.Del("Content-Length")
	}
}

// write sends the body. An answer that breaks off is passed on as broken.
func (c *call) write(answer *exchanger.Answer) {
	_, err := c.w.Write(answer.Body)
	if answer.Rest == nil {
		return // the caller is gone if the write failed
	}
	if err == nil {
		_, err = io.Copy(c.w, answer.Rest)
	}
	if closed := answer.Rest.Close(); err == nil {
		err = closed
	}
	if err != nil {
		c.log("cut short", answer.Status, err.Error())
		panic(http.ErrAbortHandler)
	}
}

// refuse answers the caller in place of a backend server.
func (c *call) refuse(refusal *admitter.Refusal) {
	header := c.w.Header()
	header.Set(c.carrier.words.RequestID, c.id)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set(marker.Reason, refusal.Reason())
	if after := refusal.RetryAfter(); after > 0 {
		header.Set("Retry-After", c.carrier.dialect.FormatRetryAfter(after))
	}
	c.w.WriteHeader(refusal.Status())
	_, _ = io.WriteString(c.w, refusal.Error()+"\n") // the caller is gone if this fails
	if c.route != nil {
		c.carrier.latency.Refused(c.key(), refusal.Reason() == marker.ReasonRate, refusal.Outcome() == marker.OutcomeUnknown)
	}
	c.carrier.scope.Tagged(map[string]string{"reason": refusal.Reason()}).Counter("requests_refused").Inc(1)
	c.log(refusal.Outcome(), refusal.Status(), refusal.Reason())
}

func (c *call) key() recorder.Key {
	key := recorder.Key{Service: c.service}
	if c.workspace != nil {
		key.Workspace = c.workspace.Name()
	}
	return key
}

// log writes the one line of a request: what decided it, how old that was, and
// how it ended.
func (c *call) log(outcome string, status int, reason string) {
	now := c.carrier.clock.Now()
	route, version := "", int64(0)
	if c.route != nil {
		route = c.route.Name()
	}
	if c.view.catalog != nil {
		version = c.view.catalog.Generation()
	}
	klog.InfoS("request", "id", c.id, "outcome", outcome, "status", status, "reason", reason,
		"route", route, "workspace", c.key().Workspace, "service", c.service, "object", c.object,
		"tries", c.trail, "rank", c.last.Rank(), "load", c.last.Load(),
		"expected", c.last.Expected().Round(time.Millisecond), "took", (now - c.began).Round(time.Millisecond),
		"config", version, "configAge", (now - c.view.since).Round(time.Millisecond), "phase", c.view.phase)
}
