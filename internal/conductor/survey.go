package conductor

import (
	"time"

	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/pkg/placer"
)

const (
	tellSlow    = 2.0 // slowness from which a backend server is said to be impaired; chance alone stays below
	tellFailing = 0.3 // the same for the share of failures: two in a row
)

// survey says which backend servers the host has come to believe impaired, and
// which no longer.
func (l *loop) survey(now time.Duration) {
	all := l.conductor.placer.Summaries(now)
	impaired := make(map[string]bool, len(l.impaired))
	for _, s := range all {
		if isImpaired(s) {
			impaired[s.ID] = true
		}
		if impaired[s.ID] != l.impaired[s.ID] {
			klog.InfoS("backend server believed", "server", s.ID, "impaired", impaired[s.ID], "ejected", s.Ejected,
				"slowness", s.Slowness, "failing", s.Failures, "load", s.Load)
		}
	}
	l.impaired = impaired
	scope := l.conductor.recorder.Scope()
	scope.Gauge("backend_servers").Update(float64(len(all)))
	scope.Gauge("backend_servers_impaired").Update(float64(len(impaired)))
	scope.Gauge("backend_connections_opened").Update(float64(l.conductor.exchanger.Dials()))
}

func isImpaired(s placer.Summary) bool {
	return s.Ejected || s.Slowness >= tellSlow || s.Failures >= tellFailing
}
