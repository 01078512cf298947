package follower_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/follower"
	"magnoliahill.example/magnoliahill/internal/storer"
)

// source is a store of one kind that can be made to fail.
type source struct {
	mu          sync.Mutex
	revision    int64
	stalled     bool  // open watches get no changes and are not ended
	compactedTo int64 // the history up to this revision is gone
	down        bool
	silent      bool // watches get no response
	era         int64
	calls       int
	longest     time.Duration // longest watch that was requested
	lastPage    int64         // changes of other kinds while this one is listed; 0 if there are none
	changed     chan struct{}
}

func newSource() *source { return &source{revision: 1, era: 1, changed: make(chan struct{})} }

func (s *source) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if s.stalled {
		s.compactedTo = s.revision
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

func (s *source) items() storer.ItemList {
	return storer.NewItemList([]storer.Item{storer.NewItem("one", s.revision, nil)}, s.revision, storer.WithEra(s.era))
}

func (s *source) List(context.Context, string) (storer.ItemList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return storer.ItemList{}, storer.ErrUnavailable
	}
	listed := storer.NewItemList(s.items().Items(), s.revision, storer.WithEra(s.era), storer.WithLastPage(s.lastPage))
	s.revision = listed.LastPage()
	return listed, nil
}

func (s *source) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (storer.ItemList, error) {
	s.mu.Lock()
	s.calls++
	s.longest = max(s.longest, wait)
	revision, changed := s.revision, s.changed
	down, compacted, silent := s.down, after < s.compactedTo, s.silent
	s.mu.Unlock()
	switch {
	case silent:
		<-ctx.Done()
		return storer.ItemList{}, ctx.Err()
	case down:
		return storer.ItemList{}, storer.ErrUnavailable
	case compacted:
		return storer.ItemList{}, storer.ErrRevisionExpired
	}
	if after < s.lastPage {
		return storer.NewItemList(nil, revision, storer.WithEra(s.era)), nil
	}
	if revision > after {
		return s.items(), nil
	}
	select {
	case <-ctx.Done():
		return storer.ItemList{}, ctx.Err()
	case <-time.After(wait):
		return storer.NewItemList(nil, revision, storer.WithEra(s.era)), nil
	case <-changed:
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.items(), nil
	}
}

// recorder stores the latest reported revision and counts the updates that
// reported a failure of the store.
type recorder struct {
	mu       sync.Mutex
	revision int64
	lists    int
	changes  int
	losses   int
}

func (r *recorder) set(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func (r *recorder) record(n follower.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case n.Err != nil:
		r.losses++
	case n.Listed != nil:
		r.lists++
		r.revision = n.Listed.Revision()
	case n.Changed != nil:
		r.changes++
		r.revision = n.Changed.Revision()
	}
}

func (r *recorder) latest() (int64, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision, r.losses
}

func runFollower(t *testing.T, test func(s *source, f *follower.Follower, updates *recorder)) {
	synctest.Test(t, func(t *testing.T) {
		s, updates := newSource(), &recorder{}
		f := follower.New(s, "kind", updates.record)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		synctest.Wait()
		test(s, f, updates)
		cancel()
		<-done
	})
}

func TestChangesAreReportedAtOnce(t *testing.T) {
	is := is.New(t)
	runFollower(t, func(s *source, _ *follower.Follower, updates *recorder) {
		s.change()
		time.Sleep(time.Millisecond)
		revision, _ := updates.latest()
		is.Equal(revision, int64(2)) // the first change at once
		s.change()
		s.change()
		time.Sleep(time.Second)
		revision, _ = updates.latest()
		is.Equal(revision, int64(4)) // changes during the pause together
		s.set(func() { is.Equal(s.calls, 3) })
	})
}

// Guards against a host that never learns that its watch has passed the last page of a
// list, and so neither ends its watch nor trusts the list.
func TestWatchThatPassesTheLastPageIsReportedOnce(t *testing.T) {
	is := is.New(t)
	runFollower(t, func(s *source, f *follower.Follower, updates *recorder) {
		s.set(func() { s.lastPage = 3 })
		f.Relist()
		time.Sleep(time.Minute)
		revision, _ := updates.latest()
		is.Equal(revision, int64(3))
		updates.set(func() { is.Equal(updates.changes, 1) })
	})
}

// After the store has dropped its history, a watch may stall without an error. A
// single host detects this when the watch ends and is renewed.
func TestStalledWatchIsRenewed(t *testing.T) {
	is := is.New(t)
	runFollower(t, func(s *source, _ *follower.Follower, updates *recorder) {
		s.set(func() { s.stalled = true })
		s.change()
		s.set(func() { s.stalled = false })
		time.Sleep(4600 * time.Millisecond)
		revision, losses := updates.latest()
		is.Equal(revision, int64(2))
		is.Equal(losses, 0) // the store could be reached all the time
	})
}

func TestRelistEndsAStalledWatchAtOnce(t *testing.T) {
	is := is.New(t)
	runFollower(t, func(s *source, f *follower.Follower, updates *recorder) {
		f.SetWatcherCount(100)
		s.set(func() { s.stalled = true })
		s.change()
		f.Relist()
		time.Sleep(time.Millisecond)
		revision, _ := updates.latest()
		is.Equal(revision, int64(2))
	})
}

func TestUnreachableStoreIsRetriedWithBackoff(t *testing.T) {
	is := is.New(t)
	runFollower(t, func(s *source, _ *follower.Follower, updates *recorder) {
		s.set(func() { s.down = true })
		s.change()
		time.Sleep(10 * time.Second)
		_, losses := updates.latest()
		is.True(losses > 0)
		s.set(func() { is.True(s.calls < 35) }) // in ten seconds
		s.set(func() { s.down = false })
		time.Sleep(1500 * time.Millisecond)
		revision, _ := updates.latest()
		is.Equal(revision, int64(2))
	})
}

// The watches of all kinds stall together when the store drops its history. The
// watch that ends first makes the followers of the other kinds list again.
func TestFailedWatchRelistsOtherKinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, short, long := newSource(), &recorder{}, &recorder{}
		first, second := follower.New(s, "short", short.record), follower.New(s, "long", long.record)
		follower.Link(first, second)
		second.SetWatcherCount(1000) // watches for 12.5 s or longer
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		for _, f := range []*follower.Follower{first, second} {
			done.Go(func() { f.Run(ctx) })
		}
		synctest.Wait()
		s.set(func() { s.stalled = true })
		s.change()
		s.set(func() { s.stalled = false })
		time.Sleep(4600 * time.Millisecond) // by now the watch of the first kind has been renewed
		revision, losses := long.latest()
		is.Equal(revision, int64(2))
		is.Equal(losses, 0)
		cancel()
		done.Wait()
	})
}

// The platform accepts watches of 30 s at most.
func TestWatchesStayWithinThePlatformsBound(t *testing.T) {
	is := is.New(t)
	runFollower(t, func(s *source, f *follower.Follower, _ *recorder) {
		f.SetWatcherCount(1000)
		time.Sleep(time.Hour)
		s.set(func() {
			is.True(s.longest > 20*time.Second)
			is.True(s.longest <= 30*time.Second)
		})
	})
}

// A watch that gets no response shows that the store may be unreachable, so the
// followers of other kinds list again, too.
func TestSilentWatchRelistsOtherKinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		silent, other, updates := newSource(), newSource(), &recorder{}
		first, second := follower.New(silent, "short", updates.record), follower.New(other, "long", updates.record)
		follower.Link(first, second)
		second.SetWatcherCount(1000)
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		silent.set(func() { silent.silent = true })
		for _, f := range []*follower.Follower{first, second} {
			done.Go(func() { f.Run(ctx) })
		}
		time.Sleep(7 * time.Second)
		other.set(func() { is.True(other.calls > 2) }) // a list and a watch at first, another list by now
		cancel()
		done.Wait()
	})
}

// A store that was restored has given out the revision that is watched again, and the
// watch returns only the changes after it.
func TestChangesBeforeAWatchedRevisionOfARestoredStoreAreListed(t *testing.T) {
	is := is.New(t)
	runFollower(t, func(s *source, _ *follower.Follower, updates *recorder) {
		for range 9 {
			s.change()
		}
		time.Sleep(2 * time.Second) // the follower waits for changes after revision 10
		s.set(func() { s.era, s.revision = 2, 8 })
		updates.set(func() { updates.lists = 0 })
		s.change()
		s.change()
		s.change()
		time.Sleep(time.Second)
		updates.set(func() { is.Equal(updates.lists, 1) })
	})
}
