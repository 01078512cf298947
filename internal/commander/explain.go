package commander

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/explainer"
)

func init() {
	register("explain", "Tell from collected logs what became of a request",
		"Reads the logs of hosts from files, or from standard input, and shows how a request was decided, on what, and what its host had come to believe in the ten seconds before.",
		func(out *output) command { return &explainCommand{out: out} })
}

type explainCommand struct {
	out  *output
	Args struct {
		ID    string   `positional-arg-name:"ID" description:"the request's id" required:"true"`
		Files []string `positional-arg-name:"LOG" description:"log files; standard input without any"`
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
			return failed(ExitUsage, errors.Wrap(err, "log could not be opened"))
		}
		defer func() { _ = file.Close() }()
		logs = append(logs, file)
	}
	return explainer.Explain(io.MultiReader(logs...), c.Args.ID, c.out.stdout)
}
