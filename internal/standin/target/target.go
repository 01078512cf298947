// Package target is a stand-in for a backend server of the users' platform in
// tests. It writes HTTP responses to raw connections, so that it can violate the
// protocol at any point.
package target

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"magnoliahill.example/magnoliahill/pkg/header"
)

// Fault is the fault that affects one response.
type Fault string

// Faults of a response.
const (
	None              Fault = ""
	Shed              Fault = "shed"         // reports that it did not execute the request
	NoResponse        Fault = "lost"         // executes the request and closes the connection without a response
	Reset             Fault = "reset"        // executes the request and resets the connection
	CutShort          Fault = "cut-short"    // sends half of the body and closes the connection
	ForeignResponse   Fault = "foreign"      // sends a complete response to another request first
	DuplicateResponse Fault = "twice"        // sends the response twice without a pause
	Garbage           Fault = "garbage"      // sends bytes that are not an HTTP response
	Unsigned          Fault = "unsigned"     // sends status 200 without a signature
	NoContentLength   Fault = "unframed"     // sends no Content-Length and closes the connection after the body
	ServerError       Fault = "failure"      // sends a signed status 500
	Unavailable       Fault = "busy"         // sends status 503 without the header that reports the request as not executed
	Hang              Fault = "silence"      // executes the request and never responds
	UnannouncedClose  Fault = "closes"       // responds and closes the connection without announcing it in the response
	EarlyResponse     Fault = "early"        // responds before it reads the body, and then reads it
	EarlyShed         Fault = "early-shed"   // like Shed, but before it reads the body
	EarlyMidway       Fault = "early-midway" // like EarlyResponse, but after the first 100,000 bytes of the body
	RawResponse       Fault = "raw"          // writes the text given to SetRawResponse and closes the connection
	Misdirected       Fault = "elsewhere"    // responds as another instance that has taken over the address
	AnonymousResponse Fault = "anonymous"    // sends a signed response without a request ID first
	EndlessHead       Fault = "endless-head"
	EndlessBody       Fault = "endless-body"   // sends status 200 without a signature and a body that never ends
	ForgottenIdle     Fault = "forgotten-idle" // responds, and resets the connection when the next request arrives
	EndlessSigned     Fault = "endless-signed" // sends a signed status 200 and a body that never ends
	LongCutShort      Fault = "long-cut-short" // announces 2 MB, sends three quarters and closes the connection
	StalledBody       Fault = "stalled-body"   // sends a signed status 200 and 300,000 bytes of a body without a length, and then nothing
	ResetMidway       Fault = "reset-midway"   // reads the beginning of the body and resets the connection
	StalledShed       Fault = "stalled-shed"   // like Shed, but the announced body never arrives
)

// Execution is one request that the backend server executed.
type Execution struct {
	Method, Target, Host, Body string
	Header                     http.Header
}

// Responder is a backend server from its start until Close.
type Responder struct {
	headers     header.Names
	instance    string
	serviceTime time.Duration

	mu            sync.Mutex
	listener      net.Listener
	closed        bool
	crashing      crashing
	plannedFaults []Fault // of the next responses, in order
	runs          []Execution
	unexecuted    []string      // bodies, or their beginnings, that were read before and after early responses
	rawResponse   string        // what the fault RawResponse writes
	held          chan struct{} // closed when responses are released; nil if none are held
	extraHeaders  string        // of all responses but misdirected ones; each header ends with a line break
	requests      int           // received, executed or not
	connections   int
	open          map[net.Conn]bool
	forgotten     map[net.Conn]bool // connections that are reset at their next request
}

// Option sets one property of a target.
type Option func(*Responder)

// WithServiceTime sets how long the execution of a request takes.
func WithServiceTime(d time.Duration) Option {
	return func(t *Responder) { t.serviceTime = d }
}

var listeners atomic.Uint32 // number of listeners opened by this process

// Listen listens at a free port of the next loopback address. Each call uses
// another address, because each address has its own port range and tests with
// many connections would exhaust a single one.
func Listen() (net.Listener, error) {
	n := listeners.Add(1) + uint32(os.Getpid())
	return net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+n>>16%100, n>>8%256, 1+n%254))
}

// Start starts a target that listens at a free port of a loopback address.
func Start(instance string, headers header.Names, options ...Option) (*Responder, error) {
	listener, err := Listen()
	if err != nil {
		return nil, err
	}
	t := &Responder{headers: headers, instance: instance, listener: listener, open: map[net.Conn]bool{}, forgotten: map[net.Conn]bool{}}
	for _, option := range options {
		option(t)
	}
	go t.accept(listener)
	return t, nil
}

// Address returns the host:port at which the target listens.
func (t *Responder) Address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listener.Addr().String()
}

// Instance returns the target's instance id.
func (t *Responder) Instance() string { return t.instance }

// Close closes the listener and all connections.
func (t *Responder) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	t.closeAll()
}

// closeAll closes the listener and all connections. The caller holds the lock.
func (t *Responder) closeAll() {
	_ = t.listener.Close()
	for conn := range t.open {
		_ = conn.Close()
	}
}

// QueueFaults appends faults for the next responses, one for each request.
func (t *Responder) QueueFaults(faults ...Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plannedFaults = append(t.plannedFaults, faults...)
}

// DropFaults removes the faults that were not used yet.
func (t *Responder) DropFaults() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.plannedFaults = nil
}

// Requests returns the number of requests received so far, executed or not.
func (t *Responder) Requests() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests
}

// SetExtraHeader adds a header to all further responses, except those to misdirected
// requests.
func (t *Responder) SetExtraHeader(name, value string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.extraHeaders += name + ": " + value + "\r\n"
}

func (t *Responder) extra() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.extraHeaders
}

// SetRawResponse sets the text that the fault RawResponse writes.
func (t *Responder) SetRawResponse(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rawResponse = text
}

// Executions returns the executed requests in order.
func (t *Responder) Executions() []Execution {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Execution(nil), t.runs...)
}

// Connections returns the number of connections accepted so far.
func (t *Responder) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.connections
}

func (t *Responder) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.connections++
		t.open[conn] = true
		t.mu.Unlock()
		go t.serve(conn)
	}
}

// serve handles the requests of one connection until it ends.
func (t *Responder) serve(conn net.Conn) {
	defer func() {
		t.mu.Lock()
		delete(t.open, conn)
		t.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for !t.forgets(conn) {
		r, err := http.ReadRequest(reader)
		if err != nil || !t.handle(conn, r) {
			return
		}
	}
	_, _ = reader.Peek(1) // closing the connection with unread bytes resets it
}

// forgets reports whether the connection is reset at its next request.
func (t *Responder) forgets(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.forgotten[conn]
}

// nextFault removes and returns the next planned fault, or None.
func (t *Responder) nextFault() Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.plannedFaults) == 0 {
		return None
	}
	fault := t.plannedFaults[0]
	t.plannedFaults = t.plannedFaults[1:]
	return fault
}

// handle responds to one request and reports whether the connection stays open.
func (t *Responder) handle(conn net.Conn, r *http.Request) bool {
	t.mu.Lock()
	t.requests++
	t.mu.Unlock()
	fault := t.nextFault()
	status := parseStatusFault(fault)
	id := r.Header.Get(t.headers.RequestID)
	switch fault {
	case EarlyResponse:
		return t.respondEarly(conn, r, 0, t.formatHead("400 Bad Request", id, 0, ""))
	case EarlyMidway:
		return t.respondEarly(conn, r, earlyMidwayBytes, t.formatHead("400 Bad Request", id, 0, ""))
	case EarlyShed:
		return t.respondEarly(conn, r, 0, t.formatShed(id))
	}
	if status.early {
		return t.respondEarly(conn, r, 0, t.formatStatus(status, id))
	}
	if fault == ResetMidway {
		_, _ = io.CopyN(io.Discard, r.Body, 100)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	expected := r.Header.Get(t.headers.ExpectedInstance)
	if fault == Misdirected || (expected != "" && expected != t.instance) {
		return t.write(conn, "HTTP/1.1 421 Misdirected Request\r\n"+t.headers.RequestID+": "+id+"\r\n"+t.headers.ServedBy+": other\r\nContent-Length: 0\r\n\r\n")
	}
	if fault == StalledShed {
		t.write(conn, "HTTP/1.1 503 Service Unavailable\r\n"+t.headers.RequestID+": "+id+"\r\n"+t.headers.NotRun+": 1\r\nContent-Length: 100\r\n\r\n")
		_, _ = io.Copy(io.Discard, conn) // ends when the client closes the connection
		return false
	}
	if fault == Shed {
		return t.write(conn, t.formatShed(id))
	}
	if status.notRun {
		return t.write(conn, t.formatStatus(status, id))
	}
	t.mu.Lock()
	t.runs = append(t.runs, Execution{Method: r.Method, Target: r.RequestURI, Host: r.Host, Body: string(body), Header: r.Header})
	t.mu.Unlock()
	if t.crash(r.URL.Path) {
		return false
	}
	time.Sleep(t.serviceTime)
	t.awaitRelease()
	if status.text != "" {
		return t.write(conn, t.formatStatus(status, id))
	}
	return t.sendResponse(conn, fault, id, "answer to "+id)
}
