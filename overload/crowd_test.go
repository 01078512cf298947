package overload_test

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
)

// scenario is what a file in testdata describes: the limits of a host, and the crowd.
type scenario struct {
	Limits limits `yaml:"limits"`
	Crowd  crowd  `yaml:"crowd"`
}

// crowd is a number of clients that all do the same on a connection each. They connect,
// send a text, go on sending another one, and keep the connection without reading from it.
type crowd struct {
	Clients  int     `yaml:"clients"`
	Listener string  `yaml:"listener"`       // "all": the clients take turns at all listeners
	Rounds   int     `yaml:"rounds"`         // connections that a client opens one after the other; the last one is kept
	Buffer   int     `yaml:"receive-buffer"` // bytes of a client's receive buffer; 0: as the system sets it
	Send     string  `yaml:"send"`           // every $ID is replaced by a new request ID
	Copies   int     `yaml:"copies"`         // of Send, on each connection
	Then     string  `yaml:"then"`           // sent Times times after that
	Times    int     `yaml:"times"`          // 0: never
	EveryMS  int     `yaml:"every-ms"`       // pause before each of them
	HoldS    float64 `yaml:"hold-s"`         // how long the crowd stays after it has sent everything
}

const allListeners = "all"

// loadScenario reads a scenario from testdata.
func loadScenario(t *testing.T, name string) scenario {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name+".yaml"))
	if err != nil {
		t.Fatal(err)
	}
	var s scenario
	if err := yaml.Unmarshal(data, &s); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return s
}

// clients are the connections of a crowd.
type clients struct {
	crowd     crowd
	addresses []string
	dialed    atomic.Int64
	ids       atomic.Int64
	mu        sync.Mutex
	open      []net.Conn
	left      bool
}

// gather connects a crowd to the host and returns when every client has sent everything,
// or was closed by the host, and the crowd has stayed for its time.
func (h *host) gather(c crowd) *clients {
	cs := &clients{crowd: c, addresses: []string{h.listener(c.Listener)}}
	if c.Listener == allListeners {
		cs.addresses = nil
		for name := range ports {
			cs.addresses = append(cs.addresses, h.listener(name))
		}
	}
	var group sync.WaitGroup
	for range c.Clients {
		group.Go(cs.act)
	}
	group.Wait()
	time.Sleep(time.Duration(c.HoldS * float64(time.Second)))
	return cs
}

// act plays one client. Any error means that the host has refused it.
func (cs *clients) act() {
	for range max(cs.crowd.Rounds-1, 0) {
		conn, err := cs.connect()
		if err != nil {
			continue
		}
		cs.send(conn)
		_ = conn.Close()
	}
	conn, err := cs.connect()
	if err != nil {
		return
	}
	cs.mu.Lock()
	cs.open = append(cs.open, conn)
	left := cs.left
	cs.mu.Unlock()
	if left {
		_ = conn.Close()
	}
	cs.send(conn)
}

// connect opens a connection with the crowd's receive buffer.
func (cs *clients) connect() (net.Conn, error) {
	dialer := net.Dialer{Timeout: 5 * time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		if cs.crowd.Buffer == 0 {
			return nil
		}
		var optErr error
		if err := raw.Control(func(fd uintptr) {
			optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, cs.crowd.Buffer)
		}); err != nil {
			return err
		}
		return optErr
	}}
	return dialer.Dial("tcp", cs.addresses[cs.dialed.Add(1)%int64(len(cs.addresses))])
}

// send sends what the crowd's clients send on a connection.
func (cs *clients) send(conn net.Conn) {
	var text strings.Builder
	for range max(cs.crowd.Copies, 1) {
		text.WriteString(strings.ReplaceAll(cs.crowd.Send, "$ID", fmt.Sprint("crowd-", cs.ids.Add(1))))
	}
	_ = conn.SetWriteDeadline(time.Now().Add(30 * time.Second)) // fails on closed connections, as writes do
	if _, err := io.WriteString(conn, text.String()); err != nil {
		return
	}
	for range cs.crowd.Times {
		time.Sleep(time.Duration(cs.crowd.EveryMS) * time.Millisecond)
		if _, err := io.WriteString(conn, cs.crowd.Then); err != nil {
			return
		}
	}
}

// leave closes all connections.
func (cs *clients) leave() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.left = true
	for _, conn := range cs.open {
		_ = conn.Close()
	}
	cs.open = nil
}
