package commander

import (
	"context"
	"fmt"
	"os/user"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/decoder"
	"magnoliahill.example/magnoliahill/internal/publisher"
	"magnoliahill.example/magnoliahill/internal/storer"
)

func init() {
	register("publish", "Publish service files",
		"Validates the files together with all other published files and publishes them by one conditional update. Exits with 3 if someone else changed the same file in the meantime, and with 5 if --wait ends before the change is active on all hosts.",
		func(out *output) command { return &publishCommand{out: out} })
}

type publishCommand struct {
	platformOptions
	out    *output
	Author string        `long:"author" description:"who makes the change (default: the system user)"`
	Base   int64         `long:"base" description:"generation that the files are based on; the change is rejected if another one is published"`
	Remove []string      `long:"remove" description:"name of a published file to remove; may be repeated"`
	Wait   time.Duration `long:"wait" description:"maximum time to wait until the change is active on all hosts"`
	Args   struct {
		Files []string `positional-arg-name:"FILE" description:"files, or folders of .yaml files"`
	} `positional-args:"true"`
}

// Execute implements command.
func (c *publishCommand) Execute([]string) error {
	docs, err := readDocuments(c.Args.Files)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	edits := map[string]func([]byte) ([]byte, error){}
	for _, doc := range docs {
		edits[doc.Name()] = publisher.ReplaceWith(doc.Data())
	}
	for _, name := range c.Remove {
		edits[name] = removeFile
	}
	if len(edits) == 0 {
		return withExitCode(ExitUsage, errors.New("no files given"))
	}
	return publishChange(c.out, c.store(), &c.platformOptions, publisher.Change{
		Author: authorOrUser(c.Author), BaseGeneration: c.Base, Edits: edits,
	}, c.Wait)
}

// removeFile is an edit that removes a file. It fails if the file does not exist.
func removeFile(old []byte) ([]byte, error) {
	if old == nil {
		return nil, errors.New("the file is not published")
	}
	return nil, nil
}

// authorOrUser returns the given author, or the name of the system user.
func authorOrUser(name string) string {
	if name != "" {
		return name
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// publishChange publishes a change and waits up to the given time until it is
// active on all hosts.
func publishChange(out *output, store storer.Store, platform *platformOptions, change publisher.Change, wait time.Duration) error {
	ctx := context.Background()
	head, err := publisher.New(store).Publish(ctx, change)
	if err != nil {
		return withPublishExitCode(err)
	}
	_, _ = fmt.Fprintf(out.stdout, "change %s accepted as generation %d\n", head.ChangeID, head.Generation)
	if wait <= 0 {
		return nil
	}
	return waitForGeneration(ctx, out, &fleetOptions{Platform: platform.Platform}, head.Generation, wait)
}

// withPublishExitCode adds the exit code to an error of Publisher.Publish.
func withPublishExitCode(err error) error {
	var (
		conflict *publisher.ConflictError
		problems *decoder.Problems
		problem  decoder.Problem
	)
	switch {
	case errors.As(err, &conflict):
		return withExitCode(ExitConflict, err)
	case errors.As(err, &problems), errors.As(err, &problem):
		return withExitCode(ExitUsage, err)
	}
	return err
}
