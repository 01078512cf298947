package server_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"magnoliahill.example/magnoliahill/pkg/header"
)

// benchClient returns a client that keeps its connections open.
func benchClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxConnsPerHost: 64}}
}

// benchRequests measures requests to an address, sent in parallel.
func benchRequests(b *testing.B, address string, method, path string) {
	client := benchClient()
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r, err := http.NewRequest(method, "http://"+address+path, nil)
			if err != nil {
				b.Fatal(err)
			}
			r.Header.Set(header.Key, testKey)
			r.Header.Set(header.Service, "orders")
			resp, err := client.Do(r)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				b.Fatal(resp.Status, resp.Header)
			}
		}
	})
}

func writeSmallResponse(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, strings.Repeat("x", 256))
}

// BenchmarkPath compares the same load sent directly to a backend server,
// through a minimal copying proxy, and through an entry host.
func BenchmarkPath(b *testing.B) {
	backend := httptest.NewServer(http.HandlerFunc(writeSmallResponse))
	defer backend.Close()
	address := backend.Listener.Addr().String()

	b.Run("direct", func(b *testing.B) { benchRequests(b, address, http.MethodGet, "/stock") })

	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	loop := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := r.Clone(r.Context())
		out.URL.Scheme, out.URL.Host, out.RequestURI = "http", address, ""
		resp, err := transport.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	}))
	defer loop.Close()
	b.Run("copy loop", func(b *testing.B) { benchRequests(b, loop.Listener.Addr().String(), http.MethodGet, "/stock") })

	h := startHost(b, backendServers, address)
	b.Run("entry host", func(b *testing.B) { benchRequests(b, h.dataAddress, http.MethodGet, "/stock") })
}

// BenchmarkLookup compares a look-up with an empty handler.
func BenchmarkLookup(b *testing.B) {
	empty := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer empty.Close()
	b.Run("empty handler", func(b *testing.B) { benchRequests(b, empty.Listener.Addr().String(), http.MethodGet, "/") })
	backend := httptest.NewServer(http.HandlerFunc(writeSmallResponse))
	defer backend.Close()
	h := startHost(b, backendServers, backend.Listener.Addr().String())
	b.Run("look-up", func(b *testing.B) {
		benchRequests(b, h.dataAddress, http.MethodGet, "/.well-known/magnoliahill/hosts?zone=z&workspace=w")
	})
}
