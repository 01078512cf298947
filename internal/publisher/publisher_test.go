package publisher_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/keeper"
	"magnoliahill.example/magnoliahill/internal/publisher"
	"magnoliahill.example/magnoliahill/internal/standin/platform"
)

func fixture(t *testing.T) (*platform.Platform, *keeper.Client) {
	p := platform.New(platform.WithRates(1e6, 1e6))
	s := httptest.NewServer(p)
	t.Cleanup(s.Close)
	return p, keeper.New(s.URL)
}

func region(name string) []byte {
	return []byte(fmt.Sprintf("kind: topology\nregions: [{name: %s, zones: [%s-a]}]", name, name))
}

func change(author, file string, data []byte) publisher.Change {
	return publisher.Change{
		Author: author,
		Edits:  map[string]func([]byte) ([]byte, error){file: publisher.Replace(data)},
	}
}

// Operators who publish different files at the same time all succeed, each
// generation is given once, and no change is lost.
func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	_, store := fixture(t)
	const operators = 8
	var wait sync.WaitGroup
	generations := make(chan int64, operators)
	for i := range operators {
		wait.Add(1)
		go func() {
			defer wait.Done()
			name := fmt.Sprintf("r%d", i)
			head, err := publisher.New(store).Publish(context.Background(), change(name, name+".yaml", region(name)))
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

// slowStore lets someone else publish between the reading and the writing of
// the head.
type slowStore struct {
	*keeper.Client
	meanwhile func()
}

func (s *slowStore) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
	if s.meanwhile != nil && key == "config/head" {
		run := s.meanwhile
		s.meanwhile = nil
		run()
	}
	return s.Client.Put(ctx, key, value, version)
}

func TestSameFileIsAConflictThatNamesTheOther(t *testing.T) {
	is := is.New(t)
	_, store := fixture(t)
	slow := &slowStore{Client: store, meanwhile: func() {
		_, err := publisher.New(store).Publish(context.Background(), change("amina", "t.yaml", region("huye")))
		is.NoErr(err)
	}}
	_, err := publisher.New(slow).Publish(context.Background(), change("jean", "t.yaml", region("kigali")))
	var conflict *publisher.ConflictError
	is.True(errors.As(err, &conflict))
	is.True(err.Error() != "")
	head, _, err := publisher.New(store).Current(context.Background())
	is.NoErr(err)
	is.Equal(head.Author, "amina")
}

// A reply that is lost after the change took effect must neither repeat the
// change nor report it as failed, also when others publish right after it.
func TestLostReplies(t *testing.T) {
	for lost := int64(1); lost <= 4; lost++ {
		t.Run(fmt.Sprintf("%d lost", lost), func(t *testing.T) {
			is := is.New(t)
			p, store := fixture(t)
			p.LoseReplies(lost)
			head, err := publisher.New(store).Publish(context.Background(), change("jean", "t.yaml", region("kigali")))
			is.NoErr(err)
			is.Equal(head.Generation, int64(1))
			now, _, err := publisher.New(store).Current(context.Background())
			is.NoErr(err)
			is.Equal(now.ChangeID, head.ChangeID)
		})
	}
}

func TestLostReplyWithAnotherChangeOnTop(t *testing.T) {
	is := is.New(t)
	p, store := fixture(t)
	after := &afterHead{Client: store, run: func() {
		_, err := publisher.New(store).Publish(context.Background(), change("amina", "other.yaml", region("huye")))
		is.NoErr(err)
	}, p: p}
	head, err := publisher.New(after).Publish(context.Background(), change("jean", "t.yaml", region("kigali")))
	is.NoErr(err) // its own change is in force below the other
	is.Equal(head.Generation, int64(1))
}

// afterHead loses the reply to the write of the head and lets someone else
// publish before the next call.
type afterHead struct {
	*keeper.Client
	p   *platform.Platform
	run func()
}

func (s *afterHead) Put(ctx context.Context, key string, value []byte, version int64) (int64, error) {
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
	p, store := fixture(t)
	p.SetOutage(true)
	_, err := publisher.New(store).Publish(context.Background(), change("jean", "t.yaml", region("kigali")))
	is.True(errors.Is(err, keeper.ErrUnavailable))
}
