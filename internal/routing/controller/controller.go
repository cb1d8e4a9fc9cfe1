// Package controller holds the decisions of one gateway behind one lock: who may run, where, and what the other
// gateways have decided meanwhile. The decisions themselves are in planner, balancer, capper and retrier.
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
	"github.com/pistachiovane/pistachiovane/internal/routing/balancer"
	"github.com/pistachiovane/pistachiovane/internal/routing/planner"
	"github.com/pistachiovane/pistachiovane/internal/routing/rebalancer"
	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
)

// tickInterval is how often waiting generations are looked at.
const tickInterval = 20 * time.Millisecond

const (
	// maxStageChangeTime is how long an endpoint's change of stage takes to show in the list, at most.
	maxStageChangeTime = 9 * time.Second
	// totalsReportTime is how long a change of an account's total is told, so that a lost message does no harm; every wholeEvery-th
	// message has all totals.
	totalsReportTime      = 2 * time.Second
	messagesPerFullTotals = 16
	// maxComposePause is the longest pause between two own messages of a process that has run all the while. After a longer
	// one, messages that are read may have waited, and the ages in them are too young.
	maxComposePause = time.Second
	// assumedTransitTime is taken off for a message's way.
	assumedTransitTime = 50 * time.Millisecond
)

// Components are the decisions that a controller holds.
type Components struct {
	Clock        clock.Clock
	Tracker      *tracker.Tracker
	Planner      *planner.Planner
	Balancer     *balancer.Balancer
	Capper       *capper.Capper
	Retrier      *retrier.Retrier
	Rebalancer   *rebalancer.Rebalancer
	CrashTracker *crashtracker.CrashTracker
	Log          *log.Logger
}

// Controller is safe for concurrent use.
type Controller struct {
	clock   clock.Clock
	tracker *tracker.Tracker
	log     *log.Logger

	mu           sync.Mutex
	planner      *planner.Planner
	balancer     *balancer.Balancer
	capper       *capper.Capper
	retrier      *retrier.Retrier
	rebalancer   *rebalancer.Rebalancer
	crashTracker *crashtracker.CrashTracker
	// config is the configuration that the parts were set to; listed are the endpoints.
	config           *matcher.Matcher
	endpoints        []lister.Endpoint
	pendingDecisions map[uint64]chan planner.Decision
	lastRequestID    uint64
	// activeRequests counts requests in progress.
	activeRequests int
	peers          map[string]bool
	// announcer is nil where nobody is to be told.
	announcer Announcer
	// lastComposedAt is when the own state was composed last.
	lastComposedAt   time.Duration
	composedMessages uint64
	wake             chan struct{}
}

// New returns a controller of the parts; they must not be used by others.
func New(p Components) *Controller {
	return &Controller{
		clock: p.Clock, tracker: p.Tracker, planner: p.Planner, balancer: p.Balancer, capper: p.Capper, retrier: p.Retrier, rebalancer: p.Rebalancer, crashTracker: p.CrashTracker,
		log:              p.Log,
		pendingDecisions: map[uint64]chan planner.Decision{}, peers: map[string]bool{}, wake: make(chan struct{}, 1),
	}
}

// Serve looks at waiting generations until the context ends.
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

// tickWhileQueued runs while generations wait.
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
		queued := c.planner.QueueLength()
		c.mu.Unlock()
		if queued == 0 {
			return
		}
	}
}

// Configure brings a configuration into force.
func (c *Controller) Configure(m *matcher.Matcher) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config = m
	accounts := m.Accounts()
	limits := make([]capper.AccountLimit, 0, len(accounts))
	for _, a := range accounts {
		limits = append(limits, capper.AccountLimit{Account: a.Name, TokensPerSecond: a.TokensPerSecond, BurstTokens: a.BurstTokens})
	}
	c.capper.SetLimits(limits, c.clock())
	c.distributeEndpoints()
}

// SetEndpoints brings a list of endpoints into force.
func (c *Controller) SetEndpoints(endpoints []lister.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpoints = endpoints
	c.distributeEndpoints()
}

// distributeEndpoints hands the endpoints that may get new work to planner and balancer.
func (c *Controller) distributeEndpoints() {
	var models []planner.Endpoint
	var services []balancer.Endpoint
	recent := c.rebalancer.RecentOrders(maxStageChangeTime, c.clock())
	for _, e := range c.endpoints {
		if e.Leaving {
			continue
		}
		if _, ordered := recent[e.ID]; ordered && e.Prefill {
			// The order is under way; the list still shows the stage before.
			continue
		}
		if e.Model {
			models = append(models, c.modelEndpoint(e))
			continue
		}
		services = append(services, balancer.Endpoint{ID: e.ID, Address: e.Address, Service: e.Service, Domain: e.Domain, Slots: e.Slots})
	}
	c.planner.SetEndpoints(models)
	c.balancer.SetEndpoints(services)
}

func (c *Controller) modelEndpoint(e lister.Endpoint) planner.Endpoint {
	out := planner.Endpoint{ID: e.ID, Address: e.Address, Service: e.Service, Domain: e.Domain, Stage: planner.Decode, Slots: e.Slots}
	if e.Prefill {
		out.Stage = planner.Prefill
	}
	if c.config == nil {
		return out
	}
	if s, ok := c.config.Service(e.Service); ok && s.Engine != nil {
		out.MemoryTokens = s.Engine.KVCapacityTokens
	}
	return out
}

// EndpointCount returns how many endpoints may get new work.
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

// TrackRequest counts a request in progress; the returned function ends it.
func (c *Controller) TrackRequest() (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeRequests++
	return c.untrackRequest
}

func (c *Controller) untrackRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeRequests--
}

// ActiveRequests returns how many requests are in progress.
func (c *Controller) ActiveRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.activeRequests
}

// QueueLength returns how many generations wait for room.
func (c *Controller) QueueLength() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.planner.QueueLength()
}

// AvailableTokens returns the tokens that each account has left.
func (c *Controller) AvailableTokens() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.capper.AvailableTokens(c.clock())
}

// Admit charges an account; where it may not run now, wait tells when it may.
func (c *Controller) Admit(account string, tokens int) (wait time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.capper.Admit(account, float64(tokens), c.clock())
}

// Refund gives back the charge of a request that did not run.
func (c *Controller) Refund(account string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capper.Refund(account, float64(tokens), c.clock())
}

// CreditRetryBudget counts a request for a service.
func (c *Controller) CreditRetryBudget(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retrier.RecordRequest(service, c.clock())
}

// SpendRetryBudget takes one repeat from the service's budget.
func (c *Controller) SpendRetryBudget(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retrier.TakeRetry(service, c.clock())
}

// ScheduleGeneration waits until a generation may start, is refused, or its context ends; in the last case the verdict is
// empty. The request's ID is set here. After a plan, End must be called.
func (c *Controller) ScheduleGeneration(ctx context.Context, r planner.Request) (uint64, planner.Decision) {
	c.mu.Lock()
	c.lastRequestID++
	r.ID = c.lastRequestID
	c.mu.Unlock()
	d := c.submitAndWait(ctx, r.ID, func(now time.Duration) []planner.Decision { return c.planner.Submit(r, now) })
	c.announcePlan(d.Plan)
	return r.ID, d
}

// RescheduleGeneration waits for another plan for a generation whose decode endpoint turned out to be full, as Place does.
func (c *Controller) RescheduleGeneration(ctx context.Context, id uint64) planner.Decision {
	d := c.submitAndWait(ctx, id, func(now time.Duration) []planner.Decision { return c.planner.Requeue(id, now) })
	c.announcePlan(d.Plan)
	return d
}

// submitAndWait hands a generation to the planner and waits for its verdict.
func (c *Controller) submitAndWait(ctx context.Context, id uint64, submit func(now time.Duration) []planner.Decision) planner.Decision {
	done := make(chan planner.Decision, 1)
	c.mu.Lock()
	c.pendingDecisions[id] = done
	c.deliver(submit(c.clock()))
	if c.pendingDecisions[id] != nil {
		c.wakeTicker()
	}
	c.mu.Unlock()
	return c.awaitDecision(ctx, id, done)
}

func (c *Controller) awaitDecision(ctx context.Context, id uint64, done <-chan planner.Decision) planner.Decision {
	select {
	case d := <-done:
		return d
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pendingDecisions, id)
	select {
	case d := <-done:
		return d
	default:
	}
	c.deliver(c.planner.End(id, c.clock()))
	return planner.Decision{}
}

func (c *Controller) wakeTicker() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// deliver hands verdicts to those who wait for them. The lock must be held.
func (c *Controller) deliver(decisions []planner.Decision) {
	for _, d := range decisions {
		if done, ok := c.pendingDecisions[d.RequestID]; ok {
			delete(c.pendingDecisions, d.RequestID)
			done <- d
		}
	}
}

// UpdatePlanner runs a change of the planner; verdicts that it returns are delivered.
func (c *Controller) UpdatePlanner(change func(p *planner.Planner, now time.Duration) []planner.Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deliver(change(c.planner, c.clock()))
	c.logEjectionChanges("own call")
}

// logEjectionChanges writes a line for each endpoint that is now left alone, or used again. The lock must be held.
func (c *Controller) logEjectionChanges(from string) {
	for _, s := range c.planner.TakeEjectionChanges() {
		if s.Failures == 0 {
			c.log.Info().Str("endpoint", s.Endpoint).Str("from", from).Msg("endpoint: restored")
			continue
		}
		c.log.Info().Str("endpoint", s.Endpoint).Str("from", from).Int("failures", s.Failures).
			Int64("for_ms", s.Duration.Milliseconds()).Msg("endpoint: ejected")
	}
}

// ReportFailure records that a model endpoint failed, and tells the other gateways, so that not each has to find out.
func (c *Controller) ReportFailure(endpoint string) {
	c.mu.Lock()
	c.planner.RecordFailure(endpoint, c.clock())
	c.logEjectionChanges("own call")
	c.mu.Unlock()
	c.announce(endpoint)
}

// UpdateBalancer runs a change of the balancer.
func (c *Controller) UpdateBalancer(change func(b *balancer.Balancer, now time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.balancer, c.clock())
}

// UpdateCrashTracker runs a change of the crash tracker.
func (c *Controller) UpdateCrashTracker(change func(t *crashtracker.CrashTracker, now time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c.crashTracker, c.clock())
}

// IsQuarantined tells whether a request has crashed so many endpoints that it is not to be sent again.
func (c *Controller) IsQuarantined(f quarantiner.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashTracker.MustRefuse(f, c.clock())
}
