package placer

import (
	"time"
)

const (
	overdueRatio        = 2.0 // multiple of the expected time from which an attempt counts before it ends
	maxColdRatio        = 1.5 // longest cold run, as a multiple of the mean cold run
	impairedSlowness    = 1.3 // slowness above which a server is reported to other zones
	impairedFailureRate = 0.1 // share of failures above which a server is reported to other zones
	maxReportSamples    = 16  // attempts counted per report; more change an average over four of them little
)

// HealthReport holds the outcomes and the latency of recent attempts
// at a backend server.
type HealthReport struct {
	Attempts int
	Failed   int
	Slowness float64 // mean time taken, as a multiple of the expected time; 0 if no attempt was measured
	Impaired bool    // the reporting host considers the server slow or failing
}

// Add returns a health report that covers the attempts of both.
func (r HealthReport) Add(other HealthReport) HealthReport {
	sum := HealthReport{Attempts: r.Attempts + other.Attempts, Failed: r.Failed + other.Failed, Impaired: r.Impaired || other.Impaired}
	if sum.Attempts > 0 {
		sum.Slowness = (r.Slowness*float64(r.Attempts) + other.Slowness*float64(other.Attempts)) / float64(sum.Attempts)
	}
	return sum
}

// openAttempt is an attempt that has not ended.
type openAttempt struct {
	pick     Pick
	dueRatio float64 // multiple of the expected time at which it next counts as slow
}

// TakeHealthReports returns, by backend server, the health reports of the
// attempts of this host since the last call. Attempts that are overdue are
// included.
func (p *Placer) TakeHealthReports(now time.Duration) map[string]HealthReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]HealthReport{}
	for _, s := range p.list {
		s.observeOverdue(now)
		if s.pendingReport.Attempts == 0 {
			continue
		}
		s.pendingReport.Impaired = s.slowness(now) > impairedSlowness || s.failureRate(now) > impairedFailureRate
		all[s.ID()] = s.pendingReport
		s.pendingReport = HealthReport{}
	}
	return all
}

// ApplyHealthReports applies the health reports of other hosts. Unknown backend
// servers are ignored.
func (p *Placer) ApplyHealthReports(now time.Duration, all map[string]HealthReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, report := range all {
		if s := p.servers[id]; s != nil {
			s.applyReport(now, report)
		}
	}
}

// applyReport updates the averages as if the attempts had been observed one by
// one, counting at most maxReportSamples.
func (s *server) applyReport(now time.Duration, report HealthReport) {
	for i := range min(report.Attempts, maxReportSamples) {
		s.observeSlowness(now, report.Slowness)
		failed := 0.0
		if i < report.Failed {
			failed = 1
		}
		s.observeFailure(now, failed)
	}
}

// observeOverdue records attempts that have already taken too long: the
// answers of a slow server come late, and those of an unresponsive one never.
func (s *server) observeOverdue(now time.Duration) {
	for i := range s.openAttempts {
		attempt := &s.openAttempts[i]
		if ratio := attempt.pick.timeRatio(now); ratio >= attempt.dueRatio {
			attempt.dueRatio = 2 * ratio
			s.observeSlowness(now, ratio)
			s.pendingReport = s.pendingReport.Add(HealthReport{Attempts: 1, Slowness: ratio})
		}
	}
}

// timeRatio returns how long the attempt has taken, as a multiple of the
// expected time. A server that this host did not see handle the object is
// assumed to run it cold. At the head of the order, where other hosts may have
// made the server warm, this holds only as long as a cold run explains the
// time taken.
func (p Pick) timeRatio(now time.Duration) float64 {
	took := now - p.began
	cold := p.runTimes.expected(false) + p.wait
	warm := p.runTimes.expected(true) + p.wait
	if warm <= 0 {
		return 1
	}
	expected := warm
	if !p.knownWarm && (p.rank >= warmCopies || float64(took) <= maxColdRatio*float64(cold)) {
		expected = cold
	}
	return min(max(float64(took)/float64(expected), 1/maxSlowness), maxSlowness)
}

// observeSlowness adds the time ratio of one attempt to the average.
func (s *server) observeSlowness(now time.Duration, ratio float64) {
	s.slownessAvg = s.slowness(now)
	s.slownessAvg = max(1, s.slownessAvg+sampleWeight*(ratio-s.slownessAvg))
	s.slownessAt = now
}
