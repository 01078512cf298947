package follower_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/follower"
	"magnoliahill.example/magnoliahill/internal/keeper"
)

// source is a store of one kind with faults.
type source struct {
	mu       sync.Mutex
	revision int64
	deaf     bool  // watches that wait hear nothing and are not ended
	lost     int64 // history up to here is gone
	down     bool
	calls    int
	changed  chan struct{}
}

func newSource() *source { return &source{revision: 1, changed: make(chan struct{})} }

func (s *source) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if s.deaf {
		s.lost = s.revision
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *source) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *source) table() keeper.Table {
	return keeper.NewTable([]keeper.Item{keeper.NewItem("one", s.revision, nil)}, s.revision)
}

func (s *source) List(context.Context, string) (keeper.Table, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return keeper.Table{}, keeper.ErrUnavailable
	}
	return s.table(), nil
}

func (s *source) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (keeper.Table, error) {
	s.mu.Lock()
	s.calls++
	revision, changed := s.revision, s.changed
	down, lost := s.down, after < s.lost
	s.mu.Unlock()
	switch {
	case down:
		return keeper.Table{}, keeper.ErrUnavailable
	case lost:
		return keeper.Table{}, keeper.ErrLostHistory
	}
	if revision > after {
		return s.table(), nil
	}
	select {
	case <-ctx.Done():
		return keeper.Table{}, ctx.Err()
	case <-time.After(wait):
		return keeper.NewTable(nil, revision), nil
	case <-changed:
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.table(), nil
	}
}

// teller keeps the latest revision that was told.
type teller struct {
	mu       sync.Mutex
	revision int64
	lost     int
}

func (t *teller) tell(n follower.News) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case n.Lost != nil:
		t.lost++
	case n.Listed != nil:
		t.revision = n.Listed.Revision()
	case n.Changed != nil:
		t.revision = n.Changed.Revision()
	}
}

func (t *teller) seen() (int64, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision, t.lost
}

func run(t *testing.T, test func(s *source, f *follower.Follower, told *teller)) {
	synctest.Test(t, func(t *testing.T) {
		s, told := newSource(), &teller{}
		f := follower.New(s, "kind", told.tell)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		synctest.Wait()
		test(s, f, told)
		cancel()
		<-done
	})
}

func TestChangesAreToldAtOnce(t *testing.T) {
	is := is.New(t)
	run(t, func(s *source, _ *follower.Follower, told *teller) {
		s.change()
		time.Sleep(time.Millisecond)
		revision, _ := told.seen()
		is.Equal(revision, int64(2)) // the first one at once
		s.change()
		s.change()
		time.Sleep(time.Second)
		revision, _ = told.seen()
		is.Equal(revision, int64(4)) // those that follow together
		s.set(func() { is.Equal(s.calls, 3) })
	})
}

// A store that drops its history may leave a watch waiting that never hears
// anything more. A host on its own finds out by the end of the watch.
func TestDeafWatchIsRenewed(t *testing.T) {
	is := is.New(t)
	run(t, func(s *source, _ *follower.Follower, told *teller) {
		s.set(func() { s.deaf = true })
		s.change()
		s.set(func() { s.deaf = false })
		time.Sleep(4600 * time.Millisecond)
		revision, lost := told.seen()
		is.Equal(revision, int64(2))
		is.Equal(lost, 0) // the store answered all the time
	})
}

func TestNudgeEndsADeafWatchAtOnce(t *testing.T) {
	is := is.New(t)
	run(t, func(s *source, f *follower.Follower, told *teller) {
		f.SetHosts(100)
		s.set(func() { s.deaf = true })
		s.change()
		f.Nudge()
		time.Sleep(time.Millisecond)
		revision, _ := told.seen()
		is.Equal(revision, int64(2))
	})
}

func TestLostStoreIsAskedSparinglyAndFoundAgainSoon(t *testing.T) {
	is := is.New(t)
	run(t, func(s *source, _ *follower.Follower, told *teller) {
		s.set(func() { s.down = true })
		s.change()
		time.Sleep(10 * time.Second)
		_, lost := told.seen()
		is.True(lost > 0)
		s.set(func() { is.True(s.calls < 35) }) // in ten seconds
		s.set(func() { s.down = false })
		time.Sleep(1500 * time.Millisecond)
		revision, _ := told.seen()
		is.Equal(revision, int64(2))
	})
}

// The kinds of a store go deaf together: the watch that ends first finds out for
// all of them.
func TestWatchThatBreaksOffWakesOtherKinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, short, long := newSource(), &teller{}, &teller{}
		first, second := follower.New(s, "short", short.tell), follower.New(s, "long", long.tell)
		follower.Join(first, second)
		second.SetHosts(1000) // waits for 12.5 s or longer
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		for _, f := range []*follower.Follower{first, second} {
			done.Go(func() { f.Run(ctx) })
		}
		synctest.Wait()
		s.set(func() { s.deaf = true })
		s.change()
		s.set(func() { s.deaf = false })
		time.Sleep(4600 * time.Millisecond) // the first kind's watch has been renewed
		revision, lost := long.seen()
		is.Equal(revision, int64(2))
		is.Equal(lost, 0)
		cancel()
		done.Wait()
	})
}
