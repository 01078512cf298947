// Command 1 shows that a target runs an upload of which a part is missing, after another
// target has rejected the upload early.
package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"magnoliahill.example/magnoliahill/review/rig"
)

const (
	hostName = "archive.example"
	uploads  = 72
	atOnce   = 12
	lines    = 3600                  // of a body, about 200 KB
	piece    = 8 << 10               // bytes that a client sends at once
	interval = 40 * time.Millisecond // between two pieces: 1.6 Mbit/s

	// The disruption, in the doses of the site's days: garble, how "early".
	rejecting = 4 // of the targets: a share of at most 0.7
	intakes   = 6
	outOf     = 5 // requests, of which such a target rejects two: a part of 0.4
)

func main() { rig.Main(run) }

func configure(r *rig.Rig) {
	r.Store.Put("config", "main", map[string]any{
		"Version": "00000007",
		"Routes": map[string]any{"r-archive": map[string]any{
			"Host": hostName, "PathPrefix": "/archive/", "Kind": "upload", "TimeoutS": 6, "LatencyGoalS": 0.8, "Priority": 1,
			"Service": "archive-intake", "MaxAttempts": 2, "Public": true, "StickySessions": false, "HomeRegions": []string{},
		}},
		"Services": map[string]any{"archive-intake": rig.ServiceConfig()},
		"Limits":   rig.CallerLimits(),
	})
}

// body returns a body of which each line has a number of its own.
func body(upload int) string {
	var b strings.Builder
	for i := range lines {
		fmt.Fprintf(&b, "upload %03d line %06d of the raw archive of station 17\n", upload, i)
	}
	return b.String()
}

// send sends an upload in chunks at the speed of a slow uplink, and returns the answer.
func send(front, id, text string) (rig.Answer, error) {
	conn, err := net.Dial("tcp", front)
	if err != nil {
		return rig.Answer{}, err
	}
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /archive/17 HTTP/1.1\r\nHost: %s\r\nMagnoliahill-Request-Id: %s\r\nMagnoliahill-Deadline-Milliseconds: 6000\r\nTransfer-Encoding: chunked\r\n\r\n", hostName, id)
	if err != nil {
		return rig.Answer{}, err
	}
	go func() {
		for rest := text; len(rest) > 0; time.Sleep(interval) {
			n := min(piece, len(rest))
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", n, rest[:n]); err != nil {
				return // the host has answered and closed the connection
			}
			rest = rest[n:]
		}
		_, _ = conn.Write([]byte("0\r\n\r\n"))
	}()
	return rig.ReadAnswer(conn, bufio.NewReader(conn), 8*time.Second)
}

// every returns a function that is true for two of outOf calls, beginning with one of them.
func every(first int) func(string) bool {
	var mu sync.Mutex
	calls := first
	return func(string) bool {
		mu.Lock()
		defer mu.Unlock()
		calls++
		return calls%outOf == 1 || calls%outOf == 3
	}
}

func run(r *rig.Rig) (int, error) {
	var targets []*rig.Target
	for i := range intakes {
		t, err := r.StartTarget(fmt.Sprintf("i-intake-%d", i+1), "archive-intake", "kigali-a", 20*time.Millisecond)
		if err != nil {
			return rig.Failed, err
		}
		defer t.Stop()
		if rig.Trouble() && i < rejecting {
			t.RejectEarly(every(i))
		}
		targets = append(targets, t)
	}
	configure(r)
	if err := r.StartHosts(2); err != nil {
		return rig.Failed, err
	}
	var mu sync.Mutex
	sent, answers := map[string]string{}, map[string]rig.Answer{}
	slots := make(chan struct{}, atOnce)
	var group sync.WaitGroup
	for i := range uploads {
		id, text := fmt.Sprintf("%016x", 0xa00+i), body(i)
		sent[id] = text
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			r.Record.Writef("client", "POST /archive/17 id=%s, a body of %d bytes sha256=%s", id, len(text), rig.Digest(text))
			a, err := send(r.Hosts()[i%2].Front, id, text)
			r.Record.Writef("client", "id=%s -> %d stamp=%q %q %v", id, a.Status, a.Stamp, a.Body, err)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = a
		})
	}
	group.Wait()
	status, whole := rig.Held, 0
	for _, t := range targets {
		for _, run := range t.Runs() {
			if run.Body == sent[run.ID] {
				whole++
				continue
			}
			r.Record.Writef("check", "UNASKED: %s ran id=%s with %d bytes of body, the client sent %d, and was answered %d",
				t.ID, run.ID, len(run.Body), len(sent[run.ID]), answers[run.ID].Status)
			status = rig.Broken
		}
	}
	r.Record.Writef("check", "%d uploads ran with the body that was sent", whole)
	if whole == 0 {
		return rig.Failed, fmt.Errorf("no upload ran")
	}
	return status, nil
}
