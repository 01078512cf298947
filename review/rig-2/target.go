package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// reply is what a target answers to a request that it has run.
type reply struct {
	work    time.Duration
	status  int
	body    []byte
	cutFrom int  // bytes of the body that are sent before the connection is broken off; 0 for all
	old     bool // the answer is sent in chunks with the version HTTP/1.0
}

// target is a stand-in for a backend server. It runs every request that is meant for it
// and answers with a stamp.
type target struct {
	deployment *deployment
	id         string
	slots      int
	listener   net.Listener
	running    atomic.Int64
	reply      func(*http.Request) reply
}

// addTargets starts targets of a service, in both zones by turns, and registers them.
func (d *deployment) addTargets(service string, count, slots int, answer func(*http.Request) reply) error {
	for i := range count {
		if err := d.addNamedTarget(service, fmt.Sprintf("i-%s-%d", service, i), slots, answer); err != nil {
			return err
		}
	}
	return nil
}

// addNamedTarget starts one target with an id.
func (d *deployment) addNamedTarget(service, id string, slots int, answer func(*http.Request) reply) error {
	n := len(d.targets)
	listener, err := net.Listen("tcp", fmt.Sprintf("%s%d:0", d.network, 100+n%150))
	if err != nil {
		return errors.Wrap(err, "starting target")
	}
	t := &target{deployment: d, id: id, slots: slots, listener: listener, reply: answer}
	d.targets = append(d.targets, t)
	go t.accept()
	d.store.Put("servers", id, map[string]any{
		"Service": service, "Address": listener.Addr().String(), "Zone": []string{"kigali-a", "kigali-b"}[n%2], "Version": "1", "Slots": slots,
		"State": "ready", "ColdRemainingS": 0, "Sequence": 1, "born": time.Now().UnixMilli(),
	})
	return nil
}

func (t *target) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.serve(conn)
	}
}

// serve handles the requests of one connection, one at a time.
func (t *target) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second)) // the idle time-out of the sites
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || !t.answer(conn, r) {
			return
		}
	}
}

// answer runs a request and answers it. It reports whether the connection stays open.
func (t *target) answer(conn net.Conn, r *http.Request) bool {
	id := r.Header.Get("Magnoliahill-Request-Id")
	echo := "Magnoliahill-Request-Id: " + id + "\r\n"
	if r.URL.Path == "/health" {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nMagnoliahill-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", t.id)
		return err == nil
	}
	if r.Header.Get("Magnoliahill-Expect-Instance") != t.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%sMagnoliahill-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", echo, t.id)
		return err == nil
	}
	if running := t.running.Add(1); running > int64(4*t.slots) {
		t.running.Add(-1)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%sMagnoliahill-Not-Executed: 1\r\nMagnoliahill-Server-Load: %d,%d,%d\r\nContent-Length: 0\r\n\r\n",
			echo, t.slots, 3*t.slots, t.slots)
		return err == nil
	}
	defer t.running.Add(-1)
	out := t.reply(r)
	t.deployment.ran(id, t.id)
	time.Sleep(out.work)
	load := fmt.Sprintf("Magnoliahill-Server-Load: %d,0,%d\r\n", min(t.running.Load(), int64(t.slots)), t.slots)
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sMagnoliahill-Response-Stamp: %s.%s.%d.%d\r\n%sContent-Length: %s\r\n\r\n",
		out.status, http.StatusText(out.status), echo, t.id, id, out.status, len(out.body), load, strconv.Itoa(len(out.body)))
	if out.cutFrom > 0 {
		_, _ = io.WriteString(conn, head+string(out.body[:out.cutFrom]))
		t.deployment.targetAnswered(id, fmt.Sprintf("%d, broken off", out.status), false)
		return false
	}
	if out.old {
		_, _ = fmt.Fprintf(conn, "HTTP/1.0 %d %s\r\n%sMagnoliahill-Response-Stamp: %s.%s.%d.%d\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
			out.status, http.StatusText(out.status), echo, t.id, id, out.status, len(out.body), len(out.body), out.body)
		t.deployment.targetAnswered(id, fmt.Sprintf("%d, HTTP/1.0 in chunks", out.status), false)
		return false
	}
	_, err := io.WriteString(conn, head+string(out.body))
	t.deployment.targetAnswered(id, fmt.Sprint(out.status), err == nil)
	return err == nil
}
