package publisher_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/publisher"
	"magnoliahill.example/magnoliahill/internal/standin/platform"
	"magnoliahill.example/magnoliahill/internal/storer"
)

func newStore(t *testing.T) (*platform.Platform, *storer.Client) {
	p := platform.New(platform.WithRates(1e6, 1e6))
	s := httptest.NewServer(p)
	t.Cleanup(s.Close)
	return p, storer.New(s.URL)
}

func topologyOf(name string) []byte {
	return []byte(fmt.Sprintf("kind: topology\nregions: [{name: %s, zones: [%s-a]}]", name, name))
}

func change(author, file string, data []byte) publisher.Change {
	return publisher.Change{
		Author: author,
		Edits:  map[string]func([]byte) ([]byte, error){file: publisher.ReplaceWith(data)},
	}
}

// Concurrent changes of different files must all succeed: each gets a generation
// of its own, and none is lost.
func TestConcurrentChangesOfDifferentFiles(t *testing.T) {
	is := is.New(t)
	_, store := newStore(t)
	const operators = 8
	var wait sync.WaitGroup
	generations := make(chan int64, operators)
	for i := range operators {
		wait.Add(1)
		go func() {
			defer wait.Done()
			name := fmt.Sprintf("r%d", i)
			head, err := publisher.New(store).Publish(context.Background(), change(name, name+".yaml", topologyOf(name)))
			if err != nil {
				t.Error(err)
				return
			}
			generations <- head.Generation
		}()
	}
	wait.Wait()
	close(generations)
	seen := map[int64]bool{}
	for g := range generations {
		is.True(!seen[g])
		seen[g] = true
	}
	head, _, err := publisher.New(store).Current(context.Background())
	is.NoErr(err)
	is.Equal(head.Generation, int64(operators))
	is.Equal(len(head.Files), operators)
}

// racingStore calls meanwhile once, before the first write of the head, so that
// another change is published between the read and the write of the head.
type racingStore struct {
	*storer.Client
	meanwhile func()
}

func (s *racingStore) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	if s.meanwhile != nil && key == "config/head" {
		run := s.meanwhile
		s.meanwhile = nil
		run()
	}
	return s.Client.Put(ctx, key, value, version)
}

func TestConcurrentChangesOfSameFileConflict(t *testing.T) {
	is := is.New(t)
	_, store := newStore(t)
	racing := &racingStore{Client: store, meanwhile: func() {
		_, err := publisher.New(store).Publish(context.Background(), change("amina", "t.yaml", topologyOf("huye")))
		is.NoErr(err)
	}}
	_, err := publisher.New(racing).Publish(context.Background(), change("jean", "t.yaml", topologyOf("kigali")))
	var conflict *publisher.ConflictError
	is.True(errors.As(err, &conflict))
	is.True(err.Error() != "")
	head, _, err := publisher.New(store).Current(context.Background())
	is.NoErr(err)
	is.Equal(head.Author, "amina")
}

// If the store's reply is lost after the write took effect, the change must be
// neither repeated nor reported as failed.
func TestLostReplies(t *testing.T) {
	for lost := int64(1); lost <= 4; lost++ {
		t.Run(fmt.Sprintf("%d lost", lost), func(t *testing.T) {
			is := is.New(t)
			p, store := newStore(t)
			p.LoseReplies(lost)
			head, err := publisher.New(store).Publish(context.Background(), change("jean", "t.yaml", topologyOf("kigali")))
			is.NoErr(err)
			is.Equal(head.Generation, int64(1))
			current, _, err := publisher.New(store).Current(context.Background())
			is.NoErr(err)
			is.Equal(current.ChangeID, head.ChangeID)
		})
	}
}

// As above, but another change is published before the publisher reads the head
// again.
func TestLostReplyFollowedByAnotherChange(t *testing.T) {
	is := is.New(t)
	p, store := newStore(t)
	lossy := &lostReplyStore{Client: store, run: func() {
		_, err := publisher.New(store).Publish(context.Background(), change("amina", "other.yaml", topologyOf("huye")))
		is.NoErr(err)
	}, p: p}
	head, err := publisher.New(lossy).Publish(context.Background(), change("jean", "t.yaml", topologyOf("kigali")))
	is.NoErr(err) // the change is part of the later generation
	is.Equal(head.Generation, int64(1))
}

// lostReplyStore loses the reply to the first write of the head and calls run
// after it, so that another change is published before the next call.
type lostReplyStore struct {
	*storer.Client
	p   *platform.Platform
	run func()
}

func (s *lostReplyStore) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	if key != "config/head" || s.run == nil {
		return s.Client.Put(ctx, key, value, version)
	}
	s.p.LoseReplies(1)
	v, err := s.Client.Put(ctx, key, value, version)
	run := s.run
	s.run = nil
	run()
	return v, err
}

func TestOutageIsReported(t *testing.T) {
	is := is.New(t)
	p, store := newStore(t)
	p.SetOutage(true)
	_, err := publisher.New(store).Publish(context.Background(), change("jean", "t.yaml", topologyOf("kigali")))
	is.True(errors.Is(err, storer.ErrUnavailable))
}
