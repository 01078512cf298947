package controller

import (
	"time"

	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/internal/storer"
)

// retainedCount returns the number of objects that this host retains.
func (l *loop) retainedCount() uint32 {
	count := 0
	for _, cache := range l.caches {
		count += len(cache.retained)
	}
	return uint32(count)
}

// recordPeerRetention records that another host retains objects, if this host may lack
// them: it has listed the store for the first time lately, in the present era.
func (l *loop) recordPeerRetention(now time.Duration, retained uint32, era int64, control string) {
	cache := l.caches[l.kinds.Servers]
	if retained == 0 || !cache.listed || cache.firstEra != era || cache.position.Era() != era {
		return
	}
	if l.firstListAt == 0 {
		l.firstListAt = now
	}
	if now-l.firstListAt < staleRetention {
		l.retainingPeer = control
	}
}

// retentionQueries returns the queries for what another host retains, or nil if this
// host needs none of them. It returns queries once in stallTimeout.
func (l *loop) retentionQueries(now time.Duration) []*peerv1.Position {
	if l.retainingPeer == "" || now < l.retentionQueryAfter {
		return nil
	}
	l.retentionQueryAfter = now + stallTimeout
	return []*peerv1.Position{{Kind: l.kinds.Servers, Retained: true}, {Kind: l.kinds.Evacuations, Retained: true}, {Kind: l.kinds.Hosts, Retained: true}}
}

// retainedTable returns the response to a query for what this host retains of a kind.
func (l *loop) retainedTable(now time.Duration, cache *objectCache) *peerv1.ObjectTable {
	table := &peerv1.ObjectTable{Kind: cache.kind, Era: cache.position.Era(), Complete: cache.retainedAt}
	for _, r := range cache.retained {
		table.Objects = append(table.Objects, &peerv1.StoredObject{
			Name: r.Name(), Revision: r.Revision(), Content: r.Content(), Deleted: r.Deleted(),
			Last: r.last.Content(), Remaining: uint32(max(0, r.until-now).Milliseconds()),
		})
	}
	return table
}

// applyRetained adopts what another host retains of a kind.
func (l *loop) applyRetained(now time.Duration, host string, cache *objectCache, table *peerv1.ObjectTable) {
	if cache.position.Era() != table.GetEra() {
		return
	}
	var others []retention
	for i, item := range messenger.DecodeObjects(table).Items() {
		wire := table.GetObjects()[i]
		last := item
		if item.Deleted() {
			last = storer.NewItem(item.Name(), item.Revision(), wire.GetLast())
		}
		until := now + time.Duration(wire.GetRemaining())*time.Millisecond
		others = append(others, retention{removal: removal{Item: item, last: last}, until: until})
	}
	if adopted := cache.adopt(now, others, table.GetComplete(), l.precedence(cache.kind)); adopted > 0 {
		klog.InfoS("retained objects fetched from host", "kind", cache.kind, "host", host, "objects", adopted, "era", table.GetEra())
		l.applyUpdate(now, cache.kind, nil)
	}
}
