package controller

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/follower"
	"magnoliahill.example/magnoliahill/internal/storer"
	"magnoliahill.example/magnoliahill/pkg/quarantiner"
)

const quarantinedRequest = quarantiner.Digest(0xa1)

// quarantineObject returns the stored object of the quarantine.
func quarantineObject(t *testing.T, revision int64) storer.Item {
	content, err := json.Marshal(storedQuarantine{Route: "r", Crashes: []uint32{1, 2, 3}})
	if err != nil {
		t.Fatal(err)
	}
	return storer.NewItem(quarantinedRequest.String(), revision, content)
}

// listed and changed return updates from the follower of quarantines.
func listed(l *loop, era, revision int64, items ...storer.Item) storeUpdate {
	list := storer.NewItemList(items, revision, storer.WithEra(era))
	return storeUpdate{follower.Update{Kind: l.kinds.Quarantines, Listed: &list}}
}

func changed(l *loop, era, revision int64, items ...storer.Item) storeUpdate {
	list := storer.NewItemList(items, revision, storer.WithEra(era))
	return storeUpdate{follower.Update{Kind: l.kinds.Quarantines, Changed: &list}}
}

func (l *loop) isQuarantined() bool {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return l.controller.quarantine.Enter(ctx, quarantinedRequest) == quarantiner.Quarantined
}

func TestStoredQuarantineAppliesWithoutWordOfOtherHosts(t *testing.T) {
	for name, arrive := range map[string]func(l *loop) storeUpdate{
		"in the first list": func(l *loop) storeUpdate { return listed(l, 1, 5, quarantineObject(t, 5)) },
		"as a change":       func(l *loop) storeUpdate { return changed(l, 1, 5, quarantineObject(t, 5)) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newTestLoop(t, "h")
			l.watching = true
			listed(l, 1, 4).apply(l, 0)
			is.True(!l.isQuarantined())
			arrive(l).apply(l, time.Second)
			is.True(l.isQuarantined())
			changed(l, 1, 6, storer.NewDeletedItem(quarantinedRequest.String(), 6)).apply(l, 2*time.Second)
			is.True(!l.isQuarantined())
			l.correctStoredQuarantines(10 * time.Second)
			is.True(!l.isQuarantined())
		})
	}
}

func TestQuarantineThatAListLacksHasEndedUnlessTheStoreWasRestored(t *testing.T) {
	for name, c := range map[string]struct {
		era         int64
		quarantined bool
	}{"same era": {1, false}, "later era": {2, true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newTestLoop(t, "h")
			l.watching = true
			listed(l, 1, 5, quarantineObject(t, 5)).apply(l, 0)
			listed(l, c.era, 6).apply(l, time.Second)
			is.Equal(l.isQuarantined(), c.quarantined)
		})
	}
}

func TestTrialNames(t *testing.T) {
	is := is.New(t)
	trial := quarantiner.Trial{Digest: quarantinedRequest, Term: 7, Number: 2}
	parsed, err := parseTrialName(trialName(trial))
	is.NoErr(err)
	is.Equal(parsed, trial)
	for _, name := range []string{quarantinedRequest.String(), "", "x-1-trial-1", "00000000000000a1-1-trial-"} {
		_, err := parseTrialName(name)
		is.True(err != nil)
	}
}
