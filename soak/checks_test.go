package soak_test

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"magnoliahill.example/magnoliahill/platform"
)

func (s *soak) await(what string, holds func() bool) {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	s.t.Errorf("never came true: %s", what)
}

// all reports whether every host answers with a status.
func (s *soak) all(path, key string, status int) bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patient}
	for i, front := range s.fronts {
		one := outcome{id: fmt.Sprint("probe-", i, "-", time.Now().UnixNano()), path: path, key: key}
		s.send(client, front.address(), &one, i)
		if one.status != status {
			return false
		}
	}
	return true
}

// checkCalm checks what must hold once all faults are over.
func (s *soak) checkCalm() {
	s.await("all hosts serve again", func() bool { return s.all("/read/", "", http.StatusOK) })
	old := *s.key.Load()
	next := old + "+"
	s.key.Store(&next)
	s.configure()
	s.await("the new key is in force", func() bool { return s.all("/keyed/", next, http.StatusOK) })
	s.await("the old key is withdrawn", func() bool { return s.all("/keyed/", old, http.StatusUnauthorized) })
	s.register(0, "draining")
	time.Sleep(drained)
	before := len(s.targets[0].Runs())
	time.Sleep(time.Second)
	if after := len(s.targets[0].Runs()); after != before {
		s.t.Errorf("a leaving backend server got %d requests", after-before)
	}
	for _, h := range s.hosts {
		data, err := os.ReadFile(filepath.Join(s.dir, h.name+".log"))
		if err != nil || bytes.Contains(data, []byte("panic:")) || bytes.Contains(data, []byte("DATA RACE")) {
			s.t.Errorf("%s: a panic or race stands in its log (%v)", h.name, err)
		}
	}
}

// checkOutcomes compares what callers were told with what ran.
func (s *soak) checkOutcomes() {
	words := platform.Vocabulary()
	runs := map[string]int{}
	for _, one := range s.targets {
		for _, run := range one.Runs() {
			id := run.Header.Get(words.RequestID)
			runs[id]++
			if run.Header.Get(words.Key) != "" {
				s.t.Errorf("%s: a backend server saw the key", id)
			}
			if tenant := run.Header.Get(words.Workspace); strings.HasPrefix(run.Target, "/keyed/") != (tenant == "w") {
				s.t.Errorf("%s: %s ran for workspace %q", id, run.Target, tenant)
			}
			if run.Body != "brooms" {
				s.t.Errorf("%q: a backend server got %s %s with the body %q", id, run.Method, run.Target, run.Body)
			}
		}
	}
	answered := 0
	for _, one := range s.outcomes {
		ran := runs[one.id]
		if one.path != "/read/" && ran > 1 {
			s.t.Errorf("%s %s ran %d times", one.id, one.path, ran)
		}
		switch one.status {
		case http.StatusOK:
			answered++
			if one.body != "answer to "+one.id {
				s.t.Errorf("%s got %q", one.id, one.body)
			}
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if one.path != "/read/" && ran > 0 {
				s.t.Errorf("%s %s was told %d and ran", one.id, one.path, one.status)
			}
		case http.StatusNotFound:
			s.t.Errorf("%s %s was told that there is no such route", one.id, one.path)
		}
	}
	s.t.Logf("%d requests, %d answered, %d runs", len(s.outcomes), answered, len(runs))
	if answered*3 < len(s.outcomes) {
		s.t.Errorf("only %d of %d requests were answered", answered, len(s.outcomes))
	}
}
