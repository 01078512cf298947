package conductor

import (
	"net/http"

	"github.com/alexedwards/flow"

	"magnoliahill.example/magnoliahill/internal/messenger/peerv1/peerv1connect"
)

// handler is what one listener serves.
type handler struct {
	address string
	handler http.Handler
}

// handlers returns what is served where. Listeners that share an address share
// their handler.
func (c *Conductor) handlers() []handler {
	paths := c.platform.Paths()
	ready := flow.New()
	ready.HandleFunc(paths.Ready, c.serveReady, http.MethodGet)
	lookup := flow.New()
	lookup.HandleFunc(paths.Lookup, c.serveLookup, http.MethodGet)
	lookup.HandleFunc(paths.Ready, c.serveReady, http.MethodGet)
	control := http.NewServeMux()
	control.Handle(peerv1connect.NewPeerServiceHandler(&peerService{conductor: c}))
	metrics := flow.New()
	metrics.HandleFunc("/metrics", c.serveMetrics, http.MethodGet)
	return []handler{
		{c.settings.Data, c.carrier},
		{c.settings.Ready, ready},
		{c.settings.Lookup, lookup},
		{c.settings.Control, control},
		{c.metrics, metrics},
	}
}

func (c *Conductor) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !c.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (c *Conductor) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	if err := c.recorder.WriteText(w); err != nil {
		return // the reader is gone
	}
	_ = c.recorder.Latency().WriteText(w) // the same
}
