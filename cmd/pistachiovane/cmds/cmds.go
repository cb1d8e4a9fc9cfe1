// Package cmds holds the commands of pistachiovane, a file each.
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

// The exit codes.
const (
	exitOK = iota
	exitFailed
	exitUsage
)

// Version is the version of the program.
const Version = "0.1.0"

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

// Description returns the text above the usage.
func (arguments) Description() string {
	return "pistachiovane routes requests to language-model engines with separate prefill and decode pools."
}

// output is where a command writes.
type output struct {
	stdout io.Writer
	stderr io.Writer
	logger *log.Logger
}

// command is one subcommand; run returns an error for exit code 1.
type command interface {
	run(ctx context.Context, o output) error
}

// edgeSubcommand is the word for the edge command.
const edgeSubcommand = "edge"

// Run parses the arguments, runs the command and returns the exit code. A first SIGTERM or interrupt ends
// the command's context; a second interrupt ends the process, a second SIGTERM changes nothing.
func Run(args []string, stdout, stderr io.Writer) int {
	if len(args) > 0 && args[0] == edgeSubcommand {
		// New settings may be announced before the command listens for that; SIGHUP would then end the process.
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
	defer stop()
	if err := c.run(ctx, output{stdout: stdout, stderr: stderr, logger: newLogger(a.LogLevel, a.LogPart, stderr)}); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}

// contextUntilSignal returns a context that ends at the first SIGTERM or interrupt. Another SIGTERM changes nothing: whoever asks
// twice must not cut off the requests that are being finished. A second interrupt ends the process at once.
func contextUntilSignal() (ctx context.Context, stop context.CancelFunc) {
	ctx, stop = signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, func() { signal.Reset(syscall.SIGINT) })
	return ctx, stop
}

func printUsage(parser *arg.Parser, err error, stdout, stderr io.Writer) int {
	if errors.Is(err, arg.ErrHelp) {
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return exitOK
	}
	_ = parser.WriteUsageForSubcommand(stderr, parser.SubcommandNames()...)
	_, _ = fmt.Fprintln(stderr, "error:", err)
	return exitUsage
}

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
