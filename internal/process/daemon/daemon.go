// Package daemon is a gateway that calls endpoints directly, without agents beside them. It supervises the parts that
// read the configuration and the endpoint list, exchange state with the other gateways and answer callers.
package daemon

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/thejerf/suture/v4"

	"github.com/pistachiovane/pistachiovane/internal/config/matcher"
	"github.com/pistachiovane/pistachiovane/internal/config/tracker"
	"github.com/pistachiovane/pistachiovane/internal/fleet/broadcaster"
	"github.com/pistachiovane/pistachiovane/internal/fleet/follower"
	"github.com/pistachiovane/pistachiovane/internal/fleet/lister"
	"github.com/pistachiovane/pistachiovane/internal/limits/capper"
	"github.com/pistachiovane/pistachiovane/internal/limits/crashtracker"
	"github.com/pistachiovane/pistachiovane/internal/limits/retrier"
	"github.com/pistachiovane/pistachiovane/internal/process/clock"
	"github.com/pistachiovane/pistachiovane/internal/proxy/exchanger"
	"github.com/pistachiovane/pistachiovane/internal/proxy/forwarder"
	"github.com/pistachiovane/pistachiovane/internal/routing/balancer"
	"github.com/pistachiovane/pistachiovane/internal/routing/controller"
	"github.com/pistachiovane/pistachiovane/internal/routing/planner"
	"github.com/pistachiovane/pistachiovane/internal/routing/rebalancer"
	"github.com/pistachiovane/pistachiovane/service/supervision"
)

// Options are the bounds of a gateway.
type Options struct {
	Name   string
	Domain string
	// GossipAddr is the address of the own gossip socket, Seeds are those of other gateways.
	GossipAddr netip.AddrPort
	SeedAddrs  []netip.AddrPort
	// DrainGrace is the time in which a stopping process must end.
	DrainGrace time.Duration
	// RevokeDeadline is the time within which withdrawn keys stop working.
	RevokeDeadline time.Duration
	Limits         capper.Options
	RetryBudget    retrier.Options
}

// Dependencies are what a gateway reads and calls.
type Dependencies struct {
	Store follower.Source
	// ConfigPrefix, ConfigKey and EndpointPrefix name the parts of the store.
	ConfigPrefix   string
	ConfigKey      string
	EndpointPrefix string
	DecodeConfig   func(b []byte) (matcher.Config, error)
	DecodeEndpoint func(key string, b []byte) (lister.Endpoint, error)
	EndpointClient forwarder.EndpointClient
	StageSwitcher  StageSwitcher
	// ConnectionPool holds the connections that Endpoints uses.
	ConnectionPool *exchanger.Exchanger
}

const (
	// Watches of the configuration wait for configWait a gateway, between the bounds: the others tell meanwhile how
	// current theirs is, so that the store's calls do not grow with the fleet.
	configWaitPerGateway = 300 * time.Millisecond
	minConfigWait        = 1800 * time.Millisecond
	maxConfigWait        = 6 * time.Second
	// listReaders is how many gateways read the endpoint list every endpointPause; the others do every listenerPause, and
	// hear of changes from the readers.
	listReaders      = 4
	listWatchTimeout = 1500 * time.Millisecond
	listReaderPause  = 900 * time.Millisecond
	listDefaultPause = 5 * time.Second
	// changeGossipPeriod is how long a change of the list is told to the others, tellMost how many at a time, removedFor how long a removal is remembered.
	changeGossipPeriod   = 3 * time.Second
	maxChangesPerMessage = 32
	removalRetention     = 30 * time.Second
	// behindBeforeReread is how long another gateway has a newer configuration before it is read out of turn.
	behindBeforeReread = 250 * time.Millisecond
	// minRereadAge is the age from which the configuration is read out of turn, every nudgeEvery. The first gateways that do
	// spare the others the call, so they differ by nudgeSpread.
	minRereadAge    = 1200 * time.Millisecond
	rereadAgeJitter = 1500 * time.Millisecond
	rereadInterval  = time.Second
	// lapsedEntryGrace is how long entries that lapsed while the store was away have to come back, lapseOutage how long it
	// must have been away.
	lapsedEntryGrace  = 2 * time.Second
	minOutageForGrace = time.Second
	// revocationMargin is kept of the time to stop withdrawn keys.
	revocationMargin = 500 * time.Millisecond
	// maxReadyConfigAge is the age of the configuration from which the process asks for no new callers.
	maxReadyConfigAge = 2600 * time.Millisecond
	// maxConfigAgeForNotFound is the age from which what is unknown may only not be known yet.
	maxConfigAgeForNotFound = 2200 * time.Millisecond
	// minFirstEventTimeout is the least time after which callers give up a stream without events.
	minFirstEventTimeout = 2400 * time.Millisecond
	// initialPrefillTokensPerSecond and decodeRate are the speeds of reading prompts and of making an answer, in tokens a second, that are
	// supposed until endpoints have shown theirs.
	initialPrefillTokensPerSecond = 50000
	initialDecodeTokensPerSecond  = 1550
	// peerTimeout is the age of a message up to which its sender counts for the giving of orders.
	peerTimeout = 1500 * time.Millisecond
	// crashBlameWindow is how long a crash is blamed on a request, poisonLimit how many requests are remembered.
	crashBlameWindow  = time.Minute
	maxBlamedRequests = 256
	// sweepInterval is how often unused connections are looked at.
	sweepInterval = time.Second
	// drainPollInterval is how often a stopping process looks whether its work has ended.
	drainPollInterval = 50 * time.Millisecond
	// minDrainTime is how long a stopping process still takes requests: new callers come until the platform has
	// noticed that it is not ready.
	minDrainTime = 2500 * time.Millisecond
	// drainMargin is kept of the time to end.
	drainMargin = 400 * time.Millisecond
)

// Daemon is the root supervisor of the process.
type Daemon struct {
	options      Options
	dependencies Dependencies
	log          *log.Logger
	supervisor   *suture.Supervisor
	tracker      *tracker.Tracker
	controller   *controller.Controller
	forwarder    *forwarder.Forwarder
	broadcaster  *broadcaster.Broadcaster
	draining     atomic.Bool

	// configFollower and endpoints read the store.
	configFollower   *follower.Follower
	endpointFollower *follower.Follower

	mu     sync.Mutex
	lister *lister.Lister
	// listComplete is set once the whole list was read.
	listComplete bool
	// behindSince is when another gateway was first heard to have a newer configuration; zero while none has.
	behindSince time.Duration
	// lastRereadAt is when the configuration was last read out of turn because it might be old.
	lastRereadAt time.Duration
}

// New returns a gateway that gossips on a socket.
func New(o Options, deps Dependencies, gossipConn *net.UDPConn, logger *log.Logger) *Daemon {
	d := &Daemon{
		options: o, dependencies: deps, log: logger, supervisor: supervision.New(o.Name, logger), tracker: tracker.New(clock.SinceBoot),
		lister: lister.New(),
	}
	d.controller = controller.New(controller.Components{
		Clock: clock.SinceBoot, Tracker: d.tracker, Planner: planner.New(plannerOptions(o.Domain), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))), Balancer: balancer.New(o.Domain),
		Capper: capper.New(o.Limits, clock.SinceBoot()), Retrier: retrier.New(o.RetryBudget), Rebalancer: rebalancer.New(rebalancerOptions()),
		CrashTracker: crashtracker.New(crashBlameWindow, maxBlamedRequests), Log: logger,
	})
	maxConfigAgeForKeys := o.RevokeDeadline - revocationMargin
	d.forwarder = forwarder.New(forwarder.Options{MaxConfigAgeForKeys: maxConfigAgeForKeys, MaxConfigAgeForNotFound: maxConfigAgeForNotFound, MinFirstEventTimeout: minFirstEventTimeout}, clock.SinceBoot, d.tracker, d.controller, deps.EndpointClient, logger)
	d.broadcaster = broadcaster.New(gossipConn, o.GossipAddr.String(), o.SeedAddrs, clock.SinceBoot, d, logger)
	d.controller.SetAnnouncer(d.broadcaster)
	d.addServices()
	return d
}

func plannerOptions(domain string) planner.Options {
	return planner.Options{
		Domain: domain, PrefillRate: initialPrefillTokensPerSecond, FirstEventOverhead: 60 * time.Millisecond, MaxPrefillWait: 450 * time.Millisecond,
		MaxQueueWait: 2500 * time.Millisecond, DecodeRate: initialDecodeTokensPerSecond, MaxMemoryFraction: 0.9, MaxLoadAge: 1500 * time.Millisecond,
	}
}

func rebalancerOptions() rebalancer.Options {
	return rebalancer.Options{PrefillRate: initialPrefillTokensPerSecond, PromptFraction: 0.4, MaxUtilization: 0.93, LeaderSettleTime: 4 * time.Second, MinOrderInterval: 15 * time.Second}
}

func (d *Daemon) addServices() {
	config := follower.Options{Prefix: d.dependencies.ConfigPrefix, Pace: d.configPace}
	endpoints := follower.Options{Prefix: d.dependencies.EndpointPrefix, Pace: d.endpointPace, RemovalGrace: lapsedEntryGrace, MinOutage: minOutageForGrace}
	d.configFollower = follower.New(d.dependencies.Store, config, clock.SinceBoot, d.log, d.applyConfig)
	d.endpointFollower = follower.New(d.dependencies.Store, endpoints, clock.SinceBoot, d.log, d.applyEndpointList)
	d.supervisor.Add(d.configFollower)
	d.supervisor.Add(d.endpointFollower)
	d.supervisor.Add(d.controller)
	d.supervisor.Add(d.broadcaster)
	d.supervisor.Add(&orderSender{
		name: d.options.Name, controller: d.controller, stageSwitcher: d.dependencies.StageSwitcher, ready: d.Ready, log: d.log,
		leaderStatus: func() (bool, int, int) { return d.broadcaster.LeaderStatus(peerTimeout) },
	})
	d.supervisor.Add(&connectionSweeper{pool: d.dependencies.ConnectionPool})
}

// Add has a part supervised along with the others; it must be called before Serve.
func (d *Daemon) Add(s suture.Service) {
	d.supervisor.Add(s)
}

// Serve runs the gateway until the context ends.
func (d *Daemon) Serve(ctx context.Context) error {
	d.log.Info().Str("name", d.options.Name).Str("domain", d.options.Domain).Msg("gateway: started")
	err := d.supervisor.Serve(ctx)
	d.log.Info().Str("name", d.options.Name).Msg("gateway: stopped")
	return err
}

// applyConfig takes in the configuration as the store holds it.
func (d *Daemon) applyConfig(u follower.Update) {
	item, ok := u.Items[d.dependencies.ConfigKey]
	if !ok {
		return
	}
	current, _ := d.tracker.Active()
	if current != nil && !slices.Contains(u.ChangedKeys, d.dependencies.ConfigKey) {
		d.tracker.Confirm(u.CurrentAt)
		return
	}
	config, err := d.dependencies.DecodeConfig(item.Value)
	if err != nil {
		d.log.Error().Err(err).Uint64("revision", item.Revision).Msg("config: not understood")
		return
	}
	m := matcher.New(config)
	if !d.tracker.Accept(m, u.CurrentAt) {
		return
	}
	d.controller.Configure(m)
	d.log.Info().Uint64("version", m.Version()).Uint64("revision", item.Revision).Int("routes", len(config.Routes)).
		Int("accounts", len(config.Accounts)).Msg("config: in force")
}

// applyEndpointList takes in the endpoint list as the store holds it.
func (d *Daemon) applyEndpointList(u follower.Update) {
	now := clock.SinceBoot()
	d.mu.Lock()
	defer d.mu.Unlock()
	keys := u.ChangedKeys
	if u.FullRead {
		keys = append(slices.Collect(maps.Keys(u.Items)), d.lister.Keys()...)
	}
	var changed []lister.Entry
	for _, key := range keys {
		entry := d.decodeEntry(key, u)
		if d.lister.Apply(entry, now) {
			changed = append(changed, entry)
		}
	}
	d.activateListChanges(changed, "store")
	if !d.listComplete {
		d.listComplete = true
		d.lister.ForgetChanges()
	}
}

// decodeEntry decodes what an update holds under a key; what can't be read names no endpoint.
func (d *Daemon) decodeEntry(key string, u follower.Update) lister.Entry {
	item, ok := u.Items[key]
	if !ok {
		return lister.Entry{Key: key, Revision: u.Revision, Removed: true}
	}
	endpoint, err := d.dependencies.DecodeEndpoint(key, item.Value)
	if err != nil {
		d.log.Warn().Str("key", key).Err(err).Msg("list: entry not understood")
		return lister.Entry{Key: key, Revision: item.Revision, Removed: true}
	}
	return lister.Entry{Key: key, Revision: item.Revision, Endpoint: endpoint}
}

// activateListChanges brings changes of the list into force. The lock must be held.
func (d *Daemon) activateListChanges(changed []lister.Entry, source string) {
	if len(changed) == 0 {
		return
	}
	for _, c := range changed {
		d.log.Info().Str("key", c.Key).Str("from", source).Uint64("revision", c.Revision).Bool("gone", c.Removed).
			Str("address", c.Endpoint.Address).Str("service", c.Endpoint.Service).Bool("prefill", c.Endpoint.Prefill).
			Bool("leaving", c.Endpoint.Leaving).Msg("list: endpoint")
	}
	d.controller.SetEndpoints(d.lister.Endpoints())
}

// Ready tells whether the process takes new callers: a current configuration and endpoints are known.
func (d *Daemon) Ready() bool {
	m, age := d.tracker.Active()
	return m != nil && age < maxReadyConfigAge && !d.draining.Load() && d.controller.EndpointCount() > 0
}

// Limits returns the bounds on requests in force.
func (d *Daemon) Limits() (l matcher.Limits, ok bool) {
	m, _ := d.tracker.Active()
	if m == nil {
		return matcher.Limits{}, false
	}
	return m.Limits(), true
}

// Closing tells whether connections are to be closed after their answers.
func (d *Daemon) Closing() bool {
	return d.draining.Load()
}

// RequestHandler answers callers.
type RequestHandler struct {
	*Daemon
}

// Serve answers one request.
func (h RequestHandler) Serve(ctx context.Context, w http.ResponseWriter, r *forwarder.Request) {
	h.forwarder.Serve(ctx, w, r)
}

// Drain asks for no new callers and returns when all work has ended, or just before the process must end.
func (d *Daemon) Drain(ctx context.Context) {
	d.draining.Store(true)
	d.log.Info().Int("busy", d.controller.ActiveRequests()).Msg("gateway: draining")
	startedAt := clock.SinceBoot()
	d.forwarder.StopAt(startedAt + d.options.DrainGrace - drainMargin)
	for ctx.Err() == nil {
		elapsed := clock.SinceBoot() - startedAt
		if elapsed > d.options.DrainGrace-drainMargin || (elapsed > minDrainTime && d.controller.ActiveRequests() == 0) {
			break
		}
		supervision.Sleep(ctx, drainPollInterval)
	}
	d.log.Info().Int("busy", d.controller.ActiveRequests()).Msg("gateway: drained")
}

// connectionSweeper closes unused connections.
type connectionSweeper struct {
	pool *exchanger.Exchanger
}

// Serve sweeps until the context ends.
func (s *connectionSweeper) Serve(ctx context.Context) error {
	return supervision.Every(ctx, sweepInterval, s.pool.CloseExpired)
}
