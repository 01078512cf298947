package roundtripper

import (
	"sync"

	"github.com/pkg/errors"
)

// errTooManyConns is returned at the limit on connections if none of them is idle.
var errTooManyConns = errors.New("too many open connections")

// ConnLimit is a limit on the open connections of several round trippers together. At the
// limit one that is idle is closed for a new one, and if there is none the backend server
// is unreachable.
type ConnLimit struct {
	max   int
	mu    sync.Mutex
	open  int     // connections that were dialed, or are being dialed, and are not closed; at most max
	pools []*pool // does not change once requests are sent
}

// NewConnLimit returns a limit of n connections.
func NewConnLimit(n int) *ConnLimit { return &ConnLimit{max: n} }

// WithConnLimit makes the connections of the round tripper count for a limit.
func WithConnLimit(l *ConnLimit) Option {
	return func(t *RoundTripper) {
		t.pool.limit = l
		l.pools = append(l.pools, t.pool)
	}
}

// reserve counts a connection that is about to be dialed.
func (l *ConnLimit) reserve() error {
	for !l.tryReserve() {
		if !l.closeOldest() {
			return errTooManyConns
		}
	}
	return nil
}

func (l *ConnLimit) tryReserve() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.max {
		return false
	}
	l.open++
	return true
}

func (l *ConnLimit) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

// closeOldest closes the connection that has been idle the longest, and returns false if none
// is idle.
func (l *ConnLimit) closeOldest() bool {
	var from *pool
	var oldest *persistConn
	for _, p := range l.pools {
		if c := p.oldest(); c != nil && (oldest == nil || c.idleSince < oldest.idleSince) {
			from, oldest = p, c
		}
	}
	if oldest == nil {
		return false
	}
	if from.remove(oldest) {
		_ = oldest.Close()
	}
	return true // another request may have taken it, and there may be others
}
