package commander

import (
	"fmt"
	"text/tabwriter"

	"magnoliahill.example/magnoliahill/internal/experimenter"
)

func init() {
	register("experiment", "Compare policies in virtual time",
		"Simulates several hosts in virtual time with generated demand and compares policies for dividing a rate among the hosts. The same seed gives the same figures.",
		func(out *output) command { return &experimentCommand{out: out} })
}

type experimentCommand struct {
	out  *output
	Seed uint64 `long:"seed" description:"seed of the demand" default:"1"`
}

// Execute implements command.
func (c *experimentCommand) Execute([]string) error {
	t := tabwriter.NewWriter(c.out.stdout, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "rate\tburst\tload\tskew\tpolicy\tsent\tunavoidable\twrongful\twrongful %\tover\twaited\tasks/s/host")
	for _, setup := range experimenter.ShareMatrix(c.Seed) {
		o := experimenter.Run(setup)
		_, _ = fmt.Fprintf(t, "%g\t%g\t%g\t%g\t%s\t%d\t%d\t%d\t%.3f\t%d\t%d\t%.2f\n",
			o.Rate, o.Burst, o.Load, o.Skew, o.Policy, o.Sent, o.Unavoidable, o.Wrongful,
			100*o.WrongfulShare(), o.OverAdmitted, o.Waited, o.AskRate())
	}
	return t.Flush()
}
