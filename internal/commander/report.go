package commander

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"magnoliahill.example/magnoliahill/internal/recorder"
)

func init() {
	register("report", "Show each workspace the speed it got",
		"Adds up the latency histograms and outcomes of all hosts by service and workspace.",
		func(out *output) command { return &reportCommand{out: out} })
}

type reportCommand struct {
	fleetOptions
	formOptions
	out       *output
	Workspace string `long:"workspace" description:"only this workspace"`
}

// Execute implements command.
func (c *reportCommand) Execute([]string) error {
	answers, err := c.ask(context.Background(), askStatus)
	if err != nil {
		return err
	}
	var all []recorder.Summary
	for _, a := range answers {
		if a.Err != nil {
			_, _ = fmt.Fprintf(c.out.stderr, "host %s does not answer, its figures are missing: %v\n", a.Address, a.Err)
			continue
		}
		for _, l := range a.Status.GetLatencies() {
			if c.Workspace != "" && l.GetWorkspace() != c.Workspace {
				continue
			}
			all = append(all, recorder.Summary{
				Key: recorder.Key{Service: l.GetService(), Workspace: l.GetWorkspace()},
				Outcome: recorder.Outcome{
					Answered: l.GetAnswered(), OverRate: l.GetOverRate(),
					RefusedOther: l.GetRefusedOther(), Unknown: l.GetUnknown(),
				},
				Encoded: l.GetHistogram(),
			})
		}
	}
	merged, err := recorder.Merge(all)
	if err != nil {
		return err
	}
	return c.write(c.out, merged, func() error { return c.plain(merged) })
}

func (c *reportCommand) plain(merged []recorder.Summary) error {
	t := tabwriter.NewWriter(c.out.stdout, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "service\tworkspace\tanswered\tp50 ms\tp99 ms\tmax ms\tover rate\trefused\tunknown")
	for _, s := range merged {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%d\t%d\t%d\n", s.Service, s.Workspace, s.Answered,
			inMs(s.P50), inMs(s.P99), inMs(s.Max), s.OverRate, s.RefusedOther, s.Unknown)
	}
	return t.Flush()
}

func inMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
