// Package follower follows kinds of objects in the platform's store. It lists a
// kind, watches it for changes, and lists it again when the watch fails. It
// reports when the store cannot be reached.
package follower

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/storer"
	"magnoliahill.example/magnoliahill/internal/timekeeper"
)

const (
	listTimeout   = 1500 * time.Millisecond // a store that is sixty times slower than usual answers in 240 ms
	maxWatch      = 25 * time.Second        // longest watch; the platform accepts at most 30 s
	maxMeanWatch  = maxWatch * 2 / 3        // so that jitter does not exceed the longest watch
	watchPerHost  = time.Second             // so that some host renews its watch about every second
	minWatch      = 3 * time.Second         // about the time in which a single host detects a stalled watch
	watchMargin   = 1500 * time.Millisecond // for the network and a slow store
	batchDelay    = 700 * time.Millisecond  // pause after an update, to get close changes in one call; a third of the time allowed for applying a change
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 900 * time.Millisecond // hosts return well before the store counts as stable
)

// Source is the part of the store that a follower uses. A watch returns the
// changes after a revision, or an empty list when there are none within the
// given time.
type Source interface {
	List(ctx context.Context, kind string) (storer.ItemList, error)
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) (storer.ItemList, error)
}

// Update holds what a follower reports about its kind. Exactly one of the two lists
// and the error is set.
type Update struct {
	Kind    string
	Listed  *storer.ItemList // all objects of the kind
	Changed *storer.ItemList // objects that changed since the previous update; may be empty at a later revision
	Err     error            // why the store could not be listed
}

// Follower follows one kind of objects.
type Follower struct {
	source        Source
	kind          string
	onUpdate      func(Update)
	relist        chan struct{} // buffered; ends the current watch
	watchDuration atomic.Int64  // mean duration of a watch, in nanoseconds
	linked        []*Follower   // followers of other kinds in the same store
}

// New returns a follower that passes its updates to a function, in order.
func New(source Source, kind string, onUpdate func(Update)) *Follower {
	f := &Follower{source: source, kind: kind, onUpdate: onUpdate, relist: make(chan struct{}, 1)}
	f.SetWatcherCount(1)
	return f
}

// Link makes each follower list again when the watch of another fails. After the
// store has dropped its history, the watches of all kinds may stall without an
// error. The first one to be renewed fails, which shows that all are stalled.
func Link(all ...*Follower) {
	for _, f := range all {
		for _, other := range all {
			if other != f {
				f.linked = append(f.linked, other)
			}
		}
	}
}

// SetWatcherCount sets the duration of watches by the number of hosts that watch
// and announce changes to one another. After the store has dropped its history, a
// watch may stall without an error. The host that renews its watch first detects
// this for all, so the more hosts there are, the longer each watch may last.
func (f *Follower) SetWatcherCount(n int) {
	f.watchDuration.Store(int64(min(max(time.Duration(n)*watchPerHost, minWatch), maxMeanWatch)))
}

// Relist makes the follower end its watch and list again. It is called when the
// watch may be stalled: another host has newer data, or the watch of another kind
// failed.
func (f *Follower) Relist() {
	select {
	case f.relist <- struct{}{}:
	default:
	}
}

// Run lists and watches the kind until the context is done. It retries a failed
// list with exponential backoff.
func (f *Follower) Run(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		list, err := f.list(ctx)
		if errors.Is(err, storer.ErrRestored) {
			_ = timekeeper.Sleep(ctx, minRetryDelay)
			continue
		}
		if err != nil {
			f.onUpdate(Update{Kind: f.kind, Err: err})
			_ = timekeeper.Sleep(ctx, jitter(delay))
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		delay = minRetryDelay
		f.onUpdate(Update{Kind: f.kind, Listed: &list})
		f.watch(ctx, list.Position(), list.LastPage())
	}
}

func (f *Follower) list(ctx context.Context) (storer.ItemList, error) {
	select {
	case <-f.relist: // this list satisfies the request
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return f.source.List(ctx, f.kind)
}

// watch reports changes until the watch fails or a new list is requested. A watch
// from a revision that a restored store has given out again lacks changes, so a
// response from another era counts as a failure. The first response that reaches the last
// page of the list is reported even if it is empty.
func (f *Follower) watch(ctx context.Context, start storer.Position, lastPage int64) {
	revision := start.Revision()
	for ctx.Err() == nil {
		changed, err := f.watchOnce(ctx, revision)
		if err == nil && !changed.Position().SameEra(start) {
			err = storer.ErrRestored
		}
		if err != nil {
			f.watchFailed(ctx, revision, err)
			return
		}
		caughtUp := revision >= lastPage || changed.Revision() < lastPage
		revision = max(revision, changed.Revision())
		if len(changed.Items()) == 0 && caughtUp {
			continue
		}
		f.onUpdate(Update{Kind: f.kind, Changed: &changed})
		if len(changed.Items()) > 0 {
			_ = timekeeper.Sleep(ctx, batchDelay)
		}
	}
}

// watchFailed makes the linked followers list again, since the store may have
// dropped its history.
func (f *Follower) watchFailed(ctx context.Context, revision int64, err error) {
	if ctx.Err() != nil || errors.Is(err, errWatchCanceled) {
		return
	}
	klog.InfoS("store watch failed", "kind", f.kind, "revision", revision, "cause", err.Error())
	for _, other := range f.linked {
		other.Relist()
	}
}

var errWatchCanceled = errors.New("watch was canceled")

func (f *Follower) watchOnce(ctx context.Context, revision int64) (storer.ItemList, error) {
	duration := jitter(time.Duration(f.watchDuration.Load()))
	ctx, cancel := context.WithTimeout(ctx, duration+watchMargin)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-f.relist:
			cancel()
		case <-done:
		}
	}()
	changed, err := f.source.Watch(ctx, f.kind, revision, duration)
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return storer.ItemList{}, errWatchCanceled
	case ctx.Err() != nil:
		return storer.ItemList{}, errors.Errorf("no response within %s", duration+watchMargin)
	}
	return changed, err
}

// jitter returns a random duration between half of d and one and a half times d,
// to spread the calls of hosts that started together.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
