package target

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// statusFaultPrefix begins the faults that respond with a status: "status 429", followed by
// any of the words "unsigned", "not-run" (the request is not executed, and the response
// reports that) and "early" (before the body is read).
const statusFaultPrefix = "status "

// statusFault is the fault of a response with a status.
type statusFault struct {
	text                    string // status line without the version; "" for other faults
	unsigned, notRun, early bool
}

// parseStatusFault returns the parts of a fault that responds with a status, and an empty
// one for other faults.
func parseStatusFault(fault Fault) statusFault {
	text, ok := strings.CutPrefix(string(fault), statusFaultPrefix)
	if !ok {
		return statusFault{}
	}
	words := strings.Fields(text)
	status, err := strconv.Atoi(words[0])
	if err != nil {
		panic("fault " + strconv.Quote(string(fault)) + " has no status")
	}
	return statusFault{
		text:     words[0] + " " + http.StatusText(status),
		unsigned: slices.Contains(words, "unsigned"),
		notRun:   slices.Contains(words, "not-run"),
		early:    slices.Contains(words, "early"),
	}
}

// formatStatus returns the response of a fault.
func (t *Responder) formatStatus(status statusFault, id string) string {
	const body = "done"
	switch {
	case status.notRun:
		return t.formatUnsigned(status.text, id, len(body), t.headers.NotRun+": 1\r\n"+t.extra()) + body
	case status.unsigned:
		return t.formatUnsigned(status.text, id, len(body), t.extra()) + body
	}
	return t.formatHead(status.text, id, len(body), t.extra()) + body
}

// HoldResponses makes the target execute requests without a response until the returned
// function is called.
func (t *Responder) HoldResponses() (release func()) {
	held := make(chan struct{})
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held = held
	return func() { close(held) }
}

// awaitRelease waits while responses are held.
func (t *Responder) awaitRelease() {
	t.mu.Lock()
	held := t.held
	t.mu.Unlock()
	if held != nil {
		<-held
	}
}
