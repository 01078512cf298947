package server

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"magnoliahill.example/magnoliahill/internal/activator"
	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/pkg/sharer"
)

const exchangeTimeout = time.Second

// exchangeAll begins the exchanges that are due, with all hosts known by their
// heartbeats or from the platform's host list.
func (l *loop) exchangeAll(now time.Duration) {
	addresses := map[string]bool{}
	for _, host := range l.tracker.Known(now) {
		addresses[host.Control] = true
	}
	for _, address := range l.listedAddresses {
		addresses[address] = true
	}
	delete(addresses, l.server.settings.Listen().Control())
	for address := range addresses {
		if l.exchangeDue(now, address) {
			l.exchange(now, address)
		}
	}
}

// exchangeDue reports whether an exchange with a host is due. One exchange per
// heartbeat interval is enough for a pair of hosts, whichever begins it. This
// host also has to begin exchanges itself to renew its lease. An exchange is
// due at once when the other host lacks something, or when it collects shares
// and has not counted this host yet.
func (l *loop) exchangeDue(now time.Duration, address string) bool {
	peer, known := l.peerStates[address]
	heartbeat := l.server.settings.Membership().HeartbeatInterval()
	switch {
	case !known || now-peer.lastExchange >= heartbeat:
		return true
	case peer.failed:
		return false
	case now-peer.lastRequest > l.server.settings.Shares().Lease()/4:
		return true
	}
	_, collector, reportDue := l.shareController.PendingReport()
	return l.isBehind(peer) || (reportDue && collector.Control == address)
}

// isBehind reports whether another host lacks the configuration head or the
// roster of this host.
func (l *loop) isBehind(peer peerState) bool {
	return peer.generation < l.activator.Head().Generation ||
		rosterBehind(peer.epoch, peer.members, l.server.sharer.Roster())
}

// rosterBehind reports whether a roster with the given epoch and number of
// members lacks something that another roster has.
func rosterBehind(epoch int64, members int32, roster sharer.Roster) bool {
	return epoch < roster.Epoch || (epoch == roster.Epoch && int(members) < len(roster.Members))
}

// exchange begins an exchange with a host in the background, unless one is
// already in progress.
func (l *loop) exchange(now time.Duration, address string) {
	if l.exchanging[address] {
		return
	}
	l.exchanging[address] = true
	peer := l.peerStates[address]
	peer.lastRequest = now
	l.peerStates[address] = peer
	req := l.exchangeRequest(now, address)
	go func() {
		sent := l.server.clock.Now()
		ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
		defer cancel()
		resp, err := l.server.messenger.Peer(address).Exchange(ctx, connect.NewRequest(req))
		m := &exchangeFinished{address: address, sent: sent, err: err}
		if err == nil {
			m.resp = resp.Msg
		}
		l.send(m)
	}()
}

// exchangeRequest returns the request of an exchange with a host. It contains
// only what the host is not known to have.
func (l *loop) exchangeRequest(now time.Duration, address string) *peerv1.ExchangeRequest {
	roster := l.server.sharer.Roster()
	head := l.activator.Head()
	req := &peerv1.ExchangeRequest{
		Stamp:      messenger.EncodeStamp(l.server.recorder.TimeLine().Clock().Now()),
		Generation: head.Generation,
		Epoch:      roster.Epoch,
		Members:    int32(len(roster.Members)),
		Control:    l.server.settings.Listen().Control(),

		WantsCensus: l.shareController.WantsCollection(),
	}
	peer := l.peerStates[address]
	req.Beats, req.Pulses, req.Digest = l.heartbeats(now, peer.digest)
	if peer.generation < head.Generation {
		req.Head = messenger.EncodeHead(head)
	}
	if rosterBehind(peer.epoch, peer.members, roster) {
		req.Roster = messenger.EncodeRoster(roster)
	}
	if report, collector, reportDue := l.shareController.PendingReport(); reportDue && collector.Control == address {
		req.To = messenger.EncodeID(collector.ID)
		req.Report = messenger.EncodeShareReport(report)
	}
	return req
}

// heartbeats returns what to send about the live hosts, and their digest. A
// peer with the same digest gets compact heartbeats, and full ones only for
// members that have ended; any other peer gets all full heartbeats.
func (l *loop) heartbeats(now time.Duration, peerDigest uint64) ([]*peerv1.Beat, []*peerv1.Pulse, uint64) {
	digest := l.tracker.Digest(now)
	if digest == peerDigest {
		return messenger.EncodeHeartbeats(l.shareController.GoneHeartbeats()), messenger.EncodeCompactHeartbeats(l.tracker.CompactHeartbeats(now)), digest
	}
	return messenger.EncodeHeartbeats(l.shareController.Heartbeats(now)), nil, digest
}

// exchangeFinished is the message that an exchange begun by this host has
// finished.
type exchangeFinished struct {
	address string
	sent    time.Duration
	resp    *peerv1.ExchangeResponse
	err     error
}

func (m *exchangeFinished) apply(l *loop, now time.Duration) {
	delete(l.exchanging, m.address)
	if m.err != nil {
		l.peerStates[m.address] = peerState{lastExchange: now, lastRequest: l.peerStates[m.address].lastRequest, failed: true}
		return
	}
	resp := m.resp
	l.mergeState(now, resp.GetStamp(), resp.GetBeats(), resp.GetPulses(), resp.GetHead(), resp.GetRoster())
	peer := peerState{
		generation: resp.GetGeneration(), epoch: resp.GetEpoch(), members: resp.GetMembers(), digest: resp.GetDigest(),
		lastExchange: now, lastRequest: l.peerStates[m.address].lastRequest,
	}
	l.peerStates[m.address] = peer
	l.server.sharer.ApplyVerdict(now, sharer.Verdict{
		Epoch:  resp.GetVerdictEpoch(),
		Status: sharer.CountStatus(resp.GetVerdict()),
	})
	l.server.sharer.RecordReply(now, m.sent, messenger.DecodeID(resp.GetFrom()), resp.GetEpoch())
	if resp.GetGeneration() == l.activator.Head().Generation && resp.GetConfigAgeMs() >= 0 {
		l.confirmConfig(m.sent - time.Duration(resp.GetConfigAgeMs()+1)*time.Millisecond)
	}
	// Send at once what the other host turned out to lack.
	if l.isBehind(peer) {
		l.exchange(now, m.address)
	}
}

// mergeState merges what another host sent in an exchange, whichever host began
// it.
func (l *loop) mergeState(now time.Duration, stamp *peerv1.Stamp, heartbeats []*peerv1.Beat, compact []*peerv1.Pulse, head *peerv1.Head, roster *peerv1.Roster) {
	l.server.recorder.TimeLine().Clock().Merge(messenger.DecodeStamp(stamp))
	l.tracker.Apply(now, messenger.DecodeHeartbeats(heartbeats)...)
	l.tracker.ApplyCompact(now, messenger.DecodeCompactHeartbeats(compact))
	if roster != nil {
		l.performActions(l.shareController.ApplyRoster(now, messenger.DecodeRoster(roster)))
	}
	if head != nil {
		l.applyHead(messenger.DecodeHead(head))
	}
}

// applyHead offers a configuration head to the activator and applies it if it is
// newer.
func (l *loop) applyHead(head activator.Head) {
	l.activator.Offer(head)
	l.advanceConfig()
}

// confirmConfig records that the store had no later configuration at the given
// time.
func (l *loop) confirmConfig(at time.Duration) {
	if int64(at) > l.server.configConfirmedAt.Load() {
		l.server.configConfirmedAt.Store(int64(at))
	}
}

// configAge returns the milliseconds since the store last confirmed the
// configuration, or -1 when it never did.
func (l *loop) configAge(now time.Duration) int64 {
	confirmedAt := time.Duration(l.server.configConfirmedAt.Load())
	if confirmedAt == 0 {
		return -1
	}
	return (now - confirmedAt).Milliseconds()
}

// exchangeReceived is the message that another host began an exchange. Applying
// it sets the response.
type exchangeReceived struct {
	completion
	req  *peerv1.ExchangeRequest
	resp *peerv1.ExchangeResponse
}

func (m *exchangeReceived) apply(l *loop, now time.Duration) {
	req := m.req
	l.mergeState(now, req.GetStamp(), req.GetBeats(), req.GetPulses(), req.GetHead(), req.GetRoster())
	if address := req.GetControl(); address != "" {
		l.peerStates[address] = peerState{
			generation: req.GetGeneration(), epoch: req.GetEpoch(), members: req.GetMembers(), digest: req.GetDigest(),
			lastExchange: now, lastRequest: l.peerStates[address].lastRequest,
		}
	}
	if req.GetWantsCensus() {
		l.shareController.RecordCollectionRequest(req.GetEpoch())
	}
	head := l.activator.Head()
	roster := l.server.sharer.Roster()
	m.resp = &peerv1.ExchangeResponse{
		From:       messenger.EncodeID(l.server.id),
		Stamp:      messenger.EncodeStamp(l.server.recorder.TimeLine().Clock().Now()),
		Generation: head.Generation,
		Epoch:      roster.Epoch,
		Members:    int32(len(roster.Members)),

		ConfigAgeMs: l.configAge(now),
	}
	m.resp.Beats, m.resp.Pulses, m.resp.Digest = l.heartbeats(now, req.GetDigest())
	if req.GetGeneration() < head.Generation {
		m.resp.Head = messenger.EncodeHead(head)
	}
	if rosterBehind(req.GetEpoch(), req.GetMembers(), roster) {
		m.resp.Roster = messenger.EncodeRoster(roster)
	}
	if req.GetReport() != nil {
		verdict := l.shareController.AddReport(messenger.DecodeShareReport(req.GetReport()))
		m.resp.Verdict = int32(verdict.Status)
		m.resp.VerdictEpoch = verdict.Epoch
	}
}

var _ message = (*exchangeReceived)(nil)
