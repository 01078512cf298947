package soak_test

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// mode is the fault that a proxy applies to its connections.
type mode int

const (
	modePass          mode = iota
	modeDelay              // data is forwarded after a delay
	modeReset              // open and new connections are reset
	modeDropResponses      // data from the upstream is discarded; the other direction works
	modeBlackhole          // data is discarded in both directions; connections stay open
)

// proxy forwards TCP connections to one upstream address and can inject faults.
type proxy struct {
	listener net.Listener
	upstream string
	mu       sync.Mutex
	mode     mode
	delay    time.Duration
	open     map[net.Conn]bool
}

// newProxy starts a proxy that listens at address and forwards to upstream.
func newProxy(address, upstream string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, upstream: upstream, open: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setMode sets the mode and draws a random delay for modeDelay. Setting modeReset
// or modePass resets all open connections.
func (p *proxy) setMode(m mode, rng *rand.Rand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.delay = time.Duration(1+rng.IntN(150)) * time.Millisecond
	if m == modeReset || m == modePass {
		// Data discarded in the previous mode is lost, so its connection must not
		// continue.
		for conn := range p.open {
			reset(conn)
		}
	}
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// state returns the mode and the delay.
func (p *proxy) state() (mode, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.delay
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if m, _ := p.state(); m == modeReset {
			reset(client)
			continue
		}
		go p.forward(client)
	}
}

// forward connects a client to the upstream and copies data both ways until both
// directions have ended.
func (p *proxy) forward(client net.Conn) {
	upstream, err := net.DialTimeout("tcp", p.upstream, time.Second)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	p.open[client], p.open[upstream] = true, true
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Add(2)
	go func() { defer copies.Done(); p.copy(upstream, client, false) }()
	go func() { defer copies.Done(); p.copy(client, upstream, true) }()
	copies.Wait()
	p.mu.Lock()
	delete(p.open, client)
	delete(p.open, upstream)
	p.mu.Unlock()
	_ = client.Close()
	_ = upstream.Close()
}

// copy copies data in one direction and applies the mode's fault to it.
func (p *proxy) copy(to, from net.Conn, fromUpstream bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			m, delay := p.state()
			switch {
			case m == modeDelay:
				time.Sleep(delay)
			case m == modeBlackhole, m == modeDropResponses && fromUpstream:
				_, _ = io.Copy(io.Discard, from) // ends when the connection is reset
				return
			}
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF {
				_ = tcp.CloseWrite()
			} else {
				reset(to)
			}
			return
		}
	}
}
