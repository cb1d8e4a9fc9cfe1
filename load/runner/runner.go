// Package runner drives the real decision code of gateways and agents against engine models in virtual time, and
// measures what callers get. A run is deterministic: equal options, seed included, give equal results.
package runner

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/load/workload"
	"github.com/pistachiovane/pistachiovane/pkg/allocator"
	"github.com/pistachiovane/pistachiovane/pkg/bucket"
	"github.com/pistachiovane/pistachiovane/pkg/dispatcher"
	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
	"github.com/pistachiovane/pistachiovane/pkg/limiter"
	"github.com/pistachiovane/pistachiovane/pkg/router"
)

const (
	modelName = "drafting"
	// warmUp is the time before the first request, in which the gateways acquire their shares and the buckets fill.
	warmUp = 30 * time.Second
	// drainTime is the time from the end of arrivals to the end of the run, in which open requests finish.
	drainTime = 120 * time.Second
	// periodicWorkInterval is the time between two calls of runPeriodicWork.
	periodicWorkInterval = 250 * time.Millisecond
	// tickInterval is the time between two runs of the dispatchers' timers and of the expiry of reservations.
	tickInterval = 50 * time.Millisecond
	// limitHeadroom is the ratio of an account's rate limit to its part of the fleet's capacity.
	limitHeadroom = 1.1
	// burstSeconds is the burst of an account divided by its rate, in seconds; setLimits sets a minimum burst.
	burstSeconds = 20.0
)

// Options describe a run.
type Options struct {
	Fleet Fleet
	// Policy is one of the router's policies "probe", "leastloaded", "roundrobin" and "random", or a variant that
	// switches one mechanism off: "late" (probe, but the decode slot is reserved after prefill), "split" (probe,
	// but a gateway charges only its own share of a limit), "fifo" (probe, but without fairness between client
	// accounts), "firstcome" (probe, but endpoints hold no slots for gateways that have few) and "naive" (random, and the
	// decode slot is reserved after prefill).
	Policy string
	Seed   uint64
	// Load is the offered load as a fraction of the fleet's capacity, before NoisyAccountFactor.
	Load float64
	// Duration is the length of the period in which requests arrive, in virtual time.
	Duration time.Duration
	// FaultSchedule is "none", "daily" or "storm"; see scheduleFaults. Empty means none.
	FaultSchedule string
	// CancelRatio is the fraction of requests that their callers cancel.
	CancelRatio float64
	// NoisyAccountFactor multiplies the number of requests of the third account. Zero means 1.
	NoisyAccountFactor float64
	// PinAccounts sends all requests of a client account to the same gateway, in place of a random one.
	PinAccounts bool
}

// policy is the parsed form of Options.Policy.
type policy struct {
	routing router.Policy
	// reserveAfterPrefill reserves the decode slot after the prefill instead of before it.
	reserveAfterPrefill bool
	// ownShareOnly lets a gateway charge requests only to its own share of a limit, not to those of its peers.
	ownShareOnly bool
	// fifo queues the requests of all client accounts as if one account had sent them.
	fifo bool
	// firstCome gives a free slot of an endpoint to the first gateway that asks, however many it has.
	firstCome bool
}

// request is one request of the workload and its progress.
type request struct {
	workload.Request
	// number is the position of the request in the workload, id its request ID at its gateway.
	number  uint64
	id      uint64
	gateway *gateway
	charges []charge
	// receivedTokens is the number of tokens that the caller received. It is also the index that the next token
	// must have.
	receivedTokens int
	// firstTokenAt and lastTokenAt are the virtual times of the first and the latest token; they are zero before
	// the first.
	firstTokenAt time.Duration
	lastTokenAt  time.Duration
	// slowGaps is the number of gaps between tokens longer than targetITL.
	slowGaps int
	// prefilledTokens is the number of prompt tokens that engines prefilled for the request, over all attempts.
	prefilledTokens int
	// ended is set when the request was answered, refused, cancelled or cut off by a crash of its gateway.
	ended bool
	// complete is set when the caller received the whole answer.
	complete bool
	// withinLimit is set when the central bucket of the client account admits the request.
	withinLimit bool
}

// Runner is one run of the simulation. It is for one call of Run and not safe for concurrent use.
type Runner struct {
	options  Options
	policy   policy
	timeline timeline
	// agents holds the simulated endpoints by endpoint ID; endpointIDs lists them in a fixed order.
	agents      map[string]*agent
	endpointIDs []string
	gateways    []*gateway
	// limits holds the limit of each client account, by account index.
	limits []limiter.Limit
	// centralBuckets holds one bucket for each client account, as a single limiter for the whole fleet would keep
	// it. They decide which refusals are wrongful.
	centralBuckets []bucket.Bucket
	requests       []*request
	rng            *rand.Rand
	recorder       recorder
}

// New prepares a run. It fails on an unknown policy or fault schedule.
func New(o Options) (*Runner, error) {
	r := &Runner{options: o, agents: make(map[string]*agent), rng: rand.New(rand.NewPCG(o.Seed, 77))}
	p, err := parsePolicy(o.Policy)
	if err != nil {
		return nil, err
	}
	r.policy = p
	r.recorder = newRecorder(len(o.Fleet.Accounts))
	r.setLimits()
	for i := range o.Fleet.PrefillEndpoints {
		r.addAgent(endpoint.Prefill, i)
	}
	for i := range o.Fleet.DecodeEndpoints {
		r.addAgent(endpoint.Decode, i)
	}
	for i := range o.Fleet.Gateways {
		r.gateways = append(r.gateways, newGateway(r, i))
	}
	return r, r.scheduleFaults()
}

// parsePolicy returns the policy of the given name; see Options.Policy. It fails on an unknown name.
func parsePolicy(name string) (policy, error) {
	p := policy{
		reserveAfterPrefill: name == "late" || name == "naive", ownShareOnly: name == "split", fifo: name == "fifo",
		firstCome: name == "firstcome",
	}
	switch name {
	case "late", "split", "fifo", "firstcome":
		name = "probe"
	case "naive":
		name = "random"
	}
	routing, ok := router.PolicyByName(name)
	if !ok {
		return policy{}, errors.Errorf("policy %q is not known", name)
	}
	p.routing = routing
	return p, nil
}

// Run simulates the warm-up, the arrivals and the drain time, and returns what was measured.
func (r *Runner) Run() Result {
	capacity := r.options.Fleet.CapacityPerSecond()
	accounts := append([]workload.Account(nil), r.options.Fleet.Accounts...)
	if r.options.NoisyAccountFactor > 0 {
		accounts[2].LoadFactor = r.options.NoisyAccountFactor
	}
	requests := workload.Draw(workload.Options{
		Accounts: accounts, RequestsPerSecond: r.options.Load * capacity, Duration: r.options.Duration,
		DraftRatio: 0.3, CancelRatio: r.options.CancelRatio, Seed: r.options.Seed,
	})
	r.runPeriodicWork()
	r.tick()
	for i := range requests {
		q := &request{Request: requests[i], number: uint64(i)}
		r.requests = append(r.requests, q)
		r.timeline.after(warmUp+q.ArrivalTime, func() { r.arrive(q) })
	}
	r.timeline.runUntil(warmUp + r.options.Duration + drainTime)
	return r.result(capacity)
}

// setLimits gives every client account a limit in proportion to its part of the fleet's capacity.
func (r *Runner) setLimits() {
	promptTokens, outputTokens := workload.MeanTokens(1)
	tokensPerSecond := r.options.Fleet.CapacityPerSecond() * (promptTokens + outputTokens) * limitHeadroom
	for _, a := range r.options.Fleet.Accounts {
		rate := tokensPerSecond * a.CapacityFraction
		// The burst has room for at least a few of the largest requests.
		burst := max(rate*burstSeconds, 100000)
		r.limits = append(r.limits, limiter.Limit{Account: a.Name, Rate: rate, Burst: burst})
		r.centralBuckets = append(r.centralBuckets, bucket.NewFull(rate, burst, 0))
	}
}

// addAgent adds the endpoint number i of a role.
func (r *Runner) addAgent(role endpoint.Role, i int) {
	e := endpoint.Endpoint{
		ID: fmt.Sprintf("%s-%d", role, i), Domain: r.domain(i), Model: modelName, Role: role,
		Slots: r.options.Fleet.Engine.DecodeSlots,
	}
	r.agents[e.ID] = newAgent(r, e)
	r.endpointIDs = append(r.endpointIDs, e.ID)
}

// domain returns the failure domain of gateway or endpoint number i: "a" and the letters that follow it, in turn.
func (r *Runner) domain(i int) string {
	return string(rune('a' + i%r.options.Fleet.Domains))
}

// delay returns the one-way network delay between two failure domains.
func (r *Runner) delay(a, b string) time.Duration {
	if a == b {
		return r.options.Fleet.LocalDelay
	}
	return r.options.Fleet.RemoteDelay
}

// shareHolders returns all gateways in the order in which a gateway charges their shares: itself first, then its
// peers.
func (r *Runner) shareHolders(first *gateway) []*gateway {
	holders := []*gateway{first}
	for _, g := range r.gateways {
		if g != first {
			holders = append(holders, g)
		}
	}
	return holders
}

// runPeriodicWork runs the periodic work of all gateways and schedules its next run.
func (r *Runner) runPeriodicWork() {
	view := allocator.View{Version: 1}
	for _, g := range r.gateways {
		view.Members = append(view.Members, g.name)
	}
	for _, g := range r.gateways {
		g.runPeriodicWork(view)
	}
	r.timeline.after(periodicWorkInterval, r.runPeriodicWork)
}

// tick runs the dispatchers' timers, expires reservations and schedules the next tick.
func (r *Runner) tick() {
	for _, g := range r.gateways {
		g.executeCommands(g.dispatcher.Tick(g.clock()))
	}
	for _, id := range r.endpointIDs {
		r.agents[id].reserver.Expire(r.timeline.now)
	}
	r.timeline.after(tickInterval, r.tick)
}

// arrive sends a request to a random gateway, as the platform's load balancer does, or to the gateway of its client
// account when accounts are pinned. The gateway admits it or refuses it because of the account's limit.
func (r *Runner) arrive(q *request) {
	g := r.gateways[r.rng.IntN(len(r.gateways))]
	if r.options.PinAccounts {
		g = r.gateways[q.AccountIndex%len(r.gateways)]
	}
	account := r.limits[q.AccountIndex].Account
	tokens := float64(q.PromptTokens + q.MaxOutputTokens)
	_, withinLimit := r.centralBuckets[q.AccountIndex].Take(float64(q.PromptTokens+q.OutputTokens), r.timeline.now)
	q.withinLimit = withinLimit
	charges, ok := g.admit(account, tokens)
	if !ok {
		q.ended = true
		r.recorder.recordRefusal(q, reasonRateLimit)
		return
	}
	q.charges = charges
	g.submit(q)
	if q.CancelAfter > 0 {
		r.timeline.after(q.CancelAfter, func() { r.cancel(q) })
	}
}

// cancel ends a request whose caller disconnects, unless it has ended already.
func (r *Runner) cancel(q *request) {
	if q.ended {
		return
	}
	q.ended = true
	r.recorder.cancellations++
	settle(q.charges, float64(q.MaxOutputTokens-q.receivedTokens))
	q.gateway.cancel(q)
}

// deliverToken passes a token of an attempt to the caller and records the time to first token or the time since the
// previous token. A token out of order is a violation. A token is dropped when its request is no longer open or its
// gateway has restarted since it sent the attempt.
func (r *Runner) deliverToken(a *attempt, index int) {
	q := a.request
	if q.gateway.openRequests[q.id] != q || a.key.Owner != a.gateway.owner() {
		return
	}
	arrivesAt := r.timeline.now + r.delay(a.gateway.domain, r.agents[a.command.Endpoint].endpoint.Domain)
	if index != q.receivedTokens {
		r.recorder.recordViolation(
			fmt.Sprintf("order: request %d got token %d, %d was next", q.number, index, q.receivedTokens))
	}
	q.receivedTokens++
	a.gateway.handleEvent(dispatcher.Event{
		Kind: dispatcher.TokensSent, Request: q.id, Attempt: a.command.Attempt, Tokens: 1,
	})
	if q.firstTokenAt == 0 {
		q.firstTokenAt = arrivesAt
		r.recorder.recordFirstToken(q, arrivesAt-warmUp-q.ArrivalTime)
	} else if gap := arrivesAt - q.lastTokenAt; r.recorder.recordGap(gap) {
		q.slowGaps++
	}
	q.lastTokenAt = arrivesAt
}

// finish ends an answered request. It is a violation when the request has ended before or the answer lacks tokens.
func (r *Runner) finish(q *request) {
	if q.ended {
		r.recorder.recordViolation(fmt.Sprintf("once: request %d was ended twice", q.number))
		return
	}
	q.ended = true
	q.complete = q.receivedTokens == q.OutputTokens
	if !q.complete {
		r.recorder.recordViolation(
			fmt.Sprintf("whole: request %d got %d of %d tokens", q.number, q.receivedTokens, q.OutputTokens))
	}
	settle(q.charges, float64(q.MaxOutputTokens-q.receivedTokens))
}

// refuse ends a request that its gateway refused or that failed there. It is a violation when the gateway reports
// that the request did not run although an engine prefilled it.
func (r *Runner) refuse(q *request, c dispatcher.Command) {
	if q.ended {
		return
	}
	q.ended = true
	if c.NotRun && q.prefilledTokens > 0 {
		r.recorder.recordViolation(fmt.Sprintf("refusal: request %d ran although its refusal said not run", q.number))
	}
	unused := float64(q.MaxOutputTokens - q.receivedTokens)
	if c.NotRun {
		unused = float64(q.PromptTokens + q.MaxOutputTokens)
	}
	settle(q.charges, unused)
	r.recorder.recordRefusal(q, string(c.Reason))
}

// breakConnection ends a request whose gateway crashed. Its unused tokens are not refunded.
func (r *Runner) breakConnection(q *request) {
	q.ended = true
	r.recorder.brokenConnections++
}
