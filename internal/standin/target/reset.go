package target

import (
	"io"
	"net"
	"time"
)

const resetDelay = 5 * time.Millisecond // the text arrives before the reset

// ListenAndReset starts a server that reads the beginning of a request on each connection,
// writes a text and resets the connection. Closing the listener ends it.
func ListenAndReset(text string) (net.Listener, error) {
	listener, err := Listen()
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go writeAndReset(conn, text)
		}
	}()
	return listener, nil
}

func writeAndReset(conn net.Conn, text string) {
	defer func() { _ = conn.Close() }()
	_, _ = io.ReadFull(conn, make([]byte, 1000)) // the client may leave at any point
	_, _ = io.WriteString(conn, text)
	time.Sleep(resetDelay)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
