package demonstrator

import (
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

var errCut = errors.New("link between availability zones is cut")

// links is the network between availability zones: delays and cuts.
type links struct {
	layout Layout
	mu     sync.RWMutex
	zones  map[string]string // address to zone
	alone  map[string]bool   // zones that are cut off from all others
}

func newLinks(layout Layout) *links {
	return &links{layout: layout, zones: map[string]string{}, alone: map[string]bool{}}
}

// place says in which zone an address stands.
func (l *links) place(address, zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.zones[address] = zone
}

// cutOff cuts a zone off from all others and the platform, or heals it.
func (l *links) cutOff(zone string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.alone[zone] = cut
}

// isCut reports whether a zone cannot reach an address.
func (l *links) isCut(from, address string) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	to := l.zones[address]
	return from != to && (l.alone[from] || l.alone[to])
}

func (l *links) delay(from, address string) time.Duration {
	l.mu.RLock()
	to := l.zones[address]
	l.mu.RUnlock()
	switch {
	case from == to || to == "":
		return 0
	case l.layout.regionOf(from) == l.layout.regionOf(to):
		return l.layout.zoneLatency
	default:
		return l.layout.linkLatency
	}
}

// around returns a transport as a zone sees it.
func (l *links) around(from string) func(http.RoundTripper) http.RoundTripper {
	return func(next http.RoundTripper) http.RoundTripper {
		return &linkTransport{links: l, from: from, next: next}
	}
}

type linkTransport struct {
	links *links
	from  string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *linkTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	address := req.URL.Host
	if t.links.isCut(t.from, address) {
		return nil, errCut
	}
	if d := t.links.delay(t.from, address); d > 0 {
		time.Sleep(2 * d)
	}
	return t.next.RoundTrip(req)
}
