package soak_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"magnoliahill.example/magnoliahill/platform"
)

const (
	aheadCallers = 2
	mostAhead    = 6                      // requests sent on a connection before the first response is read
	slowestRead  = 200 * time.Millisecond // pause of a slow caller between responses
)

// sendAhead sends several requests on one connection at a time, before it reads the
// first response, and reads some of the responses slowly.
func (s *soak) sendAhead(caller int) {
	rng := rand.New(rand.NewPCG(uint64(caller), 5))
	for n := 0; !s.stopCallers.Load(); n++ {
		results := make([]outcome, 2+rng.IntN(mostAhead-1))
		for i := range results {
			results[i] = outcome{id: fmt.Sprintf("a%d-%d-%d", caller, n, i), path: "/read/", at: time.Now()}
		}
		s.exchangeAhead(rng, s.hostProxies[rng.IntN(len(s.hostProxies))].address(), results)
		s.mu.Lock()
		s.outcomes = append(s.outcomes, results...)
		s.mu.Unlock()
		time.Sleep(time.Duration(rng.IntN(50)) * time.Millisecond)
	}
}

// exchangeAhead writes the requests at once and stores the responses in results.
// Results whose response is missing keep status 0.
func (s *soak) exchangeAhead(rng *rand.Rand, address string, results []outcome) {
	conn, err := net.DialTimeout("tcp", address, callTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(callTimeout))
	headers := platform.HeaderNames()
	requests := &bytes.Buffer{}
	sent := make([]*http.Request, 0, len(results))
	for _, result := range results {
		req, err := http.NewRequest(http.MethodGet, "http://"+address+result.path, nil)
		s.must(err)
		req.Host = "shop"
		req.Header.Set(headers.RequestID, result.id)
		req.Header.Set(headers.Deadline, "1500")
		s.must(req.Write(requests))
		sent = append(sent, req)
	}
	if _, err := conn.Write(requests.Bytes()); err != nil {
		return
	}
	reader := bufio.NewReader(conn)
	for i, req := range sent {
		if rng.IntN(4) == 0 {
			time.Sleep(time.Duration(rng.Int64N(int64(slowestRead))))
		}
		resp, err := http.ReadResponse(reader, req)
		if err != nil {
			return
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return
		}
		results[i].status, results[i].body = resp.StatusCode, string(body)
		if resp.Close {
			return
		}
	}
}
