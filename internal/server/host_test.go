package server_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"magnoliahill.example/magnoliahill/internal/loader"
	"magnoliahill.example/magnoliahill/internal/publisher"
	"magnoliahill.example/magnoliahill/internal/server"
	"magnoliahill.example/magnoliahill/internal/standin/platform"
	"magnoliahill.example/magnoliahill/internal/storer"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

const testKey = "secret-key-of-the-test"

// host is one running entry host with its platform and configuration.
type host struct {
	t           testing.TB
	server      *server.Server
	platform    *platform.Platform
	store       *storer.Client
	dataAddress string
	control     string // address
	done        chan error
}

// startHost runs a host in front of backend servers at the given addresses,
// which are added to the service's configuration.
func startHost(t testing.TB, service string, backends ...string) *host {
	return startHostWith(t, "idle-timeout: 1m", service, backends...)
}

// startHostWith is startHost with additional fields in the listen section of
// the settings.
func startHostWith(t testing.TB, listenFields, service string, backends ...string) *host {
	h := &host{t: t, platform: platform.New(), done: make(chan error, 1)}
	ps := httptest.NewServer(h.platform)
	t.Cleanup(ps.Close)
	h.store = storer.New(ps.URL)
	slots := 2
	if _, benchmark := t.(*testing.B); benchmark {
		slots = 1000
	}
	for i, address := range backends {
		service += fmt.Sprintf("\n  - {name: b%d, address: %q, zone: z, slots: %d}", i+1, address, slots)
	}
	h.publish(map[string]string{
		"topology.yaml": "kind: topology\nregions: [{name: r, zones: [z]}]",
		"orders.yaml":   "kind: service\nservice: orders\n" + service,
		"ledger.yaml":   "kind: service\nservice: ledger\nbackend-servers: [{address: \"127.0.0.1:1\", zone: z}]",
		"w.yaml":        "kind: workspace\nworkspace: w\nservices: [orders]\nrate: 1000000\nburst: 1000000",
		"keys.yaml":     "kind: keys\nkeys-of: w\nkeys: [{id: k, sha256: " + cataloger.HashKey(testKey).String() + "}]",
	})
	data, control := listen(t), listen(t)
	h.dataAddress, h.control = data.Addr().String(), control.Addr().String()
	settings, err := loader.Parse("h.yaml", []byte(fmt.Sprintf(`
host: {name: h, zone: z}
listen: {data: %q, control: %q, %s}
platform: {url: %q}
shares: {borrow: 0s, rebalance: 20ms}
membership: {heartbeat: 20ms, silence: 1s}
lookup: {ttl: 10ms}
stop: {quiet: 10ms}
`, h.dataAddress, control.Addr(), listenFields, ps.URL)))
	if err != nil {
		t.Fatal(err)
	}
	if h.server, err = server.New(settings, server.WithListeners(data, control)); err != nil {
		t.Fatal(err)
	}
	if err := h.server.Listen(); err != nil {
		t.Fatal(err)
	}
	go func() { h.done <- h.server.Run(context.Background()) }()
	t.Cleanup(h.server.Kill)
	h.awaitReady()
	return h
}

const backendServers = "backend-servers:"

// listen opens a listener and leaves it open: another process could take a port that
// was found free and closed again.
func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (h *host) publish(files map[string]string) {
	h.t.Helper()
	edits := map[string]func([]byte) ([]byte, error){}
	for name, text := range files {
		edits[name] = publisher.ReplaceWith([]byte(text))
	}
	_, err := publisher.New(h.store).Publish(context.Background(), publisher.Change{Author: "test", Edits: edits})
	if err != nil {
		h.t.Fatal(err)
	}
}

// awaitReady waits until the host can admit a request: it has its
// configuration, its share of the limits, and tokens in it.
func (h *host) awaitReady() {
	h.t.Helper()
	for !h.server.Ready() || h.server.AvailableUnits("rate/w") <= 100 {
		time.Sleep(time.Millisecond)
	}
}

// call sends a request to the service as a caller with the key.
func (h *host) call(method, path, body string) (*http.Response, error) {
	r, err := http.NewRequest(method, "http://"+h.dataAddress+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	r.Header.Set("Magnoliahill-Key", testKey)
	r.Header.Set("Magnoliahill-Service", "orders")
	return http.DefaultTransport.RoundTrip(r)
}
