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
	// warm is the time before the first request, in which shares of limits are taken and buckets fill.
	warm = 30 * time.Second
	// drain is the time after the last request.
	drain = 120 * time.Second
	// routineEvery is the time between two routines of a gateway.
	routineEvery = 250 * time.Millisecond
	tickEvery    = 50 * time.Millisecond
	// headroom is an account's rate over its part of the capacity.
	headroom = 1.1
	// burstTime is an account's burst, in time at its rate.
	burstTime = 20.0
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
	// late chooses the decode slot after prefill.
	late bool
	// split keeps each gateway to its own share of every limit.
	split bool
	// fifo serves requests in order of arrival, whoever sent them.
	fifo bool
}

// request is a request with what happened to it.
type request struct {
	workload.Request
	number  uint64
	id      uint64
	gateway *entry
	charged []charge
	// sent counts tokens that the caller received; next is the index that must come.
	sent  int
	first time.Duration
	last  time.Duration
	late  int
	// prefilled counts prompt tokens that engines worked for it.
	prefilled int
	ended     bool
	whole     bool
	within    bool
}

// Runner is one run.
type Runner struct {
	options Options
	policy  policy
	line    timeline
	nodes   map[string]*node
	order   []string
	entries []*entry
	plans   []limiter.Limit
	// oracles are the limits as one ledger without any network would keep them.
	oracles  []bucket.Bucket
	requests []*request
	rng      *rand.Rand
	books    books
}

// New returns a run. It fails on an unknown policy or fault schedule.
func New(o Options) (*Runner, error) {
	r := &Runner{options: o, nodes: make(map[string]*node), rng: rand.New(rand.NewPCG(o.Seed, 77))}
	p, err := policyOf(o.Policy)
	if err != nil {
		return nil, err
	}
	r.policy = p
	r.books = newBooks(len(o.Fleet.Accounts))
	r.setPlans()
	for i := range o.Fleet.PrefillEndpoints {
		r.addNode(endpoint.Prefill, i)
	}
	for i := range o.Fleet.DecodeEndpoints {
		r.addNode(endpoint.Decode, i)
	}
	for i := range o.Fleet.Gateways {
		r.entries = append(r.entries, newEntry(r, i))
	}
	return r, r.setFaults()
}

func policyOf(name string) (policy, error) {
	p := policy{late: name == "late" || name == "naive", split: name == "split", fifo: name == "fifo"}
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
	drawn := workload.Draw(workload.Options{
		Accounts: accounts, RequestsPerSecond: r.options.Load * capacity, Duration: r.options.Duration,
		DraftRatio: 0.3, CancelRatio: r.options.CancelRatio, Seed: r.options.Seed,
	})
	r.routine()
	r.tick()
	for i := range drawn {
		q := &request{Request: drawn[i], number: uint64(i)}
		r.requests = append(r.requests, q)
		r.line.after(warm+q.ArrivalTime, func() { r.arrive(q) })
	}
	r.line.runUntil(warm + r.options.Duration + drain)
	return r.result(capacity)
}

func (r *Runner) setPlans() {
	prompt, length := workload.MeanTokens(1)
	total := r.options.Fleet.CapacityPerSecond() * (prompt + length) * headroom
	for _, a := range r.options.Fleet.Accounts {
		rate := total * a.CapacityFraction
		// A burst holds at least a few of the largest requests.
		burst := max(rate*burstTime, 100000)
		r.plans = append(r.plans, limiter.Limit{Account: a.Name, Rate: rate, Burst: burst})
		r.oracles = append(r.oracles, bucket.NewFull(rate, burst, 0))
	}
}

func (r *Runner) addNode(role endpoint.Role, i int) {
	e := endpoint.Endpoint{
		ID: fmt.Sprintf("%s-%d", role, i), Domain: r.domain(i), Model: modelName, Role: role, Slots: r.options.Fleet.Engine.Slots,
	}
	r.nodes[e.ID] = newNode(r, e)
	r.order = append(r.order, e.ID)
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

// holders lists the gateways that may be charged, the own first.
func (r *Runner) holders(own *entry) []*entry {
	out := []*entry{own}
	for _, g := range r.entries {
		if g != own {
			out = append(out, g)
		}
	}
	return out
}

func (r *Runner) routine() {
	view := allocator.View{Version: 1}
	for _, g := range r.entries {
		view.Members = append(view.Members, g.name)
	}
	for _, g := range r.entries {
		g.routine(view)
	}
	r.line.after(routineEvery, r.routine)
}

func (r *Runner) tick() {
	for _, g := range r.entries {
		g.apply(g.dispatcher.Tick(g.clock()))
	}
	for _, id := range r.order {
		r.nodes[id].reserver.Expire(r.line.now)
	}
	r.line.after(tickEvery, r.tick)
}

// arrive sends a request to the gateway that the platform's balancer chooses.
func (r *Runner) arrive(q *request) {
	g := r.entries[r.rng.IntN(len(r.entries))]
	if r.options.PinAccounts {
		g = r.entries[q.AccountIndex%len(r.entries)]
	}
	account := r.plans[q.AccountIndex].Account
	tokens := float64(q.PromptTokens + q.MaxOutputTokens)
	_, within := r.oracles[q.AccountIndex].Take(float64(q.PromptTokens+q.OutputTokens), r.line.now)
	q.within = within
	charged, ok := g.admit(account, tokens)
	if !ok {
		q.ended = true
		r.books.refuse(q, reasonRate)
		return
	}
	q.charged = charged
	g.submit(q)
	if q.CancelAfter > 0 {
		r.line.after(q.CancelAfter, func() { r.leave(q) })
	}
}

func (r *Runner) leave(q *request) {
	if q.ended {
		return
	}
	q.ended = true
	r.books.cancelled++
	settle(q.charged, float64(q.MaxOutputTokens-q.sent))
	q.gateway.cancel(q)
}

// token passes a token on to its caller.
func (r *Runner) token(a *attempt, index int) {
	q := a.request
	if q.gateway.open[q.id] != q || a.key.Owner != a.gateway.owner() {
		return
	}
	now := r.line.now + r.delay(a.gateway.domain, r.nodes[a.command.Endpoint].endpoint.Domain)
	if index != q.sent {
		r.books.violate(fmt.Sprintf("order: request %d got token %d, %d was next", q.number, index, q.sent))
	}
	q.sent++
	a.gateway.step(dispatcher.Event{Kind: dispatcher.TokensSent, Request: q.id, Attempt: a.command.Attempt, Tokens: 1})
	if q.first == 0 {
		q.first = now
		r.books.firstToken(q, now-warm-q.ArrivalTime)
	} else if gap := now - q.last; r.books.gap(gap) {
		q.late++
	}
	q.last = now
}

func (r *Runner) finished(q *request) {
	if q.ended {
		r.books.violate(fmt.Sprintf("once: request %d was ended twice", q.number))
		return
	}
	q.ended = true
	q.whole = q.sent == q.OutputTokens
	if !q.whole {
		r.books.violate(fmt.Sprintf("whole: request %d got %d of %d tokens", q.number, q.sent, q.OutputTokens))
	}
	settle(q.charged, float64(q.MaxOutputTokens-q.sent))
}

func (r *Runner) refused(q *request, c dispatcher.Command) {
	if q.ended {
		return
	}
	q.ended = true
	if c.NotRun && q.prefilled > 0 {
		r.books.violate(fmt.Sprintf("refusal: request %d ran although its refusal said not run", q.number))
	}
	unused := float64(q.MaxOutputTokens - q.sent)
	if c.NotRun {
		unused = float64(q.PromptTokens + q.MaxOutputTokens)
	}
	settle(q.charged, unused)
	r.books.refuse(q, string(c.Reason))
}

// broken ends a request whose gateway has crashed.
func (r *Runner) broken(q *request) {
	q.ended = true
	r.books.broken++
}
