package roundtripper

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// Guards against running out of file descriptors: a host with many backend
// servers must not keep more idle connections than the pool's total limit.
func TestIdleConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	p := newPool(2)
	put := func(key string) net.Conn {
		local, remote := net.Pipe()
		p.put(newPersistConn(local, key, func() {}), 0)
		return remote
	}
	closed := func(remote net.Conn) bool {
		_ = remote.SetReadDeadline(time.Now())
		_, err := remote.Read(make([]byte, 1))
		var timeout net.Error
		return err != nil && (!errors.As(err, &timeout) || !timeout.Timeout())
	}
	first, second, third := put("a"), put("b"), put("c")
	is.True(!closed(first) && !closed(second))
	is.True(closed(third))
	popped, _ := p.pop("a", 0, 1, time.Minute)
	is.True(popped != nil)
	is.True(!closed(put("c")))
	p.closeExcept(func(key string) bool { return key == "c" })
	is.True(closed(second))
	is.True(!closed(put("d")))
	p.closeExpired(3600 * time.Second)
	is.Equal(p.idleCount, 0)
}

// A request that must not meet a connection that the backend server is about to
// close opens a new one, and leaves the old one to requests that can be retried.
func TestConnectionTooOldForOneRequestIsKeptForOthers(t *testing.T) {
	is := is.New(t)
	p := newPool(10)
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	c := newPersistConn(local, "a", func() {})
	c.maxIdle = 8 * time.Second
	p.put(c, 0)
	got, cause := p.get("a", 5*time.Second, 0.5, time.Minute)
	is.True(got == nil)
	is.Equal(cause, idleTooOld)
	got, _ = p.get("a", 5*time.Second, 1, time.Minute)
	is.True(got == c)
	_, cause = p.get("a", 5*time.Second, 1, time.Minute)
	is.Equal(cause, noneIdle)
}
