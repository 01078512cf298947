package server

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/pkg/sharer"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const askTimeout = 300 * time.Millisecond

// borrower sends the asks that the borrowing policy wants sent.
type borrower struct {
	server *Server
	mu     sync.Mutex
	policy *sharer.Borrower
	ends   map[*sharer.Round]chan struct{} // closed when the round is over
	peers  []tracker.Host                  // live hosts but this one, nearest first
}

func newBorrower(s *Server) *borrower {
	return &borrower{
		server: s, policy: sharer.NewBorrower(s.sharer),
		ends: map[*sharer.Round]chan struct{}{},
	}
}

func (b *borrower) setPeers(peers []tracker.Host) {
	ids := make([]tracker.HostID, 0, len(peers))
	for _, peer := range peers {
		ids = append(ids, peer.ID)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers = peers
	b.policy.SetPeers(ids)
}

func (b *borrower) current() []tracker.Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peers
}

// borrow gets units of a limit until a request can take one, or nothing more is
// to be had in time. It reports whether the request took one.
func (b *borrower) borrow(ctx context.Context, limit string, take func() bool) bool {
	wait := b.server.settings.Shares().Borrow()
	if wait == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		done := b.start(limit, 1)
		if done == nil {
			return false
		}
		select {
		case <-done:
			if take() {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// start makes sure that a round of asks for a limit runs, and returns its end,
// or nil when nothing was to be had a moment ago.
func (b *borrower) start(limit string, need int64) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	round, asks := b.policy.Start(b.server.clock.Now(), limit, need)
	if round == nil {
		return nil
	}
	end := b.ends[round]
	if end == nil {
		end = make(chan struct{})
		b.ends[round] = end
	}
	b.sendAll(round, asks)
	return end
}

func (b *borrower) sendAll(round *sharer.Round, asks []sharer.Ask) {
	for _, ask := range asks {
		go func() { b.answered(round, b.send(ask)) }()
	}
}

func (b *borrower) answered(round *sharer.Round, gave bool) {
	b.mu.Lock()
	asks, over := b.policy.Answered(b.server.clock.Now(), round, gave)
	b.sendAll(round, asks)
	if over && b.ends[round] != nil {
		close(b.ends[round])
		delete(b.ends, round)
	}
	b.mu.Unlock()
	if gave {
		b.server.kickPools()
	}
}

// send sends one ask and takes in the answer. It reports whether anything came.
func (b *borrower) send(ask sharer.Ask) bool {
	s := b.server
	giver, member := s.sharer.Roster().Member(ask.To)
	if !member {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	resp, err := s.messenger.Peer(giver.Control).Ask(ctx, connect.NewRequest(messenger.EncodeAsk(ask)))
	if err != nil {
		return false
	}
	if resp.Msg.GetTransfer() == nil {
		s.sharer.Settled(ask)
		return false
	}
	return s.sharer.Receive(s.clock.Now(), messenger.DecodeTransfer(resp.Msg.GetTransfer()))
}

// rebalance asks ahead of need for every limit that the host is short of, and
// again for what lost answers granted.
func (b *borrower) rebalance() {
	now := b.server.clock.Now()
	for _, limit := range b.policy.Short(now) {
		b.start(limit, 0)
	}
	for _, ask := range b.server.sharer.Unsettled(now, 2*askTimeout) {
		go b.send(ask)
	}
}

// kickPools lets waiting requests use headroom that came from other hosts.
func (s *Server) kickPools() {
	for _, p := range s.snapshot.Load().pools {
		if p.waiting() > 0 {
			p.kick()
		}
	}
}
