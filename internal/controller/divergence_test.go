package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/follower"
	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/internal/storer"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// newListedLoop returns the loop of a host that watched the store, in which there were no
// other objects than backend servers.
func newListedLoop(t *testing.T, servers storer.ItemList) *loop {
	l := newTestLoop(t, "host")
	l.controller.platform = servingPlatform{}
	l.watching = true
	for _, kind := range l.kindOrder {
		listed := storer.NewItemList(nil, servers.Revision())
		if kind == l.kinds.Servers {
			listed = servers
		}
		storeUpdate{follower.Update{Kind: kind, Listed: &listed}}.apply(l, 0)
	}
	l.watching = false
	return l
}

func twoServers() storer.ItemList {
	return storer.NewItemList([]storer.Item{item("a", 5), item("b", 6)}, 7)
}

// Guards against hosts that never learn of a removal, because the watching hosts that saw
// it crashed.
func TestObjectsAreFetchedAgainIfTheyDifferFromThoseOfAWatchingHost(t *testing.T) {
	var cases []struct {
		Name  string
		Steps []struct {
			At     int // milliseconds
			From   string
			Zone   string
			Differ uint32
			Kinds  int
			Era    int64
			Hidden bool
		}
		Fetches string
	}
	readCases(t, "divergence.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			is := is.New(t)
			l := newListedLoop(t, twoServers())
			for _, s := range c.Steps {
				host := tracker.Host{Heartbeat: tracker.Heartbeat{Zone: "z", Control: s.From}}
				if s.Zone != "" {
					host.Zone = s.Zone
				}
				m := &peerv1.Greeting{Positions: make([]int64, max(s.Kinds, len(l.kindOrder))), Era: s.Era}
				if !s.Hidden {
					m.ObjectsHash = l.objectsHash(0) + s.Differ
				}
				l.compareObjects(time.Duration(s.At)*time.Millisecond, host, m)
			}
			for _, cache := range l.caches {
				is.Equal(cache.incomplete, c.Fetches != "")
				is.Equal(cache.watcher, c.Fetches)
			}
		})
	}
}

// Guards against the same from the removal to the backend servers that are used. The host
// that starts lists the store after the removal.
func TestRemovalThatOnlyCrashedHostsSawReachesTheOthers(t *testing.T) {
	is := is.New(t)
	survivor := newListedLoop(t, twoServers())
	started := newListedLoop(t, storer.NewItemList([]storer.Item{item("a", 5)}, 9))
	started.watching = true
	host := tracker.Host{Heartbeat: tracker.Heartbeat{Zone: "z", Control: "127.0.0.1:1"}}
	m := started.storeState(0)
	for i, revision := range m.GetPositions() {
		survivor.caches[survivor.kindOrder[i]].recordPeerPosition(0, storer.NewPosition(0, revision), host.Control, true)
	}
	is.True(!survivor.caches[survivor.kinds.Servers].peerAhead()) // no position tells of the removal
	survivor.compareObjects(0, host, m)
	survivor.compareObjects(divergenceTimeout, host, m)
	query := &objectsQuery{reply: make(chan []*peerv1.ObjectTable, 1)}
	for kind, cache := range survivor.caches {
		query.known = append(query.known, messenger.EncodePosition(kind, cache.missing()))
	}
	query.apply(started, divergenceTimeout)
	(&fetchResult{host: host.Control, lists: <-query.reply}).apply(survivor, divergenceTimeout)
	is.Equal(len(survivor.registrar.Instances()), 1)
	is.Equal(survivor.objectsHash(0), started.objectsHash(0))
}

func TestOnlyWatchingHostsSendTheHashOfTheirObjects(t *testing.T) {
	is := is.New(t)
	l := newListedLoop(t, twoServers())
	is.Equal(l.storeState(0).GetObjectsHash(), uint32(0))
	l.watching = true
	is.Equal(l.storeState(0).GetObjectsHash(), l.objectsHash(0))
	l.caches[l.kinds.Servers].unreachable = true
	is.Equal(l.storeState(0).GetObjectsHash(), uint32(0))
}

// The position of a host that listed the kind after a removal may be lower than that of one
// that missed the removal.
func TestObjectsHashDependsOnTheObjectsOnly(t *testing.T) {
	is := is.New(t)
	watched, listed := newObjectCache("k"), newObjectCache("k")
	watched.replaceAll(storer.NewItemList([]storer.Item{item("a", 5), item("b", 6)}, 7))
	before := watched.hash()
	watched.applyChanges(storer.NewItemList([]storer.Item{storer.NewDeletedItem("b", 8)}, 8))
	listed.replaceAll(storer.NewItemList([]storer.Item{item("a", 5)}, 9))
	is.True(watched.hash() != before)
	is.True(watched.position != listed.position)
	is.Equal(watched.hash(), listed.hash())
}
