// Package cmds implements the subcommands of pistachiovane.
package cmds

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/phuslu/log"
	"github.com/pkg/errors"
)

// The exit codes: 0 for success, 1 when the command failed, 2 for wrong arguments.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

// Version is the version of the program.
const Version = "0.1.0"

// arguments holds the parsed command line. Only the field of the chosen subcommand is not nil.
type arguments struct {
	Gateway *gatewayCommand `arg:"subcommand:gateway" help:"run a gateway"`
	Edge    *edgeCommand    `arg:"subcommand:edge" help:"run a gateway that calls endpoints directly"`
	Agent   *agentCommand   `arg:"subcommand:agent" help:"run an agent beside an endpoint"`
	Check   *checkCommand   `arg:"subcommand:check" help:"check settings and both lists"`
	Dump    *dumpCommand    `arg:"subcommand:dump" help:"print the state of a running process"`
	Key     *keyCommand     `arg:"subcommand:key" help:"make a caller's key and its digest"`
	Demo    *demoCommand    `arg:"subcommand:demo" help:"run a whole fleet on stand-ins"`
	Load    *loadCommand    `arg:"subcommand:load" help:"load a fleet and measure what callers get"`
	Version *struct{}       `arg:"subcommand:version" help:"print the version"`

	LogLevel string `arg:"--log" default:"info" help:"log level: debug, info, warn or error"`
	LogPart  string `arg:"--part" help:"log only the part with this prefix, such as config"`
}

// Description returns the text that the help prints above the usage.
func (arguments) Description() string {
	return "pistachiovane routes requests to language-model engines with separate prefill and decode pools."
}

// output holds the streams and the logger that a command writes to.
type output struct {
	stdout io.Writer
	stderr io.Writer
	logger *log.Logger
}

// command is one subcommand.
type command interface {
	// run executes the command until it is done or ctx ends. An error makes the process exit with code 1.
	run(ctx context.Context, o output) error
}

// edgeSubcommand is the name of the edge command on the command line.
const edgeSubcommand = "edge"

// Run parses the arguments, runs the command and returns the exit code. The first SIGTERM or SIGINT cancels the
// command's context. After that, SIGINT ends the process at once and SIGTERM has no effect.
func Run(args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 && args[0] == edgeSubcommand {
		// SIGHUP announces changed settings. It may arrive before the command handles it and would then end the
		// process.
		signal.Ignore(syscall.SIGHUP)
	}
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "pistachiovane", Out: stderr, Exit: func(int) {}}, &a)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	if err := parser.Parse(args); err != nil {
		return printUsage(parser, err, stdout, stderr)
	}
	c := a.command()
	if c == nil {
		if a.Version != nil {
			_, _ = fmt.Fprintln(stdout, "pistachiovane", Version)
			return exitOK
		}
		parser.WriteHelp(stderr)
		return exitUsage
	}
	ctx, stop := contextUntilSignal()
	err = c.run(ctx, output{stdout: stdout, stderr: stderr, logger: newLogger(a.LogLevel, a.LogPart, stderr)})
	if ctx.Err() == nil {
		// After a signal its handler stays: without one, a second signal would end the process in its last moments.
		stop()
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}

// contextUntilSignal returns a context that is cancelled by the first SIGTERM or SIGINT. A second SIGTERM has no
// effect, so that it can't interrupt the requests that the process is finishing. A second SIGINT ends the process at
// once.
func contextUntilSignal() (ctx context.Context, stop context.CancelFunc) {
	ctx, stop = signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, func() { signal.Reset(syscall.SIGINT) })
	return ctx, stop
}

// printUsage prints the help if the arguments ask for it, or else the usage and the error. It returns the exit code.
func printUsage(parser *arg.Parser, err error, stdout, stderr io.Writer) int {
	if errors.Is(err, arg.ErrHelp) {
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return exitOK
	}
	_ = parser.WriteUsageForSubcommand(stderr, parser.SubcommandNames()...)
	_, _ = fmt.Fprintln(stderr, "error:", err)
	return exitUsage
}

// command returns the chosen subcommand. It returns nil if that is version or if no subcommand was given.
func (a *arguments) command() command {
	switch {
	case a.Gateway != nil:
		return a.Gateway
	case a.Edge != nil:
		return a.Edge
	case a.Agent != nil:
		return a.Agent
	case a.Check != nil:
		return a.Check
	case a.Dump != nil:
		return a.Dump
	case a.Key != nil:
		return a.Key
	case a.Load != nil:
		return a.Load
	case a.Demo != nil:
		return a.Demo
	default:
		return nil
	}
}
