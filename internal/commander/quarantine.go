package commander

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/controller"
	"magnoliahill.example/magnoliahill/internal/storer"
	"magnoliahill.example/magnoliahill/pkg/quarantiner"
	"magnoliahill.example/magnoliahill/platform"
)

const storeTimeout = 5 * time.Second // of the calls of one command to the store

func init() {
	register("quarantine list", "List quarantined requests",
		"Lists the requests that all hosts refuse because backend servers crashed while they ran them, with their digests as in the logs.",
		func(out *output) command { return &quarantineListCommand{out: out} })
	register("quarantine release", "End the quarantine of a request",
		"Ends the quarantine of a request on all hosts. Use it when the backend servers have been repaired: otherwise the request crashes three of them again.",
		func(out *output) command { return &quarantineReleaseCommand{out: out} })
}

// storeOptions are the options of commands that call the platform's store.
type storeOptions struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings written by the platform (default: the file named by the platform)"`
}

func (o *storeOptions) connect() (*platform.Adapter, error) {
	file := &settingsFile{path: o.Settings}
	if file.path == "" {
		file.path = platform.SettingsFile()
	}
	if file.path == "" {
		return nil, withExitCode(ExitUsage, errors.New("no settings file given, and the platform names none"))
	}
	settings, err := file.read()
	if err != nil {
		return nil, withExitCode(ExitUsage, err)
	}
	return platform.New(settings.StoreAddress, storeTransport()), nil
}

type quarantineListCommand struct {
	storeOptions
	out *output
}

// Execute implements command.
func (c *quarantineListCommand) Execute([]string) error {
	adapter, err := c.connect()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	quarantines, err := controller.ListQuarantines(ctx, adapter)
	if err != nil {
		return errors.Wrap(err, "failed to list quarantined requests")
	}
	table := tabwriter.NewWriter(c.out.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "DIGEST\tROUTE\tTRIALS")
	for _, q := range quarantines {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\n", q.Digest, q.Route, q.Trials)
	}
	return errors.Wrap(table.Flush(), "failed to write the list")
}

type quarantineReleaseCommand struct {
	storeOptions
	out  *output
	Args struct {
		Digest string `positional-arg-name:"DIGEST" description:"as shown by quarantine list" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute implements command.
func (c *quarantineReleaseCommand) Execute([]string) error {
	digest, err := quarantiner.ParseDigest(c.Args.Digest)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	adapter, err := c.connect()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	err = controller.ReleaseQuarantine(ctx, adapter, digest)
	if errors.Is(err, storer.ErrNotFound) {
		return errors.Errorf("request %s is not quarantined", digest)
	}
	if err != nil {
		return errors.Wrap(err, "failed to end the quarantine")
	}
	_, _ = fmt.Fprintf(c.out.stdout, "the quarantine of %s ends on all hosts\n", digest)
	return nil
}
