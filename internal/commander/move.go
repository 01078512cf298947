package commander

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/parser"
	"magnoliahill.example/magnoliahill/internal/publisher"
	"magnoliahill.example/magnoliahill/internal/storer"
	"magnoliahill.example/magnoliahill/internal/transitioner"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/mover"
)

func init() {
	for _, trigger := range []string{mover.Start, mover.Pause, mover.Abort} {
		register("move "+trigger, moveDescriptions[trigger], moveDescriptions[trigger]+". Exits with 3 if someone else changed the move in the meantime.",
			func(out *output) command { return &moveTriggerCommand{out: out, trigger: trigger} })
	}
	register("move list", "List the planned moves",
		"Lists the planned moves with their state and the share of the work that has moved. A move is planned by publishing a file of kind move.",
		func(out *output) command { return &moveListCommand{out: out} })
}

var moveDescriptions = map[string]string{
	mover.Start: "Start a planned move or resume a paused one",
	mover.Pause: "Pause a move",
	mover.Abort: "Revert a move step by step",
}

type moveTriggerCommand struct {
	platformOptions
	out     *output
	trigger string
	Author  string `long:"author" description:"who changes the move (default: the system user)"`
	Args    struct {
		Move string `positional-arg-name:"MOVE" required:"true"`
	} `positional-args:"true" required:"true"`
}

// Execute implements command.
func (c *moveTriggerCommand) Execute([]string) error {
	ctx := context.Background()
	store := c.store()
	if _, err := plannedMove(ctx, store, c.Args.Move); err != nil {
		return withExitCode(ExitUsage, err)
	}
	chart := transitioner.MustLoad("move")
	record, version, err := readMove(ctx, store, chart, c.Args.Move)
	if err != nil {
		return err
	}
	next, err := record.Fire(chart, c.trigger, authorOrUser(c.Author))
	if err != nil {
		return withExitCode(ExitConflict, err)
	}
	data, err := next.Encode()
	if err != nil {
		return err
	}
	if _, err := store.Put(ctx, mover.Key(c.Args.Move), data, version); err != nil {
		return c.resolveFailedWrite(ctx, store, chart, next, err)
	}
	return c.printState(next)
}

// printState prints the new state of a move.
func (c *moveTriggerCommand) printState(r mover.Record) error {
	_, _ = fmt.Fprintf(c.out.stdout, "move %s is %s\n", r.Move, r.State)
	return nil
}

// resolveFailedWrite reads the record again after a write with a conflict or an
// unknown outcome. It succeeds if the outcome was unknown and the store has the
// intended record; other errors it returns as they are.
func (c *moveTriggerCommand) resolveFailedWrite(ctx context.Context, store *storer.Client, chart *transitioner.Chart, intended mover.Record, writeErr error) error {
	if !errors.Is(writeErr, storer.ErrConflict) && !errors.Is(writeErr, storer.ErrOutcomeUnknown) {
		return writeErr
	}
	stored, _, err := readMove(ctx, store, chart, intended.Move)
	if err != nil {
		return err
	}
	if stored == intended && errors.Is(writeErr, storer.ErrOutcomeUnknown) {
		return c.printState(stored)
	}
	return withExitCode(ExitConflict, errors.Errorf("move %q was modified in the meantime: it is %s since %s by %q",
		stored.Move, stored.State, stored.Change, stored.Author))
}

// readMove returns the record of a move and the version of its object. If the
// store has none, it returns a record in the initial state and version 0.
func readMove(ctx context.Context, store storer.Store, chart *transitioner.Chart, name string) (mover.Record, int64, error) {
	object, err := store.Get(ctx, mover.Key(name))
	if errors.Is(err, storer.ErrNotFound) {
		return mover.NewRecord(name, string(chart.Initial())), 0, nil
	}
	if err != nil {
		return mover.Record{}, 0, err
	}
	record, err := mover.Decode(object.Value())
	return record, object.Version(), err
}

// plannedMoves returns the moves in the published configuration.
func plannedMoves(ctx context.Context, store storer.Store) ([]*cataloger.Move, error) {
	p := publisher.New(store)
	head, _, err := p.Current(ctx)
	if err != nil {
		return nil, err
	}
	docs, err := p.ReadFiles(ctx, head)
	if err != nil {
		return nil, err
	}
	var moves []*cataloger.Move
	for _, name := range head.Names() {
		parts, err := parser.Parse(docs[name])
		if err != nil {
			return nil, err
		}
		moves = append(moves, parts.Moves...)
	}
	return moves, nil
}

// plannedMove returns a move of the published configuration by name.
func plannedMove(ctx context.Context, store storer.Store, name string) (*cataloger.Move, error) {
	moves, err := plannedMoves(ctx, store)
	if err != nil {
		return nil, err
	}
	for _, move := range moves {
		if move.Name() == name {
			return move, nil
		}
	}
	return nil, errors.Errorf("move %q is not planned: publish a file of kind move first", name)
}

type moveListCommand struct {
	platformOptions
	outputOptions
	out *output
}

// listedMove is a move in the output of "move list".
type listedMove struct {
	Move     string
	Service  string
	From, To string
	State    string
	Share    float64
	Author   string
}

// Execute implements command.
func (c *moveListCommand) Execute([]string) error {
	ctx := context.Background()
	store := c.store()
	moves, err := plannedMoves(ctx, store)
	if err != nil {
		return err
	}
	list := []listedMove{}
	for _, move := range moves {
		record, _, err := readMove(ctx, store, transitioner.MustLoad("move"), move.Name())
		if err != nil {
			return err
		}
		list = append(list, listedMove{
			Move: move.Name(), Service: move.Service(), From: move.From(), To: move.To(),
			State: record.State, Share: float64(record.SharePPM) / mover.Million, Author: record.Author,
		})
	}
	return c.write(c.out, list, func() error {
		t := tabwriter.NewWriter(c.out.stdout, 0, 8, 2, ' ', 0)
		_, _ = fmt.Fprintln(t, "move\tservice\tfrom\tto\tstate\tmoved\tlast change by")
		for _, m := range list {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%.1f%%\t%s\n", m.Move, m.Service, m.From, m.To, m.State, 100*m.Share, m.Author)
		}
		return t.Flush()
	})
}
