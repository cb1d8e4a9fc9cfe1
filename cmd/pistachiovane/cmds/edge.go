package cmds

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/limits/capper"
	"github.com/pistachiovane/pistachiovane/internal/limits/retrier"
	"github.com/pistachiovane/pistachiovane/internal/process/clock"
	"github.com/pistachiovane/pistachiovane/internal/process/daemon"
	"github.com/pistachiovane/pistachiovane/internal/proxy/exchanger"
	"github.com/pistachiovane/pistachiovane/internal/proxy/forwarder"
	"github.com/pistachiovane/pistachiovane/platform"
	"github.com/pistachiovane/pistachiovane/service/meter"
	"github.com/pistachiovane/pistachiovane/service/operator"
)

const (
	// edgeDial bounds the opening of a connection to an endpoint, and edgeIdle how long an unused one is kept.
	edgeDial = 400 * time.Millisecond
	edgeIdle = 1500 * time.Millisecond
	// storeIdle is how long an unused connection to the store is kept.
	storeIdle = 10 * time.Second
	// headerTimeout bounds the sending of a request's header, idleTimeout how long a caller's connection is kept.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the sending of a request's body.
	bodyTimeout = 10 * time.Second
	idleTimeout = 2 * time.Minute
	// headerMost bounds a request's header, in bytes; the configuration's own bound is lower.
	headerMost = 64 << 10
	// collectPercent is the growth of the heap between two collections: memory is scarcer than processor time.
	collectPercent = 50
	// memoryShare is the part of the memory limit that the runtime keeps within.
	memoryShare = 0.7
	// silentEach is three times the pause that each gateway adds between two reports to the same one.
	silentEach = 12 * time.Millisecond
	// closeTimeout bounds the end of the ports.
	closeTimeout = 300 * time.Millisecond
	// logLines is how many log lines wait to be written; more are dropped.
	logLines = 4096
)

type edgeCommand struct {
	Settings string `arg:"--settings,env:PISTACHIOVANE_CONFIG,required" help:"settings file of the platform"`
	Metrics  uint16 `arg:"--metrics" default:"9464" help:"port of metrics, dump and health; 0 serves none"`
}

func (c *edgeCommand) run(ctx context.Context, o output) error {
	s, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	debug.SetGCPercent(collectPercent)
	if s.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryLimitBytes)))
	}
	logger, flush := bounded(o.log, o.out)
	defer flush()
	gossip, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.GossipAddr))
	if err != nil {
		return errors.Wrap(err, "listen for gateways")
	}
	d := daemon.New(edgeOptions(s), edgeSources(s), gossip, logger)
	metrics, err := edgeMetrics(d)
	if err != nil {
		return err
	}
	if c.Metrics > 0 {
		l, err := listen(netip.AddrPortFrom(s.GossipAddr.Addr(), c.Metrics).String())
		if err != nil {
			return err
		}
		d.Add(operator.New(l, d, metrics))
	}
	return serveEdge(ctx, s, d, logger)
}

// edgeMetrics returns the counters and latency histograms of a gateway.
func edgeMetrics(d *daemon.Daemon) (*meter.Meter, error) {
	m, err := meter.New(d.Readings())
	if err != nil {
		return nil, err
	}
	var t forwarder.LatencyRecorder
	for _, h := range []struct {
		name, help string
		record     *func(time.Duration)
	}{
		{"pistachiovane.generation.waited", "Time until a generation could start.", &t.QueueTime},
		{"pistachiovane.answer.first", "Time until the head of an answer.", &t.TimeToHead},
		{"pistachiovane.answer.whole", "Time until the end of an answer.", &t.TotalTime},
	} {
		if *h.record, err = m.AddDurationHistogram(h.name, h.help); err != nil {
			return nil, err
		}
	}
	d.SetLatencyRecorder(t)
	return m, nil
}

// bounded returns a logger that drops lines rather than wait for the output.
func bounded(l *log.Logger, out io.Writer) (logger *log.Logger, flush func()) {
	w := &log.AsyncWriter{ChannelSize: logLines, DiscardOnFull: true, Writer: &log.IOWriter{Writer: out}}
	return &log.Logger{Level: l.Level, Writer: w}, func() { _ = w.Close() }
}

func edgeOptions(s platform.Settings) daemon.Options {
	return daemon.Options{
		Name: s.Name, Domain: s.Domain, GossipAddr: s.GossipAddr, SeedAddrs: s.SeedAddrs, DrainGrace: s.Bounds.DrainGrace, RevokeDeadline: s.Bounds.RevokeDeadline,
		Limits: capper.Options{
			Window: s.Bounds.LimitWindow, OverageRatio: s.Bounds.LimitOverageRatio, SlackTokens: s.Bounds.LimitSlackTokens,
			PeerTimeout: time.Second, PeerTimeoutPerGateway: silentEach, PeerExpiry: time.Minute, MinGateways: len(s.SeedAddrs),
		},
		RetryBudget: retrier.Options{RetriesPerRequest: s.Bounds.RetriesPerRequest, ExtraRetries: s.Bounds.ExtraRetries, Window: s.Bounds.RetryWindow},
	}
}

func edgeSources(s platform.Settings) daemon.Dependencies {
	pool := exchanger.New(exchanger.Options{DialTimeout: edgeDial, IdleTimeout: edgeIdle}, clock.SinceBoot)
	store := exchanger.New(exchanger.Options{DialTimeout: edgeDial, IdleTimeout: storeIdle}, clock.SinceBoot)
	endpoints := platform.NewEndpointClient(pool)
	return daemon.Dependencies{
		Store: platform.NewStoreClient(store, s.StoreAddr), ConfigPrefix: platform.PrefixConfig, ConfigKey: platform.KeyConfig,
		EndpointPrefix: platform.PrefixEndpoints, DecodeConfig: platform.DecodeConfig, DecodeEndpoint: platform.DecodeEndpoint,
		EndpointClient: endpoints, StageSwitcher: endpoints, ConnectionPool: pool,
	}
}

// serveEdge runs the gateway until the first SIGTERM, lets it drain and ends it.
func serveEdge(ctx context.Context, s platform.Settings, d *daemon.Daemon, logger *log.Logger) error {
	front, err := listen(s.CallerAddr)
	if err != nil {
		return err
	}
	ready, err := listen(s.ReadinessAddr)
	if err != nil {
		return err
	}
	callers := &http.Server{
		Handler: platform.NewIngress(daemon.RequestHandler{Daemon: d}, bodyTimeout), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerMost,
	}
	questions := &http.Server{Handler: platform.NewReadiness(d.Ready), ReadHeaderTimeout: headerTimeout}
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	done := make(chan error, 3)
	go func() { done <- d.Serve(inner) }()
	go func() { done <- callers.Serve(front) }()
	go func() { done <- questions.Serve(ready) }()
	for {
		select {
		case err := <-done:
			return errors.Wrap(err, "process ended early")
		case <-reload:
			reloaded(logger)
			continue
		case <-ctx.Done():
		}
		break
	}
	d.Drain(inner)
	closing, cancel := context.WithTimeout(inner, closeTimeout)
	defer cancel()
	if err := callers.Shutdown(closing); err != nil {
		logger.Warn().Err(err).Msg("process: requests cut off")
	}
	return nil
}

// reloaded notes that the settings changed. What they hold is read at a start only: addresses and bounds of a
// running process stay.
func reloaded(logger *log.Logger) {
	logger.Info().Msg("process: settings file changed, nothing in it applies to a running process")
}
