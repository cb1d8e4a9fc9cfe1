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
	crashRecordWindow = 2 * time.Minute
	maxCrashRecords   = 10000
	retriesPerRequest = 0.1
	maxSavedRetries   = 100
	// maxListLag and sharePause are the bounds of the sharing of limits.
	maxListLag        = time.Second
	maxUnnoticedPause = time.Second
	// firstTokenTimeout is the first-token deadline of interactive requests.
	firstTokenTimeout = 1600 * time.Millisecond
	// gatewayCrashTimeout is how long agents take to notice that a gateway has died.
	gatewayCrashTimeout = time.Second
)

// gateway is a gateway: the real decision code without its sockets.
type gateway struct {
	runner      *Runner
	name        string
	domain      string
	incarnation int
	dispatcher  *dispatcher.Dispatcher
	allocator   *allocator.Allocator
	limiter     *limiter.Limiter
	// startedAt is when this incarnation started; its clock counts from there.
	startedAt     time.Duration
	openRequests  map[uint64]*request
	lastRequestID uint64
}

func newGateway(r *Runner, i int) *gateway {
	g := &gateway{runner: r, name: "gw" + strconv.Itoa(i), domain: r.domain(i)}
	g.start()
	return g
}

// start begins a new incarnation that remembers nothing.
func (g *gateway) start() {
	r := g.runner
	g.incarnation++
	g.startedAt = r.timeline.now
	g.openRequests = make(map[uint64]*request)
	options := dispatcher.DefaultOptions()
	options.TokensPerPiece = r.options.Fleet.Engine.PieceTokens
	options.PrefillTokensPerSecond = r.options.Fleet.Engine.PrefillRate
	options.ReserveAfterPrefill = r.policy.reserveAfterPrefill
	rng := rand.New(rand.NewPCG(r.options.Seed, uint64(g.incarnation)<<32+uint64(len(g.name))+uint64(g.name[len(g.name)-1])))
	routes := router.New(r.policy.routing, g.domain, rng)
	for _, id := range r.endpointIDs {
		routes.Set(r.agents[id].endpoint, r.options.Fleet.Engine.Pieces)
	}
	crashRecords := quarantiner.New(crashRecordWindow, maxCrashRecords)
	g.dispatcher = dispatcher.New(options, routes, crashRecords, budgeter.New(retriesPerRequest, maxSavedRetries))
	g.allocator = allocator.New(allocator.Member{Name: g.name, Incarnation: uint64(g.incarnation)}, allocator.Options{MaxListLag: maxListLag, MaxUnnoticedPause: maxUnnoticedPause})
	g.limiter = limiter.New(g.allocator, limiter.EqualShares)
	g.limiter.SetLimits(r.limits, g.clock())
}

func (g *gateway) clock() time.Duration {
	return g.runner.timeline.now - g.startedAt
}

func (g *gateway) owner() string {
	return g.name + "@" + strconv.Itoa(g.incarnation)
}

// runPeriodicWork is what the gateway does four times a second besides requests.
func (g *gateway) runPeriodicWork(view allocator.View) {
	now := g.clock()
	g.allocator.DetectPause(now, g.runner.timeline.now)
	g.allocator.ApplyView(view, now)
	g.allocator.RecordListRead(now, now)
	for _, other := range g.runner.gateways {
		if other == g {
			continue
		}
		if reply, ok := other.allocator.HandleMessage(g.allocator.Query(now), other.clock()); ok {
			g.allocator.HandleMessage(reply, now)
		}
	}
	g.allocator.Tick(now)
	g.limiter.ResizeBuckets(now)
	g.executeCommands(g.dispatcher.Tick(now))
}

// admit charges a request to the own share and then to others, as the gateway's admitter does.
func (g *gateway) admit(account string, tokens float64) (charges []charge, ok bool) {
	missingTokens := tokens
	for _, holder := range g.runner.shareHolders(g) {
		ticket, granted := holder.limiter.Lend(account, missingTokens, 0, holder.clock(), g.runner.timeline.now)
		if granted > 0 {
			charges = append(charges, charge{holder: holder, limiter: holder.limiter, ticket: ticket, tokens: granted})
			missingTokens -= granted
		}
		if missingTokens <= 0 || g.runner.policy.ownShareOnly {
			break
		}
	}
	if missingTokens > 0 {
		settle(charges, tokens)
		return nil, false
	}
	return charges, true
}

func (g *gateway) submit(q *request) {
	g.lastRequestID++
	q.gateway, q.id = g, g.lastRequestID
	g.openRequests[q.id] = q
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
		r.FirstTokenDeadline = g.clock() + firstTokenTimeout
	}
	g.executeCommands(g.dispatcher.Submit(r, g.clock()))
}

func (g *gateway) cancel(q *request) {
	if g.openRequests[q.id] == q {
		g.executeCommands(g.dispatcher.Cancel(q.id, g.clock()))
		delete(g.openRequests, q.id)
	}
}

func (g *gateway) handleEvent(e dispatcher.Event) {
	g.executeCommands(g.dispatcher.HandleEvent(e, g.clock()))
}

func (g *gateway) executeCommands(commands []dispatcher.Command) {
	for _, c := range commands {
		q := g.openRequests[c.Request]
		switch c.Kind {
		case dispatcher.Finish:
			delete(g.openRequests, c.Request)
			g.runner.finish(q)
		case dispatcher.Fail:
			delete(g.openRequests, c.Request)
			g.runner.refuse(q, c)
		default:
			g.sendCommand(c, q)
		}
	}
}

// sendCommand carries a command to its endpoint.
func (g *gateway) sendCommand(c dispatcher.Command, q *request) {
	n := g.runner.agents[c.Endpoint]
	key := reserver.Key{Owner: g.owner(), Request: c.Request, Attempt: c.Attempt}
	a := &attempt{gateway: g, command: c, request: q, key: key, id: engineID(key)}
	incarnation := g.incarnation
	g.runner.timeline.after(g.runner.delay(g.domain, n.endpoint.Domain), func() {
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
func (g *gateway) crash() {
	owner := g.owner()
	openRequests := make([]*request, 0, len(g.openRequests))
	for _, q := range g.openRequests {
		openRequests = append(openRequests, q)
	}
	sort.Slice(openRequests, func(i, j int) bool { return openRequests[i].number < openRequests[j].number })
	for _, q := range openRequests {
		g.runner.breakConnection(q)
	}
	g.start()
	g.runner.timeline.after(gatewayCrashTimeout, func() {
		for _, id := range g.runner.endpointIDs {
			g.runner.agents[id].releaseOwner(owner)
		}
	})
}

// charge is what one holder was charged for a request.
type charge struct {
	holder *gateway
	// limiter is that of the incarnation that was charged.
	limiter *limiter.Limiter
	ticket  limiter.Ticket
	tokens  float64
}

func settle(charges []charge, unusedTokens float64) {
	for i := len(charges) - 1; i >= 0 && unusedTokens > 0; i-- {
		c := charges[i]
		refundTokens := min(unusedTokens, c.tokens)
		unusedTokens -= refundTokens
		if c.limiter == c.holder.limiter {
			c.limiter.Settle(c.ticket, refundTokens, c.holder.clock())
		}
	}
}

func sortedAttempts(attempts map[string]*attempt) []*attempt {
	sorted := make([]*attempt, 0, len(attempts))
	for _, a := range attempts {
		sorted = append(sorted, a)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].id < sorted[j].id })
	return sorted
}
