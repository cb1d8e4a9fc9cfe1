// Command standin starts one stand-in as a process: a model engine, a plain service, or the platform with its
// configuration service and VM list. It prints the base URL that it serves.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/pkg/parser"
	wire "github.com/pistachiovane/pistachiovane/service/platform"
	"github.com/pistachiovane/pistachiovane/standin/engine"
	"github.com/pistachiovane/pistachiovane/standin/model"
	"github.com/pistachiovane/pistachiovane/standin/plain"
	"github.com/pistachiovane/pistachiovane/standin/platform"
)

const (
	readHeaderTimeout = 10 * time.Second
	// rereadInterval is the time between two reads of the files that the platform publishes.
	rereadInterval = 500 * time.Millisecond
)

// engineCommand holds the arguments of the subcommand engine.
type engineCommand struct {
	Speed float64 `arg:"--speed" default:"1" help:"how much faster than real time"`
	Fence bool    `arg:"--fence" help:"check the fencing numbers of orders"`
}

// plainCommand holds the arguments of the subcommand plain.
type plainCommand struct {
	Delay time.Duration `arg:"--delay" default:"2ms" help:"time of one call"`
}

// platformCommand holds the arguments of the subcommand platform, the paths of the files that it publishes.
type platformCommand struct {
	Plans string `arg:"--plans,required" help:"customers' plans"`
	Uses  string `arg:"--uses,required" help:"what each plan may use"`
	VMs   string `arg:"--vms,required" help:"VM list, as JSON"`
}

// arguments are the command line arguments. At most one subcommand is set; run fails without one.
type arguments struct {
	Engine   *engineCommand   `arg:"subcommand:engine" help:"a model engine"`
	Plain    *plainCommand    `arg:"subcommand:plain" help:"a plain service"`
	Platform *platformCommand `arg:"subcommand:platform" help:"the configuration service and the VM list, from files that may be edited"`
	Listen   string           `arg:"--listen" default:"127.0.0.1:0" help:"address"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := run(ctx, a)
	stop()
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run starts the chosen stand-in and serves it until the context ends. It fails when no stand-in is chosen.
func run(ctx context.Context, a arguments) error {
	switch {
	case a.Engine != nil:
		e := engine.New(model.DefaultSettings(), a.Engine.Speed, a.Engine.Fence, http.DefaultClient)
		go func() { _ = e.Serve(ctx) }()
		return serve(ctx, a.Listen, e.Handler())
	case a.Plain != nil:
		return serve(ctx, a.Listen, plain.New(a.Plain.Delay).Handler())
	case a.Platform != nil:
		p := platform.New()
		if err := a.Platform.publishFiles(p); err != nil {
			return err
		}
		go a.Platform.watchFiles(ctx, p)
		return serve(ctx, a.Listen, p.Handler())
	default:
		return errors.New("no stand-in chosen: want engine, plain or platform")
	}
}

// serve prints the base URL and serves h on the address until the context ends. It fails when the port can't be opened.
func serve(ctx context.Context, address string, h http.Handler) error {
	config := net.ListenConfig{}
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "open listener")
	}
	_, _ = fmt.Println("http://" + l.Addr().String())
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve HTTP")
	}
	return nil
}

// watchFiles reads the files every rereadInterval and publishes those that changed. It prints a failure to standard
// error and continues.
func (c *platformCommand) watchFiles(ctx context.Context, p *platform.Platform) {
	ticker := time.NewTicker(rereadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if err := c.publishFiles(p); err != nil {
				_, _ = fmt.Fprintln(os.Stderr, err)
			}
		}
	}
}

// publishFiles publishes the lists and the VM list whose files differ from what is published. It fails when a file
// can't be read, a list has no version, or the VM list is not valid JSON.
func (c *platformCommand) publishFiles(p *platform.Platform) error {
	for name, path := range map[string]string{"plans": c.Plans, "uses": c.Uses} {
		body, err := os.ReadFile(path)
		if err != nil {
			return errors.Wrap(err, "read list")
		}
		version, ok := parser.ListVersion(parser.ListText{Name: path, Body: body})
		if !ok {
			return errors.Errorf("list %s has no version", path)
		}
		p.PublishIfChanged(name, version, string(body))
	}
	body, err := os.ReadFile(c.VMs)
	if err != nil {
		return errors.Wrap(err, "read VM list")
	}
	var vms []wire.VM
	if err := json.Unmarshal(body, &vms); err != nil {
		return errors.Wrap(err, "decode VM list")
	}
	p.SetVMsIfChanged(vms)
	return nil
}
