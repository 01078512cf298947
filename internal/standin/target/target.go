// Package target is a stand-in for a backend server of the users' platform. It
// answers over raw connections, so that it can break the protocol anywhere.
package target

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"magnoliahill.example/magnoliahill/pkg/marker"
)

// Fault is what happens to one answer.
type Fault string

// Faults of an answer.
const (
	None      Fault = ""
	Shed      Fault = "shed"      // says that it did not run the request
	Lost      Fault = "lost"      // runs it and closes without an answer
	Reset     Fault = "reset"     // runs it and resets the connection
	CutShort  Fault = "cut-short" // sends half of the body
	Foreign   Fault = "foreign"   // sends a whole answer to another request first
	Twice     Fault = "twice"     // sends the answer a second time, at once
	Garbage   Fault = "garbage"   // sends bytes that are no answer
	Unsigned  Fault = "unsigned"  // says success without a signature
	Unframed  Fault = "unframed"  // states no length and closes after the body
	Failure   Fault = "failure"   // a 500 of its own
	Busy      Fault = "busy"      // a 503 that does not say it did not run the request
	Silence   Fault = "silence"   // runs it and never answers
	Closes    Fault = "closes"    // answers and closes without saying so
	Early     Fault = "early"     // answers before it has read the body, and reads on
	Elsewhere Fault = "elsewhere" // says that another instance has the address
)

// Run is one request as the backend server saw it.
type Run struct {
	Method, Target, Host, Body string
	Header                     http.Header
}

// Target is one run of a backend server.
type Target struct {
	words    marker.Vocabulary
	instance string
	service  time.Duration
	listener net.Listener

	mu          sync.Mutex
	faults      []Fault // of the next answers, first first
	runs        []Run
	connections int
	open        map[net.Conn]bool
}

// Option sets one property of a target.
type Option func(*Target)

// WithServiceTime sets how long a request runs.
func WithServiceTime(d time.Duration) Option {
	return func(t *Target) { t.service = d }
}

var listeners atomic.Uint32 // opened so far in this process

// Listen listens at a free port of the next loopback address. Each address has
// ports of its own, so that tests with many connections do not run out of them.
func Listen() (net.Listener, error) {
	n := listeners.Add(1) + uint32(os.Getpid())
	return net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+n>>16%100, n>>8%256, 1+n%254))
}

// Start listens at a free port of a loopback address.
func Start(instance string, words marker.Vocabulary, options ...Option) (*Target, error) {
	listener, err := Listen()
	if err != nil {
		return nil, err
	}
	t := &Target{words: words, instance: instance, listener: listener, open: map[net.Conn]bool{}}
	for _, option := range options {
		option(t)
	}
	go t.accept()
	return t, nil
}

// Address returns the host:port it listens at.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Instance returns its id.
func (t *Target) Instance() string { return t.instance }

// Close stops listening and ends all connections.
func (t *Target) Close() {
	_ = t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.open {
		_ = conn.Close()
	}
}

// Plan sets the faults of the next answers.
func (t *Target) Plan(faults ...Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, faults...)
}

// Runs returns the requests that ran, in order.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

// Connections returns how many connections were accepted.
func (t *Target) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.connections
}

func (t *Target) accept() {
	for {
		conn, err := t.listener.Accept()
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

func (t *Target) serve(conn net.Conn) {
	defer func() {
		t.mu.Lock()
		delete(t.open, conn)
		t.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil || !t.answer(conn, r) {
			return
		}
	}
}

func (t *Target) next() Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.faults) == 0 {
		return None
	}
	fault := t.faults[0]
	t.faults = t.faults[1:]
	return fault
}

// answer answers one request, and reports whether the connection goes on.
func (t *Target) answer(conn net.Conn, r *http.Request) bool {
	fault := t.next()
	id := r.Header.Get(t.words.RequestID)
	if fault == Early {
		_, err := io.WriteString(conn, t.head("400 Bad Request", id, 0, ""))
		_, _ = io.Copy(io.Discard, r.Body)
		return err == nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	expected := r.Header.Get(t.words.Instance)
	if fault == Elsewhere || (expected != "" && expected != t.instance) {
		return t.write(conn, "HTTP/1.1 421 Misdirected Request\r\n"+t.words.Answerer+": other\r\nContent-Length: 0\r\n\r\n")
	}
	if fault == Shed {
		return t.write(conn, "HTTP/1.1 503 Service Unavailable\r\n"+t.words.NotRun+": 1\r\n"+t.words.Load+": 1,0,8\r\nContent-Length: 0\r\n\r\n")
	}
	t.mu.Lock()
	t.runs = append(t.runs, Run{Method: r.Method, Target: r.RequestURI, Host: r.Host, Body: string(body), Header: r.Header})
	t.mu.Unlock()
	time.Sleep(t.service)
	return t.send(conn, fault, id, "answer to "+id)
}

func (t *Target) head(status, id string, length int, more string) string {
	return "HTTP/1.1 " + status + "\r\n" + t.words.RequestID + ": " + id + "\r\n" + t.words.Signature + ": s." + id +
		"\r\n" + t.words.Load + ": 1,0,8\r\nContent-Length: " + strconv.Itoa(length) + "\r\n" + more + "\r\n"
}

func (t *Target) send(conn net.Conn, fault Fault, id, body string) bool {
	whole := t.head("200 OK", id, len(body), "") + body
	switch fault {
	case Lost:
		return false
	case Reset:
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	case CutShort:
		t.write(conn, whole[:len(whole)-len(body)/2])
		return false
	case Foreign:
		return t.write(conn, t.head("200 OK", "another", 5, "")+"wrong"+whole)
	case Twice:
		return t.write(conn, whole+whole)
	case Garbage:
		t.write(conn, "\x00\x01 this is no answer\r\n\r\n")
		return false
	case Unsigned:
		return t.write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", t.words.RequestID, id))
	case Unframed:
		t.write(conn, "HTTP/1.1 200 OK\r\n"+t.words.RequestID+": "+id+"\r\n"+t.words.Signature+": s."+id+"\r\n\r\n"+body)
		return false
	case Failure:
		return t.write(conn, t.head("500 Internal Server Error", id, len(body), "")+body)
	case Busy:
		return t.write(conn, t.head("503 Service Unavailable", id, len(body), "")+body)
	case Silence:
		_, _ = io.Copy(io.Discard, conn) // until the other side gives up
		return false
	case Closes:
		t.write(conn, whole)
		return false
	}
	return t.write(conn, whole)
}

func (t *Target) write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}
