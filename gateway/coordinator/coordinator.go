// Package coordinator carries out the commands of the dispatcher: it calls agents and passes tokens to callers.
package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/gateway/connector"
	"github.com/pistachiovane/pistachiovane/pkg/catalog"
	"github.com/pistachiovane/pistachiovane/pkg/dispatcher"
	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
	"github.com/pistachiovane/pistachiovane/pkg/router"
	"github.com/pistachiovane/pistachiovane/pkg/scheduler"
	"github.com/pistachiovane/pistachiovane/pkg/tokenizer"
	"github.com/pistachiovane/pistachiovane/service/fleet"
	"github.com/pistachiovane/pistachiovane/service/supervision"
)

const (
	// tickInterval is how often waiting requests are checked.
	tickInterval = 50 * time.Millisecond
	// reserveTimeout bounds the wait for a reservation.
	reserveTimeout = time.Second
	// prefillTimeout bounds one prefill.
	prefillTimeout = time.Minute
	// draftPriority makes drafts wait behind interactive prefills at an engine.
	draftPriority = 1
)

// ReasonKeyWithdrawn ends a request whose key was withdrawn.
const ReasonKeyWithdrawn dispatcher.Reason = "key"

// GenerationRequest is a prompt of a caller.
type GenerationRequest struct {
	Account         *catalog.Account
	Key             catalog.Digest
	Model           string
	Prompt          string
	PromptTokens    int
	MaxOutputTokens int
	Draft           bool
	// FirstTokenTimeout is the first-token deadline of interactive requests.
	FirstTokenTimeout time.Duration
}

// Coordinator owns the requests in progress of one gateway.
type Coordinator struct {
	start  time.Time
	agents *connector.Connector

	mu                sync.Mutex
	dispatcher        *dispatcher.Dispatcher
	router            *router.Router
	quarantiner       *quarantiner.Quarantiner
	generations       map[uint64]*Generation
	lastRequestID     uint64
	initialFreePieces int
	baseCtx           context.Context
	wg                sync.WaitGroup
}

// New returns a coordinator; the connector must be given with Link before the first request.
func New(d *dispatcher.Dispatcher, r *router.Router, q *quarantiner.Quarantiner, initialFreePieces int) *Coordinator {
	return &Coordinator{
		start: time.Now(), dispatcher: d, router: r, quarantiner: q, initialFreePieces: initialFreePieces,
		generations: make(map[uint64]*Generation), baseCtx: context.Background(),
	}
}

// SetConnector sets the connections to agents; it must be called once, before Serve.
func (c *Coordinator) SetConnector(agents *connector.Connector) {
	c.agents = agents
}

// Serve checks waiting requests until the context ends, then ends all that is left.
func (c *Coordinator) Serve(ctx context.Context) error {
	defer c.cancelAll()
	return supervision.Every(ctx, tickInterval, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.execute(c.dispatcher.Tick(c.now()))
	})
}

// Submit starts a request and returns its flight.
func (c *Coordinator) Submit(req GenerationRequest) *Generation {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRequestID++
	id := c.lastRequestID
	g := &Generation{
		id: id, account: req.Account.Name, key: req.Key, prompt: req.Prompt, promptTokens: req.PromptTokens, maxOutputTokens: req.MaxOutputTokens,
		priority: draftPriority, wake: make(chan struct{}, 1), cancel: func() { c.cancel(id) },
	}
	c.generations[id] = g
	r := dispatcher.Request{
		ID: id, Account: req.Account.Name, Weight: req.Account.Weight, Class: scheduler.Draft, Model: req.Model,
		PromptTokens: req.PromptTokens, MaxOutputTokens: req.MaxOutputTokens, PrefixDigest: tokenizer.Prefix(req.Prompt),
		Fingerprint: quarantiner.Fingerprint(tokenizer.Digest(req.Account.Name, req.Prompt)),
	}
	if !req.Draft {
		g.priority = 0
		r.Class = scheduler.Interactive
		r.FirstTokenDeadline = c.now() + req.FirstTokenTimeout
	}
	c.execute(c.dispatcher.Submit(r, c.now()))
	return g
}

// ReceiveTokens takes in answer tokens from an agent; those of an attempt that is not open are dropped.
func (c *Coordinator) ReceiveTokens(t fleet.Tokens) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, ok := c.generations[t.Request]
	if !ok {
		return
	}
	if n := g.appendTokens(t.Attempt.Attempt, t.Index, t.Texts); n > 0 {
		c.dispatcher.HandleEvent(dispatcher.Event{Kind: dispatcher.TokensSent, Request: t.Request, Attempt: t.Attempt.Attempt, Tokens: n}, c.now())
	}
}

// UpdateEndpoints sets the endpoints to route to; those not among them get no new work.
func (c *Coordinator) UpdateEndpoints(endpoints []endpoint.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		listed[e.ID] = true
		c.router.Set(e, c.initialFreePieces)
		c.agents.SetAddress(e.ID, e.Address)
	}
	var removed []string
	c.router.EachState(func(v *router.EndpointState) {
		if !listed[v.ID] {
			removed = append(removed, v.ID)
		}
	})
	for _, id := range removed {
		c.router.Remove(id)
		c.agents.Remove(id)
	}
	c.execute(c.dispatcher.Tick(c.now()))
}

// CancelWithdrawnKeys ends every request whose key is not in force any more.
func (c *Coordinator) CancelWithdrawnKeys(active *catalog.Catalog) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, g := range c.generations {
		if a, ok := active.ByKey(g.key); ok && a.Name == g.account {
			continue
		}
		c.execute(c.dispatcher.Cancel(id, c.now()))
		g.finish(Result{Failed: true, Reason: ReasonKeyWithdrawn, NotRun: false})
		delete(c.generations, id)
	}
}

// Drain refuses new requests from now on.
func (c *Coordinator) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatcher.Drain()
}

// OpenRequests returns how many requests are in progress.
func (c *Coordinator) OpenRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.generations)
}

// CrashRecords returns the crash records to share with other gateways.
func (c *Coordinator) CrashRecords() []quarantiner.CrashRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantiner.CrashRecords(c.now())
}

// MergeCrashRecords takes in the crash records of another gateway.
func (c *Coordinator) MergeCrashRecords(b []quarantiner.CrashRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quarantiner.Merge(b, c.now())
}

// EndpointState is the dump of one endpoint as the gateway sees it.
type EndpointState struct {
	ID            string `json:"id"`
	Role          string `json:"role"`
	Domain        string `json:"domain"`
	OccupiedSlots int    `json:"held"`
	FreePieces    int    `json:"free"`
	BacklogTokens int    `json:"backlog"`
	Leaving       bool   `json:"leaving"`
}

// EndpointStates returns the endpoints as the gateway sees them.
func (c *Coordinator) EndpointStates() []EndpointState {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []EndpointState
	c.router.EachState(func(v *router.EndpointState) {
		out = append(out, EndpointState{ID: v.ID, Role: v.Role.String(), Domain: v.Domain, OccupiedSlots: v.UsedSlots, FreePieces: v.FreePieces, BacklogTokens: v.BacklogTokens, Leaving: v.Leaving})
	})
	return out
}

// QueueLengths returns the queue lengths of interactive requests and drafts.
func (c *Coordinator) QueueLengths() (interactive, drafts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dispatcher.QueuedRequests(scheduler.Interactive), c.dispatcher.QueuedRequests(scheduler.Draft)
}

// Wait returns when every call to an agent has returned.
func (c *Coordinator) Wait() {
	c.wg.Wait()
}

func (c *Coordinator) now() time.Duration {
	return time.Since(c.start)
}

func (c *Coordinator) cancel(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, ok := c.generations[id]
	if !ok {
		return
	}
	delete(c.generations, id)
	c.execute(c.dispatcher.Cancel(id, c.now()))
	g.finish(Result{Failed: true})
}

func (c *Coordinator) cancelAll() {
	c.mu.Lock()
	ids := make([]uint64, 0, len(c.generations))
	for id := range c.generations {
		ids = append(ids, id)
	}
	c.mu.Unlock()
	for _, id := range ids {
		c.cancel(id)
	}
}

// execute carries out commands; c.mu is held, so every call runs on a goroutine of its own.
func (c *Coordinator) execute(commands []dispatcher.Command) {
	for _, command := range commands {
		switch command.Kind {
		case dispatcher.Reserve:
			c.spawn(command, c.reserve)
		case dispatcher.StartPrefill:
			c.spawn(command, c.prefill)
		case dispatcher.StartDecode:
			if g, ok := c.generations[command.Request]; ok {
				g.setOpenAttempt(command.Attempt)
			}
			c.spawn(command, c.decode)
		case dispatcher.Release:
			c.spawn(command, c.release)
		case dispatcher.Finish:
			c.finish(command.Request, Result{})
		case dispatcher.Fail:
			c.finish(command.Request, Result{Failed: true, Reason: command.Reason, NotRun: command.NotRun, RetryAfterSeconds: int64(command.RetryAfter / time.Second)})
		}
	}
}

func (c *Coordinator) finish(id uint64, result Result) {
	if g, ok := c.generations[id]; ok {
		delete(c.generations, id)
		g.finish(result)
	}
}

func (c *Coordinator) spawn(command dispatcher.Command, run func(dispatcher.Command, *Generation)) {
	g := c.generations[command.Request]
	c.wg.Go(func() { run(command, g) })
}

func (c *Coordinator) handleEvent(e dispatcher.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.execute(c.dispatcher.HandleEvent(e, c.now()))
}

func (c *Coordinator) reserve(command dispatcher.Command, _ *Generation) {
	ctx, cancel := context.WithTimeout(c.baseCtx, reserveTimeout)
	defer cancel()
	var answer fleet.Answer
	err := c.agents.Call(ctx, command.Endpoint, fleet.MethodReserve, fleet.Reservation{Attempt: attemptOf(command), Pieces: command.Pieces}, &answer)
	if err != nil {
		_ = c.agents.Notify(c.baseCtx, command.Endpoint, fleet.MethodRelease, attemptOf(command))
	}
	c.handleEvent(c.event(command, answer, err, dispatcher.Reserved))
}

func (c *Coordinator) prefill(command dispatcher.Command, g *Generation) {
	if g == nil {
		return
	}
	ctx, cancel := context.WithTimeout(c.baseCtx, prefillTimeout)
	defer cancel()
	var answer fleet.Answer
	w := c.work(command, g)
	err := c.agents.Call(ctx, command.Endpoint, fleet.MethodPrefill, w, &answer)
	g.mu.Lock()
	g.cacheSource, g.cacheHandle = answer.Source, answer.Handle
	g.mu.Unlock()
	c.handleEvent(c.event(command, answer, err, dispatcher.Prefilled))
}

func (c *Coordinator) decode(command dispatcher.Command, g *Generation) {
	if g == nil {
		return
	}
	w := c.work(command, g)
	g.mu.Lock()
	w.Source, w.Handle = g.cacheSource, g.cacheHandle
	g.mu.Unlock()
	var answer fleet.Answer
	err := c.agents.Call(c.baseCtx, command.Endpoint, fleet.MethodDecode, w, &answer)
	c.handleEvent(c.event(command, answer, err, dispatcher.StreamEnded))
}

func (c *Coordinator) release(command dispatcher.Command, _ *Generation) {
	_ = c.agents.Notify(c.baseCtx, command.Endpoint, fleet.MethodRelease, attemptOf(command))
}

func (c *Coordinator) work(command dispatcher.Command, g *Generation) fleet.Work {
	w := fleet.Work{
		Attempt: attemptOf(command), Account: g.account, Prompt: g.prompt, Tokens: command.PromptTokens,
		Prefix: tokenizer.Prefix(g.prompt), Sent: command.SentTokens, Max: g.maxOutputTokens,
		Priority: g.priority,
	}
	return w
}

// event converts the answer of an agent.
func (c *Coordinator) event(command dispatcher.Command, answer fleet.Answer, err error, success dispatcher.EventKind) dispatcher.Event {
	e := dispatcher.Event{Request: command.Request, Attempt: command.Attempt}
	if err != nil {
		e.Kind = dispatcher.AttemptLost
		if errors.Is(err, fleet.ErrNotSent) {
			e.Kind = dispatcher.EndpointUnreachable
		}
		return e
	}
	load := answer.Load.Endpoint()
	e.Load = &load
	switch answer.Outcome {
	case fleet.OutcomeOK:
		e.Kind = success
	case fleet.OutcomeFull:
		e.Kind = dispatcher.NoCapacity
	case fleet.OutcomeCrashed:
		e.Kind = dispatcher.EndpointCrashed
	case fleet.OutcomeUnreachable:
		e.Kind = dispatcher.EndpointUnreachable
	default:
		e.Kind = dispatcher.AttemptLost
	}
	return e
}

func attemptOf(c dispatcher.Command) fleet.Attempt {
	return fleet.Attempt{Request: c.Request, Attempt: c.Attempt}
}
