package exchanger

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
	dialTimeout   = 400 * time.Millisecond // nine round trips between regions
	userTimeout   = time.Second            // bytes not acknowledged for so long end a connection
	keepAliveIdle = 2 * time.Second        // before the first probe of a silent connection
	keepAliveStep = time.Second            // between probes
	keepAliveMost = 2                      // probes without an answer end a connection
	idleAllowed   = 4 * time.Second        // a backend server that states no limit keeps idle ones longer
	maxIdle       = 16                     // idle connections kept for one backend server
)

// pool keeps idle connections by backend server; the one used last comes first.
type pool struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*link
	count  int   // of all idle ones
	most   int   // idle ones that are kept for all backend servers
	dials  int64 // connections opened so far
}

func newPool(most int) *pool {
	return &pool{
		most: most,
		dialer: net.Dialer{
			Timeout: dialTimeout,
			Control: setUserTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveStep, Count: keepAliveMost,
			},
		},
		idle: map[string][]*link{},
	}
}

// setUserTimeout ends connections whose bytes nobody acknowledges.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "socket option could not be set")
	}
	return errors.Wrap(failed, "socket option could not be set")
}

// take returns a clean idle connection that was idle for at most a share of
// what it may be, or nil.
func (p *pool) take(key string, now time.Time, share float64) *link {
	for {
		l := p.pop(key)
		if l == nil {
			return nil
		}
		fresh := now.Sub(l.idle) <= time.Duration(float64(l.allowed)*share)
		if fresh && l.clean() {
			return l
		}
		_ = l.Close()
	}
}

func (p *pool) pop(key string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	l := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[key] = list[:len(list)-1]
	p.count--
	return l
}

// dial opens a connection.
func (p *pool) dial(ctx context.Context, address, key string) (*link, error) {
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "connecting to %s", address)
	}
	return newLink(conn, key), nil
}

// put keeps a connection whose last answer was read to its end.
func (p *pool) put(l *link, now time.Time) {
	l.idle = now
	p.mu.Lock()
	list := p.idle[l.key]
	if len(list) < maxIdle && p.count < p.most {
		p.idle[l.key] = append(list, l)
		p.count++
		l = nil
	}
	p.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
}

// forget closes the idle connections of backend servers that are not wanted.
func (p *pool) forget(wanted func(key string) bool) {
	var closing []*link
	p.mu.Lock()
	for key, list := range p.idle {
		if !wanted(key) {
			closing = append(closing, list...)
			p.count -= len(list)
			delete(p.idle, key)
		}
	}
	p.mu.Unlock()
	for _, l := range closing {
		_ = l.Close()
	}
}

// sweep closes connections that have been idle too long to be used again.
func (p *pool) sweep(now time.Time) {
	var closing []*link
	p.mu.Lock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, l := range list {
			if now.Sub(l.idle) > l.allowed {
				closing = append(closing, l)
				p.count--
				continue
			}
			kept = append(kept, l)
		}
		clear(list[len(kept):])
		p.idle[key] = kept
	}
	p.mu.Unlock()
	for _, l := range closing {
		_ = l.Close()
	}
}
