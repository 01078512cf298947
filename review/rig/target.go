package rig

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"magnoliahill.example/magnoliahill/platform/standin"
)

// Run is one request that a target ran.
type Run struct {
	ID, Method, Path, Tenant, Key, Body string

	At time.Time // when its head had arrived
}

// Target is a stand-in for a backend server, as the users' pages describe it.
type Target struct {
	ID      string
	Address string

	store        *standin.Store
	registration map[string]any

	record   *Record
	mu       sync.Mutex
	runs     []Run
	full     func(id string) bool // whether the target is full when the head of a request arrives; nil if never
	work     time.Duration        // for one request
	listener net.Listener
	open     map[net.Conn]bool
}

// StartTarget starts a target and registers it in the store.
func (r *Rig) StartTarget(id, service, zone string, work time.Duration) (*Target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &Target{ID: id, Address: listener.Addr().String(), record: r.Record, work: work, listener: listener, open: map[net.Conn]bool{}}
	t.registration = map[string]any{
		"Service": service, "Address": t.Address, "Zone": zone, "Version": "v1", "Slots": 8,
		"State": "ready", "ColdRemainingS": 0, "Sequence": 1, "born": time.Now().UnixMilli(),
	}
	t.store = r.Store
	go t.accept()
	r.Store.Put("servers", id, t.registration)
	return t, nil
}

// Drain reports the target as draining. It returns when the store has accepted that.
func (t *Target) Drain() {
	t.registration["State"], t.registration["Sequence"] = "draining", 2
	t.store.Put("servers", t.ID, t.registration)
}

// Leave removes the registration of the target.
func (t *Target) Leave() { t.store.Delete("servers", t.ID) }

// Stop ends the target as a process that is killed.
func (t *Target) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.listener.Close()
	for conn := range t.open {
		_ = conn.Close()
	}
}

// RejectEarly sets a function that is asked with the id of each request whose head has
// arrived. If it returns true the target rejects the request at once, as a full one does.
func (t *Target) RejectEarly(full func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.full = full
}

// Runs returns the requests that the target ran.
func (t *Target) Runs() []Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Run(nil), t.runs...)
}

func (t *Target) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
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
		req, err := http.ReadRequest(reader)
		if err != nil || !t.handle(conn, req) {
			return
		}
	}
}

func (t *Target) rejects(id string) bool {
	t.mu.Lock()
	full := t.full
	t.mu.Unlock()
	return full != nil && full(id)
}

// handle answers one request and reports whether the connection stays open.
func (t *Target) handle(conn net.Conn, req *http.Request) bool {
	id := req.Header.Get("Magnoliahill-Request-Id")
	head := "Magnoliahill-Request-Id: " + id + "\r\nMagnoliahill-Instance-Id: " + t.ID + "\r\nMagnoliahill-Server-Load: 1,0,8\r\n"
	if expected := req.Header.Get("Magnoliahill-Expect-Instance"); expected != "" && expected != t.ID {
		_, _ = io.Copy(io.Discard, req.Body)
		return t.write(conn, "HTTP/1.1 421 Misdirected Request\r\n"+head+"Content-Length: 0\r\n\r\n")
	}
	if t.rejects(id) {
		t.record.Writef(t.ID, "rejects %s %s id=%s from its head, as full", req.Method, req.RequestURI, id)
		if !t.write(conn, "HTTP/1.1 503 Service Unavailable\r\n"+head+"Magnoliahill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n") {
			return false
		}
		_, err := io.Copy(io.Discard, req.Body)
		return err == nil
	}
	at := time.Now()
	body, err := io.ReadAll(req.Body)
	if err != nil {
		t.record.Writef(t.ID, "does not get the whole of %s %s id=%s: %d bytes, %v", req.Method, req.RequestURI, id, len(body), err)
		return false
	}
	run := Run{
		ID: id, Method: req.Method, Path: req.RequestURI, Tenant: req.Header.Get("Magnoliahill-Tenant"),
		Key: req.Header.Get("Magnoliahill-Key"), Body: string(body), At: at,
	}
	t.mu.Lock()
	t.runs = append(t.runs, run)
	t.mu.Unlock()
	t.record.Writef(t.ID, "runs %s %s id=%s tenant=%s body=%d bytes sha256=%s", run.Method, run.Path, id, run.Tenant, len(body), Digest(run.Body))
	time.Sleep(t.work)
	answer := "done by " + t.ID + " for " + id
	return t.write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sMagnoliahill-Response-Stamp: s.%s\r\nContent-Length: %d\r\n\r\n%s", head, id, len(answer), answer))
}

func (t *Target) write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// Digest returns the beginning of the hash of a body.
func Digest(body string) string {
	sum := sha256.Sum256([]byte(body))
	return hex.EncodeToString(sum[:6])
}

// Answer is what a client read.
type Answer struct {
	Status int
	ID     string
	Stamp  string
	Body   string
	Close  bool
}

// ReadAnswer reads one answer to a request with a method.
func ReadAnswer(conn net.Conn, reader *bufio.Reader, limit time.Duration) (Answer, error) {
	_ = conn.SetReadDeadline(time.Now().Add(limit))
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return Answer{}, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{}, err
	}
	return Answer{
		Status: resp.StatusCode, ID: resp.Header.Get("Magnoliahill-Request-Id"), Stamp: resp.Header.Get("Magnoliahill-Response-Stamp"),
		Body: strings.TrimSpace(string(body)), Close: resp.Close,
	}, nil
}

// ServiceConfig returns a service of a configuration, with the figures of the sites.
func ServiceConfig() map[string]any {
	return map[string]any{"HealthCheckPath": "/health", "ConnectionLimit": 330, "Protocol": "h1", "Tls": false, "ColdStartS": 3.0, "ColdPerS": 6.8}
}

// CallerLimits returns the limits of a configuration, with the figures of the sites.
func CallerLimits() map[string]any {
	return map[string]any{"HeaderBytes": 16384, "BodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15}
}
