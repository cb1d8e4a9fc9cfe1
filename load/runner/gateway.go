package runner

import (
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/allocator"
	"github.com/pistachiovane/pistachiovane/pkg/attributor"
	"github.com/pistachiovane/pistachiovane/pkg/budgeter"
	"github.com/pistachiovane/pistachiovane/pkg/dispatcher"
	"github.com/pistachiovane/pistachiovane/pkg/limiter"
	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
	"github.com/pistachiovane/pistachiovane/pkg/reserver"
	"github.com/pistachiovane/pistachiovane/pkg/router"
	"github.com/pistachiovane/pistachiovane/pkg/scheduler"
)

const (
	// crashRecordWindow and maxCrashRecords are the retention and the number of the quarantiner's crash records.
	crashRecordWindow = 2 * time.Minute
	maxCrashRecords   = 10000
	// Each request adds retriesPerRequest to the retries that a gateway may make, which never exceed maxSavedRetries.
	retriesPerRequest = 0.1
	maxSavedRetries   = 100
	// maxListLag and maxUnnoticedPause are the allocator's options of the same names.
	maxListLag        = time.Second
	maxUnnoticedPause = time.Second
	// firstTokenTimeout is the time from an interactive request's submission to its first-token deadline.
	firstTokenTimeout = 1600 * time.Millisecond
	// gatewayCrashTimeout is the time from a gateway's crash until the agents release its reservations and
	// attempts.
	gatewayCrashTimeout = time.Second
)

// gateway simulates one gateway: the real dispatcher, allocator and limiter, with function calls in place of
// sockets.
type gateway struct {
	runner *Runner
	name   string
	domain string
	// incarnation counts the starts, beginning with 1.
	incarnation int
	dispatcher  *dispatcher.Dispatcher
	allocator   *allocator.Allocator
	limiter     *limiter.Limiter
	// startedAt is the virtual time at which this incarnation started. Its clock starts at zero there.
	startedAt time.Duration
	// openRequests holds the requests without a result, by the request ID that the dispatcher uses.
	openRequests  map[uint64]*request
	lastRequestID uint64
}

func newGateway(r *Runner, i int) *gateway {
	g := &gateway{runner: r, name: "gw" + strconv.Itoa(i), domain: r.domain(i)}
	g.start()
	return g
}

// start begins a new incarnation with empty state.
func (g *gateway) start() {
	r := g.runner
	g.incarnation++
	g.startedAt = r.timeline.now
	g.openRequests = make(map[uint64]*request)
	options := dispatcher.DefaultOptions()
	options.TokensPerPiece = r.options.Fleet.Engine.PieceTokens
	options.PrefillTokensPerSecond = r.options.Fleet.Engine.PrefillTokensPerSecond
	options.ReserveAfterPrefill = r.policy.reserveAfterPrefill
	rng := rand.New(rand.NewPCG(
		r.options.Seed, uint64(g.incarnation)<<32+uint64(len(g.name))+uint64(g.name[len(g.name)-1]),
	))
	routes := router.New(r.policy.routing, g.domain, rng)
	for _, id := range r.endpointIDs {
		routes.Set(r.agents[id].endpoint, r.options.Fleet.Engine.MemoryPieces)
	}
	crashRecords := quarantiner.New(crashRecordWindow, maxCrashRecords)
	g.dispatcher = dispatcher.New(options, routes, crashRecords, attributor.New(crashRecordWindow, maxCrashRecords), budgeter.New(retriesPerRequest, maxSavedRetries))
	g.allocator = allocator.New(
		allocator.Member{Name: g.name, Incarnation: uint64(g.incarnation)},
		allocator.Options{MaxListLag: maxListLag, MaxUnnoticedPause: maxUnnoticedPause},
	)
	g.limiter = limiter.New(g.allocator, limiter.EqualShares)
	g.limiter.SetLimits(r.limits, g.clock())
}

// clock returns the time since this incarnation started.
func (g *gateway) clock() time.Duration {
	return g.runner.timeline.now - g.startedAt
}

// owner returns the name under which this incarnation holds reservations at the agents.
func (g *gateway) owner() string {
	return g.name + "@" + strconv.Itoa(g.incarnation)
}

// runPeriodicWork does the gateway's regular work outside requests: it reads the list of gateways, exchanges
// messages about shares with its peers, resizes the buckets to the new shares and runs the dispatcher's timers.
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

// admit charges the tokens of a request to the gateway's own share of the account's limit, and what is missing to
// the shares of the peers, in the same order as the gateway's admitter. When the shares together lack tokens, it
// refunds the charges and returns false.
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

// submit opens a request and passes it to the dispatcher.
func (g *gateway) submit(q *request) {
	g.lastRequestID++
	q.gateway, q.id = g, g.lastRequestID
	g.openRequests[q.id] = q
	account := g.runner.options.Fleet.Accounts[q.AccountIndex]
	r := dispatcher.Request{
		ID: q.id, Account: account.Name, Weight: account.CapacityFraction, Class: scheduler.Draft, Model: modelName,
		PromptTokens: q.PromptTokens, MaxOutputTokens: q.MaxOutputTokens, PrefixDigest: q.PrefixDigest,
		Fingerprint: quarantiner.Fingerprint(q.number + 1),
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

// cancel ends a request whose caller disconnected. It does nothing when the request is no longer open at this
// incarnation.
func (g *gateway) cancel(q *request) {
	if g.openRequests[q.id] == q {
		g.executeCommands(g.dispatcher.Cancel(q.id, g.clock()))
		delete(g.openRequests, q.id)
	}
}

// handleEvent passes an event of an agent to the dispatcher and carries out its commands.
func (g *gateway) handleEvent(e dispatcher.Event) {
	g.executeCommands(g.dispatcher.HandleEvent(e, g.clock()))
}

// executeCommands carries out the dispatcher's commands: a result goes to the caller, everything else to an agent.
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

// sendCommand delivers a command to its agent after the network delay. The command is lost when the gateway crashes
// meanwhile.
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

// crash drops the gateway's state, breaks the connections of its callers and starts the next incarnation at once.
// Agents release the work of the crashed incarnation after gatewayCrashTimeout.
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

// charge is the part of a request's tokens that was charged to the share of one gateway, the holder.
type charge struct {
	holder *gateway
	// limiter belongs to the holder's incarnation at the time of the charge.
	limiter *limiter.Limiter
	ticket  limiter.Ticket
	tokens  float64
}

// settle refunds unused tokens, to the latest charge first. A charge to an incarnation that has crashed meanwhile
// is dropped, as its limiter no longer exists.
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

// sortedAttempts returns the attempts in order of their IDs, so that runs with the same seed give the same result.
func sortedAttempts(attempts map[string]*attempt) []*attempt {
	sorted := make([]*attempt, 0, len(attempts))
	for _, a := range attempts {
		sorted = append(sorted, a)
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].id < sorted[j].id })
	return sorted
}
