package commander

import (
	"fmt"

	"magnoliahill.example/magnoliahill/internal/estimator"
)

func init() {
	register("capacity", "Estimate the resources that a fleet needs",
		"Measures on this machine how memory, messages and processor time grow with the size of a fleet, and prints the tables of docs/CAPACITY.md: what each role needs per daemon, compared with the daemon's limits.",
		func(out *output) command { return &capacityCommand{out: out} })
}

type capacityCommand struct {
	out *output
}

// Execute implements command.
func (c *capacityCommand) Execute([]string) error {
	w := c.out.stdout
	fits := estimator.Measure(func(name string) {
		_, _ = fmt.Fprintln(c.out.stderr, "measured:", name)
	})
	_, _ = fmt.Fprint(w, "## Measured slopes\n\n")
	estimator.WriteFits(w, fits)
	for _, size := range []estimator.Size{estimator.FullSize(), estimator.CurrentSize()} {
		needs := estimator.Needs(fits, size)
		needs = append(needs, estimator.Sum(needs, false), estimator.Sum(needs, true))
		_, _ = fmt.Fprintf(w, "\n## One daemon at the size %q\n\n", size.Name)
		estimator.WriteNeeds(w, needs)
	}
	return nil
}
