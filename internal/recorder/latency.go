package recorder

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minLatencyMicros  = int64(1)
	maxLatencyMicros  = int64(60_000_000)
	significantDigits = 2
)

// Outcome counts the requests of one workspace to one service by outcome.
type Outcome struct {
	Answered     int64
	OverRate     int64 // refused because the workspace was over its rate
	RefusedOther int64 // refused for any other reason, and not executed
	Unknown      int64 // it is not known whether the request was executed
}

// Key is the service and workspace that latency is recorded for.
type Key struct {
	Service   string
	Workspace string
}

type series struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram // microseconds
	outcome   Outcome
}

// Latency records latency and outcomes by service and workspace. Histograms of
// several hosts can be merged.
type Latency struct {
	mu     sync.RWMutex
	series map[Key]*series
}

// NewLatency returns an empty record.
func NewLatency() *Latency { return &Latency{series: map[Key]*series{}} }

func (l *Latency) seriesFor(key Key) *series {
	l.mu.RLock()
	s := l.series[key]
	l.mu.RUnlock()
	if s != nil {
		return s
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s = l.series[key]; s == nil {
		s = &series{histogram: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)}
		l.series[key] = s
	}
	return s
}

// Answered records the latency of an answered request, clamped to the range of the
// histogram.
func (l *Latency) Answered(key Key, took time.Duration) {
	s := l.seriesFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcome.Answered++
	_ = s.histogram.RecordValue(min(max(took.Microseconds(), minLatencyMicros), maxLatencyMicros))
}

// NotAnswered records a request that was not answered: unknown takes precedence
// over overRate, and a request with neither counts as refused for another reason.
func (l *Latency) NotAnswered(key Key, overRate, unknown bool) {
	s := l.seriesFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case unknown:
		s.outcome.Unknown++
	case overRate:
		s.outcome.OverRate++
	default:
		s.outcome.RefusedOther++
	}
}

// Summary holds the outcomes and latency of one workspace's requests to one
// service.
type Summary struct {
	Key
	Outcome
	P50, P99, Max time.Duration
	Encoded       []byte // histogram in the compressed HdrHistogram V2 format; nil when it could not be encoded
}

// Summaries returns a summary for each service and workspace, in that order.
func (l *Latency) Summaries() []Summary {
	l.mu.RLock()
	keys := make([]Key, 0, len(l.series))
	for key := range l.series {
		keys = append(keys, key)
	}
	l.mu.RUnlock()
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].Service != keys[j].Service {
			return keys[i].Service < keys[j].Service
		}
		return keys[i].Workspace < keys[j].Workspace
	})
	summaries := make([]Summary, 0, len(keys))
	for _, key := range keys {
		s := l.seriesFor(key)
		s.mu.Lock()
		encoded, err := s.histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			encoded = nil
		}
		summary := summarize(key, s.outcome, s.histogram)
		s.mu.Unlock()
		summary.Encoded = encoded
		summaries = append(summaries, summary)
	}
	return summaries
}

func summarize(key Key, outcome Outcome, h *hdrhistogram.Histogram) Summary {
	return Summary{
		Key:     key,
		Outcome: outcome,
		P50:     time.Duration(h.ValueAtQuantile(50)) * time.Microsecond,
		P99:     time.Duration(h.ValueAtQuantile(99)) * time.Microsecond,
		Max:     time.Duration(h.Max()) * time.Microsecond,
	}
}

// Merge combines the summaries of several hosts by service and workspace. The
// results have no encoded histogram.
func Merge(summaries []Summary) ([]Summary, error) {
	histograms := map[Key]*hdrhistogram.Histogram{}
	outcomes := map[Key]Outcome{}
	var keys []Key
	for _, summary := range summaries {
		h, err := hdrhistogram.Decode(summary.Encoded)
		if err != nil {
			return nil, err
		}
		if histogram := histograms[summary.Key]; histogram != nil {
			histogram.Merge(h)
		} else {
			histograms[summary.Key] = h
			keys = append(keys, summary.Key)
		}
		sum := outcomes[summary.Key]
		sum.Answered += summary.Answered
		sum.OverRate += summary.OverRate
		sum.RefusedOther += summary.RefusedOther
		sum.Unknown += summary.Unknown
		outcomes[summary.Key] = sum
	}
	merged := make([]Summary, 0, len(keys))
	for _, key := range keys {
		merged = append(merged, summarize(key, outcomes[key], histograms[key]))
	}
	return merged, nil
}

// WriteText writes the counts of outcomes and the quantiles and maxima of latency,
// one per line, in the text format that metric collectors read.
func (l *Latency) WriteText(w io.Writer) error {
	for _, s := range l.Summaries() {
		labels := fmt.Sprintf("{service=%q,workspace=%q", s.Service, s.Workspace)
		_, err := fmt.Fprintf(w, "magnoliahill_latency_seconds%s,quantile=\"0.5\"} %g\n"+
			"magnoliahill_latency_seconds%s,quantile=\"0.99\"} %g\n"+
			"magnoliahill_latency_seconds%s,quantile=\"1\"} %g\n"+
			"magnoliahill_answered_total%s} %d\nmagnoliahill_over_rate_total%s} %d\n"+
			"magnoliahill_not_run_total%s} %d\nmagnoliahill_unknown_total%s} %d\n",
			labels, s.P50.Seconds(), labels, s.P99.Seconds(), labels, s.Max.Seconds(),
			labels, s.Answered, labels, s.OverRate, labels, s.RefusedOther, labels, s.Unknown)
		if err != nil {
			return err
		}
	}
	return nil
}
