package controller

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/pkg/gossiper"
	"magnoliahill.example/magnoliahill/pkg/placer"
)

const maxLimitReports = 64 // in one gossip message, 20 bytes each

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

// limitReports returns the latest statements about request limits, of this host and of
// others, by the number of the backend server. Every host passes them on, so that they
// reach all zones.
func (l *loop) limitReports(now time.Duration) map[uint32]placer.LimitReport {
	all := l.controller.placer.Limits(now)
	ids := make([]string, 0, len(all))
	for id := range all {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int { return int(all[a].Age - all[b].Age) })
	reports := make(map[uint32]placer.LimitReport, len(ids))
	for _, id := range ids[:min(len(ids), maxLimitReports)] {
		reports[gossiper.NameHash(id)] = all[id]
	}
	return reports
}

// applyLimitReports applies the statements about request limits that another host sent.
func (l *loop) applyLimitReports(now time.Duration, reports map[uint32]placer.LimitReport) {
	if len(reports) == 0 {
		return
	}
	byServer := make(map[string]placer.LimitReport, len(reports))
	for number, report := range reports {
		if id, ok := l.serverIDs[number]; ok {
			byServer[id] = report
		}
	}
	l.controller.placer.ApplyLimits(now, byServer)
}
