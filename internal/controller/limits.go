package controller

import (
	"time"

	"k8s.io/klog/v2"
)

// updateLimited logs backend servers that named, changed or ended a request limit
// since the last call, and updates their gauge.
func (l *loop) updateLimited(now time.Duration) {
	limited := map[string]float64{}
	for id, report := range l.controller.placer.Limits(now) {
		if report.Limited {
			limited[id] = report.PerSecond
		}
		if before, known := l.limited[id]; report.Limited && (!known || before != report.PerSecond) {
			klog.InfoS("backend server request limit changed", "server", id,
				"perSecond", report.PerSecond, "before", before, "age", report.Age)
		}
	}
	for id, before := range l.limited {
		if _, ok := limited[id]; !ok {
			klog.InfoS("backend server request limit ended", "server", id, "before", before)
		}
	}
	l.limited = limited
	l.controller.recorder.Scope().Gauge("backend_servers_limited").Update(float64(len(limited)))
}
