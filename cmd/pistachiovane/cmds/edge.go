package cmds

import (
	"context"
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
	"github.com/pistachiovane/pistachiovane/internal/process/linewriter"
	"github.com/pistachiovane/pistachiovane/internal/proxy/acceptor"
	"github.com/pistachiovane/pistachiovane/internal/proxy/exchanger"
	"github.com/pistachiovane/pistachiovane/internal/proxy/forwarder"
	"github.com/pistachiovane/pistachiovane/internal/proxy/responder"
	"github.com/pistachiovane/pistachiovane/platform"
	"github.com/pistachiovane/pistachiovane/service/meter"
	"github.com/pistachiovane/pistachiovane/service/operator"
)

const (
	// endpointDialTimeout is the longest time for opening a connection to an endpoint or to the store.
	endpointDialTimeout = 400 * time.Millisecond
	// endpointIdleTimeout and storeIdleTimeout are how long an unused connection is kept.
	endpointIdleTimeout = 1500 * time.Millisecond
	storeIdleTimeout    = 10 * time.Second
	// headerReadTimeout and bodyReadTimeout are the longest times that a caller may take to send the header and the
	// body of a request.
	headerReadTimeout = 5 * time.Second
	bodyReadTimeout   = 10 * time.Second
	// callerIdleTimeout is how long an unused connection of a caller is kept.
	callerIdleTimeout = 2 * time.Minute
	// maxHeaderBytes is the size of the largest request header that is read. The bound in the configuration is lower.
	maxHeaderBytes = 64 << 10
	// gcPercent is the growth of the heap between two garbage collections. It is half of Go's default, because memory
	// is scarcer than processor time.
	gcPercent = 50
	// memoryLimitRatio is the part of the memory limit in the settings that is set as the limit of the Go runtime.
	memoryLimitRatio = 0.7
	// bufferRatio is the part of the memory limit in the settings that bodies may fill before they are sent to callers, and
	// bodyRatio the part for the bodies of requests. defaultMemoryBytes is assumed if there is no limit.
	bufferRatio        = 0.1
	bodyRatio          = 0.2
	defaultMemoryBytes = 1 << 30
	// peerTimeoutPerGateway is multiplied by the number of gateways to get the peer timeout of a large fleet. It is three
	// times the delay that each gateway adds between two reports to the same peer.
	peerTimeoutPerGateway = 12 * time.Millisecond
	// shutdownTimeout is the longest time for closing the port for callers after draining.
	shutdownTimeout = 300 * time.Millisecond
	// maxQueuedLogLines is the number of log lines that may wait to be written. Further lines are dropped.
	maxQueuedLogLines = 4096
)

// edgeCommand runs a gateway that sends requests directly to endpoints, without agents.
type edgeCommand struct {
	Settings    string `arg:"--settings,env:PISTACHIOVANE_CONFIG,required" help:"settings file of the platform"`
	MetricsPort uint16 `arg:"--metrics" default:"9464" help:"port of metrics, dump and health; 0 serves none"`
}

// run loads the settings, sets the memory limits of the Go runtime, opens the ports and serves until the first signal.
func (c *edgeCommand) run(ctx context.Context, o output) error {
	s, err := platform.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if s.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.MemoryLimitBytes)))
	}
	lines := linewriter.New(o.stdout, maxQueuedLogLines)
	defer func() { _ = lines.Close() }()
	logger := &log.Logger{Level: o.logger.Level, Writer: lines}
	gossip, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(s.GossipAddr))
	if err != nil {
		return errors.Wrap(err, "listen for UDP messages of gateways")
	}
	d := daemon.New(edgeOptions(s), edgeDependencies(s), gossip, logger)
	metrics, err := edgeMetrics(d)
	if err != nil {
		return err
	}
	if c.MetricsPort > 0 {
		l, err := listen(netip.AddrPortFrom(s.GossipAddr.Addr(), c.MetricsPort).String())
		if err != nil {
			return err
		}
		d.Add(operator.New(l, d, metrics))
	}
	return serveEdge(ctx, s, d, logger)
}

// edgeMetrics returns the counters and latency histograms of a gateway, and connects the histograms to it.
func edgeMetrics(d *daemon.Daemon) (*meter.Meter, error) {
	m, err := meter.New(d.Metrics())
	if err != nil {
		return nil, err
	}
	var recorder forwarder.LatencyRecorder
	for _, h := range []struct {
		name, help string
		record     *func(time.Duration)
	}{
		{"pistachiovane.generation.waited", "Time until a generation could start.", &recorder.QueueTime},
		{"pistachiovane.answer.first", "Time until the head of an answer.", &recorder.TimeToHead},
		{"pistachiovane.answer.whole", "Time until the end of an answer.", &recorder.TotalTime},
	} {
		if *h.record, err = m.AddDurationHistogram(h.name, h.help); err != nil {
			return nil, err
		}
	}
	d.SetLatencyRecorder(recorder)
	return m, nil
}

// edgeOptions returns the options of a gateway with the settings of the platform.
func edgeOptions(s platform.Settings) daemon.Options {
	return daemon.Options{
		Name: s.Name, Domain: s.Domain, GossipAddr: s.GossipAddr, SeedAddrs: s.SeedAddrs,
		HeartbeatInterval: s.HeartbeatInterval, FirstStart: s.FirstStart, DrainGrace: s.Bounds.DrainGrace,
		BufferBytes: int64(bufferRatio * memoryLimit(s)), BodyBytes: int64(bodyRatio * memoryLimit(s)),
		BalancerNoticeTime: platform.BalancerNoticeTime, RevokeDeadline: s.Bounds.RevokeDeadline,
		Limits: capper.Options{
			Window: s.Bounds.LimitWindow, OverageRatio: s.Bounds.LimitOverageRatio, SlackTokens: s.Bounds.LimitSlackTokens,
			PeerTimeout: time.Second, PeerTimeoutPerGateway: peerTimeoutPerGateway,
			PeerExpiry: time.Minute, MinGateways: len(s.SeedAddrs),
			Name: s.GossipAddr.String(), SeedGateways: seedNames(s),
		},
		RetryBudget: retrier.Options{
			RetriesPerRequest: s.Bounds.RetriesPerRequest, ExtraRetries: s.Bounds.ExtraRetries, Window: s.Bounds.RetryWindow,
		},
	}
}

// memoryLimit returns the memory in bytes that the process may use.
func memoryLimit(s platform.Settings) float64 {
	if s.MemoryLimitBytes <= 0 {
		return defaultMemoryBytes
	}
	return float64(s.MemoryLimitBytes)
}

// seedNames returns the names under which the seeds of the settings report to this gateway.
func seedNames(s platform.Settings) []string {
	out := make([]string, 0, len(s.SeedAddrs))
	for _, a := range s.SeedAddrs {
		out = append(out, a.String())
	}
	return out
}

// edgeDependencies returns the clients of the store and of the endpoints, with a connection pool for each.
func edgeDependencies(s platform.Settings) daemon.Dependencies {
	pool := exchanger.New(exchanger.Options{DialTimeout: endpointDialTimeout, IdleTimeout: endpointIdleTimeout},
		clock.SinceBoot)
	storePool := exchanger.New(exchanger.Options{DialTimeout: endpointDialTimeout, IdleTimeout: storeIdleTimeout},
		clock.SinceBoot)
	endpointClient := platform.NewEndpointClient(pool, clock.SinceBoot)
	return daemon.Dependencies{
		Store:        platform.NewStoreClient(storePool, s.StoreAddr),
		ConfigPrefix: platform.PrefixConfig, ConfigKey: platform.KeyConfig,
		EndpointPrefix: platform.PrefixEndpoints, DecodeConfig: platform.DecodeConfig,
		DecodeEndpoint: platform.DecodeEndpoint,
		EndpointClient: endpointClient, StageSwitcher: endpointClient, ConnectionPool: pool,
	}
}

// serveEdge runs the gateway until ctx ends, drains it and stops it. It fails when a port can't be opened or when the
// gateway or one of its ports stops before ctx ends.
func serveEdge(ctx context.Context, s platform.Settings, d *daemon.Daemon, logger *log.Logger) error {
	callerListener, err := listen(s.CallerAddr)
	if err != nil {
		return err
	}
	readinessListener, err := listen(s.ReadinessAddr)
	if err != nil {
		return err
	}
	callerServer := &http.Server{
		Handler:           platform.NewIngress(daemon.RequestHandler{Daemon: d}, bodyReadTimeout),
		ReadHeaderTimeout: headerReadTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: responder.WithConn,
	}
	callers := acceptor.New(callerServer)
	readinessServer := &http.Server{Handler: platform.NewReadiness(d.Ready), ReadHeaderTimeout: headerReadTimeout}
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	// The handler stays until the process has ended, since without one the signal would end it.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	done := make(chan error, 3)
	go func() { done <- d.Serve(serveCtx) }()
	go func() { done <- callerServer.Serve(callers.Track(callerListener)) }()
	go func() { done <- readinessServer.Serve(readinessListener) }()
	for {
		select {
		case err := <-done:
			return errors.Wrap(err, "process ended early")
		case <-hangups:
			logSettingsChanged(logger)
			continue
		case <-ctx.Done():
		}
		break
	}
	stopServing(serveCtx, d, callers, logger)
	return nil
}

// stopServing finishes the requests of callers and closes their port. Those that are still in progress when the process must
// end are interrupted, and logged if even then they don't end in shutdownTimeout.
func stopServing(ctx context.Context, d *daemon.Daemon, callers *acceptor.Acceptor, logger *log.Logger) {
	d.Drain(ctx, callers.Active)
	callers.Interrupt()
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		logger.Warn().Err(err).Msg("process: connections closed in use")
		d.LogOpenRequests()
	}
}

// logSettingsChanged logs that the settings file changed. The settings are read only at the start: the addresses and
// bounds of a running process do not change.
func logSettingsChanged(logger *log.Logger) {
	logger.Info().Msg("process: settings file changed, nothing in it applies to a running process")
}
