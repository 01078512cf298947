package commander

import (
	"context"
	"crypto/rand"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/parser"
	"magnoliahill.example/magnoliahill/internal/publisher"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
)

func init() {
	register("key issue", "Issue a key for a workspace",
		"Generates a key, publishes its hash, and prints the key once. The key itself is not stored.",
		func(out *output) command { return &keyIssueCommand{out: out} })
	register("key withdraw", "Revoke a key",
		"Revokes a key, also for connections that are already open. With --wait it reports the zones where the key still works.",
		func(out *output) command { return &keyWithdrawCommand{out: out} })
	register("key list", "List the published keys",
		"Lists the ids of the published keys with their workspaces.",
		func(out *output) command { return &keyListCommand{out: out} })
}

// keysFileEdit returns an edit that changes the keys in a workspace's keys file.
func keysFileEdit(workspace string, change func([]*cataloger.Key) ([]*cataloger.Key, error)) map[string]func([]byte) ([]byte, error) {
	name := parser.KeysFileName(workspace)
	return map[string]func([]byte) ([]byte, error){name: func(old []byte) ([]byte, error) {
		keys, err := parser.ParseKeys(name, old)
		if err != nil {
			return nil, err
		}
		if keys, err = change(keys); err != nil {
			return nil, err
		}
		return parser.RenderKeys(workspace, keys), nil
	}}
}

type keyIssueCommand struct {
	platformOptions
	out    *output
	Author string        `long:"author" description:"who issues the key (default: the system user)"`
	ID     string        `long:"id" description:"id of the key (default: random)"`
	Wait   time.Duration `long:"wait" description:"maximum time to wait until the key is active on all hosts"`
	Args   struct {
		Workspace string `positional-arg-name:"WORKSPACE" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute implements command.
func (c *keyIssueCommand) Execute([]string) error {
	workspace := c.Args.Workspace
	id := c.ID
	if id == "" {
		id = workspace + "-" + rand.Text()[:8]
	}
	key := rand.Text() + rand.Text()
	edits := keysFileEdit(workspace, func(keys []*cataloger.Key) ([]*cataloger.Key, error) {
		return append(keys, cataloger.NewKey(cataloger.Origin{}, id, cataloger.HashKey(key), workspace)), nil
	})
	err := publishChange(c.out, c.store(), &c.platformOptions, publisher.Change{Author: authorOrUser(c.Author), Edits: edits}, c.Wait)
	if err == nil {
		_, _ = fmt.Fprintf(c.out.stdout, "id %s\nkey %s\n", id, key)
	}
	return err
}

type keyWithdrawCommand struct {
	platformOptions
	out    *output
	Author string        `long:"author" description:"who revokes the key (default: the system user)"`
	Wait   time.Duration `long:"wait" description:"maximum time to wait until no host accepts the key" default:"5s"`
	Args   struct {
		Workspace string `positional-arg-name:"WORKSPACE" required:"true"`
		ID        string `positional-arg-name:"ID" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute implements command.
func (c *keyWithdrawCommand) Execute([]string) error {
	edits := keysFileEdit(c.Args.Workspace, func(keys []*cataloger.Key) ([]*cataloger.Key, error) {
		var kept []*cataloger.Key
		for _, key := range keys {
			if key.ID() != c.Args.ID {
				kept = append(kept, key)
			}
		}
		if len(kept) == len(keys) {
			return nil, errors.Errorf("workspace %q has no key %q", c.Args.Workspace, c.Args.ID)
		}
		return kept, nil
	})
	return publishChange(c.out, c.store(), &c.platformOptions, publisher.Change{Author: authorOrUser(c.Author), Edits: edits}, c.Wait)
}

type keyListCommand struct {
	platformOptions
	outputOptions
	out *output
}

// listedKey is a key in the output of "key list".
type listedKey struct {
	ID        string
	Workspace string
}

// Execute implements command.
func (c *keyListCommand) Execute([]string) error {
	ctx := context.Background()
	p := publisher.New(c.store())
	head, _, err := p.Current(ctx)
	if err != nil {
		return err
	}
	docs, err := p.ReadFiles(ctx, head)
	if err != nil {
		return err
	}
	list := []listedKey{}
	for _, name := range head.Names() {
		parts, err := parser.Parse(docs[name])
		if err != nil {
			return err
		}
		for _, key := range parts.Keys {
			list = append(list, listedKey{ID: key.ID(), Workspace: key.Workspace()})
		}
	}
	return c.write(c.out, list, func() error {
		t := tabwriter.NewWriter(c.out.stdout, 0, 8, 2, ' ', 0)
		_, _ = fmt.Fprintln(t, "id\tworkspace")
		for _, key := range list {
			_, _ = fmt.Fprintf(t, "%s\t%s\n", key.ID, key.Workspace)
		}
		return t.Flush()
	})
}
