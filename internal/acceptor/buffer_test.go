package acceptor_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"magnoliahill.example/magnoliahill/internal/acceptor"
	"magnoliahill.example/magnoliahill/internal/standin/target"
)

const (
	usualBuffer = 16 << 10
	bodyBuffer  = 64 << 10
)

// TestReceiveBufferIsLargerWhileALongBodyIsRead: only on as many connections as may have it.
func TestReceiveBufferIsLargerWhileALongBodyIsRead(t *testing.T) {
	is := is.New(t)
	listener, err := target.Listen()
	is.NoErr(err)
	recorded := &recorder{Listener: listener}
	a := acceptor.New(recorded, acceptor.WithReadBuffer(usualBuffer), acceptor.WithBodyBuffer(bodyBuffer, 1))
	read, respond := make(chan net.Conn), make(chan bool)
	server := &http.Server{ReadHeaderTimeout: time.Minute, ConnContext: a.ConnContext, ConnState: a.ConnState, Handler: a.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.CopyN(io.Discard, r.Body, 32<<10) // a shorter body ends earlier
		read <- recorded.accepted(r.RemoteAddr)
		<-respond
	}))}
	go func() { _ = server.Serve(a) }()
	defer func() { _ = server.Close() }()
	post := func(length int) net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: shop\r\nContent-Length: %d\r\n\r\n%s", length, make([]byte, length))
		is.NoErr(err)
		return <-read
	}
	short := post(1000)
	is.True(receiveBuffer(t, short) <= 2*usualBuffer) // Linux returns twice what was set
	long := post(32 << 10)
	is.True(receiveBuffer(t, long) >= bodyBuffer)
	second := post(32 << 10)
	is.True(receiveBuffer(t, second) <= 2*usualBuffer)
	for range 3 {
		respond <- true
	}
	for receiveBuffer(t, long) > 2*usualBuffer {
		time.Sleep(time.Millisecond) // until the handler has returned
	}
	third := post(32 << 10)
	is.True(receiveBuffer(t, third) >= bodyBuffer)
	respond <- true
}

// recorder is a listener that records the accepted connections by their clients' addresses.
type recorder struct {
	net.Listener
	conns sync.Map
}

// Accept implements net.Listener.
func (r *recorder) Accept() (net.Conn, error) {
	conn, err := r.Listener.Accept()
	if err == nil {
		r.conns.Store(conn.RemoteAddr().String(), conn)
	}
	return conn, err
}

// accepted returns the connection of a client.
func (r *recorder) accepted(client string) net.Conn {
	conn, _ := r.conns.Load(client)
	return conn.(net.Conn)
}

func receiveBuffer(t *testing.T, conn net.Conn) int {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	size := 0
	if err := raw.Control(func(fd uintptr) { size, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF) }); err != nil {
		t.Fatal(err)
	}
	return size
}
