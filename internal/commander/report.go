package commander

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"magnoliahill.example/magnoliahill/internal/recorder"
)

func init() {
	register("report", "Show latencies and outcomes by workspace",
		"Merges the latency histograms and outcome counts of all hosts by service and workspace.",
		func(out *output) command { return &reportCommand{out: out} })
}

type reportCommand struct {
	fleetOptions
	outputOptions
	out       *output
	Workspace string `long:"workspace" description:"only this workspace"`
}

// Execute implements command.
func (c *reportCommand) Execute([]string) error {
	responses, err := c.callAll(context.Background(), fetchStatus)
	if err != nil {
		return err
	}
	var summaries []recorder.Summary
	for _, r := range responses {
		if r.Err != nil {
			_, _ = fmt.Fprintf(c.out.stderr, "host %s does not respond, its figures are missing: %v\n", r.Address, r.Err)
			continue
		}
		for _, l := range r.Status.GetLatencies() {
			if c.Workspace != "" && l.GetWorkspace() != c.Workspace {
				continue
			}
			summaries = append(summaries, recorder.Summary{
				Key: recorder.Key{Service: l.GetService(), Workspace: l.GetWorkspace()},
				Outcome: recorder.Outcome{
					Answered: l.GetAnswered(), OverRate: l.GetOverRate(),
					RefusedOther: l.GetRefusedOther(), Unknown: l.GetUnknown(),
				},
				Encoded: l.GetHistogram(),
			})
		}
	}
	merged, err := recorder.Merge(summaries)
	if err != nil {
		return err
	}
	return c.write(c.out, merged, func() error { return c.writePlain(merged) })
}

func (c *reportCommand) writePlain(merged []recorder.Summary) error {
	t := tabwriter.NewWriter(c.out.stdout, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "service\tworkspace\tanswered\tp50 ms\tp99 ms\tmax ms\tover rate\trefused\tunknown")
	for _, s := range merged {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%d\t%d\t%d\n", s.Service, s.Workspace, s.Answered,
			milliseconds(s.P50), milliseconds(s.P99), milliseconds(s.Max), s.OverRate, s.RefusedOther, s.Unknown)
	}
	return t.Flush()
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
