// Package commander implements the command line. Each command has its own file
// and a struct whose fields are its options.
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

// Exit codes of the program.
const (
	ExitOK        = 0
	ExitFailed    = 1 // the command failed for a reason not listed below
	ExitUsage     = 2 // the command line or a file is invalid
	ExitConflict  = 3 // someone else changed the same object in the meantime
	ExitInvariant = 4 // an invariant was violated
	ExitPending   = 5 // published, but not active on all hosts yet
)

// exitError is an error with the exit code that it leads to.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

func withExitCode(code int, err error) error { return &exitError{code: code, err: err} }

// output holds the streams that commands write to.
type output struct {
	stdout, stderr io.Writer
}

// command is a command of the program.
type command interface {
	Execute(args []string) error
}

// commandSpec describes a command and creates it for an output.
type commandSpec struct {
	short, long string
	newCommand  func(out *output) command
}

// commandSpecs holds all commands by name. The name of a subcommand is its group
// and its own name, separated by a space.
var commandSpecs = map[string]commandSpec{}

// register adds a command. It is called by the init functions of this package.
func register(name, short, long string, newCommand func(out *output) command) {
	commandSpecs[name] = commandSpec{short: short, long: long, newCommand: newCommand}
}

// globalOptions apply to all commands.
type globalOptions struct {
	Verbose int `short:"v" long:"verbose" description:"log level; 1 logs state changes, 4 also single connections" default:"0"`
}

// Run executes a command line without the program name and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	out := &output{stdout: stdout, stderr: stderr}
	options := &globalOptions{}
	parser := flags.NewNamedParser("magnoliahill", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Global options", "", options); err != nil {
		panic(err)
	}
	addCommands(parser, out)
	parser.CommandHandler = func(command flags.Commander, commandArgs []string) error {
		configureLogging(options.Verbose, stderr)
		if command == nil {
			return nil
		}
		return command.Execute(commandArgs)
	}
	_, err := parser.ParseArgs(args)
	klog.Flush()
	return out.handleError(err)
}

func addCommands(parser *flags.Parser, out *output) {
	names := make([]string, 0, len(commandSpecs))
	for name := range commandSpecs {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		spec := commandSpecs[name]
		group, subcommand, isSubcommand := strings.Cut(name, " ")
		if !isSubcommand {
			mustAddCommand(parser.AddCommand(name, spec.short, spec.long, spec.newCommand(out)))
			continue
		}
		parent := parser.Find(group)
		if parent == nil {
			parent = mustAddCommand(parser.AddCommand(group, groupDescriptions[group], groupDescriptions[group], &struct{}{}))
		}
		mustAddCommand(parent.AddCommand(subcommand, spec.short, spec.long, spec.newCommand(out)))
	}
}

// groupDescriptions holds the descriptions of the commands that only group
// subcommands.
var groupDescriptions = map[string]string{
	"key":        "Issue, revoke and list keys",
	"host":       "Manage entry hosts",
	"quarantine": "List and release quarantined requests",
	"move":       "Start, pause, abort and list planned moves",
	"standin":    "Run stand-ins for external systems",
}

func mustAddCommand(c *flags.Command, err error) *flags.Command {
	if err != nil {
		panic(err)
	}
	return c
}

// configureLogging makes klog write to stderr at a log level.
func configureLogging(verbose int, stderr io.Writer) {
	set := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(set)
	_ = set.Set("logtostderr", "false")
	_ = set.Set("alsologtostderr", "false")
	_ = set.Set("v", fmt.Sprint(verbose))
	klog.SetOutput(stderr)
}

// handleError writes an error, or the help text that was asked for, and returns
// the exit code.
func (o *output) handleError(err error) int {
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
