// Package follower keeps up with kinds of objects in the platform's store: it
// lists a kind once and then watches it, and says when the store is lost.
package follower

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/clocker"
	"magnoliahill.example/magnoliahill/internal/keeper"
)

const (
	listTimeout = 1500 * time.Millisecond // a store slowed sixty times answers in 240 ms
	longestWait = 25 * time.Second        // the platform ends a watch after 30 s
	waitPerHost = time.Second             // so that a watch of some host is renewed about every second
	leastWait   = 3 * time.Second         // a host on its own notices a deaf watch in this time
	watchSlack  = 1500 * time.Millisecond // for the way and a slow store
	settle      = 700 * time.Millisecond  // changes that come together are taken in one call; a third of the time allowed
	firstRetry  = 100 * time.Millisecond
	lastRetry   = 900 * time.Millisecond // a host is back well before the store counts as stable
)

// Source is the store as the follower sees it.
type Source interface {
	List(ctx context.Context, kind string) (keeper.Table, error)
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) (keeper.Table, error)
}

// News is what a follower tells: exactly one of its parts is set.
type News struct {
	Kind    string
	Listed  *keeper.Table // all objects of the kind
	Changed *keeper.Table // objects that changed since the news before
	Lost    error         // the store stopped answering
}

// Follower follows one kind.
type Follower struct {
	source Source
	kind   string
	tell   func(News)
	nudge  chan struct{} // buffered; ends a watch that is behind
	wait   atomic.Int64  // nanoseconds that a watch lasts
	others []*Follower   // of other kinds of the same store
}

// New returns a follower that tells its news to a function, in order.
func New(source Source, kind string, tell func(News)) *Follower {
	f := &Follower{source: source, kind: kind, tell: tell, nudge: make(chan struct{}, 1)}
	f.SetHosts(1)
	return f
}

// Join makes each follower list again when the watch of another breaks off. A
// store that drops its history leaves watches of all kinds waiting that will
// never hear anything, and the first that ends finds out for all.
func Join(all ...*Follower) {
	for _, f := range all {
		for _, other := range all {
			if other != f {
				f.others = append(f.others, other)
			}
		}
	}
}

// SetHosts sets how long watches last, by how many hosts tell one another of
// changes. A store that drops its history may leave a watch waiting that will
// never hear anything; the host whose watch ends first finds out for all.
func (f *Follower) SetHosts(n int) {
	f.wait.Store(int64(min(max(time.Duration(n)*waitPerHost, leastWait), longestWait)))
}

// Nudge makes the follower list again, since its watch has fallen silent while
// others heard of changes.
func (f *Follower) Nudge() {
	select {
	case f.nudge <- struct{}{}:
	default:
	}
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	retry := firstRetry
	for ctx.Err() == nil {
		table, err := f.list(ctx)
		if err != nil {
			f.tell(News{Kind: f.kind, Lost: err})
			_ = clocker.Sleep(ctx, jitter(retry))
			retry = min(2*retry, lastRetry)
			continue
		}
		retry = firstRetry
		f.tell(News{Kind: f.kind, Listed: &table})
		f.watch(ctx, table.Revision())
	}
}

func (f *Follower) list(ctx context.Context) (keeper.Table, error) {
	select {
	case <-f.nudge: // the list is what it asked for
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return f.source.List(ctx, f.kind)
}

// watch tells changes until the store breaks off or forgets.
func (f *Follower) watch(ctx context.Context, revision int64) {
	for ctx.Err() == nil {
		table, err := f.watchOnce(ctx, revision)
		if err != nil {
			f.broke(ctx, revision, err)
			return
		}
		revision = max(revision, table.Revision())
		if len(table.Items()) == 0 {
			continue
		}
		f.tell(News{Kind: f.kind, Changed: &table})
		_ = clocker.Sleep(ctx, settle)
	}
}

// broke tells the other followers that the store may have dropped its history.
func (f *Follower) broke(ctx context.Context, revision int64, err error) {
	if ctx.Err() != nil || errors.Is(err, errNudged) {
		return
	}
	klog.InfoS("watch broke off", "kind", f.kind, "revision", revision, "cause", err.Error())
	for _, other := range f.others {
		other.Nudge()
	}
}

var errNudged = errors.New("watch was behind")

func (f *Follower) watchOnce(ctx context.Context, revision int64) (keeper.Table, error) {
	wait := jitter(time.Duration(f.wait.Load()))
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-f.nudge:
			cancel()
		case <-done:
		}
	}()
	table, err := f.source.Watch(ctx, f.kind, revision, wait)
	if ctx.Err() != nil {
		return keeper.Table{}, errNudged
	}
	return table, err
}

// jitter spreads the calls of hosts that began together.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
