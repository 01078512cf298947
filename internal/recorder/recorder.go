// Package recorder records the metrics of one process for operators: counters and
// gauges, latency by workspace, and a time line of events.
package recorder

import (
	"io"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const reportInterval = time.Second

// Recorder holds the metrics of one process.
type Recorder struct {
	scope    tally.Scope
	closer   io.Closer
	reporter *memoryReporter
	latency  *Latency
	timeLine *TimeLine
}

// New returns a recorder that uses a time line. It must be closed.
func New(timeLine *TimeLine) *Recorder {
	reporter := &memoryReporter{values: map[string]float64{}}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "magnoliahill",
		Separator:              "_",
		Reporter:               reporter,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Recorder{
		scope: scope, closer: closer, reporter: reporter,
		latency: NewLatency(), timeLine: timeLine,
	}
}

// Close stops the periodic collection of counters and gauges.
func (r *Recorder) Close() { _ = r.closer.Close() }

// Scope returns the scope that counters and gauges are created in.
func (r *Recorder) Scope() tally.Scope { return r.scope }

// Latency returns the record of latency and outcomes.
func (r *Recorder) Latency() *Latency { return r.latency }

// TimeLine returns the time line of the process's events.
func (r *Recorder) TimeLine() *TimeLine { return r.timeLine }

// WriteText writes all counters and gauges, one per line, in the text format that
// metric collectors read.
func (r *Recorder) WriteText(w io.Writer) error { return r.reporter.writeText(w) }

// memoryReporter stores the latest value of every counter and gauge in memory.
// Latency is recorded in HDR histograms, so timers and tally's histograms are
// ignored.
type memoryReporter struct {
	mu     sync.Mutex
	values map[string]float64
}

// Capabilities implements tally.StatsReporter.
func (m *memoryReporter) Capabilities() tally.Capabilities { return m }

// Reporting implements tally.Capabilities.
func (m *memoryReporter) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (m *memoryReporter) Tagging() bool { return true }

// Flush implements tally.StatsReporter.
func (m *memoryReporter) Flush() {}

// ReportCounter implements tally.StatsReporter.
func (m *memoryReporter) ReportCounter(name string, tags map[string]string, value int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values[metricName(name, tags)] += float64(value)
}

// ReportGauge implements tally.StatsReporter.
func (m *memoryReporter) ReportGauge(name string, tags map[string]string, value float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values[metricName(name, tags)] = value
}

// ReportTimer implements tally.StatsReporter.
func (m *memoryReporter) ReportTimer(string, map[string]string, time.Duration) {}

// ReportHistogramValueSamples implements tally.StatsReporter.
func (m *memoryReporter) ReportHistogramValueSamples(string, map[string]string, tally.Buckets, float64, float64, int64) {
}

// ReportHistogramDurationSamples implements tally.StatsReporter.
func (m *memoryReporter) ReportHistogramDurationSamples(string, map[string]string, tally.Buckets, time.Duration, time.Duration, int64) {
}

func (m *memoryReporter) writeText(w io.Writer) error {
	m.mu.Lock()
	lines := make([]string, 0, len(m.values))
	for name, value := range m.values {
		lines = append(lines, name+" "+strconv.FormatFloat(value, 'g', -1, 64)+"\n")
	}
	m.mu.Unlock()
	sort.Strings(lines)
	_, err := io.WriteString(w, strings.Join(lines, ""))
	return err
}

func metricName(name string, tags map[string]string) string {
	if len(tags) == 0 {
		return name
	}
	pairs := make([]string, 0, len(tags))
	for tag, value := range tags {
		pairs = append(pairs, tag+"="+strconv.Quote(value))
	}
	sort.Strings(pairs)
	return name + "{" + strings.Join(pairs, ",") + "}"
}
