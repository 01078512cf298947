package server

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/internal/transitioner"
	"magnoliahill.example/magnoliahill/pkg/sharer"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	quietPollInterval  = 20 * time.Millisecond
	progressInterval   = 2 * time.Second
	handOverAttempts   = 20
	handOverRetryDelay = 50 * time.Millisecond
)

// drain performs a planned stop without aborting any request. The host removes
// itself from look-ups, waits until the look-ups that callers cached have
// expired, finishes running requests, hands over its shares of limits, and
// announces its stop to the other hosts.
func (s *Server) drain(ctx context.Context) {
	s.loop.changeState("stop", tracker.Leaving, func(next *snapshot) { next.phase = leaving })
	s.awaitQuiet()
	s.loop.changeState("drained", tracker.Leaving, func(next *snapshot) { next.phase = finishing })
	s.finish(ctx)
	s.loop.changeState("quiet", tracker.Leaving, nil)
	s.handOver(ctx)
	s.loop.changeState("handed-over", tracker.Gone, nil)
	s.announceStop(ctx)
	_ = s.controlServer.Close()
	s.forwarder.Close()
	s.messenger.Close()
	klog.InfoS("host stopped", "host", s.id.Name)
}

// awaitQuiet waits until the look-ups that callers cached have expired and no
// request has arrived for the quiet period.
func (s *Server) awaitQuiet() {
	ttl := s.settings.Lookup().TTL()
	quiet := s.settings.Stop().QuietTime()
	startedAt := s.clock.Now()
	for {
		now := s.clock.Now()
		lastRequest := time.Duration(s.lastRequest.Load())
		// Connections that keep sending requests are closed later, between two
		// requests, so the wait is limited to the TTL and one quiet period.
		if now-startedAt >= ttl+quiet || (now-startedAt >= ttl && now-lastRequest >= quiet) {
			return
		}
		time.Sleep(quietPollInterval)
	}
}

// finish closes the data listener and waits for running requests. Idle
// connections are closed at once, busy ones after their current request, and
// HTTP/2 connections are sent GOAWAY.
func (s *Server) finish(ctx context.Context) {
	closed := make(chan struct{})
	go func() {
		_ = s.dataServer.Shutdown(ctx)
		close(closed)
	}()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-closed:
			return
		case <-ticker.C:
			klog.InfoS("planned stop is waiting for running requests", "host", s.id.Name, "running", s.running.Load())
		}
	}
}

// handOver transfers all shares of limits to another member.
func (s *Server) handOver(ctx context.Context) {
	for attempt := range handOverAttempts {
		peers := s.borrower.currentPeers()
		if len(peers) == 0 {
			return
		}
		peer := peers[attempt%len(peers)]
		transfers := s.sharer.HandOver(s.clock.Now(), peer.ID)
		if len(transfers) > 0 && s.sendHandOver(ctx, peer, transfers) {
			return
		}
		time.Sleep(handOverRetryDelay)
	}
}

// sendHandOver sends the transfers until the peer has received them or the
// attempts are used up. Until then nothing may be handed to another peer,
// because this host no longer holds what the transfers contain.
func (s *Server) sendHandOver(ctx context.Context, peer tracker.Host, transfers []sharer.Transfer) bool {
	req := &peerv1.HandOverRequest{}
	for _, t := range transfers {
		req.Transfers = append(req.Transfers, messenger.EncodeTransfer(t))
	}
	for range handOverAttempts {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		_, err := s.messenger.Peer(peer.Control).HandOver(ctx, connect.NewRequest(req))
		cancel()
		if err == nil {
			return true
		}
		time.Sleep(handOverRetryDelay)
	}
	return false
}

// announceStop sends the other hosts a last heartbeat, which says that this
// host is gone.
func (s *Server) announceStop(ctx context.Context) {
	m := &heartbeatQuery{completion: completion{done: make(chan struct{})}}
	if !s.loop.sendAndWait(m, m.done) {
		return
	}
	for _, peer := range s.borrower.currentPeers() {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		_, _ = s.messenger.Peer(peer.Control).Exchange(ctx, connect.NewRequest(&peerv1.ExchangeRequest{
			Stamp: messenger.EncodeStamp(s.recorder.TimeLine().Clock().Now()),
			Beats: messenger.EncodeHeartbeats([]tracker.Heartbeat{m.heartbeat}),
		}))
		cancel()
	}
}

// heartbeatQuery asks the loop for this host's next heartbeat.
type heartbeatQuery struct {
	completion
	heartbeat tracker.Heartbeat
}

func (m *heartbeatQuery) apply(l *loop, _ time.Duration) { m.heartbeat = l.tracker.NextHeartbeat() }

// stateChange fires a trigger of the host's state chart, sets the state that
// heartbeats carry, and edits the snapshot.
type stateChange struct {
	completion
	trigger transitioner.Trigger
	state   tracker.State
	edit    func(*snapshot)
}

func (m *stateChange) apply(l *loop, now time.Duration) {
	if !l.fire(m.trigger) {
		return
	}
	l.tracker.SetState(m.state)
	next := *l.server.snapshot.Load()
	if m.edit != nil {
		m.edit(&next)
	}
	l.server.snapshot.Store(&next)
	l.rebuildLookup(now)
	l.exchangeAll(now)
}

// changeState sends a stateChange to the loop and waits until it has been
// applied. An edit of nil leaves the snapshot as it is.
func (l *loop) changeState(trigger transitioner.Trigger, state tracker.State, edit func(*snapshot)) {
	m := &stateChange{completion: completion{done: make(chan struct{})}, trigger: trigger, state: state, edit: edit}
	l.sendAndWait(m, m.done)
}
