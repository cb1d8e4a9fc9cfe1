// Package daemon assembles the process of a gateway that calls endpoints directly, without agents beside them. The
// daemon supervises the parts that follow the configuration and the endpoint list in the store, exchange state with the
// other gateways and answer callers.
package daemon

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/thejerf/suture/v4"

	"github.com/pistachiovane/pistachiovane/internal/config/matcher"
	"github.com/pistachiovane/pistachiovane/internal/config/revoker"
	"github.com/pistachiovane/pistachiovane/internal/config/tracker"
	"github.com/pistachiovane/pistachiovane/internal/fleet/broadcaster"
	"github.com/pistachiovane/pistachiovane/internal/fleet/confirmer"
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
	"github.com/pistachiovane/pistachiovane/internal/routing/fencer"
	"github.com/pistachiovane/pistachiovane/internal/routing/planner"
	"github.com/pistachiovane/pistachiovane/internal/routing/profiler"
	"github.com/pistachiovane/pistachiovane/internal/routing/rebalancer"
	"github.com/pistachiovane/pistachiovane/internal/routing/suspender"
	"github.com/pistachiovane/pistachiovane/service/supervision"
)

// Dependencies are the external services that a gateway uses, and the decoders of their data.
type Dependencies struct {
	// Store holds the configuration and the endpoint list.
	Store follower.Source
	// ConfigPrefix is the prefix of the store that holds the configuration, ConfigKey the key of the configuration.
	ConfigPrefix string
	ConfigKey    string
	// EndpointPrefix is the prefix of the store that holds the endpoint list, one endpoint for each key.
	EndpointPrefix string
	DecodeConfig   func(b []byte) (matcher.Config, error)
	DecodeEndpoint func(key string, b []byte) (lister.Endpoint, error)
	EndpointClient forwarder.EndpointClient
	StageSwitcher  StageSwitcher
	// ConnectionPool holds the connections that EndpointClient uses.
	ConnectionPool *exchanger.Exchanger
}

const (
	// A watch of the configuration waits a random time. Its upper bound is configWaitPerGateway for each active gateway,
	// but at least minConfigWait and at most maxConfigWait. Peers confirm the configuration in the meantime, so that the
	// number of store calls does not grow with the fleet.
	configWaitPerGateway = 300 * time.Millisecond
	minConfigWait        = 1800 * time.Millisecond
	maxConfigWait        = 25 * time.Second
	// listReaders is how many gateways pause only listReaderPause between two reads of the endpoint list, and wait up to
	// listReaderWait for changes, less if that would look like an outage. The others pause listNonReaderPause, wait up to
	// listNonReaderWait and receive changes from the readers meanwhile.
	listReaders        = 4
	listReaderWait     = 1500 * time.Millisecond
	listReaderPause    = 500 * time.Millisecond
	listNonReaderWait  = 12 * time.Second
	listNonReaderPause = 5 * time.Second
	// readerMessages is the number of messages that a reader may miss before it counts as absent, and differenceMessages that in
	// which a change of the list reaches all gateways. listDifferenceJitter is the longest random time in addition.
	readerMessages       = 3
	differenceMessages   = 2
	listDifferenceJitter = 300 * time.Millisecond
	// minReaderWait is the shortest wait of a reader, and readerWaitMargin how much shorter than an outage the time between
	// two answers is kept.
	minReaderWait    = 300 * time.Millisecond
	readerWaitMargin = 200 * time.Millisecond
	// changeSends is how often a gateway sends a change of the endpoint list that it has read from the store, because
	// messages may be lost. changeRelays is how many gateways, in the mean, pass on a change that they learned of a peer.
	changeSends  = 4
	changeRelays = 8
	// changeGossipPeriod is how long older builds repeat a change of the endpoint list.
	changeGossipPeriod = 4 * time.Second
	// maxTransitTime is the longest time that a message of a peer usually takes.
	maxTransitTime = 200 * time.Millisecond
	// maxListAge is the age of the endpoint list from which it is read outside the usual watch, at most once in a
	// minListReadInterval.
	maxListAge          = 3500 * time.Millisecond
	minListReadInterval = 1500 * time.Millisecond
	// maxChangesPerMessage limits the endpoint changes in one message to a peer.
	maxChangesPerMessage = 32
	// removalRetention is how long a removed endpoint is remembered, so that an older entry does not bring it back.
	removalRetention = 30 * time.Second
	// maxChangeAge is the age of a peer's list up to which endpoints that it adds are taken over. A peer that was suspended for
	// longer may add one that was removed meanwhile, and whose removal is no longer remembered.
	maxChangeAge = removalRetention / 2
	// minOutdatedTime is how long a peer must have had a newer configuration before this gateway reads it outside
	// its usual watch.
	minOutdatedTime = 250 * time.Millisecond
	// If the active configuration has not been confirmed for minRereadAge, it is read outside the usual watch, at most
	// once in a rereadPerGateway for each active gateway, and at most once in a minRereadInterval. Each gateway adds a
	// random time of up to rereadAgeJitter: the gateways that read first confirm the configuration to the others, which
	// then need not read it.
	minRereadAge      = 1200 * time.Millisecond
	rereadAgeJitter   = 1500 * time.Millisecond
	minRereadInterval = time.Second
	rereadPerGateway  = 30 * time.Millisecond
	// missedHeartbeats is how many intervals without a write let an entry expire.
	missedHeartbeats = 3
	// maxLoggedKeys bounds the keys in one log line.
	maxLoggedKeys = 8
	// maxConfigRestoreDelay is the longest time for which the configuration is not read after a restore of the store.
	maxConfigRestoreDelay = time.Second
	// expiredEntryGrace is how long entries that expired during an outage of the store are kept after it.
	expiredEntryGrace = 2 * time.Second
	// revocationMargin is subtracted from Options.RevokeDeadline.
	revocationMargin = 500 * time.Millisecond
	// maxReadyConfigAge is the age of the configuration from which the process is not ready for new callers.
	maxReadyConfigAge = 2600 * time.Millisecond
	// maxConfigAgeForNotFound is the age of the configuration above which an unknown route or key may be in a newer
	// one.
	maxConfigAgeForNotFound = 2200 * time.Millisecond
	// minFirstEventTimeout is the shortest time after which callers are assumed to give up a stream without events.
	minFirstEventTimeout = 2400 * time.Millisecond
	// The initial rates of prefill and decode are assumed until endpoints have been measured.
	initialPrefillTokensPerSecond = 50000
	initialDecodeTokensPerSecond  = 1550
	// minMeasuredGenerations is how many generations must have been measured before the split of the stages follows them.
	minMeasuredGenerations = 60
	// startupListenTime is how long a process that starts waits for the version of a peer before it uses the configuration of a
	// store that has been restored before.
	startupListenTime = 700 * time.Millisecond
	// peerTimeout is the age of the last message above which a peer does not count as active.
	peerTimeout = 1500 * time.Millisecond
	// crashRetention is how long a crash counts against the request that ran at the time, unless that completes.
	crashRetention = 24 * time.Hour
	// maxCrashRecords limits the requests that are remembered because crashes count against them.
	maxCrashRecords = 4096
	// sweepInterval is how often expired idle connections are closed and ended pauses of endpoints are logged.
	sweepInterval = time.Second
	// drainPollInterval is how often a stopping process checks whether its requests have ended.
	drainPollInterval = 50 * time.Millisecond
	// minDrainTime is how long a stopping process accepts requests at least: the platform sends new callers until it
	// has noticed that the process is not ready.
	minDrainTime = 2500 * time.Millisecond
	// drainMargin is subtracted from the time in which the process must end.
	drainMargin = 400 * time.Millisecond
)

// Daemon is a gateway process. Its supervisor runs and restarts all parts.
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

	// configFollower and endpointFollower follow the configuration and the endpoint list in the store.
	configFollower   *follower.Follower
	endpointFollower *follower.Follower

	// mu guards the fields below.
	mu sync.Mutex
	// revoker knows the keys that newer versions of the configuration have withdrawn.
	revoker *revoker.Revoker
	lister  *lister.Lister
	// listConfirmer knows how old the endpoint list is.
	listConfirmer *confirmer.Confirmer
	// listReadAt is when the complete endpoint list was first read from the store, and listConfirmedAt a time up to which
	// the store has confirmed it since. Both are zero before.
	listReadAt      time.Duration
	listConfirmedAt time.Duration
	// configReadAt is when a configuration was first known.
	configReadAt time.Duration
	// outdatedSince is when a peer first reported a newer configuration, or when the configuration was last read because
	// of such a report. It is zero if the active configuration is not known to be outdated.
	outdatedSince time.Duration
	// lastRereadAt is when the configuration was last read outside the usual watch because of its age.
	lastRereadAt time.Duration
}

// New returns a gateway that exchanges state with its peers on gossipConn. It does nothing before Serve.
func New(o Options, deps Dependencies, gossipConn *net.UDPConn, logger *log.Logger) *Daemon {
	d := &Daemon{
		options: o, dependencies: deps, log: logger, supervisor: supervision.New(o.Name, logger),
		tracker: tracker.New(clock.SinceBoot), revoker: revoker.New(), lister: lister.New(listerOptions(o)),
		listConfirmer: confirmer.New(confirmerOptions(), clock.SinceBoot()),
	}
	if !o.FirstStart && o.hasOtherSeeds() {
		d.tracker.Listen()
	}
	suspensions := suspender.New(newRand())
	d.controller = controller.New(controller.Components{
		Clock: clock.SinceBoot, Tracker: d.tracker, Suspender: suspensions,
		Planner:  planner.New(plannerOptions(o.Domain, suspensions), newRand()),
		Balancer: balancer.New(o.Domain, newRand(), suspensions), Capper: capper.New(o.Limits, clock.SinceBoot()),
		Retrier: retrier.New(o.RetryBudget), Rebalancer: rebalancer.New(rebalancerOptions()),
		Profiler: profiler.New(profilerOptions()), Fencer: fencer.New(), InitialUsage: initialUsage(o.FirstStart),
		CrashTracker: crashtracker.New(crashRetention, maxCrashRecords), Log: logger,
	})
	maxConfigAgeForKeys := o.RevokeDeadline - revocationMargin
	d.forwarder = forwarder.New(forwarder.Options{
		MaxConfigAgeForKeys: maxConfigAgeForKeys, MaxConfigAgeForNotFound: maxConfigAgeForNotFound,
		MinFirstEventTimeout: minFirstEventTimeout, BufferBytes: o.BufferBytes, BodyBytes: o.BodyBytes,
		BalancerNoticeTime: o.BalancerNoticeTime,
		HasGatewayNearby:   func() bool { return d.broadcaster.HasPeerNearby(peerTimeout) },
		IsWithdrawn:        d.isWithdrawn,
	}, clock.SinceBoot, d.tracker, d.controller, deps.EndpointClient, logger)
	d.broadcaster = broadcaster.New(gossipConn, o.GossipAddr.String(), o.Domain, o.SeedAddrs, clock.SinceBoot, d, logger)
	d.controller.SetAnnouncer(d.broadcaster)
	d.addServices()
	return d
}

// addServices adds all parts of the gateway that run in the background to the supervisor.
func (d *Daemon) addServices() {
	config := follower.Options{Prefix: d.dependencies.ConfigPrefix, Pace: d.configPace, RestoreDelay: d.configRestoreDelay}
	endpoints := follower.Options{
		Prefix: d.dependencies.EndpointPrefix, Pace: d.endpointPace, RestoreDelay: d.listRestoreDelay,
		Removals: d.removalOptions(),
	}
	d.configFollower = follower.New(d.dependencies.Store, config, clock.SinceBoot, d.log, d.applyConfig)
	d.endpointFollower = follower.New(d.dependencies.Store, endpoints, clock.SinceBoot, d.log, d.applyEndpointList)
	d.supervisor.Add(d.configFollower)
	d.supervisor.Add(d.endpointFollower)
	d.supervisor.Add(d.controller)
	d.supervisor.Add(d.broadcaster)
	d.supervisor.Add(&orderSender{
		name: d.options.Name, clock: clock.SinceBoot, controller: d.controller,
		stageSwitcher: d.dependencies.StageSwitcher, ready: d.Ready, log: d.log,
		leaderStatus: func() (bool, int, int) { return d.broadcaster.LeaderStatus(peerTimeout) },
	})
	d.supervisor.Add(&sweeper{pool: d.dependencies.ConnectionPool, controller: d.controller})
}

// Add adds a service to those that the daemon runs and restarts. It must be called before Serve.
func (d *Daemon) Add(s suture.Service) {
	d.supervisor.Add(s)
}

// Serve runs the gateway until the context ends, and returns the error of the supervisor.
func (d *Daemon) Serve(ctx context.Context) error {
	d.log.Info().Str("name", d.options.Name).Str("domain", d.options.Domain).Msg("gateway: started")
	err := d.supervisor.Serve(ctx)
	d.log.Info().Str("name", d.options.Name).Msg("gateway: stopped")
	return err
}

// Ready reports whether the process should get new callers: it has a recently confirmed configuration, knows at least
// one endpoint and is not stopping.
func (d *Daemon) Ready() bool {
	m, age := d.tracker.Active()
	return m != nil && age < maxReadyConfigAge && !d.draining.Load() && d.controller.EndpointCount() > 0
}

// Limits returns the limits on the size of requests in the active configuration. ok is false while there is none.
func (d *Daemon) Limits() (l matcher.Limits, ok bool) {
	m, _ := d.tracker.Active()
	if m == nil {
		return matcher.Limits{}, false
	}
	return m.Limits(), true
}

// IsDraining reports whether the process is stopping, so that callers' connections are to be closed after their
// response.
func (d *Daemon) IsDraining() bool {
	return d.draining.Load()
}

// sweeper removes what has expired: idle connections of a pool, and pauses of endpoints.
type sweeper struct {
	pool       *exchanger.Exchanger
	controller *controller.Controller
}

// Serve sweeps every sweepInterval until the context ends.
func (s *sweeper) Serve(ctx context.Context) error {
	return supervision.Every(ctx, sweepInterval, func() {
		s.pool.CloseExpired()
		s.controller.ExpireSuspensions()
	})
}
