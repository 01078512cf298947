package controller

import (
	"time"

	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/pkg/placer"
)

const (
	// From either value on, a backend server counts as impaired.
	impairedSlowness     = 2.0 // multiple of the expected time; random variation stays below
	impairedFailureShare = 0.3 // of recent attempts; two failures in a row reach it
)

// updateImpaired logs backend servers that became impaired or recovered, and
// updates the gauges of backend servers and connections.
func (l *loop) updateImpaired(now time.Duration) {
	all := l.controller.placer.Summaries(now)
	impaired := make(map[string]bool, len(l.impaired))
	for _, s := range all {
		if isImpaired(s) {
			impaired[s.ID] = true
		}
		if impaired[s.ID] != l.impaired[s.ID] {
			klog.InfoS("backend server health changed", "server", s.ID, "impaired", impaired[s.ID], "ejected", s.Ejected,
				"slowness", s.Slowness, "failing", s.FailureRate, "load", s.Load)
		}
	}
	l.impaired = impaired
	scope := l.controller.recorder.Scope()
	scope.Gauge("request_body_bytes").Update(float64(l.controller.dispatcher.BodyBytes()))
	scope.Gauge("response_body_bytes").Update(float64(l.controller.dispatcher.ResponseBytes()))
	scope.Gauge("request_ahead_bytes").Update(float64(l.controller.pipeliner.HeldBytes()))
	scope.Gauge("backend_servers").Update(float64(len(all)))
	scope.Gauge("backend_servers_impaired").Update(float64(len(impaired)))
	for kind, cache := range l.caches {
		scope.Tagged(map[string]string{"kind": kind}).Gauge("store_revision").Update(float64(cache.position.Revision()))
	}
	l.updateServiceLoads(now)
	l.updatePriorities(now)
	l.updateSlotMismatches(now, all)
	for cause, count := range l.controller.roundTripper.DialCounts() {
		scope.Tagged(map[string]string{"cause": cause}).Gauge("backend_connections_opened").Update(float64(count))
	}
}

func isImpaired(s placer.Summary) bool {
	return s.Ejected || s.Slowness >= impairedSlowness || s.FailureRate >= impairedFailureShare
}
