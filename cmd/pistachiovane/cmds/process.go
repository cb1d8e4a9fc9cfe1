package cmds

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/agent"
	"github.com/pistachiovane/pistachiovane/gateway"
	"github.com/pistachiovane/pistachiovane/pkg/certifier"
	"github.com/pistachiovane/pistachiovane/pkg/settings"
	"github.com/pistachiovane/pistachiovane/service/fleet"
	"github.com/pistachiovane/pistachiovane/service/meter"
	"github.com/pistachiovane/pistachiovane/service/operator"
)

// drainTimeout is the longest time that a process may take to finish its requests before it stops.
const drainTimeout = 10 * time.Minute

// gatewayCommand runs a gateway, which sends its requests to agents.
type gatewayCommand struct {
	Settings string `arg:"--settings,required" help:"settings file"`
}

// agentCommand runs an agent beside an endpoint.
type agentCommand struct {
	Settings string `arg:"--settings,required" help:"settings file"`
}

// process is a gateway or an agent.
type process interface {
	operator.Process
	// Serve runs the process until ctx ends.
	Serve(ctx context.Context) error
	// Drain stops taking new work and returns when the work in progress is finished or ctx ends.
	Drain(ctx context.Context)
	// Metrics returns the metrics of the process.
	Metrics() []meter.Metric
}

// run loads the settings, opens the ports and serves until the first signal. The addresses are printed on standard
// error, because a port may have been chosen by the system.
func (c *gatewayCommand) run(ctx context.Context, o output) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	callerListener, err := listen(s.Callers.ListenAddr)
	if err != nil {
		return err
	}
	if s.Callers.CertFile != "" {
		c, err := certifier.New(s.Callers.CertFile, s.Callers.KeyFile)
		if err != nil {
			return err
		}
		callerListener = tls.NewListener(callerListener, c.Config())
	}
	fleetListener, err := listen(s.Fleet.ListenAddr)
	if err != nil {
		return err
	}
	g, err := gateway.New(s, gateway.Listeners{Callers: callerListener, Fleet: fleetListener}, o.logger)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(o.stderr, "callers", callerListener.Addr(), "fleet", fleetListener.Addr())
	return serve(ctx, o, g, s.OperatorListenAddr)
}

// run loads the settings, opens the port for gateways and serves until the first signal.
func (c *agentCommand) run(ctx context.Context, o output) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	fleetListener, err := listen(s.Fleet.ListenAddr)
	if err != nil {
		return err
	}
	a, err := agent.New(s, fleetListener, o.logger)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(o.stderr, "fleet", fleetListener.Addr())
	return serve(ctx, o, a, s.OperatorListenAddr)
}

// serve runs a process and its operator port until ctx ends, drains it for at most drainTimeout and then stops it. It
// fails when the process or the port stops before ctx ends.
func serve(ctx context.Context, o output, p process, operatorListenAddr string) error {
	l, err := listen(operatorListenAddr)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(o.stderr, "operator", l.Addr())
	metrics, err := meter.New(p.Metrics())
	if err != nil {
		return err
	}
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := make(chan error, 2)
	go func() { done <- operator.New(l, p, metrics).Serve(serveCtx) }()
	go func() { done <- p.Serve(serveCtx) }()
	select {
	case err := <-done:
		return errors.Wrap(err, "process ended early")
	case <-ctx.Done():
	}
	o.logger.Info().Msg("process: draining")
	drainCtx, cancel := context.WithTimeout(serveCtx, drainTimeout)
	defer cancel()
	p.Drain(drainCtx)
	stop()
	for range cap(done) {
		if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
			return err
		}
	}
	return nil
}

// listen opens a TCP port with the keep-alive settings of the fleet.
func listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: fleet.KeepAlive}
	l, err := config.Listen(context.Background(), "tcp", address)
	return l, errors.Wrap(err, "listen for TCP connections")
}
