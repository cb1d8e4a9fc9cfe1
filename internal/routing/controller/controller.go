// Package controller holds all decisions of one gateway behind one lock: which requests may run, on which endpoints,
// and what the peers have decided in the meantime. The decisions themselves are made in planner, balancer,
// profiler, rebalancer, fencer, capper, retrier and crashtracker.
package controller

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/pistachiovane/pistachiovane/internal/config/matcher"
	"github.com/pistachiovane/pistachiovane/internal/config/tracker"
	"github.com/pistachiovane/pistachiovane/internal/fleet/lister"
	"github.com/pistachiovane/pistachiovane/internal/limits/capper"
	"github.com/pistachiovane/pistachiovane/internal/limits/crashtracker"
	"github.com/pistachiovane/pistachiovane/internal/limits/retrier"
	"github.com/pistachiovane/pistachiovane/internal/process/clock"
	"github.com/pistachiovane/pistachiovane/internal/proxy/registrar"
	"github.com/pistachiovane/pistachiovane/internal/routing/balancer"
	"github.com/pistachiovane/pistachiovane/internal/routing/fencer"
	"github.com/pistachiovane/pistachiovane/internal/routing/planner"
	"github.com/pistachiovane/pistachiovane/internal/routing/profiler"
	"github.com/pistachiovane/pistachiovane/internal/routing/rebalancer"
	"github.com/pistachiovane/pistachiovane/internal/routing/suspender"
	"github.com/pistachiovane/pistachiovane/pkg/scheduler"
)

// tickInterval is the interval at which queued generations are reconsidered.
const tickInterval = 20 * time.Millisecond

const (
	// maxStageChangeTime is the longest time from the order to change the stage of an endpoint until the endpoint
	// list shows the new stage.
	maxStageChangeTime = 9 * time.Second
	// totalsReportTime is the time for which a change of the total of an account is repeated in messages, so that peers
	// learn of it even if a message is lost. One of every messagesPerFullTotals messages contains the totals of all
	// accounts.
	totalsReportTime      = 2 * time.Second
	messagesPerFullTotals = 16
	// undatedFleetSizeTime is how long the number of gateways in a message of unknown age is used. A number that is too large
	// leaves fewer tokens to this gateway; the next message has an age.
	undatedFleetSizeTime = time.Second
	// undatedReportAge is the age that is assumed of a report of admitted tokens in a message of unknown age. Older builds send
	// all their messages without one and must not seem to have timed out.
	undatedReportAge = 500 * time.Millisecond
	// maxAvailableTokensAge is the age of a message up to which the available tokens in it are taken over after a start.
	maxAvailableTokensAge = time.Second
	// maxLoadMessageAge is the age of a message from which on the loads in it are over.
	maxLoadMessageAge = 1500 * time.Millisecond
	// minLoggedConfigAge is the age of the configuration from which on its next confirmation by a peer is logged.
	minLoggedConfigAge = 2 * time.Second
)

// Components are the parts that a controller combines. The controller becomes their only user, except for Clock,
// Tracker and Log.
type Components struct {
	Clock        clock.Clock
	Tracker      *tracker.Tracker
	Planner      *planner.Planner
	Balancer     *balancer.Balancer
	Capper       *capper.Capper
	Retrier      *retrier.Retrier
	Rebalancer   *rebalancer.Rebalancer
	Profiler     *profiler.Profiler
	Fencer       *fencer.Fencer
	CrashTracker *crashtracker.CrashTracker
	// Suspender must be the one that Planner and Balancer use.
	Suspender *suspender.Suspender
	// InitialUsage is the use of endpoint time that is assumed until the first generation was measured. Zero means that
	// nothing is assumed.
	InitialUsage profiler.Usage
	Log          *log.Logger
}

// Controller combines the decisions of one gateway. It is safe for concurrent use.
type Controller struct {
	clock   clock.Clock
	tracker *tracker.Tracker
	log     *log.Logger

	// requests holds the requests in progress.
	requests *registrar.Registrar

	// mu guards all fields below except announcer and wake.
	mu           sync.Mutex
	planner      *planner.Planner
	balancer     *balancer.Balancer
	capper       *capper.Capper
	retrier      *retrier.Retrier
	rebalancer   *rebalancer.Rebalancer
	profiler     *profiler.Profiler
	fencer       *fencer.Fencer
	crashTracker *crashtracker.CrashTracker
	suspender    *suspender.Suspender
	// initialUsage is the assumed use of endpoint time. It is zero once a generation was measured at any gateway.
	initialUsage profiler.Usage
	// config is the active configuration, or nil before the first one. endpoints is the endpoint list.
	config    *matcher.Matcher
	endpoints []lister.Endpoint
	// usable holds the stages of the listed endpoints that may get requests as far as the list says, by ID.
	usable map[string]planner.Stage
	// pendingDecisions holds, by request ID, the channels of callers that wait for a decision. They have a buffer of
	// one, so that delivery under the lock does not block.
	pendingDecisions map[uint64]chan planner.Decision
	lastRequestID    uint64
	// callQueues holds the calls that wait for the end of a pause, by service.
	callQueues map[string]*scheduler.Scheduler[*waitingCall]
	// leavingServices holds the services that have endpoints, all of which leave.
	leavingServices map[string]bool
	// peers holds the peers that a message was received from.
	peers map[string]bool
	// announcer is nil if the gateway has no peers to send to. It is set before the first request.
	announcer Announcer
	// composedMessages is the number of messages composed so far.
	composedMessages uint64
	// wake starts the ticks of Serve after a generation was queued.
	wake chan struct{}
}

// New returns a controller of the given components.
func New(c Components) *Controller {
	return &Controller{
		clock: c.Clock, tracker: c.Tracker, planner: c.Planner, balancer: c.Balancer, capper: c.Capper, retrier: c.Retrier,
		rebalancer: c.Rebalancer, profiler: c.Profiler, fencer: c.Fencer, crashTracker: c.CrashTracker, suspender: c.Suspender,
		initialUsage: c.InitialUsage, log: c.Log, requests: registrar.New(),
		pendingDecisions: map[uint64]chan planner.Decision{}, peers: map[string]bool{}, callQueues: map[string]*scheduler.Scheduler[*waitingCall]{}, wake: make(chan struct{}, 1),
	}
}

// Serve reconsiders queued generations until the context ends. It returns the error of the context.
func (c *Controller) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wake:
		}
		c.tickWhileQueued(ctx)
	}
}

// tickWhileQueued ticks the planner until no generation is queued or the context ends.
func (c *Controller) tickWhileQueued(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.mu.Lock()
		c.deliver(c.planner.Tick(c.clock()))
		queued := c.planner.QueueLength() + c.tickCalls(c.clock())
		c.mu.Unlock()
		if queued == 0 {
			return
		}
	}
}

// Configure makes a configuration the active one: it sets the limits of all accounts and updates the endpoints.
func (c *Controller) Configure(m *matcher.Matcher) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config = m
	accounts := m.Accounts()
	limits := make([]capper.AccountLimit, 0, len(accounts))
	for _, a := range accounts {
		limits = append(limits, capper.AccountLimit{
			Account: a.Name, TokensPerSecond: a.TokensPerSecond, BurstTokens: a.BurstTokens,
		})
	}
	c.capper.SetLimits(limits, c.clock())
	c.distributeEndpoints()
}

// SetEndpoints replaces the endpoint list.
func (c *Controller) SetEndpoints(endpoints []lister.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpoints = endpoints
	c.setSuspenderEndpoints()
	c.setCrashTrackerEndpoints()
	c.distributeEndpoints()
}

// distributeEndpoints passes the endpoints that may get new requests to the planner and the balancer. The lock must
// be held.
func (c *Controller) distributeEndpoints() {
	var modelEndpoints []planner.Endpoint
	var plainEndpoints []balancer.Endpoint
	recent := c.rebalancer.RecentOrders(maxStageChangeTime, c.clock())
	c.leavingServices = make(map[string]bool)
	c.usable = make(map[string]planner.Stage, len(c.endpoints))
	for _, e := range c.endpoints {
		if _, seen := c.leavingServices[e.Service]; !seen {
			c.leavingServices[e.Service] = true
		}
		order, ordered := recent[e.ID]
		// While an endpoint is changing its stage, the list still shows the old one.
		changingStage := ordered && order.ToPrefill != e.Prefill
		if !e.Leaving && !changingStage {
			c.usable[e.ID] = stageOf(e)
		}
		if c.isLeaving(&e) {
			continue
		}
		c.leavingServices[e.Service] = false
		switch {
		case changingStage:
		case e.Model:
			modelEndpoints = append(modelEndpoints, c.modelEndpoint(e))
		default:
			plainEndpoints = append(plainEndpoints, balancer.Endpoint{
				ID: e.ID, Address: e.Address, Service: e.Service, Domain: e.Domain, Slots: e.Slots,
			})
		}
	}
	c.planner.SetEndpoints(modelEndpoints)
	c.balancer.SetEndpoints(plainEndpoints)
}

// modelEndpoint converts a listed model endpoint for the planner. Its KV memory is that of the engine in the active
// configuration, or zero if that does not define an engine for the service. The lock must be held.
func (c *Controller) modelEndpoint(e lister.Endpoint) planner.Endpoint {
	out := planner.Endpoint{
		ID: e.ID, Address: e.Address, Service: e.Service, Domain: e.Domain, Stage: stageOf(e), Slots: e.Slots,
	}
	if c.config == nil {
		return out
	}
	if s, ok := c.config.Service(e.Service); ok && s.Engine != nil {
		out.MemoryTokens = s.Engine.KVCapacityTokens
	}
	return out
}

// stageOf returns the stage of a listed endpoint. It is zero for endpoints of plain services.
func stageOf(e lister.Endpoint) planner.Stage {
	switch {
	case !e.Model:
		return 0
	case e.Prefill:
		return planner.Prefill
	default:
		return planner.Decode
	}
}

// EndpointCount returns the number of listed endpoints whose entry does not say that they leave.
func (c *Controller) EndpointCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, e := range c.endpoints {
		if !e.Leaving {
			n++
		}
	}
	return n
}

// Requests returns the requests in progress. Who serves a request adds it.
func (c *Controller) Requests() *registrar.Registrar {
	return c.requests
}

// QueueLength returns the number of generations that are queued until an endpoint has room for them.
func (c *Controller) QueueLength() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.planner.QueueLength()
}

// AvailableTokens returns the tokens that each client account may still spend, by account name.
func (c *Controller) AvailableTokens() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.capper.AvailableTokens(c.clock())
}

// Admit charges the tokens of a request to a client account. If ok is false, nothing was charged, and wait is the time
// after which the request may be admitted.
func (c *Controller) Admit(account string, tokens int) (wait time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.capper.Admit(account, float64(tokens), c.clock())
}

// Refund gives a client account back the tokens of a request that was admitted but did not run.
func (c *Controller) Refund(account string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capper.Refund(account, float64(tokens), c.clock())
}

// CreditRetryBudget records a request for a service, which adds to the retry budget of the service.
func (c *Controller) CreditRetryBudget(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retrier.RecordRequest(service, c.clock())
}

// SpendRetryBudget takes one retry from the budget of a service. It returns false if the budget is used up.
func (c *Controller) SpendRetryBudget(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retrier.TakeRetry(service, c.clock())
}

// UpdatePlanner calls a function on the planner under the lock and delivers the decisions that it returns.
func (c *Controller) UpdatePlanner(change func(p *planner.Planner, now time.Duration) []planner.Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliver(change(c.planner, c.clock()))
	c.logEjectionChanges("own call")
}

// logEjectionChanges logs each model endpoint that was ejected or restored since the last call. from names the
// origin of the change: an own call, or the address of a peer. The lock must be held.
func (c *Controller) logEjectionChanges(from string) {
	for _, e := range c.planner.TakeEjectionChanges() {
		if e.Failures == 0 {
			c.log.Info().Str("endpoint", e.Endpoint).Str("from", from).Msg("endpoint: restored")
			continue
		}
		c.log.Info().Str("endpoint", e.Endpoint).Str("from", from).Int("failures", e.Failures).
			Int64("for_ms", e.Duration.Milliseconds()).Msg("endpoint: ejected")
	}
}

// ReportFailure records that a model endpoint failed and announces it to the peers, so that they eject it without
// failures of their own.
func (c *Controller) ReportFailure(endpoint string) {
	c.mu.Lock()
	c.planner.RecordFailure(endpoint, c.clock())
	c.logEjectionChanges("own call")
	c.mu.Unlock()
	c.announce(endpoint)
}

// UpdateBalancer calls a function on the balancer under the lock.
func (c *Controller) UpdateBalancer(change func(b *balancer.Balancer, now time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.balancer, c.clock())
}
