package server

import (
	"context"
	"sync"
	"time"

	"magnoliahill.example/magnoliahill/internal/admitter"
	"magnoliahill.example/magnoliahill/internal/timekeeper"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/header"
	"magnoliahill.example/magnoliahill/pkg/limiter"
	"magnoliahill.example/magnoliahill/pkg/queuer"
	"magnoliahill.example/magnoliahill/pkg/router"
)

const (
	maxQueued      = 4096 // requests queued for one service
	maxRetryTokens = 20   // retries that can be saved up
)

// pool is the queue and the backend servers of one service. Requests that find
// no free slot wait in the queue in fair order.
type pool struct {
	clock  *timekeeper.Clock
	router *router.Router

	mu          sync.Mutex
	service     *cataloger.Service
	queue       *queuer.Queue
	retries     *limiter.RetryBudget
	averageHold time.Duration // moving average of the time that a slot is held
}

// waiter is one queued request.
type waiter struct {
	picked    chan router.Pick // buffered; closed when the deadline passed without a pick
	attempted []string
}

func newPool(clock *timekeeper.Clock, r *router.Router) *pool {
	return &pool{
		clock: clock, router: r, queue: queuer.New(maxQueued),
		retries: limiter.NewRetryBudget(0, maxRetryTokens, limiter.WithEmptyBalance()),
	}
}

func (p *pool) update(catalog *cataloger.Catalog, service *cataloger.Service) {
	p.mu.Lock()
	p.service = service
	p.mu.Unlock()
	p.retries.SetRatio(service.RetryBudget())
	p.router.Update(p.clock.Now(), catalog, service)
	p.wakeWaiters()
}

// acquire returns a slot at a backend server for a request, and waits for one
// in the queue if necessary.
func (p *pool) acquire(ctx context.Context, a *admitter.Admission, deadline time.Duration, attempted []string) (router.Pick, *admitter.Refusal) {
	p.mu.Lock()
	now := p.clock.Now()
	if p.queue.Len() == 0 {
		if pick, ok := p.router.Pick(now, attempted); ok {
			p.mu.Unlock()
			return pick, nil
		}
	}
	if refusal := p.refuseEarly(now, deadline); refusal != nil {
		p.mu.Unlock()
		return router.Pick{}, refusal
	}
	w := &waiter{picked: make(chan router.Pick, 1), attempted: attempted}
	item := p.queue.Push(a.Workspace(), a.Weight(), deadline, w)
	p.mu.Unlock()
	if item == nil {
		return router.Pick{}, unavailable(header.ReasonQueueFull, "the queue is full", p.retryAfter())
	}
	return p.wait(ctx, item, w, deadline-now)
}

// refuseEarly returns a refusal when a request cannot wait, or when the queue
// ahead of it is estimated to take longer than it can wait. It returns nil
// otherwise. The caller holds the lock.
func (p *pool) refuseEarly(now, deadline time.Duration) *admitter.Refusal {
	if deadline <= now {
		return unavailable(header.ReasonNoBackend, "no backend server has room", time.Second)
	}
	if p.queue.Len() < maxQueued/2 {
		return nil
	}
	queueTime := p.queueTime(p.queue.Len())
	if now+queueTime < deadline {
		return nil
	}
	return unavailable(header.ReasonQueueFull, "the queue is longer than the request can wait", queueTime)
}

// wait waits until the queued request gets a slot, the limit has passed or the
// context is done.
func (p *pool) wait(ctx context.Context, item *queuer.Item, w *waiter, limit time.Duration) (router.Pick, *admitter.Refusal) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	reason, text := header.ReasonQueueTimeout, "no backend server had room in time"
	select {
	case pick, ok := <-w.picked:
		if ok {
			return pick, nil
		}
		return router.Pick{}, unavailable(reason, text, p.retryAfter())
	case <-timer.C:
	case <-ctx.Done():
		reason, text = header.ReasonCanceled, "the caller went away while waiting"
	}
	p.mu.Lock()
	removed := p.queue.Remove(item)
	p.mu.Unlock()
	if !removed {
		// A slot was assigned at the same moment: release it.
		if pick, ok := <-w.picked; ok {
			p.release(pick, router.Canceled)
		}
	}
	return router.Pick{}, unavailable(reason, text, p.retryAfter())
}

// unavailable returns a refusal of a request that was not run, with status 503
// and a Retry-After of at least one second.
func unavailable(reason, text string, retryAfter time.Duration) *admitter.Refusal {
	return admitter.RefuseNotRun(503, reason, text, max(retryAfter, time.Second))
}

// retryAfter returns the delay after which a refused caller may retry, estimated
// from the length of the queue.
func (p *pool) retryAfter() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queueTime(p.queue.Len() + 1)
}

// queueTime estimates how long the service takes to serve a number of requests.
// The caller holds the lock.
func (p *pool) queueTime(requests int) time.Duration {
	slots := 0
	for _, server := range p.service.BackendServers() {
		slots += server.Slots()
	}
	return p.averageHold * time.Duration(requests) / time.Duration(max(slots, 1))
}

// release releases a slot and assigns free slots to queued requests. It reports
// whether the backend server was ejected.
func (p *pool) release(pick router.Pick, result router.Result) bool {
	now := p.clock.Now()
	ejected := p.router.Done(now, pick, result)
	p.mu.Lock()
	p.averageHold += (now - pick.StartedAt() - p.averageHold) / 16
	p.mu.Unlock()
	p.wakeWaiters()
	return ejected
}

// wakeWaiters assigns free slots to queued requests.
func (p *pool) wakeWaiters() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.queue.Len() > 0 {
		now := p.clock.Now()
		pick, ok := p.router.Pick(now, nil)
		if !ok {
			return
		}
		item, expired := p.queue.Pop(now)
		for _, expiredItem := range expired {
			close(expiredItem.Value().(*waiter).picked)
		}
		if item == nil {
			p.router.Done(now, pick, router.Canceled)
			return
		}
		item.Value().(*waiter).picked <- pick
	}
}

func (p *pool) queued() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Len()
}
