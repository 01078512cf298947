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
		"Makes a new key, puts its hash into force, and prints the key once. It is kept nowhere.",
		func(out *output) command { return &keyIssueCommand{out: out} })
	register("key withdraw", "Withdraw a key",
		"Takes a key out of force, also on connections that are open. With --wait it reports the zones where it still works.",
		func(out *output) command { return &keyWithdrawCommand{out: out} })
	register("key list", "List the keys in force",
		"Lists the ids of the keys in force with their workspaces.",
		func(out *output) command { return &keyListCommand{out: out} })
}

// keyEdit returns an edit of a workspace's keys file.
func keyEdit(workspace string, change func([]*cataloger.Key) ([]*cataloger.Key, error)) map[string]func([]byte) ([]byte, error) {
	name := parser.KeysFile(workspace)
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
	ID     string        `long:"id" description:"id to know the key by (default: drawn at random)"`
	Wait   time.Duration `long:"wait" description:"wait this long until all hosts have it in force"`
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
	edits := keyEdit(workspace, func(keys []*cataloger.Key) ([]*cataloger.Key, error) {
		return append(keys, cataloger.NewKey(cataloger.Origin{}, id, cataloger.HashKey(key), workspace)), nil
	})
	err := publishEdits(c.out, c.store(), &c.platformOptions, publisher.Change{Author: author(c.Author), Edits: edits}, c.Wait)
	if err == nil {
		_, _ = fmt.Fprintf(c.out.stdout, "id %s\nkey %s\n", id, key)
	}
	return err
}

type keyWithdrawCommand struct {
	platformOptions
	out    *output
	Author string        `long:"author" description:"who withdraws the key (default: the system user)"`
	Wait   time.Duration `long:"wait" description:"wait this long until no host takes it" default:"5s"`
	Args   struct {
		Workspace string `positional-arg-name:"WORKSPACE" required:"true"`
		ID        string `positional-arg-name:"ID" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute implements command.
func (c *keyWithdrawCommand) Execute([]string) error {
	edits := keyEdit(c.Args.Workspace, func(keys []*cataloger.Key) ([]*cataloger.Key, error) {
		var kept []*cataloger.Key
		for _, key := range keys {
			if key.ID() != c.Args.ID {
				kept = append(kept, key)
			}
		}
		if len(kept) == len(keys) {
			return nil, errors.Errorf("workspace %q has no key %q in force", c.Args.Workspace, c.Args.ID)
		}
		return kept, nil
	})
	return publishEdits(c.out, c.store(), &c.platformOptions, publisher.Change{Author: author(c.Author), Edits: edits}, c.Wait)
}

type keyListCommand struct {
	platformOptions
	formOptions
	out *output
}

// listedKey is one key in the output.
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
	docs, err := p.Files(ctx, head)
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
