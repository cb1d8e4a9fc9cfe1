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
	// tickEvery is how often waiting requests are checked.
	tickEvery = 50 * time.Millisecond
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
	start time.Time
	links *connector.Connector

	mu         sync.Mutex
	dispatcher *dispatcher.Dispatcher
	router     *router.Router
	poison     *quarantiner.Quarantiner
	flights    map[uint64]*Generation
	sequence   uint64
	pieces     int
	base       context.Context
	wg         sync.WaitGroup
}

// New returns a coordinator; the connector must be given with Link before the first request.
func New(d *dispatcher.Dispatcher, r *router.Router, q *quarantiner.Quarantiner, pieces int) *Coordinator {
	return &Coordinator{
		start: time.Now(), dispatcher: d, router: r, poison: q, pieces: pieces,
		flights: make(map[uint64]*Generation), base: context.Background(),
	}
}

// SetConnector sets the connections to agents; it must be called once, before Serve.
func (c *Coordinator) SetConnector(links *connector.Connector) {
	c.links = links
}

// Serve checks waiting requests until the context ends, then ends all that is left.
func (c *Coordinator) Serve(ctx context.Context) error {
	defer c.endAll()
	return supervision.Every(ctx, tickEvery, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.apply(c.dispatcher.Tick(c.now()))
	})
}

// Submit starts a request and returns its flight.
func (c *Coordinator) Submit(a GenerationRequest) *Generation {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	id := c.sequence
	f := &Generation{
		id: id, account: a.Account.Name, key: a.Key, prompt: a.Prompt, tokens: a.PromptTokens, most: a.MaxOutputTokens,
		priority: draftPriority, wake: make(chan struct{}, 1), cancel: func() { c.cancel(id) },
	}
	c.flights[id] = f
	r := dispatcher.Request{
		ID: id, Account: a.Account.Name, Weight: a.Account.Weight, Class: scheduler.Draft, Model: a.Model,
		PromptTokens: a.PromptTokens, MaxOutputTokens: a.MaxOutputTokens, PrefixDigest: tokenizer.Prefix(a.Prompt),
		Fingerprint: quarantiner.Fingerprint(tokenizer.Digest(a.Account.Name, a.Prompt)),
	}
	if !a.Draft {
		f.priority = 0
		r.Class = scheduler.Interactive
		r.FirstTokenDeadline = c.now() + a.FirstTokenTimeout
	}
	c.apply(c.dispatcher.Submit(r, c.now()))
	return f
}

// ReceiveTokens takes in answer tokens from an agent; those of an attempt that is not open are dropped.
func (c *Coordinator) ReceiveTokens(t fleet.Tokens) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f, ok := c.flights[t.Request]
	if !ok {
		return
	}
	if n := f.take(t.Attempt.Attempt, t.Index, t.Texts); n > 0 {
		c.dispatcher.HandleEvent(dispatcher.Event{Kind: dispatcher.TokensSent, Request: t.Request, Attempt: t.Attempt.Attempt, Tokens: n}, c.now())
	}
}

// UpdateEndpoints sets the endpoints to route to; those not among them get no new work.
func (c *Coordinator) UpdateEndpoints(endpoints []endpoint.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	keep := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		keep[e.ID] = true
		c.router.Set(e, c.pieces)
		c.links.SetAddress(e.ID, e.Address)
	}
	var gone []string
	c.router.EachState(func(v *router.EndpointState) {
		if !keep[v.ID] {
			gone = append(gone, v.ID)
		}
	})
	for _, id := range gone {
		c.router.Remove(id)
		c.links.Remove(id)
	}
	c.apply(c.dispatcher.Tick(c.now()))
}

// CancelWithdrawnKeys ends every request whose key is not in force any more.
func (c *Coordinator) CancelWithdrawnKeys(inForce *catalog.Catalog) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, f := range c.flights {
		if a, ok := inForce.ByKey(f.key); ok && a.Name == f.account {
			continue
		}
		c.apply(c.dispatcher.Cancel(id, c.now()))
		f.finish(Result{Failed: true, Reason: ReasonKeyWithdrawn, NotRun: false})
		delete(c.flights, id)
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
	return len(c.flights)
}

// CrashRecords returns the crash records to share with other gateways.
func (c *Coordinator) CrashRecords() []quarantiner.CrashRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.poison.CrashRecords(c.now())
}

// MergeCrashRecords takes in the crash records of another gateway.
func (c *Coordinator) MergeCrashRecords(b []quarantiner.CrashRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.poison.Merge(b, c.now())
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
	f, ok := c.flights[id]
	if !ok {
		return
	}
	delete(c.flights, id)
	c.apply(c.dispatcher.Cancel(id, c.now()))
	f.finish(Result{Failed: true})
}

func (c *Coordinator) endAll() {
	c.mu.Lock()
	ids := make([]uint64, 0, len(c.flights))
	for id := range c.flights {
		ids = append(ids, id)
	}
	c.mu.Unlock()
	for _, id := range ids {
		c.cancel(id)
	}
}

// apply carries out commands; c.mu is held, so every call runs on a goroutine of its own.
func (c *Coordinator) apply(commands []dispatcher.Command) {
	for _, command := range commands {
		switch command.Kind {
		case dispatcher.Reserve:
			c.spawn(command, c.reserve)
		case dispatcher.StartPrefill:
			c.spawn(command, c.prefill)
		case dispatcher.StartDecode:
			if f, ok := c.flights[command.Request]; ok {
				f.open(command.Attempt)
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

func (c *Coordinator) finish(id uint64, e Result) {
	if f, ok := c.flights[id]; ok {
		delete(c.flights, id)
		f.finish(e)
	}
}

func (c *Coordinator) spawn(command dispatcher.Command, run func(dispatcher.Command, *Generation)) {
	f := c.flights[command.Request]
	c.wg.Go(func() { run(command, f) })
}

func (c *Coordinator) step(e dispatcher.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(c.dispatcher.HandleEvent(e, c.now()))
}

func (c *Coordinator) reserve(command dispatcher.Command, _ *Generation) {
	ctx, cancel := context.WithTimeout(c.base, reserveTimeout)
	defer cancel()
	var a fleet.Answer
	err := c.links.Call(ctx, command.Endpoint, fleet.MethodReserve, fleet.Reservation{Attempt: attemptOf(command), Pieces: command.Pieces}, &a)
	if err != nil {
		_ = c.links.Notify(c.base, command.Endpoint, fleet.MethodRelease, attemptOf(command))
	}
	c.step(c.event(command, a, err, dispatcher.Reserved))
}

func (c *Coordinator) prefill(command dispatcher.Command, f *Generation) {
	if f == nil {
		return
	}
	ctx, cancel := context.WithTimeout(c.base, prefillTimeout)
	defer cancel()
	var a fleet.Answer
	w := c.work(command, f)
	err := c.links.Call(ctx, command.Endpoint, fleet.MethodPrefill, w, &a)
	f.mu.Lock()
	f.source, f.handle = a.Source, a.Handle
	f.mu.Unlock()
	c.step(c.event(command, a, err, dispatcher.Prefilled))
}

func (c *Coordinator) decode(command dispatcher.Command, f *Generation) {
	if f == nil {
		return
	}
	w := c.work(command, f)
	f.mu.Lock()
	w.Source, w.Handle = f.source, f.handle
	f.mu.Unlock()
	var a fleet.Answer
	err := c.links.Call(c.base, command.Endpoint, fleet.MethodDecode, w, &a)
	c.step(c.event(command, a, err, dispatcher.StreamEnded))
}

func (c *Coordinator) release(command dispatcher.Command, _ *Generation) {
	_ = c.links.Notify(c.base, command.Endpoint, fleet.MethodRelease, attemptOf(command))
}

func (c *Coordinator) work(command dispatcher.Command, f *Generation) fleet.Work {
	w := fleet.Work{
		Attempt: attemptOf(command), Account: f.account, Prompt: f.prompt, Tokens: command.PromptTokens,
		Prefix: tokenizer.Prefix(f.prompt), Sent: command.SentTokens, Max: f.most,
		Priority: f.priority,
	}
	return w
}

// event converts the answer of an agent.
func (c *Coordinator) event(command dispatcher.Command, a fleet.Answer, err error, success dispatcher.EventKind) dispatcher.Event {
	e := dispatcher.Event{Request: command.Request, Attempt: command.Attempt}
	if err != nil {
		e.Kind = dispatcher.AttemptLost
		if errors.Is(err, fleet.ErrNotSent) {
			e.Kind = dispatcher.EndpointUnreachable
		}
		return e
	}
	load := a.Load.Endpoint()
	e.Load = &load
	switch a.Outcome {
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
