package commander

import (
	"context"
	"fmt"
	"os/user"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/keeper"
	"magnoliahill.example/magnoliahill/internal/publisher"
	"magnoliahill.example/magnoliahill/internal/reader"
)

func init() {
	register("publish", "Put service files into force",
		"Checks the files together with all others in force and puts them into force by one conditional update. Exits with 3 when someone else changed the same file meanwhile, and with 5 when --wait ends before all hosts have the change.",
		func(out *output) command { return &publishCommand{out: out} })
}

type publishCommand struct {
	platformOptions
	out    *output
	Author string        `long:"author" description:"who makes the change (default: the system user)"`
	Base   int64         `long:"base" description:"generation that the files were made for; others are refused"`
	Remove []string      `long:"remove" description:"name of a file to take out of force; may be repeated"`
	Wait   time.Duration `long:"wait" description:"wait this long until all hosts have it in force"`
	Args   struct {
		Files []string `positional-arg-name:"FILE" description:"files, or folders of .yaml files"`
	} `positional-args:"true"`
}

// Execute implements command.
func (c *publishCommand) Execute([]string) error {
	docs, err := readDocuments(c.Args.Files)
	if err != nil {
		return failed(ExitUsage, err)
	}
	edits := map[string]func([]byte) ([]byte, error){}
	for _, doc := range docs {
		edits[doc.Name()] = publisher.Replace(doc.Data())
	}
	for _, name := range c.Remove {
		edits[name] = removeFile
	}
	if len(edits) == 0 {
		return failed(ExitUsage, errors.New("no file is named"))
	}
	return publishEdits(c.out, c.store(), &c.platformOptions, publisher.Change{
		Author: author(c.Author), Base: c.Base, Edits: edits,
	}, c.Wait)
}

func removeFile(old []byte) ([]byte, error) {
	if old == nil {
		return nil, errors.New("the file is not in force")
	}
	return nil, nil
}

func author(name string) string {
	if name != "" {
		return name
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// publishEdits publishes a change and waits for it when asked to.
func publishEdits(out *output, store keeper.Store, platform *platformOptions, change publisher.Change, wait time.Duration) error {
	ctx := context.Background()
	head, err := publisher.New(store).Publish(ctx, change)
	if err != nil {
		return publishError(err)
	}
	_, _ = fmt.Fprintf(out.stdout, "change %s accepted as generation %d\n", head.ChangeID, head.Generation)
	if wait <= 0 {
		return nil
	}
	return awaitInForce(ctx, out, &fleetOptions{Platform: platform.Platform}, head.Generation, wait)
}

// publishError gives an error of publishing its exit code.
func publishError(err error) error {
	var (
		conflict *publisher.ConflictError
		problems *reader.Problems
		problem  reader.Problem
	)
	switch {
	case errors.As(err, &conflict):
		return failed(ExitConflict, err)
	case errors.As(err, &problems), errors.As(err, &problem):
		return failed(ExitUsage, err)
	}
	return err
}
