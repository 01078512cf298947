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
	"magnoliahill.example/magnoliahill/pkg/marker"
)

const (
	orderShare   = 0.3 // of requests to the order desk that must not run twice
	patientShare = 0.2 // of requests that go to the service that can wait
	answerLimit  = 8 * time.Second
)

// outcome is how one request ended for its caller.
type outcome struct {
	workspace string
	scene     int
	began     time.Time
	took      time.Duration
	answered  bool
	overRate  bool
	unknown   bool
	reason    string
	error     string
}

// traffic sends requests of all workspaces from all zones.
type traffic struct {
	fleet    *fleet
	scene    atomic.Int64
	boost    sync.Map // workspace to its demand as a multiple of its rate
	mu       sync.Mutex
	outcomes []outcome
	orders   map[string]string // id of an order to how it ended for its caller
	broken   []string
	running  sync.WaitGroup
	callers  []*caller.Caller
}

func newTraffic(f *fleet) *traffic {
	return &traffic{fleet: f, orders: map[string]string{}}
}

// start sends until the context ends.
func (t *traffic) start(ctx context.Context) {
	for i, w := range t.fleet.layout.workspaces {
		for j, zone := range t.fleet.layout.zoneNames() {
			c := caller.New(t.fleet.seeds(zone), caller.WithZone(zone), caller.WithWorkspace(w.name),
				caller.WithKey(t.fleet.keys[w.name][w.name+"-1"]), caller.WithPatience(0))
			t.callers = append(t.callers, c)
			seed := uint64(i*100 + j)
			t.running.Add(1)
			go t.generate(ctx, w, c, mathrand.New(mathrand.NewPCG(seed, seed)))
		}
	}
}

// generate sends requests at exponentially distributed times, whether or not
// earlier ones have been answered.
func (t *traffic) generate(ctx context.Context, w workspaceLayout, c *caller.Caller, random *mathrand.Rand) {
	defer t.running.Done()
	zones := float64(len(t.fleet.layout.zoneNames()))
	next := time.Now()
	for {
		load := w.load
		if boosted, ok := t.boost.Load(w.name); ok {
			load = boosted.(float64)
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

func (t *traffic) send(w workspaceLayout, c *caller.Caller, r caller.Request) {
	defer t.running.Done()
	ctx, cancel := context.WithTimeout(context.Background(), answerLimit)
	defer cancel()
	scene := int(t.scene.Load())
	began := time.Now()
	answer, err := c.Do(ctx, r)
	o := outcome{workspace: w.name, scene: scene, began: began, took: time.Since(began)}
	switch {
	case errors.Is(err, caller.ErrUnknown):
		o.unknown = true
		o.error = err.Error()
		klog.InfoS("request may or may not have run", "path", r.Path, "workspace", w.name, "err", err)
	case err != nil:
		o.error = err.Error()
		klog.InfoS("request failed", "path", r.Path, "workspace", w.name, "err", err)
	case answer.Outcome == marker.OutcomeAnswered:
		o.answered = answer.Status < http.StatusInternalServerError
		t.checkAnswer(w, r, answer)
	default:
		o.reason = answer.Reason
		o.overRate = answer.Reason == marker.ReasonRate
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes = append(t.outcomes, o)
	if r.Method == http.MethodPost {
		t.orders[r.ID] = ended(o, answer)
	}
}

func ended(o outcome, answer *caller.Answer) string {
	switch {
	case o.answered:
		return marker.OutcomeAnswered
	case answer != nil && answer.Outcome == marker.OutcomeNotRun:
		return marker.OutcomeNotRun
	}
	return marker.OutcomeUnknown
}

// checkAnswer checks that an answer is whole, to this very request, and that
// the backend server saw the right workspace.
func (t *traffic) checkAnswer(w workspaceLayout, r caller.Request, answer *caller.Answer) {
	text := string(answer.Body)
	wanted := fmt.Sprintf("for %s, %d bytes\n", w.name, len(r.Body))
	if !strings.Contains(text, r.Path) || !strings.HasSuffix(text, wanted) {
		t.fail(fmt.Sprintf("request %s of %s got the answer %q", r.Path, w.name, text))
	}
}

func (t *traffic) fail(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.broken = append(t.broken, text)
}

// stop waits for the running requests.
func (t *traffic) stop() {
	t.running.Wait()
	for _, c := range t.callers {
		c.Close()
	}
}

// checkOrders compares what callers were told with what backend servers ran.
func (t *traffic) checkOrders() {
	runs := map[string]int{}
	for _, target := range t.fleet.targets {
		target.backend.Each(func(id string, n int) { runs[id] += n })
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, end := range t.orders {
		switch {
		case runs[id] > 1:
			t.broken = append(t.broken, fmt.Sprintf("order %s ran %d times", id, runs[id]))
		case end == marker.OutcomeNotRun && runs[id] > 0:
			t.broken = append(t.broken, fmt.Sprintf("order %s ran, its caller was told it was not run", id))
		case end == marker.OutcomeAnswered && runs[id] == 0:
			t.broken = append(t.broken, fmt.Sprintf("order %s was answered and did not run", id))
		}
	}
}
