package commander

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/explainer"
)

func init() {
	register("explain", "Show from collected logs how a request was handled",
		"Reads the logs of hosts from files, or from standard input, and shows how a request was handled, the state that the decisions were based on, and the state changes that its host logged in the ten seconds before.",
		func(out *output) command { return &explainCommand{out: out} })
}

type explainCommand struct {
	out  *output
	Args struct {
		ID    string   `positional-arg-name:"ID" description:"id of the request" required:"true"`
		Files []string `positional-arg-name:"LOG" description:"log files (default: standard input)"`
	} `positional-args:"true"`
}

// Execute implements command.
func (c *explainCommand) Execute([]string) error {
	if len(c.Args.Files) == 0 {
		return explainer.Explain(os.Stdin, c.Args.ID, c.out.stdout)
	}
	var logs []io.Reader
	for _, name := range c.Args.Files {
		file, err := os.Open(name)
		if err != nil {
			return withExitCode(ExitUsage, errors.Wrap(err, "failed to open log"))
		}
		defer func() { _ = file.Close() }()
		logs = append(logs, file)
	}
	return explainer.Explain(io.MultiReader(logs...), c.Args.ID, c.out.stdout)
}
