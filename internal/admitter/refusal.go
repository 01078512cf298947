package admitter

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"magnoliahill.example/magnoliahill/pkg/header"
)

// Refusal describes the response that this host sends in place of a backend
// server's response.
type Refusal struct {
	status     int
	outcome    string
	reason     string
	text       string        // response body
	retryAfter time.Duration // delay before a retry; 0 when a retry does not help
}

// RefuseNotRun returns a refusal of a request that no backend server has executed.
func RefuseNotRun(status int, reason, text string, retryAfter time.Duration) *Refusal {
	return &Refusal{
		status: status, outcome: header.OutcomeNotRun, reason: reason,
		text: text, retryAfter: retryAfter,
	}
}

// RefuseUnknown returns a refusal of a request that a backend server may have
// executed.
func RefuseUnknown(status int, reason, text string) *Refusal {
	return &Refusal{status: status, outcome: header.OutcomeUnknown, reason: reason, text: text}
}

// Reason returns the machine-readable reason, one of the header.Reason
// constants.
func (r *Refusal) Reason() string { return r.reason }

// Outcome returns "not-run" or "unknown".
func (r *Refusal) Outcome() string { return r.outcome }

// Status returns the HTTP status code.
func (r *Refusal) Status() int { return r.status }

// RetryAfter returns the delay before a retry, or 0 when a retry does not help.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Error returns the text of the response body.
func (r *Refusal) Error() string { return r.text }

// Write sends the refusal as a response. It rounds the retry delay up to whole
// seconds.
func (r *Refusal) Write(w http.ResponseWriter) {
	headers := w.Header()
	headers.Set(header.Outcome, r.outcome)
	headers.Set(header.Reason, r.reason)
	headers.Set("Content-Type", "text/plain; charset=utf-8")
	if r.retryAfter > 0 {
		seconds := int(math.Ceil(r.retryAfter.Seconds()))
		headers.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(r.text + "\n"))
}
