// Package coordinator carries out the commands of a gateway's dispatcher. It reserves memory, prefills and decodes by
// calls to the agents of the endpoints, and passes the tokens they return to the caller.
package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/gateway/connector"
	"github.com/pistachiovane/pistachiovane/pkg/attributor"
	"github.com/pistachiovane/pistachiovane/pkg/catalog"
	"github.com/pistachiovane/pistachiovane/pkg/dispatcher"
	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
	"github.com/pistachiovane/pistachiovane/pkg/router"
	"github.com/pistachiovane/pistachiovane/pkg/scheduler"
	"github.com/pistachiovane/pistachiovane/pkg/tokenizer"
	"github.com/pistachiovane/pistachiovane/service/fleet"
	"github.com/pistachiovane/pistachiovane/service/supervision"
)

const (
	// tickInterval is the time between two checks of the queued requests.
	tickInterval = 50 * time.Millisecond
	// reserveTimeout is the longest wait for an agent's answer to a reservation.
	reserveTimeout = time.Second
	// prefillTimeout is the longest wait for a prefill, including its time in the engine's queue.
	prefillTimeout = time.Minute
	// draftPriority is the engine priority of drafts. Interactive requests have priority 0 and are prefilled first.
	draftPriority = 1
)

// ReasonKeyWithdrawn is the reason of requests that were cancelled because their key was withdrawn.
const ReasonKeyWithdrawn dispatcher.Reason = "key"

// GenerationRequest is a caller's request for text from a model.
type GenerationRequest struct {
	Account *catalog.Account
	// Key is the digest of the caller's API key.
	Key             catalog.Digest
	Model           string
	Prompt          string
	PromptTokens    int
	MaxOutputTokens int
	// Draft marks a request without a deadline, which is served after interactive requests.
	Draft bool
	// FirstTokenTimeout is the longest time until the first token of an interactive request.
	FirstTokenTimeout time.Duration
}

// Coordinator owns the generations in progress at one gateway. It is safe for concurrent use.
type Coordinator struct {
	// start is when the coordinator was created; the dispatcher's times count from it.
	start  time.Time
	agents *connector.Connector

	// mu guards the fields from dispatcher to lastRequestID.
	mu          sync.Mutex
	dispatcher  *dispatcher.Dispatcher
	router      *router.Router
	quarantiner *quarantiner.Quarantiner
	attributor  *attributor.Attributor
	// generations holds the generations in progress by request ID.
	generations   map[uint64]*Generation
	lastRequestID uint64
	// initialFreePieces is the free KV memory assumed of a new endpoint, in pieces, until its agent reports its load.
	initialFreePieces int
	// baseCtx is the parent context of all calls to agents and is never cancelled. Prefills and reservations end by a
	// timeout, decodes when their attempt is released.
	baseCtx context.Context
	// wg counts the calls to agents in progress.
	wg sync.WaitGroup
}

// New returns a coordinator without generations. SetConnector must be called before its first use.
func New(
	d *dispatcher.Dispatcher, r *router.Router, q *quarantiner.Quarantiner, a *attributor.Attributor, initialFreePieces int,
) *Coordinator {
	return &Coordinator{
		start: time.Now(), dispatcher: d, router: r, quarantiner: q, attributor: a, initialFreePieces: initialFreePieces,
		generations: make(map[uint64]*Generation), baseCtx: context.Background(),
	}
}

// SetConnector sets the connections to agents. It must be called once, before Serve. New can't take them because the
// connector needs the coordinator's ReceiveTokens.
func (c *Coordinator) SetConnector(agents *connector.Connector) {
	c.agents = agents
}

// Serve checks the queued requests periodically until the context ends. It then cancels all generations and returns
// the context's error.
func (c *Coordinator) Serve(ctx context.Context) error {
	defer c.cancelAll()
	return supervision.Every(ctx, tickInterval, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.execute(c.dispatcher.Tick(c.now()))
	})
}

// Submit queues a request and returns its generation. A request that the dispatcher refuses is returned too: its
// generation has already ended and holds the reason.
func (c *Coordinator) Submit(req GenerationRequest) *Generation {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRequestID++
	id := c.lastRequestID
	g := &Generation{
		id: id, account: req.Account.Name, key: req.Key, prompt: req.Prompt, promptTokens: req.PromptTokens,
		maxOutputTokens: req.MaxOutputTokens, priority: draftPriority, wake: make(chan struct{}, 1),
		cancel: func() { c.cancel(id) },
	}
	c.generations[id] = g
	r := dispatcher.Request{
		ID: id, Account: req.Account.Name, Weight: req.Account.Weight, Class: scheduler.Draft, Model: req.Model,
		PromptTokens: req.PromptTokens, MaxOutputTokens: req.MaxOutputTokens,
		PrefixDigest: tokenizer.PrefixDigest(req.Prompt),
		Fingerprint:  quarantiner.Fingerprint(tokenizer.Digest(req.Account.Name, req.Prompt)),
	}
	addFeatures(&r, req.Prompt)
	if !req.Draft {
		g.priority = 0
		r.Class = scheduler.Interactive
		r.FirstTokenDeadline = c.now() + req.FirstTokenTimeout
	}
	c.execute(c.dispatcher.Submit(r, c.now()))
	return g
}

// ReceiveTokens adds tokens from an agent to their generation. Tokens of unknown requests, of any attempt but the open
// one, and tokens received before are dropped.
func (c *Coordinator) ReceiveTokens(t fleet.TokenBatch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, ok := c.generations[t.RequestID]
	if !ok {
		return
	}
	if n := g.appendTokens(t.Attempt.Attempt, t.FirstIndex, t.Texts); n > 0 {
		c.dispatcher.HandleEvent(dispatcher.Event{
			Kind: dispatcher.TokensSent, Request: t.RequestID, Attempt: t.Attempt.Attempt, Tokens: n,
		}, c.now())
	}
}

// CancelWithdrawnKeys cancels every generation whose key no longer belongs to its account in the active configuration.
func (c *Coordinator) CancelWithdrawnKeys(active *catalog.Catalog) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, g := range c.generations {
		if a, ok := active.AccountByKey(g.key); ok && a.Name == g.account {
			continue
		}
		c.execute(c.dispatcher.Cancel(id, c.now()))
		g.finish(Result{Failed: true, Reason: ReasonKeyWithdrawn, NotRun: false})
		delete(c.generations, id)
	}
}

// Drain makes the coordinator refuse new requests. Generations in progress continue.
func (c *Coordinator) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatcher.Drain()
}

// OpenRequests returns the number of generations in progress, those in the queue included.
func (c *Coordinator) OpenRequests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.generations)
}

// QueueLengths returns the number of queued interactive requests and of queued drafts.
func (c *Coordinator) QueueLengths() (interactive, drafts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dispatcher.QueuedRequests(scheduler.Interactive), c.dispatcher.QueuedRequests(scheduler.Draft)
}

// Wait blocks until every call to an agent has returned.
func (c *Coordinator) Wait() {
	c.wg.Wait()
}

// now returns the time since the coordinator was created, on the monotonic clock.
func (c *Coordinator) now() time.Duration {
	return time.Since(c.start)
}

// cancel ends a generation as failed, without a reason, and releases what it holds at endpoints.
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

// execute carries out commands of the dispatcher. Every call to an agent runs in a new goroutine, because the caller
// must hold c.mu.
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
			c.finish(command.Request, Result{
				Failed: true, Reason: command.Reason, NotRun: command.NotRun,
				RetryAfterSeconds: int64(command.RetryAfter / time.Second),
			})
		}
	}
}

// finish ends a generation with the result. The caller must hold c.mu.
func (c *Coordinator) finish(id uint64, result Result) {
	if g, ok := c.generations[id]; ok {
		delete(c.generations, id)
		g.finish(result)
	}
}

// spawn runs a command in a new goroutine. The generation passed to run is nil where the request has already ended. The
// caller must hold c.mu.
func (c *Coordinator) spawn(command dispatcher.Command, run func(dispatcher.Command, *Generation)) {
	g := c.generations[command.Request]
	c.wg.Go(func() { run(command, g) })
}

// handleEvent passes an event to the dispatcher and executes the commands that it returns.
func (c *Coordinator) handleEvent(e dispatcher.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.execute(c.dispatcher.HandleEvent(e, c.now()))
}

// reserve reserves memory and a decode slot for an attempt. Where the call failed it also sends a release, because the
// agent may hold the reservation although its answer did not arrive.
func (c *Coordinator) reserve(command dispatcher.Command, _ *Generation) {
	ctx, cancel := context.WithTimeout(c.baseCtx, reserveTimeout)
	defer cancel()
	var answer fleet.StageResponse
	err := c.agents.Call(ctx, command.Endpoint, fleet.MethodReserve,
		fleet.ReserveRequest{Attempt: attemptOf(command), Pieces: command.Pieces}, &answer)
	if err != nil {
		_ = c.agents.Notify(c.baseCtx, command.Endpoint, fleet.MethodRelease, attemptOf(command))
	}
	c.handleEvent(c.event(command, answer, err, dispatcher.Reserved))
}

// prefill runs the prompt at an endpoint and keeps the location of the resulting KV cache for the decode.
func (c *Coordinator) prefill(command dispatcher.Command, g *Generation) {
	if g == nil {
		return
	}
	ctx, cancel := context.WithTimeout(c.baseCtx, prefillTimeout)
	defer cancel()
	var answer fleet.StageResponse
	request := c.newStageRequest(command, g)
	err := c.agents.Call(ctx, command.Endpoint, fleet.MethodPrefill, request, &answer)
	g.mu.Lock()
	g.cacheSource, g.cacheHandle = answer.KVSource, answer.KVHandle
	g.mu.Unlock()
	c.handleEvent(c.event(command, answer, err, dispatcher.Prefilled))
}

// decode runs the decode of an attempt and returns when its stream has ended. The tokens arrive at ReceiveTokens.
func (c *Coordinator) decode(command dispatcher.Command, g *Generation) {
	if g == nil {
		return
	}
	request := c.newStageRequest(command, g)
	g.mu.Lock()
	request.KVSource, request.KVHandle = g.cacheSource, g.cacheHandle
	g.mu.Unlock()
	var answer fleet.StageResponse
	err := c.agents.Call(c.baseCtx, command.Endpoint, fleet.MethodDecode, request, &answer)
	c.handleEvent(c.event(command, answer, err, dispatcher.StreamEnded))
}

// release frees what an attempt holds at an endpoint. A release that can't be sent is dropped: the agent frees
// everything that a gateway holds when the connection to it ends.
func (c *Coordinator) release(command dispatcher.Command, _ *Generation) {
	_ = c.agents.Notify(c.baseCtx, command.Endpoint, fleet.MethodRelease, attemptOf(command))
}

// newStageRequest returns the request for a prefill or a decode that is sent to the agent.
func (c *Coordinator) newStageRequest(command dispatcher.Command, g *Generation) fleet.StageRequest {
	request := fleet.StageRequest{
		Attempt: attemptOf(command), Account: g.account, Prompt: g.prompt, PromptTokens: command.PromptTokens,
		PrefixDigest: tokenizer.PrefixDigest(g.prompt), SentTokens: command.SentTokens, MaxOutputTokens: g.maxOutputTokens,
		Priority: g.priority,
	}
	return request
}

// event converts an agent's answer to a command into an event for the dispatcher; success is the kind of event where
// the command succeeded. A failed call means that the work may have run, unless the command was certainly not sent.
func (c *Coordinator) event(
	command dispatcher.Command, answer fleet.StageResponse, err error, success dispatcher.EventKind,
) dispatcher.Event {
	e := dispatcher.Event{Request: command.Request, Attempt: command.Attempt}
	if err != nil {
		e.Kind = dispatcher.AttemptLost
		if errors.Is(err, fleet.ErrNotSent) {
			e.Kind = dispatcher.EndpointUnreachable
		}
		return e
	}
	load := answer.Load.Decode()
	e.Load = &load
	switch answer.Outcome {
	case fleet.OutcomeOK:
		e.Kind = success
	case fleet.OutcomeNoCapacity:
		e.Kind = dispatcher.NoCapacity
	case fleet.OutcomeEndpointCrashed:
		e.Kind = dispatcher.EndpointCrashed
	case fleet.OutcomeEndpointUnreachable:
		e.Kind = dispatcher.EndpointUnreachable
	default:
		e.Kind = dispatcher.AttemptLost
	}
	return e
}

func attemptOf(c dispatcher.Command) fleet.Attempt {
	return fleet.Attempt{RequestID: c.Request, Attempt: c.Attempt}
}
