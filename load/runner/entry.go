package runner

import (
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/allocator"
	"github.com/pistachiovane/pistachiovane/pkg/budgeter"
	"github.com/pistachiovane/pistachiovane/pkg/dispatcher"
	"github.com/pistachiovane/pistachiovane/pkg/limiter"
	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
	"github.com/pistachiovane/pistachiovane/pkg/reserver"
	"github.com/pistachiovane/pistachiovane/pkg/router"
	"github.com/pistachiovane/pistachiovane/pkg/scheduler"
)

const (
	poisonWindow = 2 * time.Minute
	poisonLimit  = 10000
	retryRatio   = 0.1
	retrySaved   = 100
	// shareLag and sharePause are the bounds of the sharing of limits.
	shareLag   = time.Second
	sharePause = time.Second
	// firstDeadline is the first-token deadline of interactive requests.
	firstDeadline = 1600 * time.Millisecond
	// ownerGone is how long agents take to notice that a gateway has died.
	ownerGone = time.Second
)

// entry is a gateway: the real decision code without its sockets.
type entry struct {
	runner      *Runner
	name        string
	domain      string
	incarnation int
	dispatcher  *dispatcher.Dispatcher
	allocator   *allocator.Allocator
	limiter     *limiter.Limiter
	// started is when this incarnation started; its clock counts from there.
	started time.Duration
	open    map[uint64]*request
	next    uint64
}

func newEntry(r *Runner, i int) *entry {
	g := &entry{runner: r, name: "gw" + strconv.Itoa(i), domain: r.domain(i)}
	g.start()
	return g
}

// start begins a new incarnation that remembers nothing.
func (g *entry) start() {
	r := g.runner
	g.incarnation++
	g.started = r.line.now
	g.open = make(map[uint64]*request)
	options := dispatcher.DefaultOptions()
	options.TokensPerPiece = r.options.Fleet.Engine.PieceTokens
	options.PrefillTokensPerSecond = r.options.Fleet.Engine.PrefillRate
	options.ReserveAfterPrefill = r.policy.late
	seed := rand.New(rand.NewPCG(r.options.Seed, uint64(g.incarnation)<<32+uint64(len(g.name))+uint64(g.name[len(g.name)-1])))
	routes := router.New(r.policy.routing, g.domain, seed)
	for _, id := range r.order {
		routes.Set(r.nodes[id].endpoint, r.options.Fleet.Engine.Pieces)
	}
	poison := quarantiner.New(poisonWindow, poisonLimit)
	g.dispatcher = dispatcher.New(options, routes, poison, budgeter.New(retryRatio, retrySaved))
	g.allocator = allocator.New(allocator.Member{Name: g.name, Incarnation: uint64(g.incarnation)}, allocator.Options{MaxListLag: shareLag, MaxUnnoticedPause: sharePause})
	g.limiter = limiter.New(g.allocator, limiter.EqualShares)
	g.limiter.SetLimits(r.plans, g.clock())
}

func (g *entry) clock() time.Duration {
	return g.runner.line.now - g.started
}

func (g *entry) owner() string {
	return g.name + "@" + strconv.Itoa(g.incarnation)
}

// routine is what the gateway does four times a second besides requests.
func (g *entry) routine(view allocator.View) {
	now := g.clock()
	g.allocator.DetectPause(now, g.runner.line.now)
	g.allocator.ApplyView(view, now)
	g.allocator.RecordListRead(now, now)
	for _, other := range g.runner.entries {
		if other == g {
			continue
		}
		if answer, ok := other.allocator.HandleMessage(g.allocator.Query(now), other.clock()); ok {
			g.allocator.HandleMessage(answer, now)
		}
	}
	g.allocator.Tick(now)
	g.limiter.ResizeBuckets(now)
	g.apply(g.dispatcher.Tick(now))
}

// admit charges a request to the own share and then to others, as the gateway's admitter does.
func (g *entry) admit(account string, tokens float64) (charged []charge, ok bool) {
	missing := tokens
	for _, holder := range g.runner.holders(g) {
		ticket, granted := holder.limiter.Lend(account, missing, 0, holder.clock(), g.runner.line.now)
		if granted > 0 {
			charged = append(charged, charge{holder: holder, limiter: holder.limiter, ticket: ticket, tokens: granted})
			missing -= granted
		}
		if missing <= 0 || g.runner.policy.split {
			break
		}
	}
	if missing > 0 {
		settle(charged, tokens)
		return nil, false
	}
	return charged, true
}

func (g *entry) submit(q *request) {
	g.next++
	q.gateway, q.id = g, g.next
	g.open[q.id] = q
	account := g.runner.options.Fleet.Accounts[q.AccountIndex]
	r := dispatcher.Request{
		ID: q.id, Account: account.Name, Weight: account.CapacityFraction, Class: scheduler.Draft, Model: modelName,
		PromptTokens: q.PromptTokens, MaxOutputTokens: q.MaxOutputTokens, PrefixDigest: q.PrefixDigest, Fingerprint: quarantiner.Fingerprint(q.number + 1),
	}
	if g.runner.policy.fifo {
		r.Account, r.Weight = "all", 1
	}
	if !q.Draft {
		r.Class = scheduler.Interactive
		r.FirstTokenDeadline = g.clock() + firstDeadline
	}
	g.apply(g.dispatcher.Submit(r, g.clock()))
}

func (g *entry) cancel(q *request) {
	if g.open[q.id] == q {
		g.apply(g.dispatcher.Cancel(q.id, g.clock()))
		delete(g.open, q.id)
	}
}

func (g *entry) step(e dispatcher.Event) {
	g.apply(g.dispatcher.HandleEvent(e, g.clock()))
}

func (g *entry) apply(commands []dispatcher.Command) {
	for _, c := range commands {
		q := g.open[c.Request]
		switch c.Kind {
		case dispatcher.Finish:
			delete(g.open, c.Request)
			g.runner.finished(q)
		case dispatcher.Fail:
			delete(g.open, c.Request)
			g.runner.refused(q, c)
		default:
			g.send(c, q)
		}
	}
}

// send carries a command to its endpoint.
func (g *entry) send(c dispatcher.Command, q *request) {
	n := g.runner.nodes[c.Endpoint]
	key := reserver.Key{Owner: g.owner(), Request: c.Request, Attempt: c.Attempt}
	a := &attempt{gateway: g, command: c, request: q, key: key, id: engineID(key)}
	incarnation := g.incarnation
	g.runner.line.after(g.runner.delay(g.domain, n.endpoint.Domain), func() {
		if incarnation != g.incarnation {
			return
		}
		switch c.Kind {
		case dispatcher.Reserve:
			n.reserve(a)
		case dispatcher.StartPrefill:
			n.prefill(a)
		case dispatcher.StartDecode:
			n.decode(a)
		case dispatcher.Release:
			n.release(a)
		}
	})
}

// crash loses all that the gateway knew; its callers see a broken connection.
func (g *entry) crash() {
	owner := g.owner()
	open := make([]*request, 0, len(g.open))
	for _, q := range g.open {
		open = append(open, q)
	}
	sort.Slice(open, func(i, j int) bool { return open[i].number < open[j].number })
	for _, q := range open {
		g.runner.broken(q)
	}
	g.start()
	g.runner.line.after(ownerGone, func() {
		for _, id := range g.runner.order {
			g.runner.nodes[id].dropOwner(owner)
		}
	})
}

// charge is what one holder was charged for a request.
type charge struct {
	holder *entry
	// limiter is that of the incarnation that was charged.
	limiter *limiter.Limiter
	ticket  limiter.Ticket
	tokens  float64
}

func settle(charged []charge, unused float64) {
	for i := len(charged) - 1; i >= 0 && unused > 0; i-- {
		c := charged[i]
		back := min(unused, c.tokens)
		unused -= back
		if c.limiter == c.holder.limiter {
			c.limiter.Settle(c.ticket, back, c.holder.clock())
		}
	}
}

func sortedAttempts(m map[string]*attempt) []*attempt {
	out := make([]*attempt, 0, len(m))
	for _, a := range m {
		out = append(out, a)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}
