package demonstrator

import (
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

var errLinkCut = errors.New("link between availability zones is cut")

// links simulates the network between availability zones, with latencies and
// partitions.
type links struct {
	layout   Layout
	mu       sync.RWMutex
	zones    map[string]string // zone by address
	isolated map[string]bool   // zones that are cut off from all others
}

func newLinks(layout Layout) *links {
	return &links{layout: layout, zones: map[string]string{}, isolated: map[string]bool{}}
}

// setZone sets the zone of an address.
func (l *links) setZone(address, zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.zones[address] = zone
}

// setIsolated cuts a zone off from all other zones and the platform, or reconnects
// it.
func (l *links) setIsolated(zone string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isolated[zone] = cut
}

// isCut reports whether a zone cannot reach an address.
func (l *links) isCut(from, address string) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	to := l.zones[address]
	return from != to && (l.isolated[from] || l.isolated[to])
}

// delay returns the one-way latency from a zone to an address.
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

// wrapTransport returns a function that adds the latencies and partitions of a
// zone to a transport.
func (l *links) wrapTransport(from string) func(http.RoundTripper) http.RoundTripper {
	return func(next http.RoundTripper) http.RoundTripper {
		return &linkTransport{links: l, from: from, next: next}
	}
}

// linkTransport is a transport with the latencies and partitions of one zone.
type linkTransport struct {
	links *links
	from  string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *linkTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	address := req.URL.Host
	if t.links.isCut(t.from, address) {
		return nil, errLinkCut
	}
	if d := t.links.delay(t.from, address); d > 0 {
		time.Sleep(2 * d)
	}
	return t.next.RoundTrip(req)
}
