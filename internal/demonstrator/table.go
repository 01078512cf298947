package demonstrator

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"magnoliahill.example/magnoliahill/pkg/limiter"
)

// Row holds the measurements of one scene: latency, refusals for lack of
// capacity, the worst-served workspace, and requests refused although their
// workspace was within its rate. The drain time is in the note of its scene.
type Row struct {
	Scene       string
	Sent        int
	Answered    int
	P50, P99    time.Duration
	WorstName   string
	WorstServed float64 // share of the requests sent that were answered, for the worst workspace
	OverRate    int     // over-rate refusals, except those of the workspace that exceeds its rate
	Unavoidable int     // over-rate refusals that a single bucket for the whole fleet would make as well
	NoRoom      int     // refused without being executed, for any other reason
	Unknown     int     // may or may not have been executed
	Failed      int     // neither answered nor refused
}

// row returns the measurements of one scene.
func (d *demo) row(scene int, name string) Row {
	r := Row{Scene: name, WorstServed: 1}
	var latencies []time.Duration
	sent, answered := map[string]int{}, map[string]int{}
	refused := map[string]int{}
	for _, o := range d.traffic.outcomes {
		if o.scene != scene {
			continue
		}
		r.Sent++
		sent[o.workspace]++
		switch {
		case o.answered:
			r.Answered++
			answered[o.workspace]++
			latencies = append(latencies, o.latency)
		case o.overRate:
			refused[o.workspace]++
		case o.unknown:
			r.Unknown++
		case o.reason != "":
			r.NoRoom++
		default:
			r.Failed++
		}
	}
	r.P50, r.P99 = quantile(latencies, 0.50), quantile(latencies, 0.99)
	overloaded := ""
	if name == "tenant at 5 times its rate" {
		overloaded = d.fleet.layout.workspaces[0].name
	}
	for _, w := range d.fleet.layout.workspaces {
		if w.name == overloaded || sent[w.name] == 0 {
			continue
		}
		r.OverRate += refused[w.name]
		r.Unavoidable += d.unavoidable(w, scene)
		served := float64(answered[w.name]) / float64(sent[w.name])
		if served < r.WorstServed {
			r.WorstServed, r.WorstName = served, w.name
		}
	}
	return r
}

// unavoidable returns how many requests of a workspace a single bucket for the
// whole fleet would refuse in a scene. The bucket counts the requests of all
// scenes.
func (d *demo) unavoidable(w workspaceLayout, scene int) int {
	var arrivals []outcome
	for _, o := range d.traffic.outcomes {
		if o.workspace == w.name {
			arrivals = append(arrivals, o)
		}
	}
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].started.Before(arrivals[j].started) })
	amount := limiter.Amount{Rate: int64(w.rate) * limiter.Unit, Capacity: int64(w.burst) * limiter.Unit}
	bucket := limiter.NewBucket(amount, amount.Capacity, 0)
	refused := 0
	for _, o := range arrivals {
		if !bucket.Take(o.started.Sub(arrivals[0].started), limiter.Unit) && o.scene == scene {
			refused++
		}
	}
	return refused
}

// quantile returns the q-quantile of the values, or 0 if there are none. It sorts
// the values.
func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

// WriteText writes the result as a table, followed by the violated invariants.
func (r *Result) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "situation\tsent\tanswered\tp50 ms\tp99 ms\tworst served\tover rate\tof them unavoidable\tno room\tunknown\tfailed")
	for _, row := range r.Rows {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%.1f\t%.1f\t%.3f %s\t%d\t%d\t%d\t%d\t%d\n",
			row.Scene, row.Sent, row.Answered, milliseconds(row.P50), milliseconds(row.P99),
			row.WorstServed, row.WorstName, row.OverRate, row.Unavoidable, row.NoRoom, row.Unknown, row.Failed)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if len(r.Broken) == 0 {
		_, err := fmt.Fprintln(w, "invariants: all held")
		return err
	}
	for _, text := range r.Broken {
		_, _ = fmt.Fprintln(w, "invariant broken: "+text)
	}
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
