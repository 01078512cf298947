// Package commander is the command line: one file per command, whose options
// are the fields of a struct.
package commander

import (
	"flag"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1 // the command could not do its work
	ExitUsage    = 2 // the command line or a file is wrong
	ExitConflict = 3 // someone else changed the same thing
	ExitBroken   = 4 // an invariant broke
	ExitPending  = 5 // done, but not in force everywhere yet
)

// exitError carries the exit code of a failed command.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

func failed(code int, err error) error { return &exitError{code: code, err: err} }

// output is where commands write.
type output struct {
	stdout, stderr io.Writer
}

// command is one command of the program.
type command interface {
	Execute(args []string) error
}

// factory makes a command that writes to an output.
type factory struct {
	short, long string
	make        func(out *output) command
}

var registry = map[string]factory{}

func register(name, short, long string, build func(out *output) command) {
	registry[name] = factory{short: short, long: long, make: build}
}

// globalOptions apply to all commands.
type globalOptions struct {
	Verbose int `short:"v" long:"verbose" description:"log level; 1 shows changes of state, 4 single connections" default:"0"`
}

// Run executes a command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	out := &output{stdout: stdout, stderr: stderr}
	options := &globalOptions{}
	parser := flags.NewNamedParser("magnoliahill", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Global options", "", options); err != nil {
		panic(err)
	}
	addCommands(parser, out)
	parser.CommandHandler = func(command flags.Commander, rest []string) error {
		setLog(options.Verbose, stderr)
		if command == nil {
			return nil
		}
		return command.Execute(rest)
	}
	_, err := parser.ParseArgs(args)
	klog.Flush()
	return out.exitCode(err)
}

func addCommands(parser *flags.Parser, out *output) {
	names := make([]string, 0, len(registry))
	for name := range registry {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		f := registry[name]
		group, last, nested := strings.Cut(name, " ")
		if !nested {
			mustAdd(parser.AddCommand(name, f.short, f.long, f.make(out)))
			continue
		}
		parent := parser.Find(group)
		if parent == nil {
			parent = mustAdd(parser.AddCommand(group, groups[group], groups[group], &struct{}{}))
		}
		mustAdd(parent.AddCommand(last, f.short, f.long, f.make(out)))
	}
}

// groups describes the commands that only hold others.
var groups = map[string]string{
	"key":     "Issue, withdraw and list keys",
	"host":    "Act on entry hosts",
	"move":    "Start, pause, abort and list planned moves",
	"standin": "Run stand-ins for outside systems",
}

func mustAdd(c *flags.Command, err error) *flags.Command {
	if err != nil {
		panic(err)
	}
	return c
}

func setLog(verbose int, stderr io.Writer) {
	set := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(set)
	_ = set.Set("logtostderr", "false")
	_ = set.Set("alsologtostderr", "false")
	_ = set.Set("v", fmt.Sprint(verbose))
	klog.SetOutput(stderr)
}

func (o *output) exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(o.stdout, usage.Message)
			return ExitOK
		}
		_, _ = fmt.Fprintln(o.stderr, "magnoliahill: "+usage.Message)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(o.stderr, "magnoliahill: "+err.Error())
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitFailed
}
