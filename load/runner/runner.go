// Package runner drives the real decision code of gateways and agents against engine models in virtual
// time, and measures what callers get.
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
	// warmUp is the time before the first request, in which shares of limits are taken and buckets fill.
	warmUp = 30 * time.Second
	// drainTime is the time after the last request.
	drainTime = 120 * time.Second
	// periodicWorkInterval is the time between two routines of a gateway.
	periodicWorkInterval = 250 * time.Millisecond
	tickInterval         = 50 * time.Millisecond
	// limitHeadroom is an account's rate over its part of the capacity.
	limitHeadroom = 1.1
	// burstSeconds is an account's burst, in time at its rate.
	burstSeconds = 20.0
)

// Options describe a run.
type Options struct {
	Fleet Fleet
	// Policy is probe, leastloaded, roundrobin, random, late, split, fifo or naive.
	Policy string
	Seed   uint64
	// Load is the offered load as a share of the fleet's capacity.
	Load float64
	// Duration is how long requests arrive, in virtual time.
	Duration time.Duration
	// FaultSchedule is none, daily or storm.
	FaultSchedule string
	// CancelRatio is the share of callers who go early.
	CancelRatio float64
	// NoisyAccountFactor multiplies the requests of the third account.
	NoisyAccountFactor float64
	// PinAccounts sends all requests of an account to one gateway.
	PinAccounts bool
}

// policy is a way of deciding; late and split switch one mechanism off.
type policy struct {
	routing router.Policy
	// reserveAfterPrefill chooses the decode slot after prefill.
	reserveAfterPrefill bool
	// ownShareOnly keeps each gateway to its own share of every limit.
	ownShareOnly bool
	// fifo serves requests in order of arrival, whoever sent them.
	fifo bool
}

// request is a request with what happened to it.
type request struct {
	workload.Request
	number  uint64
	id      uint64
	gateway *gateway
	charges []charge
	// receivedTokens counts tokens that the caller received; next is the index that must come.
	receivedTokens int
	firstTokenAt   time.Duration
	lastTokenAt    time.Duration
	slowGaps       int
	// prefilledTokens counts prompt tokens that engines worked for it.
	prefilledTokens int
	ended           bool
	complete        bool
	withinLimit     bool
}

// Runner is one run.
type Runner struct {
	options     Options
	policy      policy
	timeline    timeline
	agents      map[string]*agent
	endpointIDs []string
	gateways    []*gateway
	limits      []limiter.Limit
	// centralBuckets are the limits as one ledger without any network would keep them.
	centralBuckets []bucket.Bucket
	requests       []*request
	rng            *rand.Rand
	recorder       recorder
}

// New returns a run. It fails on an unknown policy or fault schedule.
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

func parsePolicy(name string) (policy, error) {
	p := policy{reserveAfterPrefill: name == "late" || name == "naive", ownShareOnly: name == "split", fifo: name == "fifo"}
	switch name {
	case "late", "split", "fifo":
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

// Run runs to the end and returns the result.
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

func (r *Runner) setLimits() {
	prompt, length := workload.MeanTokens(1)
	total := r.options.Fleet.CapacityPerSecond() * (prompt + length) * limitHeadroom
	for _, a := range r.options.Fleet.Accounts {
		rate := total * a.CapacityFraction
		// A burst holds at least a few of the largest requests.
		burst := max(rate*burstSeconds, 100000)
		r.limits = append(r.limits, limiter.Limit{Account: a.Name, Rate: rate, Burst: burst})
		r.centralBuckets = append(r.centralBuckets, bucket.NewFull(rate, burst, 0))
	}
}

func (r *Runner) addAgent(role endpoint.Role, i int) {
	e := endpoint.Endpoint{
		ID: fmt.Sprintf("%s-%d", role, i), Domain: r.domain(i), Model: modelName, Role: role, Slots: r.options.Fleet.Engine.Slots,
	}
	r.agents[e.ID] = newAgent(r, e)
	r.endpointIDs = append(r.endpointIDs, e.ID)
}

func (r *Runner) domain(i int) string {
	return string(rune('a' + i%r.options.Fleet.Domains))
}

func (r *Runner) delay(a, b string) time.Duration {
	if a == b {
		return r.options.Fleet.LocalDelay
	}
	return r.options.Fleet.RemoteDelay
}

// shareHolders lists the gateways that may be charged, the own first.
func (r *Runner) shareHolders(first *gateway) []*gateway {
	holders := []*gateway{first}
	for _, g := range r.gateways {
		if g != first {
			holders = append(holders, g)
		}
	}
	return holders
}

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

func (r *Runner) tick() {
	for _, g := range r.gateways {
		g.executeCommands(g.dispatcher.Tick(g.clock()))
	}
	for _, id := range r.endpointIDs {
		r.agents[id].reserver.Expire(r.timeline.now)
	}
	r.timeline.after(tickInterval, r.tick)
}

// arrive sends a request to the gateway that the platform's balancer chooses.
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

func (r *Runner) cancel(q *request) {
	if q.ended {
		return
	}
	q.ended = true
	r.recorder.cancellations++
	settle(q.charges, float64(q.MaxOutputTokens-q.receivedTokens))
	q.gateway.cancel(q)
}

// deliverToken passes a token on to its caller.
func (r *Runner) deliverToken(a *attempt, index int) {
	q := a.request
	if q.gateway.openRequests[q.id] != q || a.key.Owner != a.gateway.owner() {
		return
	}
	now := r.timeline.now + r.delay(a.gateway.domain, r.agents[a.command.Endpoint].endpoint.Domain)
	if index != q.receivedTokens {
		r.recorder.recordViolation(fmt.Sprintf("order: request %d got token %d, %d was next", q.number, index, q.receivedTokens))
	}
	q.receivedTokens++
	a.gateway.handleEvent(dispatcher.Event{Kind: dispatcher.TokensSent, Request: q.id, Attempt: a.command.Attempt, Tokens: 1})
	if q.firstTokenAt == 0 {
		q.firstTokenAt = now
		r.recorder.recordFirstToken(q, now-warmUp-q.ArrivalTime)
	} else if gap := now - q.lastTokenAt; r.recorder.recordGap(gap) {
		q.slowGaps++
	}
	q.lastTokenAt = now
}

func (r *Runner) finish(q *request) {
	if q.ended {
		r.recorder.recordViolation(fmt.Sprintf("once: request %d was ended twice", q.number))
		return
	}
	q.ended = true
	q.complete = q.receivedTokens == q.OutputTokens
	if !q.complete {
		r.recorder.recordViolation(fmt.Sprintf("whole: request %d got %d of %d tokens", q.number, q.receivedTokens, q.OutputTokens))
	}
	settle(q.charges, float64(q.MaxOutputTokens-q.receivedTokens))
}

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

// breakConnection ends a request whose gateway has crashed.
func (r *Runner) breakConnection(q *request) {
	q.ended = true
	r.recorder.brokenConnections++
}
