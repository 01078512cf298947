package roundtripper

import (
	"context"
	"net"
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
	dialer    net.Dialer
	mu        sync.Mutex
	idle      map[string][]*persistConn
	idleCount int   // idle connections to all backend servers
	maxIdle   int   // limit of idleCount
	dialCount int64 // connections dialed, including failed ones
}

func newPool(maxIdle int) *pool {
	return &pool{
		maxIdle: maxIdle,
		dialer: net.Dialer{
			Timeout: dialTimeout,
			Control: setUserTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
			},
		},
		idle: map[string][]*persistConn{},
	}
}

// setUserTimeout makes the kernel close connections whose sent bytes are not
// acknowledged in time.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "setting TCP_USER_TIMEOUT")
	}
	return errors.Wrap(optErr, "setting TCP_USER_TIMEOUT")
}

// get returns a usable connection that was idle for at most the given share of
// its maximum idle time, or nil. It closes connections that it rejects.
func (p *pool) get(key string, now time.Time, share float64) *persistConn {
	for {
		c := p.pop(key)
		if c == nil {
			return nil
		}
		fresh := now.Sub(c.idleSince) <= time.Duration(float64(c.maxIdle)*share)
		if fresh && c.usable() {
			return c
		}
		_ = c.Close()
	}
}

// pop removes and returns the most recently used connection, or nil.
func (p *pool) pop(key string) *persistConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[key] = list[:len(list)-1]
	p.idleCount--
	return c
}

// dial opens a connection, which is not part of the pool until put is called.
func (p *pool) dial(ctx context.Context, address, key string) (*persistConn, error) {
	p.mu.Lock()
	p.dialCount++
	p.mu.Unlock()
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "connecting to %s", address)
	}
	return newPersistConn(conn, key), nil
}

// put adds a connection whose last response was read completely. It closes the
// connection when the pool is full.
func (p *pool) put(c *persistConn, now time.Time) {
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
func (p *pool) closeExpired(now time.Time) {
	var closing []*persistConn
	p.mu.Lock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) > c.maxIdle {
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
