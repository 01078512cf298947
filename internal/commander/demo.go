package commander

import (
	"context"
	"encoding/json"
	"io"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/demonstrator"
)

func init() {
	register("demo", "Run a whole fleet on loopback addresses",
		"Runs a platform, backend servers, entry hosts and callers in one process, injects failures, and checks invariants. Exits with 4 if an invariant was violated.",
		func(out *output) command { return &demoCommand{out: out} })
}

type demoCommand struct {
	out    *output
	Layout string  `long:"layout" description:"layout of the fleet" choice:"uwimana" choice:"hoshizora" default:"uwimana"`
	Floor  float64 `long:"floor" description:"sum of the hosts' floors as a share of each limit" default:"1"`
	Output string  `long:"output" description:"format of the result" choice:"plain" choice:"json" default:"plain"`
}

// Execute implements command.
func (c *demoCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	layout, err := demonstrator.NewLayout(c.Layout, demonstrator.WithFloor(c.Floor))
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	progress := c.out.stdout
	if c.Output == "json" {
		progress = io.Discard
	}
	result, err := demonstrator.Run(ctx, layout, progress)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		err = json.NewEncoder(c.out.stdout).Encode(result)
	} else {
		err = result.WriteText(c.out.stdout)
	}
	if err == nil && len(result.Broken) > 0 {
		return withExitCode(ExitInvariant, errors.Errorf("%d invariants were violated", len(result.Broken)))
	}
	return err
}
