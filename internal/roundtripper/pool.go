package roundtripper

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	dialTimeout       = 400 * time.Millisecond // nine round trips between regions
	ackTimeout        = time.Second            // TCP_USER_TIMEOUT: limit for unacknowledged bytes
	keepAliveIdle     = 2 * time.Second        // idle time before the first keep-alive probe
	keepAliveInterval = time.Second            // time between probes
	keepAliveProbes   = 2                      // unanswered probes after which the connection is closed
	defaultMaxIdle    = 4 * time.Second        // used if the backend server states no idle timeout; its actual timeout is longer
	maxIdlePerServer  = 16                     // idle connections per backend server
)

// pool holds idle connections by backend server and reuses the most recently used
// connection first.
type pool struct {
	dialer    Dialer
	mu        sync.Mutex
	idle      map[string][]*persistConn
	idleCount int               // idle connections to all backend servers
	maxIdle   int               // limit of idleCount
	limit     *ConnLimit        // nil if there is none
	dialCount [dialCauses]int64 // connections dialed, including failed ones
}

// Dialer opens connections to backend servers.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// dialCause is the reason why a new connection is opened.
type dialCause int

const (
	noneIdle     dialCause = iota // no connection to the backend server is idle
	idleTooOld                    // the idle connections are too old for the request
	idleBroken                    // the idle connections were closed or have stray bytes
	reachability                  // to learn whether the backend server can be reached
	dialCauses                    // number of causes
)

// String returns the cause as it appears in metrics.
func (c dialCause) String() string {
	return [...]string{"none-idle", "idle-too-old", "idle-broken", "reachability"}[c]
}

func newPool(maxIdle int) *pool {
	return &pool{
		maxIdle: maxIdle,
		dialer: &net.Dialer{
			Control: setSocketOptions,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
			},
		},
		idle: map[string][]*persistConn{},
	}
}

// setSocketOptions makes the kernel close connections whose sent bytes are not
// acknowledged in time, and bounds what it holds of responses that are not read.
func setSocketOptions(_, _ string, raw syscall.RawConn) error {
	var timeoutErr, bufferErr error
	err := raw.Control(func(fd uintptr) {
		timeoutErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
		bufferErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
	})
	switch {
	case err != nil:
		return errors.Wrap(err, "setting socket options")
	case timeoutErr != nil:
		return errors.Wrap(timeoutErr, "setting TCP_USER_TIMEOUT")
	}
	return errors.Wrap(bufferErr, "setting SO_RCVBUF")
}

// get returns a usable connection that was idle for at most the given share of
// its maximum idle time and for at most the longest time, or nil and the cause why
// there is none. It closes connections that are no longer usable. Those that are
// only too old for this request stay.
func (p *pool) get(key string, now time.Duration, share float64, longest time.Duration) (*persistConn, dialCause) {
	cause := noneIdle
	for {
		c, tooOld := p.pop(key, now, share, longest)
		if c == nil {
			if tooOld {
				cause = idleTooOld
			}
			return nil, cause
		}
		if c.usable() {
			return c, cause
		}
		cause = idleBroken
		_ = c.Close()
	}
}

// pop removes and returns the most recently used connection, or nil. If that one
// is older than the share of its maximum idle time, the others are as well.
func (p *pool) pop(key string, now time.Duration, share float64, longest time.Duration) (c *persistConn, tooOld bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return nil, false
	}
	c = list[len(list)-1]
	if now-c.idleSince > min(longest, time.Duration(float64(c.maxIdle)*share)) {
		return nil, true
	}
	list[len(list)-1] = nil
	p.idle[key] = list[:len(list)-1]
	p.idleCount--
	return c, false
}

// dial opens a connection, which is not part of the pool until put is called.
func (p *pool) dial(ctx context.Context, address, key string, cause dialCause) (*persistConn, error) {
	if err := p.reserve(cause); err != nil {
		return nil, errors.Wrapf(err, "connecting to %s", address)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.closed()
		return nil, errors.Wrapf(err, "connecting to %s", address)
	}
	return newPersistConn(conn, key, p.closed), nil
}

// reserve counts a connection that is about to be dialed, within the limit.
func (p *pool) reserve(cause dialCause) error {
	if p.limit != nil {
		if err := p.limit.reserve(); err != nil {
			return err
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialCount[cause]++
	return nil
}

// closed counts that a connection is open no more.
func (p *pool) closed() {
	if p.limit != nil {
		p.limit.release()
	}
}

// oldest returns the connection that has been idle the longest, or nil if none is idle.
func (p *pool) oldest() *persistConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *persistConn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleSince < oldest.idleSince) {
			oldest = list[0]
		}
	}
	return oldest
}

// remove removes an idle connection from the pool, and reports whether it was in it.
func (p *pool) remove(c *persistConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.idle[c.key], c)
	if i < 0 {
		return false
	}
	p.idle[c.key] = slices.Delete(p.idle[c.key], i, i+1)
	p.idleCount--
	return true
}

// put adds a connection whose last response was read completely. It closes the
// connection when the pool is full.
func (p *pool) put(c *persistConn, now time.Duration) {
	c.idleSince = now
	p.mu.Lock()
	list := p.idle[c.key]
	if len(list) < maxIdlePerServer && p.idleCount < p.maxIdle {
		p.idle[c.key] = append(list, c)
		p.idleCount++
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// closeExcept closes the idle connections of all backend servers for which keep
// returns false.
func (p *pool) closeExcept(keep func(key string) bool) {
	var closing []*persistConn
	p.mu.Lock()
	for key, list := range p.idle {
		if !keep(key) {
			closing = append(closing, list...)
			p.idleCount -= len(list)
			delete(p.idle, key)
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

// closeExpired closes connections that have exceeded their maximum idle time.
func (p *pool) closeExpired(now time.Duration) {
	var closing []*persistConn
	p.mu.Lock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now-c.idleSince > c.maxIdle {
				closing = append(closing, c)
				p.idleCount--
				continue
			}
			kept = append(kept, c)
		}
		clear(list[len(kept):])
		p.idle[key] = kept
	}
	p.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}
