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

// borrower sends the requests for shares of limits that the borrowing policy
// returns.
type borrower struct {
	server    *Server
	mu        sync.Mutex
	policy    *sharer.Borrower
	roundDone map[*sharer.Round]chan struct{} // closed when the round is over
	peers     []tracker.Host                  // other live hosts, nearest first
}

func newBorrower(s *Server) *borrower {
	return &borrower{
		server: s, policy: sharer.NewBorrower(s.sharer),
		roundDone: map[*sharer.Round]chan struct{}{},
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

func (b *borrower) currentPeers() []tracker.Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peers
}

// borrow requests units of a limit from other hosts until take succeeds, no
// other host grants anything, or the borrow timeout has passed. It reports
// whether take succeeded.
func (b *borrower) borrow(ctx context.Context, limit string, take func() bool) bool {
	wait := b.server.settings.Shares().BorrowTimeout()
	if wait == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		done := b.startRound(limit, 1)
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

// startRound starts a round of requests for a limit, or joins the running one,
// and returns a channel that is closed at its end. It returns nil when a recent
// round brought nothing.
func (b *borrower) startRound(limit string, need int64) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	round, asks := b.policy.Start(b.server.clock.Now(), limit, need)
	if round == nil {
		return nil
	}
	done := b.roundDone[round]
	if done == nil {
		done = make(chan struct{})
		b.roundDone[round] = done
	}
	b.sendAsks(round, asks)
	return done
}

func (b *borrower) sendAsks(round *sharer.Round, asks []sharer.Ask) {
	for _, ask := range asks {
		go func() { b.handleAnswer(round, b.sendAsk(ask)) }()
	}
}

// handleAnswer passes the result of one request to the policy, and sends the
// requests that follow or ends the round.
func (b *borrower) handleAnswer(round *sharer.Round, granted bool) {
	b.mu.Lock()
	asks, finished := b.policy.RecordAnswer(b.server.clock.Now(), round, granted)
	b.sendAsks(round, asks)
	if finished && b.roundDone[round] != nil {
		close(b.roundDone[round])
		delete(b.roundDone, round)
	}
	b.mu.Unlock()
	if granted {
		b.server.wakeAllWaiters()
	}
}

// sendAsk sends one request for a share and applies the response. It reports
// whether the host received anything new.
func (b *borrower) sendAsk(ask sharer.Ask) bool {
	s := b.server
	granter, member := s.sharer.Roster().Member(ask.To)
	if !member {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	resp, err := s.messenger.Peer(granter.Control).Ask(ctx, connect.NewRequest(messenger.EncodeAsk(ask)))
	if err != nil {
		return false
	}
	if resp.Msg.GetTransfer() == nil {
		s.sharer.RecordRefusal(ask)
		return false
	}
	return s.sharer.ApplyTransfer(s.clock.Now(), messenger.DecodeTransfer(resp.Msg.GetTransfer()))
}

// rebalance requests shares in advance for every limit that the host is short
// of. It also repeats requests whose responses were lost, to receive what those
// granted.
func (b *borrower) rebalance() {
	now := b.server.clock.Now()
	for _, limit := range b.policy.ShortLimits(now) {
		b.startRound(limit, 0)
	}
	for _, ask := range b.server.sharer.RepeatUnanswered(now, 2*askTimeout) {
		go b.sendAsk(ask)
	}
}

// wakeAllWaiters assigns free slots to the queued requests of all services,
// after shares may have arrived from other hosts.
func (s *Server) wakeAllWaiters() {
	for _, p := range s.snapshot.Load().pools {
		if p.queued() > 0 {
			p.wakeWaiters()
		}
	}
}
