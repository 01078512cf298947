package soak_test

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to the connections through it.
type mode int

const (
	passes mode = iota
	delays      // each piece waits a while
	resets      // open connections are reset, and new ones too
	cuts        // pieces from the far side vanish: a cut in one direction
	silent      // no piece passes in either direction, and nothing is closed
)

// proxy stands before one address.
type proxy struct {
	listener net.Listener
	far      string
	mu       sync.Mutex
	mode     mode
	delay    time.Duration
	open     map[net.Conn]bool
}

func newProxy(address, far string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, far: far, open: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(m mode, rng *rand.Rand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.delay = time.Duration(1+rng.IntN(150)) * time.Millisecond
	if m == resets || m == passes {
		// What was held back is lost with its connection.
		for conn := range p.open {
			reset(conn)
		}
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *proxy) state() (mode, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.delay
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		if m, _ := p.state(); m == resets {
			reset(near)
			continue
		}
		go p.join(near)
	}
}

func (p *proxy) join(near net.Conn) {
	far, err := net.DialTimeout("tcp", p.far, time.Second)
	if err != nil {
		reset(near)
		return
	}
	p.mu.Lock()
	p.open[near], p.open[far] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); p.copy(far, near, false) }()
	go func() { defer both.Done(); p.copy(near, far, true) }()
	both.Wait()
	p.mu.Lock()
	delete(p.open, near)
	delete(p.open, far)
	p.mu.Unlock()
	_ = near.Close()
	_ = far.Close()
}

func (p *proxy) copy(to, from net.Conn, back bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			m, delay := p.state()
			switch {
			case m == delays:
				time.Sleep(delay)
			case m == silent, m == cuts && back:
				_, _ = io.Copy(io.Discard, from) // until the connection is reset
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
