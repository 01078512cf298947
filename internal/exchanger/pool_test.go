package exchanger

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// A host with many backend servers keeps no more idle connections than its
// descriptors allow.
func TestIdleConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	p := newPool(2)
	put := func(key string) net.Conn {
		here, there := net.Pipe()
		p.put(newLink(here, key), time.Unix(0, 0))
		return there
	}
	closed := func(there net.Conn) bool {
		_ = there.SetReadDeadline(time.Now())
		_, err := there.Read(make([]byte, 1))
		var timeout net.Error
		return err != nil && (!errors.As(err, &timeout) || !timeout.Timeout())
	}
	first, second, third := put("a"), put("b"), put("c")
	is.True(!closed(first) && !closed(second))
	is.True(closed(third))
	is.True(p.pop("a") != nil)
	is.True(!closed(put("c")))
	p.forget(func(key string) bool { return key == "c" })
	is.True(closed(second))
	is.True(!closed(put("d")))
	p.sweep(time.Unix(3600, 0))
	is.Equal(p.count, 0)
}
