package soak_test

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"magnoliahill.example/magnoliahill/platform"
)

// sendRequests sends requests until stopCallers is set and records their
// outcomes. It reuses connections for as long as they stay open.
func (s *soak) sendRequests(caller int) {
	rng := rand.New(rand.NewPCG(uint64(caller), 3))
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	paths := []string{"/read/", "/order/", "/keyed/"}
	for n := 0; !s.stopCallers.Load(); n++ {
		path := paths[rng.IntN(len(paths))]
		result := outcome{id: fmt.Sprintf("c%d-%d", caller, n), path: path, key: *s.key.Load()}
		s.send(client, s.hostProxies[rng.IntN(len(s.hostProxies))].address(), &result, rng.IntN(20))
		s.mu.Lock()
		s.outcomes = append(s.outcomes, result)
		s.mu.Unlock()
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

// send sends one request and stores the response in result.
func (s *soak) send(client *http.Client, address string, result *outcome, object int) {
	method := http.MethodPost // not GET, because net/http does not resend a POST
	req, err := http.NewRequest(method, "http://"+address+result.path, io.NopCloser(strings.NewReader("brooms")))
	if err != nil {
		s.t.Error(err)
		return
	}
	headers := platform.HeaderNames()
	req.Host = "shop"
	req.Header.Set(headers.RequestID, result.id)
	req.Header.Set(headers.Deadline, "1500")
	req.Header.Set(headers.Key, result.key)
	req.AddCookie(&http.Cookie{Name: headers.ObjectCookie, Value: fmt.Sprint(object)})
	result.at = time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	result.status, result.body = resp.StatusCode, string(body)
}

// waitUntil polls until a condition holds and reports a test error after 30 s.
func (s *soak) waitUntil(condition string, holds func() bool) {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	s.t.Errorf("timed out waiting until %s", condition)
}

// allReturn reports whether a request to every host gets a status.
func (s *soak) allReturn(path, key string, status int) bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	for i, host := range s.hostProxies {
		result := outcome{id: fmt.Sprint("probe-", i, "-", time.Now().UnixNano()), path: path, key: key}
		s.send(client, host.address(), &result, i)
		if result.status != status {
			return false
		}
	}
	return true
}

// checkRecovery checks that hosts apply changes of keys and registrations after all
// faults have ended, and that their logs show no panic or data race.
func (s *soak) checkRecovery() {
	s.waitUntil("all hosts serve requests again", func() bool { return s.allReturn("/read/", "", http.StatusOK) })
	oldKey := *s.key.Load()
	newKey := oldKey + "+"
	s.key.Store(&newKey)
	s.configure()
	s.waitUntil("the new key is accepted", func() bool { return s.allReturn("/keyed/", newKey, http.StatusOK) })
	s.waitUntil("the old key is rejected", func() bool { return s.allReturn("/keyed/", oldKey, http.StatusUnauthorized) })
	s.register(0, "draining")
	time.Sleep(drainTime)
	before := len(s.targets[0].Executions())
	time.Sleep(time.Second)
	if after := len(s.targets[0].Executions()); after != before {
		s.t.Errorf("a draining backend server received %d requests", after-before)
	}
	for _, h := range s.hosts {
		data, err := os.ReadFile(filepath.Join(s.dir, h.name+".log"))
		if err != nil || bytes.Contains(data, []byte("panic:")) || bytes.Contains(data, []byte("DATA RACE")) {
			s.t.Errorf("%s: log is unreadable or shows a panic or data race (read error: %v)", h.name, err)
		}
	}
}

// checkOutcomes compares the responses that callers received with the requests that
// backend servers executed.
func (s *soak) checkOutcomes() {
	headers := platform.HeaderNames()
	executions := map[string]int{}
	for _, server := range s.targets {
		for _, run := range server.Executions() {
			id := run.Header.Get(headers.RequestID)
			executions[id]++
			if run.Header.Get(headers.Key) != "" {
				s.t.Errorf("%s: a backend server received the key", id)
			}
			if tenant := run.Header.Get(headers.Workspace); strings.HasPrefix(run.Target, "/keyed/") != (tenant == "w") {
				s.t.Errorf("%s: %s was executed for workspace %q", id, run.Target, tenant)
			}
			wantBody := "brooms"
			if run.Method == http.MethodGet { // sent ahead
				wantBody = ""
			}
			if run.Body != wantBody {
				s.t.Errorf("%q: a backend server received %s %s with body %q", id, run.Method, run.Target, run.Body)
			}
		}
	}
	answered := 0
	for _, result := range s.outcomes {
		count := executions[result.id]
		if result.path != "/read/" && count > 1 {
			s.t.Errorf("%s %s was executed %d times", result.id, result.path, count)
		}
		switch result.status {
		case http.StatusOK:
			answered++
			if result.body != "answer to "+result.id {
				s.t.Errorf("%s received body %q", result.id, result.body)
			}
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if result.path != "/read/" && count > 0 {
				s.t.Errorf("%s %s received status %d but was executed", result.id, result.path, result.status)
			}
		case http.StatusNotFound:
			s.t.Errorf("%s %s received status 404 although the route exists", result.id, result.path)
		}
	}
	s.t.Logf("%d requests, %d answered with status 200, %d executed", len(s.outcomes), answered, len(executions))
	if answered*3 < len(s.outcomes) {
		s.t.Errorf("only %d of %d requests were answered with status 200", answered, len(s.outcomes))
	}
}
