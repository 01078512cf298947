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

// sendMessages sends the current gossip message of this host to each recipient. What
// many recipients get is encoded once; the parts of an encoded message may follow one
// another.
func (l *loop) sendMessages(now time.Duration, recipients []gossiper.Recipient) {
	if len(recipients) == 0 {
		return
	}
	load := l.localLoad()
	shared := map[recipientClass][]byte{}
	var reports [2][]byte // health reports for the own zone and for others
	for _, recipient := range recipients {
		class := recipientClass{recipient.OtherZone, strings.Join(recipient.FullZones, ",")}
		if shared[class] == nil {
			shared[class] = encodeGossip(nil, l.gossipMessage(now, recipient, load))
		}
		l.datagram = append(l.datagram[:0], shared[class]...)
		l.datagram = encodeGossip(l.datagram, l.recipientPart(now, recipient))
		if evidence := l.gossiper.HealthReportsFor(recipient); len(evidence) > 0 {
			of := &reports[0]
			if recipient.OtherZone {
				of = &reports[1]
			}
			if *of == nil {
				*of = encodeGossip(nil, &peerv1.Greeting{Evidence: messenger.EncodeHealthReports(evidence)})
			}
			l.datagram = append(l.datagram, *of...)
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
func (l *loop) gossipMessage(now time.Duration, recipient gossiper.Recipient, load gossiper.Load) *peerv1.Greeting {
	m := l.storeState(now)
	m.Limits = messenger.EncodeLimits(l.limitReports(now))
	m.Records = messenger.EncodeLoadRecords(l.gossiper.LoadRecords(now, load, recipient.OtherZone))
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
