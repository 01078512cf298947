package server

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/charter"
	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/pkg/sharer"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	stopPoll      = 20 * time.Millisecond
	stopProgress  = 2 * time.Second
	handOverTries = 20
	handOverPause = 50 * time.Millisecond
)

// drain runs a planned stop. It cuts off no request: the host leaves the
// look-ups, waits until callers' cached answers have run out, finishes what
// runs, hands its parts of limits over, and says farewell.
func (s *Server) drain(ctx context.Context) {
	s.loop.change("stop", tracker.Leaving, func(next *snapshot) { next.phase = leaving })
	s.awaitQuiet()
	s.loop.change("drained", tracker.Leaving, func(next *snapshot) { next.phase = finishing })
	s.finish(ctx)
	s.loop.change("quiet", tracker.Leaving, nil)
	s.handOver(ctx)
	s.loop.change("handed-over", tracker.Gone, nil)
	s.farewell(ctx)
	_ = s.control.Close()
	s.forwarder.Close()
	s.messenger.Close()
	klog.InfoS("host stopped", "host", s.id.Name)
}

// awaitQuiet waits until callers have had time to learn that the host leaves.
func (s *Server) awaitQuiet() {
	ttl := s.settings.Lookup().TTL()
	quiet := s.settings.Stop().Quiet()
	began := s.clock.Now()
	for {
		now := s.clock.Now()
		last := time.Duration(s.lastRequest.Load())
		// Connections that go on sending are closed between two requests
		// later on, so the wait need not last longer than this.
		if now-began >= ttl+quiet || (now-began >= ttl && now-last >= quiet) {
			return
		}
		time.Sleep(stopPoll)
	}
}

// finish closes the callers' listener and waits for the running requests. Idle
// connections are closed, busy ones between two requests, and HTTP/2 ones are
// told to go away.
func (s *Server) finish(ctx context.Context) {
	shut := make(chan struct{})
	go func() {
		_ = s.data.Shutdown(ctx)
		close(shut)
	}()
	ticker := time.NewTicker(stopProgress)
	defer ticker.Stop()
	for {
		select {
		case <-shut:
			return
		case <-ticker.C:
			klog.InfoS("stop waits for running requests", "host", s.id.Name, "running", s.running.Load())
		}
	}
}

// handOver gives all parts of limits to another member.
func (s *Server) handOver(ctx context.Context) {
	for try := range handOverTries {
		peers := s.borrower.current()
		if len(peers) == 0 {
			return
		}
		peer := peers[try%len(peers)]
		transfers := s.sharer.HandOver(s.clock.Now(), peer.ID)
		if len(transfers) > 0 && s.sendHandOver(ctx, peer, transfers) {
			return
		}
		time.Sleep(handOverPause)
	}
}

// sendHandOver sends the transfers until the peer has them or the tries end. It
// must not give to another peer before: what was given is gone.
func (s *Server) sendHandOver(ctx context.Context, peer tracker.Host, transfers []sharer.Transfer) bool {
	req := &peerv1.HandOverRequest{}
	for _, t := range transfers {
		req.Transfers = append(req.Transfers, messenger.EncodeTransfer(t))
	}
	for range handOverTries {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		_, err := s.messenger.Peer(peer.Control).HandOver(ctx, connect.NewRequest(req))
		cancel()
		if err == nil {
			return true
		}
		time.Sleep(handOverPause)
	}
	return false
}

// farewell tells all other hosts that this one is gone.
func (s *Server) farewell(ctx context.Context) {
	m := &beatsAsked{base: base{done: make(chan struct{})}}
	if !s.loop.ask(m, m.done) {
		return
	}
	for _, peer := range s.borrower.current() {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		_, _ = s.messenger.Peer(peer.Control).Exchange(ctx, connect.NewRequest(&peerv1.ExchangeRequest{
			Stamp: messenger.EncodeStamp(s.recorder.TimeLine().Clock().Now()),
			Beats: messenger.EncodeBeats([]tracker.Beat{m.beat}),
		}))
		cancel()
	}
}

// beatsAsked asks for the next own heartbeat.
type beatsAsked struct {
	base
	beat tracker.Beat
}

func (m *beatsAsked) apply(l *loop, _ time.Duration) { m.beat = l.tracker.Self() }

// stateChanged moves the host's state chart on.
type stateChanged struct {
	base
	trigger charter.Trigger
	state   tracker.State
	edit    func(*snapshot)
}

func (m *stateChanged) apply(l *loop, now time.Duration) {
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

// change moves the host's state chart on and waits until that is done.
func (l *loop) change(trigger charter.Trigger, state tracker.State, edit func(*snapshot)) {
	m := &stateChanged{base: base{done: make(chan struct{})}, trigger: trigger, state: state, edit: edit}
	l.ask(m, m.done)
}
