package controller

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1/peerv1connect"
	"magnoliahill.example/magnoliahill/pkg/gossiper"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	maxDatagramBytes = 60 << 10               // bytes
	outageRetention  = time.Minute            // time for which a past outage is reported; registrations return in seconds
	fetchTimeout     = 800 * time.Millisecond // for objects from another host

	// stallTimeout is the time after which a watch that is behind other hosts counts
	// as stalled. A watch pauses 0.7 s after changes, and a slow store takes 0.24 s.
	stallTimeout = time.Second
)

// sendGossip sends gossip messages to all current recipients at once.
func (l *loop) sendGossip(now time.Duration) {
	l.deferred = nil
	l.sendMessages(now, l.gossiper.Recipients(now))
}

// recipientsPerSlice is the number of gossip messages that are sent at once. What a
// host sends at once must fit into the queue of its network link.
const recipientsPerSlice = 4

// startGossipRound divides the gossip messages that are due into slices, which are
// sent at equal intervals until the next round.
func (l *loop) startGossipRound(now time.Duration) {
	l.sendDeferred(now)
	l.gossiper.StartRound(now, l.healthReports(now))
	l.deferred = l.gossiper.RoundRecipients(now)
	slices := max(2, (len(l.deferred)+recipientsPerSlice-1)/recipientsPerSlice)
	l.sliceInterval = heartbeatInterval / time.Duration(slices)
	l.sliceSize = (len(l.deferred) + slices - 1) / slices
	l.sendSlice(now)
}

// sendSlice sends the next slice of the gossip round, and schedules the one after
// it.
func (l *loop) sendSlice(now time.Duration) {
	n := min(l.sliceSize, len(l.deferred))
	slice := l.deferred[:n]
	l.deferred = l.deferred[n:]
	l.sendMessages(now, slice)
	if len(l.deferred) > 0 {
		round := l.gossipedAt
		time.AfterFunc(l.sliceInterval, func() { l.send(&sliceDue{round: round}) })
	}
}

// sliceDue makes the loop send the next slice of a gossip round, unless another
// round has begun.
type sliceDue struct{ round time.Duration }

func (m *sliceDue) apply(l *loop, now time.Duration) {
	if m.round == l.gossipedAt {
		l.sendSlice(now)
	}
}

// sendDeferred sends the gossip messages of the round that were not sent yet.
func (l *loop) sendDeferred(now time.Duration) {
	l.sendMessages(now, l.deferred)
	l.deferred = nil
}

// sendMessages sends the current gossip message of this host to each recipient.
func (l *loop) sendMessages(now time.Duration, recipients []gossiper.Recipient) {
	load := l.localLoad()
	messages := map[recipientClass]*peerv1.Greeting{}
	for _, recipient := range recipients {
		class := recipientClass{recipient.OtherZone, strings.Join(recipient.FullZones, ",")}
		if messages[class] == nil {
			messages[class] = l.gossipMessage(now, recipient, load)
		}
		messages[class].Digests = messenger.EncodeDigests(l.gossiper.DigestsFor(now, recipient))
		messages[class].Evidence = messenger.EncodeHealthReports(l.gossiper.HealthReportsFor(recipient))
		l.controller.sendDatagram(recipient.Control, messages[class])
	}
}

// recipientClass is a class of hosts that get the same gossip message at one time,
// except for its digests and health reports.
type recipientClass struct {
	foreign   bool   // in other zones
	fullZones string // zones whose hosts they may lack
}

// announceChanges sends gossip messages to the hosts of this host's zone at once,
// so that they fetch changes in the store. It does nothing on hosts that do not
// watch the store.
func (l *loop) announceChanges(now time.Duration) {
	if !l.watching {
		return
	}
	for _, recipient := range l.gossiper.Recipients(now) {
		if !recipient.OtherZone {
			l.controller.sendDatagram(recipient.Control, l.announcement(now, recipient))
		}
	}
}

// announcement returns a message that tells a host of this zone which revisions
// this host has, without load and heartbeats that the next round sends anyway.
func (l *loop) announcement(now time.Duration, recipient gossiper.Recipient) *peerv1.Greeting {
	m := l.storeState(now)
	heartbeats := []tracker.Heartbeat{l.tracker.NextHeartbeat()}
	m.Sender = heartbeats[0].ID.Incarnation
	full, compact := l.gossiper.HeartbeatsFor(now, heartbeats, recipient)
	m.Beats = messenger.EncodeHeartbeats(full)
	m.Pulses = messenger.EncodeCompactHeartbeats(compact)
	m.Digests = messenger.EncodeDigests(l.gossiper.DigestsFor(now, recipient))
	return m
}

// gossipMessage returns the message for the class of a recipient, without digests
// and health reports.
func (l *loop) gossipMessage(now time.Duration, recipient gossiper.Recipient, load gossiper.Load) *peerv1.Greeting {
	m := l.storeState(now)
	m.Records = messenger.EncodeLoadRecords(l.gossiper.LoadRecords(now, load, recipient.OtherZone))
	heartbeats := l.tracker.Heartbeats(now)
	m.Sender = heartbeats[0].ID.Incarnation
	full, compact := l.gossiper.HeartbeatsFor(now, heartbeats, recipient)
	m.Beats = messenger.EncodeHeartbeats(full)
	m.Pulses = messenger.EncodeCompactHeartbeats(compact)
	return m
}

// storeState returns a message with what this host knows about the store and its
// objects.
func (l *loop) storeState(now time.Duration) *peerv1.Greeting {
	m := &peerv1.Greeting{Watching: l.watching, StoreLost: l.storeOutage(now), Blind: l.storeUnreachable()}
	if since := now - l.outageAt; l.outageAt > 0 && since < outageRetention {
		m.LostBefore = uint32(since.Milliseconds()) + 1
	}
	for _, kind := range l.kindOrder {
		revision := int64(0)
		if cache := l.caches[kind]; cache.listed {
			revision = cache.revision
		}
		m.Positions = append(m.Positions, revision)
	}
	return m
}

// sendDatagram sends a gossip message to the peer port of the host with the
// given control address. Delivery is not guaranteed.
func (c *Controller) sendDatagram(control string, m *peerv1.Greeting) {
	address, err := netip.ParseAddrPort(control)
	if err != nil {
		klog.InfoS("invalid control address of host", "control", control)
		return
	}
	data, err := proto.Marshal(m)
	if err != nil || len(data) > maxDatagramBytes {
		klog.ErrorS(err, "gossip message not sent: not encodable or too large", "bytes", len(data))
		return
	}
	peer := netip.AddrPortFrom(address.Addr(), uint16(c.settings.PeerPort))
	// A lost datagram needs no retry: the next round sends the state again.
	_, _ = c.udp.WriteToUDPAddrPort(data, peer)
}

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
	liveBefore := l.tracker.LiveCount(now)
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
	l.applyHealthReports(now, host.Zone, messenger.DecodeHealthReports(m.GetEvidence()))
	for i, revision := range m.GetPositions() {
		if i < len(l.kindOrder) {
			l.caches[l.kindOrder[i]].recordPeerRevision(now, revision, host.Control)
		}
	}
	if m.GetWatching() && !m.GetStoreLost() {
		sinceOutage := outageRetention
		if ms := m.GetLostBefore(); ms > 0 {
			sinceOutage = time.Duration(ms) * time.Millisecond
		}
		l.registrar.StoreReachableElsewhere(now-sinceOutage, now)
	}
	if m.GetWatching() && host.Zone == l.controller.settings.Zone {
		l.watcherSeen(now, m.GetStoreLost())
	}
	if liveNow := l.tracker.LiveCount(now); liveNow != liveBefore {
		klog.InfoS("number of live hosts changed", "hosts", liveNow, "sender", host.ID.Name)
		l.applyPeerState(now)
	}
	l.fetchFromPeers(now)
}

// storeOutage reports whether the store is unreachable for more than this host.
func (l *loop) storeOutage(now time.Duration) bool {
	if !l.caches[l.kinds.Servers].unreachable || l.registrar.LocalOutage(now) {
		return false
	}
	l.outageAt = now
	return true
}

// storeUnreachable reports whether this host watches the store but cannot reach it.
func (l *loop) storeUnreachable() bool {
	for _, cache := range l.caches {
		if l.watching && cache.unreachable {
			return true
		}
	}
	return false
}

// watcherSeen records a gossip message of another host of the zone that watches the
// store, and whether the store is unreachable there.
func (l *loop) watcherSeen(now time.Duration, lost bool) {
	l.watcherSeenAt = now
	if l.watching {
		return
	}
	if lost {
		l.outageAt = now
		l.registrar.StoreLost(now)
	} else {
		l.registrar.StoreRegained(now)
	}
}

// fetchFromPeers fetches objects from another host for kinds that this host does
// not watch or cannot list, if other hosts reported higher revisions. It restarts
// watches that have stalled.
func (l *loop) fetchFromPeers(now time.Duration) {
	positions := map[string][]*peerv1.Position{}
	for kind, cache := range l.caches {
		if cache.peerRevision <= cache.appliedRevision() {
			continue
		}
		if !l.watching || cache.unreachable || !cache.listed {
			positions[cache.peerAddress] = append(positions[cache.peerAddress], &peerv1.Position{Kind: kind, Revision: cache.appliedRevision()})
		} else if cache.stalled(now) {
			klog.InfoS("watch stalled", "kind", kind, "revision", cache.revision, "others", cache.peerRevision)
			cache.peerAheadSince = now
			l.followers[kind].Relist()
		}
	}
	if l.fetching || len(positions) == 0 {
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
	resp, err := l.controller.messenger.Peer(host).Objects(ctx, connect.NewRequest(&peerv1.ObjectsRequest{Known: positions}))
	m := &fetchResult{host: host, err: err}
	if err == nil {
		m.lists = resp.Msg.GetTables()
	}
	l.send(m)
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
				cache.peerRevision = 0 // the next gossip message sets it again, maybe from another host
			}
		}
		return
	}
	for _, wire := range m.lists {
		cache := l.caches[wire.GetKind()]
		if cache == nil || l.watching && !cache.unreachable && cache.listed || wire.GetRevision() <= cache.appliedRevision() {
			continue
		}
		l.applyFetched(now, cache, wire)
	}
	l.fetchFromPeers(now)
}

// applyFetched merges the objects of one kind that another host returned.
func (l *loop) applyFetched(now time.Duration, cache *objectCache, wire *peerv1.ObjectTable) {
	objects := messenger.DecodeObjects(wire)
	klog.V(1).InfoS("objects fetched from host", "kind", cache.kind, "from", cache.revision,
		"revision", objects.Revision(), "objects", len(objects.Items()), "changes", wire.GetChanges())
	changes := wire.GetChanges() && cache.listed
	cache.merge(objects, wire.GetComplete(), changes)
	if changes {
		l.applyUpdate(now, cache.kind, &objects)
		return
	}
	l.applyUpdate(now, cache.kind, nil)
}

// peerService serves RPCs from other hosts.
type peerService struct {
	peerv1connect.UnimplementedPeerServiceHandler
	controller *Controller
}

// Objects returns the objects of those kinds for which this host has a higher
// revision than the request.
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
// up, it returns the wait until the next request in milliseconds.
func (p *peerService) Charge(_ context.Context, req *connect.Request[peerv1.ChargeRequest]) (*connect.Response[peerv1.ChargeResponse], error) {
	allowed, wait := p.controller.allocator.Take(p.controller.clock.Now(), req.Msg.GetLimit())
	return connect.NewResponse(&peerv1.ChargeResponse{Allowed: allowed, Wait: uint32(wait.Milliseconds())}), nil
}

// objectsQuery is a request of another host for objects after the known positions.
type objectsQuery struct {
	known []*peerv1.Position
	reply chan []*peerv1.ObjectTable
}

func (m *objectsQuery) apply(l *loop, _ time.Duration) {
	var lists []*peerv1.ObjectTable
	for _, p := range m.known {
		if cache := l.caches[p.GetKind()]; cache != nil && cache.listed && cache.revision > p.GetRevision() {
			objects, changes := cache.changesSince(p.GetRevision())
			lists = append(lists, messenger.EncodeObjects(cache.kind, objects, cache.historyStart, changes))
		}
	}
	m.reply <- lists
}
