// Command 5 shows that a host which is stopped takes requests that it breaks off later,
// while their targets are at work.
package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"magnoliahill.example/magnoliahill/review/rig"
)

const (
	hostName = "ledger.example"
	work     = 7600 * time.Millisecond // of a delivery sheet at the site
	excused  = 3 * time.Second         // requests sent up to then after SIGTERM may be broken off
	first    = 3200 * time.Millisecond // when the first request is sent after SIGTERM
	last     = 4400 * time.Millisecond
	gap      = 200 * time.Millisecond
)

func main() { rig.Main(run) }

func configure(r *rig.Rig) {
	r.Store.Put("config", "main", map[string]any{
		"Version": "00000007",
		"Routes": map[string]any{"r-sheet": map[string]any{
			"Host": hostName, "PathPrefix": "/sheet/", "Kind": "safe", "TimeoutS": 8, "LatencyGoalS": 5, "Priority": 2,
			"Service": "ledger", "MaxAttempts": 2, "Public": true, "StickySessions": false, "HomeRegions": []string{},
		}},
		"Services": map[string]any{"ledger": rig.ServiceConfig()},
		"Limits":   rig.CallerLimits(),
	})
}

func run(r *rig.Rig) (int, error) {
	r.SetBound("GraceS", "10")
	r.SetBound("DrainS", "4")
	r.SetBound("StabilityWindowS", "4")
	r.SetBound("ConfigApplyS", "4")
	for i := range 4 {
		t, err := r.StartTarget(fmt.Sprintf("i-ledger-%d", i+1), "ledger", []string{"kigali-a", "kigali-b"}[i%2], work)
		if err != nil {
			return rig.Failed, err
		}
		defer t.Stop()
	}
	configure(r)
	if err := r.StartHosts(2); err != nil {
		return rig.Failed, err
	}
	time.Sleep(4 * time.Second)
	host := r.Hosts()[1]
	began := time.Now()
	if rig.Trouble() {
		host.Signal(syscall.SIGTERM)
		r.Record.Writef("operator", "SIGTERM to host 2")
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for at := first; at <= last; at += gap {
		group.Go(func() {
			time.Sleep(time.Until(began.Add(at)))
			id := fmt.Sprintf("%016x", at.Milliseconds())
			conn, err := net.Dial("tcp", host.Front)
			if err != nil {
				r.Record.Writef("client", "id=%s no connection: %v", id, err)
				return
			}
			defer func() { _ = conn.Close() }()
			r.Record.Writef("client", "GET /sheet/%s id=%s sent %s after SIGTERM, route TimeoutS 8, client 40 s", id, id, time.Since(began).Round(time.Millisecond))
			_, _ = fmt.Fprintf(conn, "GET /sheet/%s HTTP/1.1\r\nHost: %s\r\nMagnoliahill-Request-Id: %s\r\nMagnoliahill-Deadline-Milliseconds: 40000\r\n\r\n", id, hostName, id)
			a, err := rig.ReadAnswer(conn, bufio.NewReader(conn), 20*time.Second)
			r.Record.Writef("client", "id=%s -> %d stamp=%q %q err=%v at %s after SIGTERM", id, a.Status, a.Stamp, a.Body, err, time.Since(began).Round(time.Millisecond))
			refused := a.Status == 503 || a.Status == 429
			if a.Stamp == "" && !refused {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	if lost > 0 {
		r.Record.Writef("check", "LOST: %d requests that were sent later than %s after SIGTERM were broken off while their targets were at work", lost, excused)
		return rig.Broken, nil
	}
	return rig.Held, nil
}
