package controller

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/pkg/placer"
)

const (
	loadLogInterval  = 10 * time.Second // shortest time between lines about one service, and between lines about slots
	maxMismatchesLog = 5                // backend servers named in a line
)

// roomChange is what was last logged of a service's room for cold runs.
type roomChange struct {
	hasRoom  bool
	loggedAt time.Duration
}

// updateServiceLoads updates the metrics of the average loads by which servers are
// chosen, and logs services that have room for cold runs no more, or again.
func (l *loop) updateServiceLoads(now time.Duration) {
	l.controller.recorder.Scope().Counter("requests_held_in_region").Inc(int64(l.controller.placer.TakeHeldBack()))
	for _, s := range l.controller.placer.TakeServiceLoads() {
		scope := l.controller.recorder.Scope().Tagged(map[string]string{"service": s.Service})
		scope.Gauge("service_utilization").Update(s.Utilization)
		scope.Counter("requests_declined").Inc(int64(s.Declined))
		scope.Counter("cold_runs_avoided").Inc(int64(s.ColdAvoided))
		scope.Counter("idle_server_runs").Inc(int64(s.IdleRuns))
		last, logged := l.serviceRooms[s.Service]
		if s.HasRoom == (last.hasRoom || !logged) || logged && now-last.loggedAt < loadLogInterval {
			continue
		}
		l.serviceRooms[s.Service] = roomChange{hasRoom: s.HasRoom, loggedAt: now}
		klog.InfoS("room for cold runs changed", "service", s.Service, "room", s.HasRoom, "utilization", s.Utilization)
	}
}

// updateSlotMismatches logs the backend servers that report other slots than they are
// registered with, when these change.
func (l *loop) updateSlotMismatches(now time.Duration, all []placer.Summary) {
	var found []string
	for _, s := range all {
		if s.ReportedSlots > 0 && s.ReportedSlots != s.Slots {
			found = append(found, fmt.Sprintf("%s:%d/%d", s.ID, s.ReportedSlots, s.Slots))
		}
	}
	slices.Sort(found)
	text := strings.Join(found, " ")
	if text == l.slotMismatches || l.mismatchesLoggedAt > 0 && now-l.mismatchesLoggedAt < loadLogInterval {
		return
	}
	l.slotMismatches, l.mismatchesLoggedAt = text, now
	klog.InfoS("backend servers report other slots than registered", "servers", len(found),
		"reportedOfRegistered", found[:min(len(found), maxMismatchesLog)])
}
