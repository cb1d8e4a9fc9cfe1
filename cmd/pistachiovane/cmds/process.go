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

// drainTimeout bounds a graceful shutdown.
const drainTimeout = 10 * time.Minute

type gatewayCommand struct {
	Settings string `arg:"--settings,required" help:"settings file"`
}

type agentCommand struct {
	Settings string `arg:"--settings,required" help:"settings file"`
}

// process is a process of the fleet.
type process interface {
	operator.Process
	Serve(ctx context.Context) error
	Drain(ctx context.Context)
	// Readings returns the metrics of the process.
	Readings() []meter.Metric
}

func (c *gatewayCommand) run(ctx context.Context, o output) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	callers, err := listen(s.Callers.ListenAddr)
	if err != nil {
		return err
	}
	if s.Callers.CertFile != "" {
		c, err := certifier.New(s.Callers.CertFile, s.Callers.KeyFile)
		if err != nil {
			return err
		}
		callers = tls.NewListener(callers, c.Config())
	}
	peers, err := listen(s.Fleet.ListenAddr)
	if err != nil {
		return err
	}
	g, err := gateway.New(s, gateway.Listeners{Callers: callers, Fleet: peers}, o.log)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(o.err, "callers", callers.Addr(), "fleet", peers.Addr())
	return serve(ctx, o, g, s.OperatorListenAddr)
}

func (c *agentCommand) run(ctx context.Context, o output) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	peers, err := listen(s.Fleet.ListenAddr)
	if err != nil {
		return err
	}
	a, err := agent.New(s, peers, o.log)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(o.err, "fleet", peers.Addr())
	return serve(ctx, o, a, s.OperatorListenAddr)
}

// serve runs a daemon until the first signal, lets it drain and then ends it.
func serve(ctx context.Context, o output, d process, operatorAddress string) error {
	l, err := listen(operatorAddress)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(o.err, "operator", l.Addr())
	metrics, err := meter.New(d.Readings())
	if err != nil {
		return err
	}
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := make(chan error, 2)
	go func() { done <- operator.New(l, d, metrics).Serve(inner) }()
	go func() { done <- d.Serve(inner) }()
	select {
	case err := <-done:
		return errors.Wrap(err, "process ended early")
	case <-ctx.Done():
	}
	o.log.Info().Msg("process: draining")
	draining, cancel := context.WithTimeout(inner, drainTimeout)
	defer cancel()
	d.Drain(draining)
	stop()
	for range cap(done) {
		if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
			return err
		}
	}
	return nil
}

func listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: fleet.KeepAlive}
	l, err := config.Listen(context.Background(), "tcp", address)
	return l, errors.Wrap(err, "listen")
}
