package commander

import (
	"context"
	"os/signal"
	"syscall"

	"k8s.io/klog/v2"

	"magnoliahill.example/magnoliahill/internal/loader"
	"magnoliahill.example/magnoliahill/internal/server"
)

func init() {
	register("serve", "Run an entry host",
		"Runs an entry host until SIGTERM or SIGINT, then finishes the requests in progress and stops.",
		func(out *output) command { return &serveCommand{out: out} })
}

type serveCommand struct {
	out  *output
	Args struct {
		Settings string `positional-arg-name:"SETTINGS" description:"settings file" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute implements command.
func (c *serveCommand) Execute([]string) error {
	settings, err := loader.Load(c.Args.Settings)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	s, err := server.New(settings)
	if err != nil {
		return err
	}
	if err := s.Listen(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go func() {
		<-ctx.Done()
		klog.InfoS("received stop signal; finishing requests in progress", "running", s.InFlight())
	}()
	return s.Run(ctx)
}
