package controller

import (
	"net"
	"net/http"
	"strconv"

	"github.com/alexedwards/flow"

	"magnoliahill.example/magnoliahill/internal/messenger/peerv1/peerv1connect"
)

// endpoint is the address of a listener, its handler and its share of the sockets.
type endpoint struct {
	address string
	handler http.Handler
	share   float64
}

// endpoints returns all listener addresses with their handlers. An empty address
// is not served. The look-up handler also serves the readiness path, so that one
// address can serve both.
func (c *Controller) endpoints() []endpoint {
	paths := c.platform.Paths()
	ready := flow.New()
	ready.HandleFunc(paths.Ready, c.serveReady, http.MethodGet)
	lookup := flow.New()
	lookup.HandleFunc(paths.Lookup, c.serveLookup, http.MethodGet)
	lookup.HandleFunc(paths.Ready, c.serveReady, http.MethodGet)
	control := http.NewServeMux()
	control.Handle(peerv1connect.NewPeerServiceHandler(&peerService{controller: c}))
	metrics := flow.New()
	metrics.HandleFunc("/metrics", c.serveMetrics, http.MethodGet)
	return []endpoint{
		{c.settings.DataAddress, c.pipeliner, callerShare},
		{c.settings.ReadinessAddress, ready, readinessShare},
		{c.settings.LookupAddress, lookup, lookupShare},
		{c.settings.ControlAddress, control, controlShare},
		{c.relayAddress(), http.HandlerFunc(c.dispatcher.ServeRelayed), relayedShare},
		{c.metricsAddress, metrics, metricsShare},
	}
}

// relayAddress returns the address at which other hosts relay requests to this one: the
// peer port, whose datagrams are gossip.
func (c *Controller) relayAddress() string {
	return net.JoinHostPort(c.settings.Address, strconv.Itoa(c.settings.PeerPort))
}

func (c *Controller) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !c.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (c *Controller) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if err := c.recorder.WriteText(w); err != nil {
		return // the client closed the connection
	}
	_ = c.recorder.Latency().WriteText(w) // fails only if the client closed the connection
}
