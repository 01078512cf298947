package server

import (
	"context"
	"sort"
	"sync"
	"time"

	"connectrpc.com/connect"

	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/pkg/sharer"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

const (
	borrowPeers = 3                     // hosts asked for one shortage
	dryPause    = 25 * time.Millisecond // after nothing was to be had, nobody is asked for this long
	askTimeout  = 300 * time.Millisecond
)

// borrower gets parts of limits from other hosts: at once for a request that is
// short of one, and ahead of need in the background.
type borrower struct {
	server *Server
	mu     sync.Mutex
	limits map[string]*borrowing
	peers  []tracker.Host // live and serving, nearest first; set by the control loop
}

// borrowing is the state for one limit. Only one ask for it runs at a time.
type borrowing struct {
	running chan struct{} // closed when the running ask ends; nil when none runs
	dry     time.Duration // nothing is asked before this
	giver   string        // host that gave last
	turn    int           // rotates the hosts asked
}

func newBorrower(s *Server) *borrower {
	return &borrower{server: s, limits: map[string]*borrowing{}}
}

func (b *borrower) setPeers(peers []tracker.Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers = peers
}

// borrow tries to get one unit for a request, and reports whether it is worth
// trying the own part again.
func (b *borrower) borrow(ctx context.Context, limit string) bool {
	wait := b.server.settings.Shares().Borrow()
	if wait == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	done := b.start(limit, 1)
	if done == nil {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// start makes sure that an ask for a limit runs, and returns its end, or nil
// when nothing was to be had a moment ago.
func (b *borrower) start(limit string, need int64) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	one := b.limits[limit]
	if one == nil {
		one = &borrowing{}
		b.limits[limit] = one
	}
	if one.running != nil {
		return one.running
	}
	if b.server.clock.Now() < one.dry {
		return nil
	}
	done := make(chan struct{})
	one.running = done
	peers := b.order(one)
	go b.run(limit, need, one, peers, done)
	return done
}

// order returns whom to ask: the last giver first, then the others in turn.
func (b *borrower) order(one *borrowing) []tracker.Host {
	if len(b.peers) == 0 {
		return nil
	}
	one.turn++
	peers := make([]tracker.Host, 0, len(b.peers))
	for i := range b.peers {
		peers = append(peers, b.peers[(one.turn+i)%len(b.peers)])
	}
	sort.SliceStable(peers, func(i, j int) bool {
		return peers[i].ID.Name == one.giver && peers[j].ID.Name != one.giver
	})
	return peers[:min(len(peers), borrowPeers)]
}

func (b *borrower) run(limit string, need int64, one *borrowing, peers []tracker.Host, done chan struct{}) {
	giver := ""
	for _, peer := range peers {
		if b.ask(peer, limit, need) {
			giver = peer.ID.Name
			break
		}
	}
	b.mu.Lock()
	one.giver = giver
	one.running = nil
	if giver == "" {
		one.dry = b.server.clock.Now() + dryPause
	}
	b.mu.Unlock()
	close(done)
	b.server.kickPools()
}

// ask sends one ask and takes in the answer. It reports whether anything came.
func (b *borrower) ask(peer tracker.Host, limit string, need int64) bool {
	s := b.server
	ask, ok := s.sharer.Ask(s.clock.Now(), peer.ID, limit, need)
	if !ok {
		return false
	}
	return b.send(peer.Control, ask)
}

func (b *borrower) send(address string, ask sharer.Ask) bool {
	s := b.server
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	resp, err := s.messenger.Peer(address).Ask(ctx, connect.NewRequest(messenger.EncodeAsk(ask)))
	if err != nil {
		return false
	}
	if resp.Msg.GetTransfer() == nil {
		s.sharer.Settled(ask)
		return false
	}
	return s.sharer.Receive(s.clock.Now(), messenger.DecodeTransfer(resp.Msg.GetTransfer()))
}

// rebalance asks ahead of need for every limit that the host is short of.
func (b *borrower) rebalance() {
	s := b.server
	now := s.clock.Now()
	for _, limit := range s.sharer.Limits() {
		if s.sharer.Short(now, limit.Name()) {
			b.start(limit.Name(), 0)
		}
	}
	b.settle(now)
}

// settle sends the asks again whose answers got lost.
func (b *borrower) settle(now time.Duration) {
	s := b.server
	roster := s.sharer.Roster()
	for _, ask := range s.sharer.Unsettled(now, 2*askTimeout) {
		if giver, member := roster.Member(ask.To); member {
			go b.send(giver.Control, ask)
		}
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

func (b *borrower) current() []tracker.Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peers
}
