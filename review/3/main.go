// Command 3 shows that a host which lists the targets in pages, while some of them begin
// to drain, never learns of that.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"magnoliahill.example/magnoliahill/review/rig"
)

const (
	hostName   = "orders.example"
	targets    = 264 // of both services of the site; here all are of one
	pageSize   = 50
	storeDelay = 44 * time.Millisecond // 4 ms of the store, and a link of 20 ms one way
	leaving    = 34                    // 13 in 100
	drainGap   = 40 * time.Millisecond // between two targets that begin to drain
	drainTime  = 3 * time.Second       // DrainS of the site
	stability  = 4 * time.Second       // StabilityWindowS of the site
	callers    = 8
)

func main() { rig.Main(run) }

func configure(r *rig.Rig) {
	r.Store.Put("config", "main", map[string]any{
		"Version": "00000007",
		"Routes": map[string]any{"r-stock": map[string]any{
			"Host": hostName, "PathPrefix": "/stock/", "Kind": "safe", "TimeoutS": 4, "LatencyGoalS": 0.6, "Priority": 1,
			"Service": "order-desk", "MaxAttempts": 2, "Public": true, "StickySessions": false, "HomeRegions": []string{},
		}},
		"Services": map[string]any{"order-desk": rig.ServiceConfig()},
		"Limits":   rig.CallerLimits(),
	})
}

// send sends requests to a host until stop is set, each on a connection of its own.
func send(front string, caller int, stop *atomic.Bool) {
	for i := 0; !stop.Load(); i++ {
		conn, err := net.DialTimeout("tcp", front, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		_, _ = fmt.Fprintf(conn, "GET /stock/%d HTTP/1.1\r\nHost: %s\r\nMagnoliahill-Request-Id: %04x%012x\r\nMagnoliahill-Deadline-Milliseconds: 4000\r\nConnection: close\r\n\r\n", i, hostName, caller, i)
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
		}
		_ = conn.Close()
		time.Sleep(10 * time.Millisecond)
	}
}

func run(r *rig.Rig) (int, error) {
	r.Record.SetQuiet(true)
	r.SetBound("DrainS", "3")
	r.SetBound("StabilityWindowS", "4")
	r.SetBound("ConfigApplyS", "3")
	r.SetStorePages(pageSize, storeDelay)
	var all []*rig.Target
	for i := range targets {
		t, err := r.StartTarget(fmt.Sprintf("i-%04d", i), "order-desk", []string{"kigali-a", "kigali-b"}[i%2], 10*time.Millisecond)
		if err != nil {
			return rig.Failed, err
		}
		defer t.Stop()
		all = append(all, t)
	}
	configure(r)
	if err := r.StartHosts(2); err != nil {
		return rig.Failed, err
	}
	time.Sleep(stability)
	// Planned work: the second host is stopped and started again.
	host := r.Hosts()[1]
	r.Record.Writef("operator", "SIGTERM to host 2")
	host.Signal(syscall.SIGTERM)
	if !host.WaitExit(8 * time.Second) {
		return rig.Failed, fmt.Errorf("host 2 does not end")
	}
	if err := host.Start(); err != nil {
		return rig.Failed, err
	}
	if !rig.Trouble() { // the same work, once the host has started
		if err := host.WaitReady(); err != nil {
			return rig.Failed, err
		}
		time.Sleep(stability)
	}
	// Planned work: targets are emptied, to be taken away.
	confirmed := map[string]time.Time{}
	for i := range leaving {
		t := all[(i*97)%targets]
		t.Drain()
		confirmed[t.ID] = time.Now()
		r.Record.Writef(t.ID, "reports draining; the store has accepted that")
		time.Sleep(drainGap)
	}
	if err := host.WaitReady(); err != nil {
		return rig.Failed, err
	}
	inTouch := time.Now().Add(stability)
	r.Record.Writef("host", "host 2 is ready")
	time.Sleep(max(drainTime, stability) + time.Second)
	var stop atomic.Bool
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() { send(host.Front, caller, &stop) })
	}
	time.Sleep(10 * time.Second)
	stop.Store(true)
	group.Wait()
	late, total := 0, 0
	for _, t := range all {
		count := 0
		for _, run := range t.Runs() {
			total++
			if at, ok := confirmed[t.ID]; ok && run.At.After(at.Add(drainTime)) && run.At.After(inTouch) {
				count++
			}
		}
		if late += count; count > 0 {
			r.Record.Writef("check", "DRAIN: %d requests reached %s later than %s after the confirmation that it is draining", count, t.ID, drainTime)
		}
	}
	r.Record.Writef("check", "%d of %d requests reached targets that had been draining for longer than %s", late, total, drainTime)
	if total < 100 {
		return rig.Failed, fmt.Errorf("only %d requests ran", total)
	}
	if late > 0 {
		return rig.Broken, nil
	}
	return rig.Held, nil
}
