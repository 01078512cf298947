package controller

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1/peerv1connect"
	"magnoliahill.example/magnoliahill/internal/storer"
)

const (
	maxDatagramBytes = 60 << 10               // bytes
	fetchTimeout     = 800 * time.Millisecond // for objects from another host

	// stallTimeout is the time after which a watch that is behind other hosts counts
	// as stalled. A watch pauses 0.7 s after changes, and a slow store takes 0.24 s.
	stallTimeout = time.Second
)

// receiveGossip queues received gossip messages for the loop until the context ends
// or the socket is closed.
func (c *Controller) receiveGossip(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, _, err := c.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error for an earlier datagram
		}
		m := &peerv1.Greeting{}
		if err := proto.Unmarshal(buffer[:n], m); err != nil {
			klog.InfoS("invalid datagram ignored", "bytes", n, "cause", err.Error())
			continue
		}
		c.loop.sendReceivedGossip(&gossipReceived{m})
	}
}

// gossipReceived is a gossip message of another host.
type gossipReceived struct{ *peerv1.Greeting }

func (m *gossipReceived) apply(l *loop, now time.Duration) {
	liveBefore, cutOffBefore := l.tracker.LiveCount(now), l.tracker.CutOffCount(now)
	l.tracker.Apply(now, messenger.DecodeHeartbeats(m.GetBeats())...)
	l.tracker.ApplyCompact(now, messenger.DecodeCompactHeartbeats(m.GetPulses()))
	if l.tracker.Superseded() {
		// The platform runs one process of a host at a time, so the higher
		// incarnation belongs to an earlier process that started before the
		// clock was set back.
		l.tracker.RaiseIncarnation()
		klog.InfoS("incarnation renewed", "host", l.controller.settings.Host)
	}
	host, known := l.tracker.FindIncarnation(now, m.GetSender())
	if !known {
		return // the digest of this host's next message makes the sender send full heartbeats
	}
	l.gossiper.Apply(now, host.ID.Name, host.Zone, messenger.DecodeDigests(m.GetDigests()), messenger.DecodeLoadRecords(m.GetRecords()))
	l.gossiper.SetStoreUnreachable(host.ID.Name, m.GetBlind())
	l.applyLeaving(host.ID.Name, m.GetLeaving())
	l.applySuspects(now, host.ID.Name, m.Greeting)
	l.applyLimitReports(now, messenger.DecodeLimits(m.GetLimits()))
	l.applyHealthReports(now, host.Zone, messenger.DecodeHealthReports(m.GetEvidence()))
	for i, revision := range m.GetPositions() {
		if i < len(l.kindOrder) && revision > 0 {
			l.caches[l.kindOrder[i]].recordPeerPosition(now, storer.NewPosition(m.GetEra(), revision), host.Control, m.GetWatching())
		}
	}
	l.compareObjects(now, host, m.Greeting)
	l.recordPeerRetention(now, m.GetRetained(), m.GetEra(), host.Control)
	l.config.recordPeerGeneration(now, m.GetGeneration(), host.Control)
	l.applyStoreState(now, host, m.Greeting)
	if liveNow := l.tracker.LiveCount(now); liveNow != liveBefore {
		klog.InfoS("number of live hosts changed", "hosts", liveNow, "sender", host.ID.Name)
		l.applyPeerStateSoon(now)
	} else if cutOff := l.tracker.CutOffCount(now); cutOff != cutOffBefore {
		klog.InfoS("number of cut off hosts changed", "hosts", cutOff, "sender", host.ID.Name)
		l.applyPeerStateSoon(now)
	}
	l.fetchFromPeers(now)
}

// fetchFromPeers fetches objects from another host for kinds that this host does
// not watch or cannot list, if other hosts reported later positions. It restarts
// watches that have stalled.
func (l *loop) fetchFromPeers(now time.Duration) {
	positions := map[string][]*peerv1.Position{}
	for kind, cache := range l.caches {
		source := cache.peerAddress
		resync := cache.incomplete && cache.watcher != "" && now >= cache.resyncAt
		if resync {
			cache.resyncAt = now + stallTimeout
			source = cache.watcher
		} else if !cache.peerAhead() {
			continue
		}
		if !l.watching || cache.unreachable || !cache.listed {
			positions[source] = append(positions[source], messenger.EncodePosition(kind, cache.missing()))
		} else if cache.stalled(now) {
			klog.InfoS("watch stalled", "kind", kind, "era", cache.position.Era(), "revision", cache.position.Revision(),
				"othersEra", cache.peerPosition.Era(), "others", cache.peerPosition.Revision())
			cache.watchRenewed(now)
			l.followers[kind].Relist()
		}
	}
	if l.fetching {
		return
	}
	if query := l.activeConfigQuery(now); query != nil {
		positions[l.config.peerAddress] = append(positions[l.config.peerAddress], query)
	}
	if queries := l.retentionQueries(now); queries != nil {
		positions[l.retainingPeer] = append(positions[l.retainingPeer], queries...)
		l.retainingPeer = ""
	}
	if len(positions) == 0 {
		return
	}
	hosts := make([]string, 0, len(positions))
	for host := range positions {
		hosts = append(hosts, host)
	}
	host := hosts[rand.IntN(len(hosts))]
	l.fetching = true
	go l.fetch(host, positions[host])
}

// fetch requests objects after the given positions from a host, and sends the
// result to the loop.
func (l *loop) fetch(host string, positions []*peerv1.Position) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	lists, err := l.controller.messenger.Objects(ctx, host, positions)
	l.send(&fetchResult{host: host, lists: lists, err: err})
}

// fetchResult holds the objects that another host returned, or an error.
type fetchResult struct {
	host  string
	lists []*peerv1.ObjectTable
	err   error
}

func (m *fetchResult) apply(l *loop, now time.Duration) {
	l.fetching = false
	if m.err != nil {
		klog.InfoS("fetching objects from host failed", "host", m.host, "cause", m.err.Error())
		for _, cache := range l.caches {
			if cache.peerAddress == m.host {
				cache.peerPosition, cache.peerAddress = storer.Position{}, "" // the next gossip message sets them again, maybe from another host
			}
			if cache.watcher == m.host {
				cache.watcher = ""
			}
		}
		if !l.watching && !l.discovering && !l.synced() {
			// The host that listed the store is overloaded or gone; a starting
			// host must not wait for it.
			klog.InfoS("store watches started", "sinceWatcherSeen", now-l.watcherSeenAt)
			l.startWatches()
		}
		return
	}
	for _, wire := range m.lists {
		if wire.GetKind() == l.kinds.Config && wire.GetRevision() == 0 {
			l.applyConfig(now, messenger.DecodeObjects(wire).Items()) // the other host's active configuration
			continue
		}
		cache := l.caches[wire.GetKind()]
		if cache != nil && wire.GetRevision() == 0 {
			l.applyRetained(now, m.host, cache, wire)
			continue
		}
		if cache == nil || l.watching && !cache.unreachable && cache.listed {
			continue
		}
		objects := messenger.DecodeObjects(wire)
		if cache.accepts(objects, wire.GetComplete(), wire.GetChanges()) {
			l.applyFetched(now, m.host, cache, objects, wire)
		}
	}
	l.fetchFromPeers(now)
}

// applyFetched merges the objects of one kind that another host returned in a table.
func (l *loop) applyFetched(now time.Duration, host string, cache *objectCache, objects storer.ItemList, wire *peerv1.ObjectTable) {
	klog.InfoS("objects fetched from host", "kind", cache.kind, "host", host, "from", cache.position.Revision(),
		"era", objects.Position().Era(), "revision", objects.Revision(), "objects", len(objects.Items()), "changes", wire.GetChanges())
	changes := wire.GetChanges() && cache.listed
	l.checkRestore(cache, objects.Position())
	if changes {
		l.applyChanges(now, cache, cache.merge(objects, wire.GetComplete(), true, false))
		return
	}
	l.replaceObjects(now, cache, func() { cache.merge(objects, wire.GetComplete(), false, host == cache.watcher) })
	l.applyUpdate(now, cache.kind, nil)
}

// peerService serves RPCs from other hosts.
type peerService struct {
	peerv1connect.UnimplementedPeerServiceHandler
	controller *Controller
}

// Objects returns the objects of those kinds for which this host has a later
// position than the request.
func (p *peerService) Objects(ctx context.Context, req *connect.Request[peerv1.ObjectsRequest]) (*connect.Response[peerv1.ObjectsResponse], error) {
	m := &objectsQuery{known: req.Msg.GetKnown(), reply: make(chan []*peerv1.ObjectTable, 1)}
	p.controller.loop.send(m)
	select {
	case lists := <-m.reply:
		return connect.NewResponse(&peerv1.ObjectsResponse{Tables: lists}), nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
}

// Charge takes one request from this host's share of a limit. If the share is used
// up, it returns the wait until the next request in milliseconds. The error is of code
// not_found if this host does not know the limit, or not yet.
func (p *peerService) Charge(_ context.Context, req *connect.Request[peerv1.ChargeRequest]) (*connect.Response[peerv1.ChargeResponse], error) {
	answer, err := p.controller.allocator.TakeForOther(p.controller.clock.Now(), messenger.DecodeCharge(req.Msg))
	if err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	return connect.NewResponse(messenger.EncodeChargeAnswer(answer)), nil
}

// objectsQuery is a request of another host for objects after the known positions.
type objectsQuery struct {
	known []*peerv1.Position
	reply chan []*peerv1.ObjectTable
}

func (m *objectsQuery) apply(l *loop, now time.Duration) {
	var lists []*peerv1.ObjectTable
	for _, p := range m.known {
		if p.GetActive() {
			if table := l.activeConfigTable(); table != nil {
				lists = append(lists, table)
			}
			continue
		}
		if cache := l.caches[p.GetKind()]; p.GetRetained() {
			if cache != nil {
				lists = append(lists, l.retainedTable(now, cache))
			}
			continue
		}
		known := messenger.DecodePosition(p)
		if cache := l.caches[p.GetKind()]; cache != nil && cache.listed && known.Before(cache.position) {
			objects, changes := cache.changesSince(known)
			lists = append(lists, messenger.EncodeObjects(cache.kind, objects, cache.historyStart, changes))
		}
	}
	m.reply <- lists
}
