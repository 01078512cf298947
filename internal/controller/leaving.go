package controller

import (
	"slices"

	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/pkg/gossiper"
	"magnoliahill.example/magnoliahill/pkg/registrar"
)

const maxLeavingReports = 128 // in one gossip message, 4 bytes each

// runHash returns the number of a run of a backend server in gossip messages.
func runHash(i registrar.Instance) uint32 {
	return gossiper.NameHash(i.Run())
}

// updateLeaving logs backend servers that said since the last call that they leave, and
// updates their gauge.
func (l *loop) updateLeaving() {
	leaving := l.controller.placer.Leaving()
	for _, id := range leaving {
		if !slices.Contains(l.leaving, id) {
			klog.InfoS("backend server is leaving by its answers", "server", id)
		}
	}
	l.leaving = leaving
	l.controller.recorder.Scope().Gauge("backend_servers_leaving").Update(float64(len(leaving)))
}

// leavingRuns returns the numbers of the runs of backend servers that said in answers
// that they leave. Every host passes on what it knows, so that it reaches all zones.
func (l *loop) leavingRuns() []uint32 {
	leaving := l.controller.placer.Leaving()
	if len(leaving) == 0 {
		return nil
	}
	var runs []uint32
	for run, id := range l.serverRuns {
		if slices.Contains(leaving, id) {
			runs = append(runs, run)
		}
	}
	slices.Sort(runs)
	return runs[:min(len(runs), maxLeavingReports)]
}

// applyLeaving applies that backend servers told another host that they leave.
func (l *loop) applyLeaving(host string, runs []uint32) {
	var ids []string
	for _, run := range runs {
		if id, ok := l.serverRuns[run]; ok {
			ids = append(ids, id)
		}
	}
	if added := l.controller.placer.ApplyLeaving(ids); len(added) > 0 {
		klog.InfoS("another host reports leaving backend servers", "servers", added, "host", host)
	}
}
