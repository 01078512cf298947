package server

import (
	"context"
	"sync"
	"time"

	"magnoliahill.example/magnoliahill/internal/admitter"
	"magnoliahill.example/magnoliahill/internal/clocker"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/marker"
	"magnoliahill.example/magnoliahill/pkg/queuer"
	"magnoliahill.example/magnoliahill/pkg/router"
)

const (
	maxQueue       = 4096 // requests waiting for one service
	maxRetryTokens = 20   // retries saved up
)

// pool is the queue and the backend servers of one service. Requests that find
// no room wait in it in fair order.
type pool struct {
	clock  *clocker.Clock
	router *router.Router

	mu      sync.Mutex
	service *cataloger.Service
	queue   *queuer.Queue
	retries *limiter.Budget
	average time.Duration // moving average of the time a pick is held
}

// waiter is one request in the queue.
type waiter struct {
	picked chan router.Pick // buffered; closed when the wait is over without a pick
	tried  []string
}

func newPool(clock *clocker.Clock, r *router.Router) *pool {
	return &pool{
		clock: clock, router: r, queue: queuer.New(maxQueue),
		retries: limiter.NewBudget(0, maxRetryTokens, limiter.WithNothingSaved()),
	}
}

func (p *pool) update(catalog *cataloger.Catalog, service *cataloger.Service) {
	p.mu.Lock()
	p.service = service
	p.mu.Unlock()
	p.retries.SetRatio(service.RetryBudget())
	p.router.Update(p.clock.Now(), catalog, service)
	p.kick()
}

// acquire returns a place for a request, after a wait in the queue if need be.
func (p *pool) acquire(ctx context.Context, a *admitter.Admission, deadline time.Duration, tried []string) (router.Pick, *admitter.Refusal) {
	p.mu.Lock()
	now := p.clock.Now()
	if p.queue.Len() == 0 {
		if pick, ok := p.router.Pick(now, tried); ok {
			p.mu.Unlock()
			return pick, nil
		}
	}
	if refusal := p.hopeless(now, deadline); refusal != nil {
		p.mu.Unlock()
		return router.Pick{}, refusal
	}
	w := &waiter{picked: make(chan router.Pick, 1), tried: tried}
	item := p.queue.Push(a.Workspace(), a.Weight(), deadline, w)
	p.mu.Unlock()
	if item == nil {
		return router.Pick{}, unavailable(marker.ReasonQueueFull, "the queue is full", p.comeBack())
	}
	return p.wait(ctx, item, w, deadline-now)
}

// hopeless refuses a request at once when the queue ahead of it takes longer
// than it can wait. The caller holds the lock.
func (p *pool) hopeless(now, deadline time.Duration) *admitter.Refusal {
	if deadline <= now {
		return unavailable(marker.ReasonNoBackend, "no backend server has room", time.Second)
	}
	if p.queue.Len() < maxQueue/2 {
		return nil
	}
	slots := 0
	for _, server := range p.service.BackendServers() {
		slots += server.Slots()
	}
	ahead := p.average * time.Duration(p.queue.Len()) / time.Duration(max(slots, 1))
	if now+ahead < deadline {
		return nil
	}
	return unavailable(marker.ReasonQueueFull, "the queue is longer than the request can wait", ahead)
}

func (p *pool) wait(ctx context.Context, item *queuer.Item, w *waiter, limit time.Duration) (router.Pick, *admitter.Refusal) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	reason, text := marker.ReasonQueueTime, "no backend server had room in time"
	select {
	case pick, ok := <-w.picked:
		if ok {
			return pick, nil
		}
		return router.Pick{}, unavailable(reason, text, p.comeBack())
	case <-timer.C:
	case <-ctx.Done():
		reason, text = marker.ReasonCanceled, "the caller went away while waiting"
	}
	p.mu.Lock()
	removed := p.queue.Remove(item)
	p.mu.Unlock()
	if !removed {
		// Picked at the same moment: give the place back.
		if pick, ok := <-w.picked; ok {
			p.release(pick, router.Canceled)
		}
	}
	return router.Pick{}, unavailable(reason, text, p.comeBack())
}

func unavailable(reason, text string, retryAfter time.Duration) *admitter.Refusal {
	return admitter.NotRun(503, reason, text, max(retryAfter, time.Second))
}

// comeBack returns after what time the present queue will be worked off.
func (p *pool) comeBack() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.average * time.Duration(p.queue.Len()+1)
}

// release gives a place back and lets waiting requests have it. It reports
// whether the backend server was ejected.
func (p *pool) release(pick router.Pick, result router.Result) bool {
	now := p.clock.Now()
	ejected := p.router.Done(now, pick, result)
	p.mu.Lock()
	p.average += (now - pick.Began() - p.average) / 16
	p.mu.Unlock()
	p.kick()
	return ejected
}

// kick hands free places to waiting requests.
func (p *pool) kick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.queue.Len() > 0 {
		now := p.clock.Now()
		pick, ok := p.router.Pick(now, nil)
		if !ok {
			return
		}
		item, late := p.queue.Pop(now)
		for _, one := range late {
			close(one.Value().(*waiter).picked)
		}
		if item == nil {
			p.router.Done(now, pick, router.Canceled)
			return
		}
		item.Value().(*waiter).picked <- pick
	}
}

func (p *pool) waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Len()
}
