package demonstrator

import (
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/pkg/caller"
	"magnoliahill.example/magnoliahill/pkg/header"
)

const (
	orderShare    = 0.3 // share of requests that place an order, which must not be executed twice
	patientShare  = 0.2 // share of requests to the service of class patient
	answerTimeout = 8 * time.Second
)

// outcome is the outcome of one request as its caller observed it.
type outcome struct {
	workspace string
	scene     int // index of the scene in which it was sent
	started   time.Time
	latency   time.Duration
	answered  bool
	overRate  bool
	unknown   bool
	reason    string // reason of a refusal
	errorText string
}

// traffic sends requests of all workspaces from all zones and records their
// outcomes.
type traffic struct {
	fleet       *fleet
	scene       atomic.Int64 // index of the current scene, or -1 before the first
	loadFactors sync.Map     // demand as a multiple of the rate by workspace, in place of the layout's load
	mu          sync.Mutex
	outcomes    []outcome
	orders      map[string]string // outcome for the caller by order ID
	violations  []string
	running     sync.WaitGroup
	callers     []*caller.Caller
}

func newTraffic(f *fleet) *traffic {
	return &traffic{fleet: f, orders: map[string]string{}}
}

// start sends requests in the background until the context is done.
func (t *traffic) start(ctx context.Context) {
	for i, w := range t.fleet.layout.workspaces {
		for j, zone := range t.fleet.layout.zoneNames() {
			c := caller.New(t.fleet.seeds(zone), caller.WithZone(zone), caller.WithWorkspace(w.name),
				caller.WithKey(t.fleet.keys[w.name][w.name+"-1"]), caller.WithMaxRetryWait(0))
			t.callers = append(t.callers, c)
			seed := uint64(i*100 + j)
			t.running.Add(1)
			go t.generate(ctx, w, c, mathrand.New(mathrand.NewPCG(seed, seed)))
		}
	}
}

// generate sends requests at exponentially distributed intervals, without waiting
// for the responses to earlier ones.
func (t *traffic) generate(ctx context.Context, w workspaceLayout, c *caller.Caller, random *mathrand.Rand) {
	defer t.running.Done()
	zones := float64(len(t.fleet.layout.zoneNames()))
	next := time.Now()
	for {
		load := w.load
		if factor, ok := t.loadFactors.Load(w.name); ok {
			load = factor.(float64)
		}
		rate := float64(w.rate) * load / zones
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		request := t.request(random)
		t.running.Add(1)
		go t.send(w, c, request)
	}
}

// request returns a random request: a read, an order, or a request to the patient
// service.
func (t *traffic) request(random *mathrand.Rand) caller.Request {
	services := t.fleet.layout.services
	r := caller.Request{
		Service: services[0].name, Method: http.MethodGet,
		ID: rand.Text(),
	}
	r.Path = "/stock/" + r.ID
	switch p := random.Float64(); {
	case p < patientShare:
		r.Service = services[1].name
		r.Path = "/records/" + r.ID
	case p < patientShare+orderShare:
		r.Method = http.MethodPost
		r.Path = "/order/" + r.ID
		r.Body = []byte("brooms: 12")
	}
	return r
}

// send sends one request and records its outcome.
func (t *traffic) send(w workspaceLayout, c *caller.Caller, r caller.Request) {
	defer t.running.Done()
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	scene := int(t.scene.Load())
	started := time.Now()
	answer, err := c.Do(ctx, r)
	o := outcome{workspace: w.name, scene: scene, started: started, latency: time.Since(started)}
	switch {
	case errors.Is(err, caller.ErrOutcomeUnknown):
		o.unknown = true
		o.errorText = err.Error()
		klog.InfoS("request may or may not have been executed", "path", r.Path, "workspace", w.name, "err", err)
	case err != nil:
		o.errorText = err.Error()
		klog.InfoS("request failed", "path", r.Path, "workspace", w.name, "err", err)
	case answer.Outcome == header.OutcomeAnswered:
		o.answered = answer.Status < http.StatusInternalServerError
		t.checkAnswer(w, r, answer)
	default:
		o.reason = answer.Reason
		o.overRate = answer.Reason == header.ReasonOverRate
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes = append(t.outcomes, o)
	if r.Method == http.MethodPost {
		t.orders[r.ID] = orderOutcome(o, answer)
	}
}

// orderOutcome returns the outcome of an order for its caller. A response with a
// server error counts as unknown.
func orderOutcome(o outcome, answer *caller.Response) string {
	switch {
	case o.answered:
		return header.OutcomeAnswered
	case answer != nil && answer.Outcome == header.OutcomeNotRun:
		return header.OutcomeNotRun
	}
	return header.OutcomeUnknown
}

// checkAnswer checks that a response is complete, that it belongs to the request,
// and that the backend server received the right workspace.
func (t *traffic) checkAnswer(w workspaceLayout, r caller.Request, answer *caller.Response) {
	text := string(answer.Body)
	wanted := fmt.Sprintf("for %s, %d bytes\n", w.name, len(r.Body))
	if !strings.Contains(text, r.Path) || !strings.HasSuffix(text, wanted) {
		t.addViolation(fmt.Sprintf("request %s of %s received the answer %q", r.Path, w.name, text))
	}
}

// addViolation records that an invariant was violated.
func (t *traffic) addViolation(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.violations = append(t.violations, text)
}

// close waits until all requests have ended and closes the callers.
func (t *traffic) close() {
	t.running.Wait()
	for _, c := range t.callers {
		c.Close()
	}
}

// checkOrders checks that no order was executed twice, and that the outcome that
// each caller received agrees with the executions at the backend servers.
func (t *traffic) checkOrders() {
	executions := map[string]int{}
	for _, server := range t.fleet.backendServers {
		server.backend.EachRequest(func(id string, n int) { executions[id] += n })
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, callerOutcome := range t.orders {
		switch {
		case executions[id] > 1:
			t.violations = append(t.violations, fmt.Sprintf("order %s was executed %d times", id, executions[id]))
		case callerOutcome == header.OutcomeNotRun && executions[id] > 0:
			t.violations = append(t.violations, fmt.Sprintf("order %s was executed, but its caller received the outcome that it was not", id))
		case callerOutcome == header.OutcomeAnswered && executions[id] == 0:
			t.violations = append(t.violations, fmt.Sprintf("order %s was answered, but was not executed", id))
		}
	}
}
