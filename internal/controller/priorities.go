package controller

import (
	"time"

	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/pkg/gossiper"
	"magnoliahill.example/magnoliahill/pkg/prioritizer"
)

// priorityChange is what was last logged of a service's giving way to urgent requests.
type priorityChange struct {
	givesWay bool
	loggedAt time.Duration
}

// priorityReports returns what other hosts counted by priority, by service. It returns
// nil before the first configuration.
func (l *loop) priorityReports(now time.Duration) map[string][]prioritizer.Report {
	if l.config.catalog == nil {
		return nil
	}
	byNumber := l.gossiper.PriorityReports(now)
	all := make(map[string][]prioritizer.Report, len(byNumber))
	for _, service := range l.config.catalog.Services() {
		if reports := byNumber[gossiper.NameHash(service.Name())]; len(reports) > 0 {
			all[service.Name()] = reports
		}
	}
	return all
}

// updatePriorities updates the metrics of services with several priorities in demand, and
// logs services whose less urgent requests begin or cease to give way.
func (l *loop) updatePriorities(now time.Duration) {
	states := l.controller.placer.TakePriorities(now)
	for service, last := range l.priorityChanges {
		if _, ok := states[service]; !ok && last.givesWay {
			states[service] = prioritizer.State{} // one priority is left
		}
	}
	for service, s := range states {
		scope := l.controller.recorder.Scope().Tagged(map[string]string{"service": service})
		scope.Gauge("priority_margin").Update(s.Margin)
		scope.Gauge("priority_relief").Update(s.Relief)
		scope.Gauge("urgent_refused_share").Update(s.UrgentRefused)
		scope.Counter("requests_yielded").Inc(int64(s.Yielded))
		last, logged := l.priorityChanges[service]
		if s.GivesWay == last.givesWay || logged && now-last.loggedAt < loadLogInterval {
			continue
		}
		l.priorityChanges[service] = priorityChange{givesWay: s.GivesWay, loggedAt: now}
		klog.InfoS("less urgent requests give way", "service", service, "givesWay", s.GivesWay, "priority", s.Urgent,
			"asked", s.UrgentAsked, "refusedShare", s.UrgentRefused, "lessUrgentServed", s.LessUrgentServed,
			"margin", s.Margin, "relief", s.Relief, "newsAge", s.NewsAge)
	}
}
