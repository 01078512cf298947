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
		"Runs platform, backend servers, entry hosts and callers in one process, brings about failures, and checks what must always hold. Exits with 4 when an invariant broke.",
		func(out *output) command { return &demoCommand{out: out} })
}

type demoCommand struct {
	out    *output
	Layout string  `long:"layout" description:"shape of the fleet" choice:"uwimana" choice:"hoshizora" default:"uwimana"`
	Floor  float64 `long:"floor" description:"sum of the hosts' floors as a share of each limit" default:"1"`
	Output string  `long:"output" description:"form of the result" choice:"plain" choice:"json" default:"plain"`
}

// Execute implements command.
func (c *demoCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	layout, err := demonstrator.NewLayout(c.Layout, demonstrator.WithFloor(c.Floor))
	if err != nil {
		return failed(ExitUsage, err)
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
		return failed(ExitBroken, errors.Errorf("%d invariants broke", len(result.Broken)))
	}
	return err
}
