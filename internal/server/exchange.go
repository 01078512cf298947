package server

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/internal/watcher"
	"magnoliahill.example/magnoliahill/pkg/sharer"
)

const exchangeTimeout = time.Second

// exchangeAll speaks to every other host that is known by its heartbeats or by
// the platform's list.
func (l *loop) exchangeAll(now time.Duration) {
	addresses := map[string]bool{}
	for _, host := range l.tracker.Known(now) {
		addresses[host.Control] = true
	}
	for _, address := range l.listed {
		addresses[address] = true
	}
	delete(addresses, l.server.settings.Listen().Control())
	for address := range addresses {
		if l.due(now, address) {
			l.exchange(now, address)
		}
	}
}

// due reports whether a host is to be spoken to. One exchange a heartbeat is
// enough for a pair of hosts, whoever begins it; own ones are needed for the
// lease, and at once when the other side lacks something or takes the census
// that this host is not counted in yet.
func (l *loop) due(now time.Duration, address string) bool {
	told, known := l.told[address]
	heartbeat := l.server.settings.Membership().Heartbeat()
	switch {
	case !known || now-told.spoken >= heartbeat:
		return true
	case told.failed:
		return false
	case now-told.asked > l.server.settings.Shares().Lease()/4:
		return true
	}
	_, taker, report := l.shares.Report()
	return l.lacks(told) || (report && taker.Control == address)
}

func (l *loop) lacks(told peerKnowledge) bool {
	return told.generation < l.watcher.Head().Generation ||
		older(told.epoch, told.members, l.server.sharer.Roster())
}

// older reports whether a roster of an epoch with some members lacks something
// of another one.
func older(epoch int64, members int32, roster sharer.Roster) bool {
	return epoch < roster.Epoch || (epoch == roster.Epoch && int(members) < len(roster.Members))
}

func (l *loop) exchange(now time.Duration, address string) {
	if l.busy[address] {
		return
	}
	l.busy[address] = true
	told := l.told[address]
	told.asked = now
	l.told[address] = told
	req := l.request(now, address)
	go func() {
		sent := l.server.clock.Now()
		ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
		defer cancel()
		resp, err := l.server.messenger.Peer(address).Exchange(ctx, connect.NewRequest(req))
		m := &exchanged{address: address, sent: sent, err: err}
		if err == nil {
			m.resp = resp.Msg
		}
		l.send(m)
	}()
}

func (l *loop) request(now time.Duration, address string) *peerv1.ExchangeRequest {
	roster := l.server.sharer.Roster()
	head := l.watcher.Head()
	req := &peerv1.ExchangeRequest{
		Stamp:      messenger.EncodeStamp(l.server.recorder.TimeLine().Clock().Now()),
		Generation: head.Generation,
		Epoch:      roster.Epoch,
		Members:    int32(len(roster.Members)),
		Control:    l.server.settings.Listen().Control(),

		WantsCensus: l.shares.WantsCensus(),
	}
	told := l.told[address]
	req.Beats, req.Pulses, req.Digest = l.news(now, told.digest)
	if told.generation < head.Generation {
		req.Head = messenger.EncodeHead(head)
	}
	if older(told.epoch, told.members, roster) {
		req.Roster = messenger.EncodeRoster(roster)
	}
	if report, taker, due := l.shares.Report(); due && taker.Control == address {
		req.To = messenger.EncodeID(taker.ID)
		req.Report = messenger.EncodeReport(report)
	}
	return req
}

// news returns what to tell of the live hosts: pulses to a host that knows the
// same ones, and else all there is to know.
func (l *loop) news(now time.Duration, known uint64) ([]*peerv1.Beat, []*peerv1.Pulse, uint64) {
	digest := l.tracker.Digest(now)
	if digest == known {
		return messenger.EncodeBeats(l.shares.GoneBeats()), messenger.EncodePulses(l.tracker.Pulses(now)), digest
	}
	return messenger.EncodeBeats(l.shares.Beats(now)), nil, digest
}

// exchanged is the end of an exchange that this host began.
type exchanged struct {
	address string
	sent    time.Duration
	resp    *peerv1.ExchangeResponse
	err     error
}

func (m *exchanged) apply(l *loop, now time.Duration) {
	delete(l.busy, m.address)
	if m.err != nil {
		l.told[m.address] = peerKnowledge{spoken: now, asked: l.told[m.address].asked, failed: true}
		return
	}
	resp := m.resp
	l.take(now, resp.GetStamp(), resp.GetBeats(), resp.GetPulses(), resp.GetHead(), resp.GetRoster())
	told := peerKnowledge{
		generation: resp.GetGeneration(), epoch: resp.GetEpoch(), members: resp.GetMembers(), digest: resp.GetDigest(),
		spoken: now, asked: l.told[m.address].asked,
	}
	l.told[m.address] = told
	l.server.sharer.Confirm(now, sharer.Verdict{
		Epoch: resp.GetVerdictEpoch(),
		Way:   sharer.Way(resp.GetVerdict()),
	})
	l.server.sharer.Heard(now, m.sent, messenger.DecodeID(resp.GetFrom()), resp.GetEpoch())
	if resp.GetGeneration() == l.watcher.Head().Generation && resp.GetConfigAgeMs() >= 0 {
		l.confirmConfig(m.sent - time.Duration(resp.GetConfigAgeMs()+1)*time.Millisecond)
	}
	// Tell at once what the other side turned out to lack.
	if l.lacks(told) {
		l.exchange(now, m.address)
	}
}

// take takes in what another host sent, in either direction.
func (l *loop) take(now time.Duration, stamp *peerv1.Stamp, beats []*peerv1.Beat, pulses []*peerv1.Pulse, head *peerv1.Head, roster *peerv1.Roster) {
	l.server.recorder.TimeLine().Clock().Merge(messenger.DecodeStamp(stamp))
	l.tracker.Heard(now, messenger.DecodeBeats(beats)...)
	l.tracker.HeardPulses(now, messenger.DecodePulses(pulses))
	if roster != nil {
		l.perform(l.shares.Adopt(now, messenger.DecodeRoster(roster)))
	}
	if head != nil {
		l.offerHead(messenger.DecodeHead(head))
	}
}

func (l *loop) offerHead(head watcher.Head) {
	l.watcher.Offer(head)
	l.advance()
}

// confirmConfig records that the store had no later configuration at a time.
func (l *loop) confirmConfig(at time.Duration) {
	if int64(at) > l.server.configNews.Load() {
		l.server.configNews.Store(int64(at))
	}
}

// configAge returns for how many milliseconds the configuration has not been
// confirmed by the store, or -1 when it never was.
func (l *loop) configAge(now time.Duration) int64 {
	news := time.Duration(l.server.configNews.Load())
	if news == 0 {
		return -1
	}
	return (now - news).Milliseconds()
}

// received is an exchange that another host began.
type received struct {
	base
	req  *peerv1.ExchangeRequest
	resp *peerv1.ExchangeResponse
}

func (m *received) apply(l *loop, now time.Duration) {
	req := m.req
	l.take(now, req.GetStamp(), req.GetBeats(), req.GetPulses(), req.GetHead(), req.GetRoster())
	if address := req.GetControl(); address != "" {
		l.told[address] = peerKnowledge{
			generation: req.GetGeneration(), epoch: req.GetEpoch(), members: req.GetMembers(), digest: req.GetDigest(),
			spoken: now, asked: l.told[address].asked,
		}
	}
	if req.GetWantsCensus() {
		l.shares.CensusWanted(req.GetEpoch())
	}
	head := l.watcher.Head()
	roster := l.server.sharer.Roster()
	m.resp = &peerv1.ExchangeResponse{
		From:       messenger.EncodeID(l.server.id),
		Stamp:      messenger.EncodeStamp(l.server.recorder.TimeLine().Clock().Now()),
		Generation: head.Generation,
		Epoch:      roster.Epoch,
		Members:    int32(len(roster.Members)),

		ConfigAgeMs: l.configAge(now),
	}
	m.resp.Beats, m.resp.Pulses, m.resp.Digest = l.news(now, req.GetDigest())
	if req.GetGeneration() < head.Generation {
		m.resp.Head = messenger.EncodeHead(head)
	}
	if older(req.GetEpoch(), req.GetMembers(), roster) {
		m.resp.Roster = messenger.EncodeRoster(roster)
	}
	if req.GetReport() != nil {
		verdict := l.shares.Reported(messenger.DecodeReport(req.GetReport()))
		m.resp.Verdict = int32(verdict.Way)
		m.resp.VerdictEpoch = verdict.Epoch
	}
}

var _ message = (*received)(nil)
