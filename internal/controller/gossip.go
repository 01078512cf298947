package controller

import (
	"net/netip"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/pkg/gossiper"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

// sendGossip sends gossip messages to all current recipients at once.
func (l *loop) sendGossip(now time.Duration) {
	l.deferred = nil
	clear(l.shared)
	l.sendMessages(now, l.gossiper.Recipients(now))
}

// recipientsPerSlice is the number of gossip messages that are sent at once. What a
// host sends at once must fit into the queue of its network link.
const recipientsPerSlice = 4

// sharedAge is the age up to which an encoded message is sent to further recipients of
// its class: in a large zone slices follow one another faster than what they say changes.
const sharedAge = 100 * time.Millisecond

// startGossipRound divides the gossip messages that are due into slices, which are
// sent at equal intervals until the next round.
func (l *loop) startGossipRound(now time.Duration) {
	l.sendDeferred(now)
	l.gossiper.StartRound(now, l.healthReports(now))
	clear(l.shared)
	l.sharedReports = [2][]byte{}
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

// sendMessages sends the current gossip message of this host to each recipient. What
// many recipients get is encoded once; the parts of an encoded message may follow one
// another.
func (l *loop) sendMessages(now time.Duration, recipients []gossiper.Recipient) {
	for _, recipient := range recipients {
		l.datagram = append(l.datagram[:0], l.sharedPart(now, recipient)...)
		l.datagram = encodeGossip(l.datagram, l.recipientPart(now, recipient))
		if reports := l.gossiper.HealthReportsFor(recipient); len(reports) > 0 {
			l.datagram = append(l.datagram, l.reportsPart(recipient, reports)...)
		}
		l.controller.sendDatagram(recipient.Control, l.datagram)
	}
}

// recipientClass is a class of hosts that get the same gossip message at one time,
// except for its recipient part and health reports.
type recipientClass struct {
	foreign   bool   // in other zones
	fullZones string // zones whose hosts they may lack
}

// sharedPart is the encoded part of a gossip message for a class of recipients.
type sharedPart struct {
	data   []byte
	madeAt time.Duration
}

// sharedPart returns the encoded part of a message for all recipients of a class.
func (l *loop) sharedPart(now time.Duration, recipient gossiper.Recipient) []byte {
	class := recipientClass{recipient.OtherZone, strings.Join(recipient.FullZones, ",")}
	part, ok := l.shared[class]
	if !ok || now-part.madeAt >= sharedAge {
		part = sharedPart{data: encodeGossip(part.data[:0], l.gossipMessage(now, recipient)), madeAt: now}
		l.shared[class] = part
	}
	return part.data
}

// reportsPart returns the encoded health reports of the round, which are the same for
// all hosts of the own zone and for all others that get any.
func (l *loop) reportsPart(recipient gossiper.Recipient, reports gossiper.HealthReports) []byte {
	part := &l.sharedReports[0]
	if recipient.OtherZone {
		part = &l.sharedReports[1]
	}
	if *part == nil {
		*part = encodeGossip(nil, &peerv1.Greeting{Evidence: messenger.EncodeHealthReports(reports)})
	}
	return *part
}

// recipientPart returns the part of a gossip message that is for one recipient alone.
func (l *loop) recipientPart(now time.Duration, recipient gossiper.Recipient) *peerv1.Greeting {
	m := &peerv1.Greeting{}
	if recipient.OtherZone {
		m.Digests = messenger.EncodeDigests(l.gossiper.DigestsFor(now, recipient))
	}
	l.addSuspects(now, m, recipient)
	return m
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
			l.controller.sendDatagram(recipient.Control, encodeGossip(nil, l.announcement(now, recipient)))
		}
	}
}

// announcement returns a message that tells a host which revisions this host has, without load and heartbeats that the next round sends anyway.
func (l *loop) announcement(now time.Duration, recipient gossiper.Recipient) *peerv1.Greeting {
	m := l.storeState(now)
	l.addHeartbeats(now, m, recipient, []tracker.Heartbeat{l.tracker.NextHeartbeat()})
	m.Digests = messenger.EncodeDigests(l.gossiper.DigestsFor(now, recipient))
	l.addSuspects(now, m, recipient)
	return m
}

// gossipMessage returns the message for the class of a recipient, without its recipient
// part and health reports.
func (l *loop) gossipMessage(now time.Duration, recipient gossiper.Recipient) *peerv1.Greeting {
	m := l.storeState(now)
	m.Limits = messenger.EncodeLimits(l.limitReports(now))
	m.Records = messenger.EncodeLoadRecords(l.gossiper.LoadRecords(now, l.localLoad(now), recipient.OtherZone))
	l.heartbeats = l.tracker.AppendHeartbeats(now, l.heartbeats[:0])
	l.addHeartbeats(now, m, recipient, l.heartbeats)
	if !recipient.OtherZone {
		m.Digests = messenger.EncodeDigests(l.gossiper.DigestsFor(now, recipient))
	}
	return m
}

// addHeartbeats adds the heartbeats that a recipient is to get to a message. The
// first one is this host's own.
func (l *loop) addHeartbeats(now time.Duration, m *peerv1.Greeting, recipient gossiper.Recipient, heartbeats []tracker.Heartbeat) {
	m.Sender = heartbeats[0].ID.Incarnation
	full, compact := l.gossiper.HeartbeatsFor(now, heartbeats, recipient)
	m.Beats = messenger.EncodeHeartbeats(full)
	m.Pulses = messenger.EncodeCompactHeartbeats(compact)
}

// storeState returns a message with what this host knows about the store and its
// objects.
func (l *loop) storeState(now time.Duration) *peerv1.Greeting {
	m := &peerv1.Greeting{Watching: l.watching, StoreLost: l.storeOutage(now), Blind: l.storeUnreachable()}
	m.Leaving = l.leavingRuns()
	m.Retained = l.retainedCount()
	if since := now - l.outageAt; l.outageAt > 0 && since < outageRetention {
		m.LostBefore = uint32(since.Milliseconds()) + 1
	}
	m.ReturnedBefore = l.returnedBefore(now)
	m.Generation = l.config.generation()
	for _, cache := range l.caches {
		m.Era = max(m.Era, cache.position.Era())
	}
	for _, kind := range l.kindOrder {
		revision := int64(0)
		if cache := l.caches[kind]; cache.listed && cache.position.Era() == m.GetEra() {
			revision = cache.position.Revision()
		}
		m.Positions = append(m.Positions, revision)
	}
	m.ObjectsHash = l.watchedObjectsHash(m.GetEra())
	return m
}

// encodeGossip appends an encoded gossip message, or a part of one, to data.
func encodeGossip(data []byte, m *peerv1.Greeting) []byte {
	encoded, err := proto.MarshalOptions{}.MarshalAppend(data, m)
	if err != nil {
		klog.ErrorS(err, "gossip message not encoded") // texts that are not UTF-8
		return data
	}
	return encoded
}

// sendDatagram sends an encoded gossip message to the peer port of the host with the
// given control address. Delivery is not guaranteed.
func (c *Controller) sendDatagram(control string, data []byte) {
	address, err := netip.ParseAddrPort(control)
	if err != nil {
		klog.InfoS("invalid control address of host", "control", control)
		return
	}
	if len(data) > maxDatagramBytes {
		klog.ErrorS(nil, "gossip message not sent: too large", "bytes", len(data))
		return
	}
	peer := netip.AddrPortFrom(address.Addr(), uint16(c.settings.PeerPort))
	// A lost datagram needs no retry: the next round sends the state again.
	_, _ = c.udp.WriteToUDPAddrPort(data, peer)
}
