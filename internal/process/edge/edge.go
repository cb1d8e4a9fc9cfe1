// Package edge is a gateway that calls endpoints directly, without agents beside them. It supervises the parts that
// read the configuration and the endpoint list, exchange state with the other gateways and answer callers.
package edge

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
	"github.com/pistachiovane/pistachiovane/internal/fleet/follower"
	"github.com/pistachiovane/pistachiovane/internal/fleet/gossiper"
	"github.com/pistachiovane/pistachiovane/internal/fleet/lister"
	"github.com/pistachiovane/pistachiovane/internal/limits/blamer"
	"github.com/pistachiovane/pistachiovane/internal/limits/capper"
	"github.com/pistachiovane/pistachiovane/internal/limits/retrier"
	"github.com/pistachiovane/pistachiovane/internal/process/clock"
	"github.com/pistachiovane/pistachiovane/internal/proxy/exchanger"
	"github.com/pistachiovane/pistachiovane/internal/proxy/forwarder"
	"github.com/pistachiovane/pistachiovane/internal/routing/balancer"
	"github.com/pistachiovane/pistachiovane/internal/routing/director"
	"github.com/pistachiovane/pistachiovane/internal/routing/planner"
	"github.com/pistachiovane/pistachiovane/internal/routing/rebalancer"
	"github.com/pistachiovane/pistachiovane/service/supervision"
)

// Options are the bounds of a gateway.
type Options struct {
	Name   string
	Domain string
	// Self is the address of the own gossip socket, Seeds are those of other gateways.
	Self  netip.AddrPort
	Seeds []netip.AddrPort
	// DrainGrace is the time in which a stopping process must end.
	DrainGrace time.Duration
	// Revoke is the time within which withdrawn keys stop working.
	Revoke time.Duration
	Limits capper.Options
	Repeat retrier.Options
}

// Sources are what a gateway reads and calls.
type Sources struct {
	Store follower.Source
	// ConfigPrefix, ConfigKey and EndpointPrefix name the parts of the store.
	ConfigPrefix   string
	ConfigKey      string
	EndpointPrefix string
	DecodeConfig   func(b []byte) (matcher.Content, error)
	DecodeEndpoint func(key string, b []byte) (lister.Endpoint, error)
	Endpoints      forwarder.Endpoints
	Orders         Orders
	// Pool holds the connections that Endpoints uses.
	Pool *exchanger.Exchanger
}

const (
	// Watches of the configuration wait for configWait a gateway, between the bounds: the others tell meanwhile how
	// current theirs is, so that the store's calls do not grow with the fleet.
	configWait      = 300 * time.Millisecond
	configWaitLeast = 1800 * time.Millisecond
	configWaitMost  = 6 * time.Second
	// readers is how many gateways read the endpoint list every endpointPause; the others do every listenerPause, and
	// hear of changes from the readers.
	readers       = 4
	endpointWait  = 1500 * time.Millisecond
	endpointPause = 900 * time.Millisecond
	listenerPause = 5 * time.Second
	// tellFor is how long a change of the list is told to the others, tellMost how many at a time, removedFor how long a removal is remembered.
	tellFor    = 3 * time.Second
	tellMost   = 32
	removedFor = 30 * time.Second
	// behindFor is how long another gateway has a newer configuration before it is read out of turn.
	behindFor = 250 * time.Millisecond
	// nudgeAge is the age from which the configuration is read out of turn, every nudgeEvery. The first gateways that do
	// spare the others the call, so they differ by nudgeSpread.
	nudgeAge    = 1200 * time.Millisecond
	nudgeSpread = 1500 * time.Millisecond
	nudgeEvery  = time.Second
	// lapseGrace is how long entries that lapsed while the store was away have to come back, lapseOutage how long it
	// must have been away.
	lapseGrace  = 2 * time.Second
	lapseOutage = time.Second
	// revokeMargin is kept of the time to stop withdrawn keys.
	revokeMargin = 500 * time.Millisecond
	// readyAge is the age of the configuration from which the process asks for no new callers.
	readyAge = 2600 * time.Millisecond
	// doubtAge is the age from which what is unknown may only not be known yet.
	doubtAge = 2200 * time.Millisecond
	// leaveLeast is the least time after which callers give up a stream without events.
	leaveLeast = 2400 * time.Millisecond
	// prefillRate and decodeRate are the speeds of reading prompts and of making an answer, in tokens a second, that are
	// supposed until endpoints have shown theirs.
	prefillRate = 50000
	decodeRate  = 1550
	// heardLately is the age of a message up to which its sender counts for the giving of orders.
	heardLately = 1500 * time.Millisecond
	// poisonWindow is how long a crash is blamed on a request, poisonLimit how many requests are remembered.
	poisonWindow = time.Minute
	poisonLimit  = 256
	// sweepEvery is how often unused connections are looked at.
	sweepEvery = time.Second
	// drainPoll is how often a stopping process looks whether its work has ended.
	drainPoll = 50 * time.Millisecond
	// drainLinger is how long a stopping process still takes requests: new callers come until the platform has
	// noticed that it is not ready.
	drainLinger = 2500 * time.Millisecond
	// drainMargin is kept of the time to end.
	drainMargin = 400 * time.Millisecond
)

// Edge is the root supervisor of the process.
type Edge struct {
	options    Options
	sources    Sources
	log        *log.Logger
	supervisor *suture.Supervisor
	tracker    *tracker.Tracker
	director   *director.Director
	forwarder  *forwarder.Forwarder
	gossiper   *gossiper.Gossiper
	draining   atomic.Bool

	// config and endpoints read the store.
	config    *follower.Follower
	endpoints *follower.Follower

	mu     sync.Mutex
	lister *lister.Lister
	// listed is set once the whole list was read.
	listed bool
	// behindAt is when another gateway was first heard to have a newer configuration; zero while none has.
	behindAt time.Duration
	// nudgedAt is when the configuration was last read out of turn because it might be old.
	nudgedAt time.Duration
}

// New returns a gateway that gossips on a socket.
func New(o Options, s Sources, gossip *net.UDPConn, logger *log.Logger) *Edge {
	e := &Edge{
		options: o, sources: s, log: logger, supervisor: supervision.New(o.Name, logger), tracker: tracker.New(clock.Boot),
		lister: lister.New(),
	}
	e.director = director.New(director.Parts{
		Clock: clock.Boot, Tracker: e.tracker, Planner: planner.New(planOptions(o.Domain), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))), Balancer: balancer.New(o.Domain),
		Capper: capper.New(o.Limits, clock.Boot()), Retrier: retrier.New(o.Repeat), Balance: rebalancer.New(balanceOptions()),
		Blamer: blamer.New(poisonWindow, poisonLimit), Log: logger,
	})
	revoke := o.Revoke - revokeMargin
	e.forwarder = forwarder.New(forwarder.Options{Revoke: revoke, Doubt: doubtAge, Leave: leaveLeast}, clock.Boot, e.tracker, e.director, s.Endpoints, logger)
	e.gossiper = gossiper.New(gossip, o.Self.String(), o.Seeds, clock.Boot, e, logger)
	e.director.Tell(e.gossiper)
	e.supervise()
	return e
}

func planOptions(domain string) planner.Options {
	return planner.Options{
		Domain: domain, PrefillRate: prefillRate, Lead: 60 * time.Millisecond, Backlog: 450 * time.Millisecond,
		Wait: 2500 * time.Millisecond, DecodeRate: decodeRate, MemoryShare: 0.9, Stale: 1500 * time.Millisecond,
	}
}

func balanceOptions() rebalancer.Options {
	return rebalancer.Options{PrefillRate: prefillRate, PromptShare: 0.4, Busy: 0.93, Settle: 4 * time.Second, Again: 15 * time.Second}
}

func (e *Edge) supervise() {
	config := follower.Options{Prefix: e.sources.ConfigPrefix, Pace: e.configPace}
	endpoints := follower.Options{Prefix: e.sources.EndpointPrefix, Pace: e.endpointPace, Grace: lapseGrace, Outage: lapseOutage}
	e.config = follower.New(e.sources.Store, config, clock.Boot, e.log, e.configure)
	e.endpoints = follower.New(e.sources.Store, endpoints, clock.Boot, e.log, e.list)
	e.supervisor.Add(e.config)
	e.supervisor.Add(e.endpoints)
	e.supervisor.Add(e.director)
	e.supervisor.Add(e.gossiper)
	e.supervisor.Add(&orderer{
		name: e.options.Name, director: e.director, orders: e.sources.Orders, ready: e.Ready, log: e.log,
		gateways: func() (bool, int, int) { return e.gossiper.Order(heardLately) },
	})
	e.supervisor.Add(&sweeper{pool: e.sources.Pool})
}

// Add has a part supervised along with the others; it must be called before Serve.
func (e *Edge) Add(s suture.Service) {
	e.supervisor.Add(s)
}

// Serve runs the gateway until the context ends.
func (e *Edge) Serve(ctx context.Context) error {
	e.log.Info().Str("name", e.options.Name).Str("domain", e.options.Domain).Msg("gateway: started")
	err := e.supervisor.Serve(ctx)
	e.log.Info().Str("name", e.options.Name).Msg("gateway: stopped")
	return err
}

// configure takes in the configuration as the store holds it.
func (e *Edge) configure(u follower.Update) {
	item, ok := u.Items[e.sources.ConfigKey]
	if !ok {
		return
	}
	current, _ := e.tracker.Current()
	if current != nil && !slices.Contains(u.Changed, e.sources.ConfigKey) {
		e.tracker.Confirm(u.At)
		return
	}
	content, err := e.sources.DecodeConfig(item.Value)
	if err != nil {
		e.log.Error().Err(err).Uint64("revision", item.Revision).Msg("config: not understood")
		return
	}
	m := matcher.New(content)
	if !e.tracker.Accept(m, u.At) {
		return
	}
	e.director.Configure(m)
	e.log.Info().Uint64("version", m.Version()).Uint64("revision", item.Revision).Int("routes", len(content.Routes)).
		Int("accounts", len(content.Accounts)).Msg("config: in force")
}

// list takes in the endpoint list as the store holds it.
func (e *Edge) list(u follower.Update) {
	now := clock.Boot()
	e.mu.Lock()
	defer e.mu.Unlock()
	keys := u.Changed
	if u.Whole {
		keys = append(slices.Collect(maps.Keys(u.Items)), e.lister.Keys()...)
	}
	var changed []lister.Entry
	for _, key := range keys {
		entry := e.entry(key, u)
		if e.lister.Apply(entry, now) {
			changed = append(changed, entry)
		}
	}
	e.relist(changed, "store")
	if !e.listed {
		e.listed = true
		e.lister.Settle()
	}
}

// entry decodes what an update holds under a key; what can't be read names no endpoint.
func (e *Edge) entry(key string, u follower.Update) lister.Entry {
	item, ok := u.Items[key]
	if !ok {
		return lister.Entry{Key: key, Revision: u.Revision, Gone: true}
	}
	endpoint, err := e.sources.DecodeEndpoint(key, item.Value)
	if err != nil {
		e.log.Warn().Str("key", key).Err(err).Msg("list: entry not understood")
		return lister.Entry{Key: key, Revision: item.Revision, Gone: true}
	}
	return lister.Entry{Key: key, Revision: item.Revision, Endpoint: endpoint}
}

// relist brings changes of the list into force. The lock must be held.
func (e *Edge) relist(changed []lister.Entry, from string) {
	if len(changed) == 0 {
		return
	}
	for _, c := range changed {
		e.log.Info().Str("key", c.Key).Str("from", from).Uint64("revision", c.Revision).Bool("gone", c.Gone).
			Str("address", c.Endpoint.Address).Str("service", c.Endpoint.Service).Bool("prefill", c.Endpoint.Prefill).
			Bool("leaving", c.Endpoint.Leaving).Msg("list: endpoint")
	}
	e.director.List(e.lister.Endpoints())
}

// Ready tells whether the process takes new callers: a current configuration and endpoints are known.
func (e *Edge) Ready() bool {
	m, age := e.tracker.Current()
	return m != nil && age < readyAge && !e.draining.Load() && e.director.Endpoints() > 0
}

// Limits returns the bounds on requests in force.
func (e *Edge) Limits() (l matcher.Limits, ok bool) {
	m, _ := e.tracker.Current()
	if m == nil {
		return matcher.Limits{}, false
	}
	return m.Limits(), true
}

// Closing tells whether connections are to be closed after their answers.
func (e *Edge) Closing() bool {
	return e.draining.Load()
}

// Serving answers callers.
type Serving struct {
	*Edge
}

// Serve answers one request.
func (s Serving) Serve(ctx context.Context, w http.ResponseWriter, r *forwarder.Request) {
	s.forwarder.Serve(ctx, w, r)
}

// Drain asks for no new callers and returns when all work has ended, or just before the process must end.
func (e *Edge) Drain(ctx context.Context) {
	e.draining.Store(true)
	e.log.Info().Int("busy", e.director.Busy()).Msg("gateway: draining")
	began := clock.Boot()
	e.forwarder.StopAt(began + e.options.DrainGrace - drainMargin)
	for ctx.Err() == nil {
		spent := clock.Boot() - began
		if spent > e.options.DrainGrace-drainMargin || (spent > drainLinger && e.director.Busy() == 0) {
			break
		}
		supervision.Sleep(ctx, drainPoll)
	}
	e.log.Info().Int("busy", e.director.Busy()).Msg("gateway: drained")
}

// sweeper closes unused connections.
type sweeper struct {
	pool *exchanger.Exchanger
}

// Serve sweeps until the context ends.
func (s *sweeper) Serve(ctx context.Context) error {
	return supervision.Every(ctx, sweepEvery, s.pool.Sweep)
}
