// Package director holds the decisions of one gateway behind one lock: who may run, where, and what the other
// gateways have decided meanwhile. The decisions themselves are in planner, balancer, capper and retrier.
package director

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/pistachiovane/pistachiovane/internal/config/matcher"
	"github.com/pistachiovane/pistachiovane/internal/config/tracker"
	"github.com/pistachiovane/pistachiovane/internal/fleet/lister"
	"github.com/pistachiovane/pistachiovane/internal/limits/blamer"
	"github.com/pistachiovane/pistachiovane/internal/limits/capper"
	"github.com/pistachiovane/pistachiovane/internal/limits/retrier"
	"github.com/pistachiovane/pistachiovane/internal/process/clock"
	"github.com/pistachiovane/pistachiovane/internal/routing/balancer"
	"github.com/pistachiovane/pistachiovane/internal/routing/planner"
	"github.com/pistachiovane/pistachiovane/internal/routing/rebalancer"
	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
)

// tickEvery is how often waiting generations are looked at.
const tickEvery = 20 * time.Millisecond

const (
	// switchWithin is how long an endpoint's change of stage takes to show in the list, at most.
	switchWithin = 9 * time.Second
	// tellFor is how long a change of an account's total is told, so that a lost message does no harm; every wholeEvery-th
	// message has all totals.
	tellFor    = 2 * time.Second
	wholeEvery = 16
	// awakeWithin is the longest pause between two own messages of a process that has run all the while. After a longer
	// one, messages that are read may have waited, and the ages in them are too young.
	awakeWithin = time.Second
	// transit is taken off for a message's way.
	transit = 50 * time.Millisecond
)

// Parts are the decisions that a director holds.
type Parts struct {
	Clock    clock.Clock
	Tracker  *tracker.Tracker
	Planner  *planner.Planner
	Balancer *balancer.Balancer
	Capper   *capper.Capper
	Retrier  *retrier.Retrier
	Balance  *rebalancer.Rebalancer
	Blamer   *blamer.Blamer
	Log      *log.Logger
}

// Director is safe for concurrent use.
type Director struct {
	clock   clock.Clock
	tracker *tracker.Tracker
	log     *log.Logger

	mu       sync.Mutex
	planner  *planner.Planner
	balancer *balancer.Balancer
	capper   *capper.Capper
	retrier  *retrier.Retrier
	balance  *rebalancer.Rebalancer
	blamer   *blamer.Blamer
	// config is the configuration that the parts were set to; listed are the endpoints.
	config  *matcher.Matcher
	listed  []lister.Endpoint
	waiting map[uint64]chan planner.Verdict
	next    uint64
	// busy counts requests in progress.
	busy     int
	gateways map[string]bool
	// announcer is nil where nobody is to be told.
	announcer Announcer
	// composedAt is when the own state was composed last.
	composedAt time.Duration
	composed   uint64
	wake       chan struct{}
}

// New returns a director of the parts; they must not be used by others.
func New(p Parts) *Director {
	return &Director{
		clock: p.Clock, tracker: p.Tracker, planner: p.Planner, balancer: p.Balancer, capper: p.Capper, retrier: p.Retrier, balance: p.Balance, blamer: p.Blamer,
		log:     p.Log,
		waiting: map[uint64]chan planner.Verdict{}, gateways: map[string]bool{}, wake: make(chan struct{}, 1),
	}
}

// Serve looks at waiting generations until the context ends.
func (d *Director) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.wake:
		}
		d.loopTick(ctx)
	}
}

// loopTick runs while generations wait.
func (d *Director) loopTick(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.mu.Lock()
		d.deliver(d.planner.Tick(d.clock()))
		left := d.planner.Waiting()
		d.mu.Unlock()
		if left == 0 {
			return
		}
	}
}

// Configure brings a configuration into force.
func (d *Director) Configure(m *matcher.Matcher) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config = m
	accounts := m.Accounts()
	plans := make([]capper.Plan, 0, len(accounts))
	for _, a := range accounts {
		plans = append(plans, capper.Plan{Account: a.Name, Rate: a.Rate, Burst: a.Burst})
	}
	d.capper.Set(plans, d.clock())
	d.place()
}

// List brings a list of endpoints into force.
func (d *Director) List(endpoints []lister.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed = endpoints
	d.place()
}

// place hands the endpoints that may get new work to planner and balancer.
func (d *Director) place() {
	var models []planner.Endpoint
	var plain []balancer.Endpoint
	recent := d.balance.Recent(switchWithin, d.clock())
	for _, e := range d.listed {
		if e.Leaving {
			continue
		}
		if _, ordered := recent[e.ID]; ordered && e.Prefill {
			// The order is under way; the list still shows the stage before.
			continue
		}
		if e.Model {
			models = append(models, d.model(e))
			continue
		}
		plain = append(plain, balancer.Endpoint{ID: e.ID, Address: e.Address, Service: e.Service, Domain: e.Domain, Slots: e.Slots})
	}
	d.planner.Set(models)
	d.balancer.Set(plain)
}

func (d *Director) model(e lister.Endpoint) planner.Endpoint {
	out := planner.Endpoint{ID: e.ID, Address: e.Address, Service: e.Service, Domain: e.Domain, Stage: planner.Decode, Slots: e.Slots}
	if e.Prefill {
		out.Stage = planner.Prefill
	}
	if d.config == nil {
		return out
	}
	if s, ok := d.config.Service(e.Service); ok && s.Engine != nil {
		out.Memory = s.Engine.Memory
	}
	return out
}

// Endpoints returns how many endpoints may get new work.
func (d *Director) Endpoints() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, e := range d.listed {
		if !e.Leaving {
			n++
		}
	}
	return n
}

// Begin counts a request in progress; the returned function ends it.
func (d *Director) Begin() (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.busy++
	return d.end
}

func (d *Director) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.busy--
}

// Busy returns how many requests are in progress.
func (d *Director) Busy() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.busy
}

// Waiting returns how many generations wait for room.
func (d *Director) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.planner.Waiting()
}

// Levels returns the tokens that each account has left.
func (d *Director) Levels() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.capper.Levels(d.clock())
}

// Admit charges an account; where it may not run now, wait tells when it may.
func (d *Director) Admit(account string, tokens int) (wait time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.capper.Admit(account, float64(tokens), d.clock())
}

// Return gives back the charge of a request that did not run.
func (d *Director) Return(account string, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.capper.Return(account, float64(tokens), d.clock())
}

// Earn counts a request for a service.
func (d *Director) Earn(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retrier.Earn(service, d.clock())
}

// Spend takes one repeat from the service's budget.
func (d *Director) Spend(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retrier.Spend(service, d.clock())
}

// Place waits until a generation may start, is refused, or its context ends; in the last case the verdict is
// empty. The request's ID is set here. After a plan, End must be called.
func (d *Director) Place(ctx context.Context, r planner.Request) (uint64, planner.Verdict) {
	d.mu.Lock()
	d.next++
	r.ID = d.next
	d.mu.Unlock()
	v := d.enter(ctx, r.ID, func(now time.Duration) []planner.Verdict { return d.planner.Submit(r, now) })
	d.announcePlan(v.Plan)
	return r.ID, v
}

// Again waits for another plan for a generation whose decode endpoint turned out to be full, as Place does.
func (d *Director) Again(ctx context.Context, id uint64) planner.Verdict {
	v := d.enter(ctx, id, func(now time.Duration) []planner.Verdict { return d.planner.Requeue(id, now) })
	d.announcePlan(v.Plan)
	return v
}

// enter hands a generation to the planner and waits for its verdict.
func (d *Director) enter(ctx context.Context, id uint64, hand func(now time.Duration) []planner.Verdict) planner.Verdict {
	done := make(chan planner.Verdict, 1)
	d.mu.Lock()
	d.waiting[id] = done
	d.deliver(hand(d.clock()))
	if d.waiting[id] != nil {
		d.wakeUp()
	}
	d.mu.Unlock()
	return d.await(ctx, id, done)
}

func (d *Director) await(ctx context.Context, id uint64, done <-chan planner.Verdict) planner.Verdict {
	select {
	case v := <-done:
		return v
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, id)
	select {
	case v := <-done:
		return v
	default:
	}
	d.deliver(d.planner.End(id, d.clock()))
	return planner.Verdict{}
}

func (d *Director) wakeUp() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// deliver hands verdicts to those who wait for them. The lock must be held.
func (d *Director) deliver(verdicts []planner.Verdict) {
	for _, v := range verdicts {
		if done, ok := d.waiting[v.Request]; ok {
			delete(d.waiting, v.Request)
			done <- v
		}
	}
}

// Planned runs a change of the planner; verdicts that it returns are delivered.
func (d *Director) Planned(change func(p *planner.Planner, now time.Duration) []planner.Verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deliver(change(d.planner, d.clock()))
	d.logSuspicions("own call")
}

// logSuspicions writes a line for each endpoint that is now left alone, or used again. The lock must be held.
func (d *Director) logSuspicions(from string) {
	for _, s := range d.planner.Suspicions() {
		if s.Failures == 0 {
			d.log.Info().Str("endpoint", s.Endpoint).Str("from", from).Msg("endpoint: restored")
			continue
		}
		d.log.Info().Str("endpoint", s.Endpoint).Str("from", from).Int("failures", s.Failures).
			Int64("for_ms", s.For.Milliseconds()).Msg("endpoint: ejected")
	}
}

// Failed records that a model endpoint failed, and tells the other gateways, so that not each has to find out.
func (d *Director) Failed(endpoint string) {
	d.mu.Lock()
	d.planner.Failed(endpoint, d.clock())
	d.logSuspicions("own call")
	d.mu.Unlock()
	d.announce(endpoint)
}

// Balanced runs a change of the balancer.
func (d *Director) Balanced(change func(b *balancer.Balancer, now time.Duration)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d.balancer, d.clock())
}

// Blamed runs a change of the blamer.
func (d *Director) Blamed(change func(b *blamer.Blamer, now time.Duration)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d.blamer, d.clock())
}

// Poisonous tells whether a request has crashed so many endpoints that it is not to be sent again.
func (d *Director) Poisonous(f quarantiner.Fingerprint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.blamer.Refused(f, d.clock())
}
