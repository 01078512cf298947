package dispatcher

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/admitter"
	"magnoliahill.example/magnoliahill/internal/forwarder"
	"magnoliahill.example/magnoliahill/internal/recorder"
	"magnoliahill.example/magnoliahill/internal/roundtripper"
	"magnoliahill.example/magnoliahill/pkg/header"
	"magnoliahill.example/magnoliahill/pkg/placer"
)

// Results of an attempt, as they appear in the attempt log.
const (
	attemptAnswered      = "answered"
	attemptShed          = "shed"
	attemptOtherInstance = "other-instance"
	attemptUnreachable   = "unreached"
	attemptUnknown       = "unknown"
	attemptRelayed       = "relayed"
)

// recordAttempt appends the result of an attempt to the attempt log, in the form
// "instance:result:duration", followed by the cause if the result is unknown or the
// backend server was not reached.
func (c *call) recordAttempt(pick placer.Pick, ended *attemptResult) {
	took := c.dispatcher.clock.Now() - pick.StartedAt()
	text := pick.ID() + ":" + ended.logName() + ":" + strconv.FormatInt(took.Milliseconds(), 10) + "ms"
	if cause := ended.cause(); cause != "" {
		text += ":" + cause
	}
	c.logAttempt(text)
}

// logAttempt appends a text to the attempt log.
func (c *call) logAttempt(text string) {
	if c.attemptLog != "" {
		c.attemptLog += " | "
	}
	c.attemptLog += text
}

// writeResponse forwards the backend server's response to the caller.
func (c *call) writeResponse(ctx context.Context, resp *roundtripper.Response) {
	names := &c.dispatcher.headerNames
	headers := c.w.Header()
	connection := headers.Get("Connection")
	forwarder.CopyEndToEnd(headers, resp.Header)
	if connection != "" {
		headers.Set("Connection", connection)
	}
	if c.id != "" {
		headers.Set(names.RequestID, c.id)
	}
	if values := resp.Header[names.ResponseStamp]; len(values) > 0 {
		headers[names.ResponseStamp] = values
	}
	if _, ok := headers["Content-Type"]; !ok {
		headers["Content-Type"] = nil // prevents net/http from sniffing the content type
	}
	c.setContentLength(resp)
	c.expectUnread()
	c.w.WriteHeader(resp.Status)
	c.writeBody(ctx, resp)
	c.discardUnread()
	took := c.dispatcher.clock.Now() - c.startedAt
	if c.relayedBy == "" {
		c.dispatcher.latency.Answered(c.latencyKey(), took)
	}
	c.logRequest("answered", resp.Status, "")
}

// setContentLength sets the Content-Length header if the length is known and the
// response may have a body.
func (c *call) setContentLength(resp *roundtripper.Response) {
	headers := c.w.Header()
	switch {
	case c.r.Method == http.MethodHead || resp.Status == http.StatusNoContent || resp.Status == http.StatusNotModified:
	case resp.Length >= 0:
		headers.Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	default:
		headers.Del("Content-Length")
	}
}

// writeBody sends the response body. It aborts the caller's connection if the
// body is truncated, so that the caller notices.
func (c *call) writeBody(ctx context.Context, resp *roundtripper.Response) {
	_, err := c.w.Write(resp.Body)
	if resp.Rest == nil {
		return // a write error means that the caller closed the connection
	}
	if err == nil {
		err = c.copyRest(ctx, resp.Rest)
	}
	if closeErr := resp.Rest.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		c.logRequest("cut short", resp.Status, err.Error())
		panic(http.ErrAbortHandler)
	}
}

// copyBufferBytes is small, since every call may copy at the same time.
const copyBufferBytes = 4 << 10

// copyRest sends the rest of a response. When the time limit of the call has passed no more
// is read of it, so that a write for which the caller makes no room ends as well.
func (c *call) copyRest(ctx context.Context, rest io.Reader) error {
	stop := context.AfterFunc(ctx, func() {
		_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now()) // fails if the caller has left
	})
	// Without the methods of the writer its own, larger buffers are not used.
	_, err := io.CopyBuffer(struct{ io.Writer }{c.w}, struct{ io.Reader }{rest}, make([]byte, copyBufferBytes))
	if !stop() && err == nil {
		err = ctx.Err() // the end of the response may not have been written yet
	}
	return err
}

// refuse responds to the caller with a refusal.
func (c *call) refuse(refusal *admitter.Refusal) {
	headers := c.w.Header()
	headers.Set(c.dispatcher.headerNames.RequestID, c.id)
	headers.Set("Content-Type", "text/plain; charset=utf-8")
	headers.Set(header.Reason, refusal.Reason())
	text := refusal.Error() + "\n"
	headers.Set("Content-Length", strconv.Itoa(len(text)))
	c.expectUnread()
	if after := refusal.RetryAfter(); after > 0 {
		headers.Set("Retry-After", c.dispatcher.codec.FormatRetryAfter(after))
	}
	if c.relayedBy != "" && refusal.Outcome() == header.OutcomeNotRun {
		headers.Set(c.dispatcher.headerNames.NotRun, "1")
		headers.Set(header.RelayRetryAfter, strconv.FormatInt(refusal.RetryAfter().Milliseconds(), 10))
	}
	c.w.WriteHeader(refusal.Status())
	_, _ = io.WriteString(c.w, text) // an error means that the caller closed the connection
	c.discardUnread()
	if c.route != nil && c.relayedBy == "" {
		c.dispatcher.latency.NotAnswered(c.latencyKey(), refusal.Reason() == header.ReasonOverRate, refusal.Outcome() == header.OutcomeUnknown)
	}
	c.dispatcher.scope.Tagged(map[string]string{"reason": refusal.Reason()}).Counter("requests_refused").Inc(1)
	c.logRequest(refusal.Outcome(), refusal.Status(), refusal.Reason())
}

// latencyKey returns the service and workspace that the request's latency is
// recorded under.
func (c *call) latencyKey() recorder.Key {
	key := recorder.Key{Service: c.service}
	if c.workspace != nil {
		key.Workspace = c.workspace.Name()
	}
	return key
}

// logRequest writes the log line of a request: the configuration and backend
// server used, the age of the configuration, and the outcome.
func (c *call) logRequest(outcome string, status int, reason string) {
	now := c.dispatcher.clock.Now()
	route, version := "", int64(0)
	if c.route != nil {
		route = c.route.Name()
	}
	if c.snapshot.catalog != nil {
		version = c.snapshot.catalog.Generation()
	}
	klog.InfoS("request", "id", c.id, "outcome", outcome, "status", status, "reason", reason,
		"digest", c.loggedDigest(), "relayedBy", c.relayedBy, "route", route, "workspace", c.latencyKey().Workspace, "service", c.service, "split", c.split, "object", c.object,
		"tries", c.attemptLog, "rank", c.lastPick.Rank(), "load", c.lastPick.Load(),
		"expected", c.lastPick.Expected().Round(time.Millisecond), "took", (now - c.startedAt).Round(time.Millisecond),
		"config", version, "configAge", (now - c.snapshot.appliedAt).Round(time.Millisecond), "phase", c.snapshot.phase)
}
