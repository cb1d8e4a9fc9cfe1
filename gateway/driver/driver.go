// Package driver carries out the commands of the dispatcher: it calls agents and passes tokens to callers.
package driver

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/gateway/linker"
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

// ReasonKey ends a request whose key was withdrawn.
const ReasonKey dispatcher.Reason = "key"

// Ask is a prompt of a caller.
type Ask struct {
	Account *catalog.Account
	Key     catalog.Digest
	Model   string
	Prompt  string
	Tokens  int
	Most    int
	Draft   bool
	// First is the first-token deadline of interactive requests.
	First time.Duration
}

// Driver owns the requests in progress of one gateway.
type Driver struct {
	start time.Time
	links *linker.Linker

	mu         sync.Mutex
	dispatcher *dispatcher.Dispatcher
	router     *router.Router
	poison     *quarantiner.Quarantiner
	flights    map[uint64]*Flight
	sequence   uint64
	pieces     int
	base       context.Context
	wg         sync.WaitGroup
}

// New returns a driver; the linker must be given with Link before the first request.
func New(d *dispatcher.Dispatcher, r *router.Router, q *quarantiner.Quarantiner, pieces int) *Driver {
	return &Driver{
		start: time.Now(), dispatcher: d, router: r, poison: q, pieces: pieces,
		flights: make(map[uint64]*Flight), base: context.Background(),
	}
}

// Link sets the connections to agents; it must be called once, before Serve.
func (d *Driver) Link(l *linker.Linker) {
	d.links = l
}

// Serve checks waiting requests until the context ends, then ends all that is left.
func (d *Driver) Serve(ctx context.Context) error {
	defer d.endAll()
	return supervision.Every(ctx, tickEvery, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.apply(d.dispatcher.Tick(d.now()))
	})
}

// Submit starts a request and returns its flight.
func (d *Driver) Submit(a Ask) *Flight {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sequence++
	id := d.sequence
	f := &Flight{
		id: id, account: a.Account.Name, key: a.Key, prompt: a.Prompt, tokens: a.Tokens, most: a.Most,
		priority: draftPriority, wake: make(chan struct{}, 1), cancel: func() { d.cancel(id) },
	}
	d.flights[id] = f
	r := dispatcher.Request{
		ID: id, Account: a.Account.Name, Weight: a.Account.Weight, Class: scheduler.Draft, Model: a.Model,
		Prompt: a.Tokens, Output: a.Most, Prefix: tokenizer.Prefix(a.Prompt),
		Fingerprint: quarantiner.Fingerprint(tokenizer.Digest(a.Account.Name, a.Prompt)),
	}
	if !a.Draft {
		f.priority = 0
		r.Class = scheduler.Interactive
		r.Deadline = d.now() + a.First
	}
	d.apply(d.dispatcher.Submit(r, d.now()))
	return f
}

// Tokens takes in answer tokens from an agent; those of an attempt that is not open are dropped.
func (d *Driver) Tokens(t fleet.Tokens) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, ok := d.flights[t.Request]
	if !ok {
		return
	}
	if n := f.take(t.Attempt.Attempt, t.Index, t.Texts); n > 0 {
		d.dispatcher.Step(dispatcher.Event{Kind: dispatcher.Tokens, Request: t.Request, Attempt: t.Attempt.Attempt, Tokens: n}, d.now())
	}
}

// Update sets the endpoints to route to; those not among them get no new work.
func (d *Driver) Update(endpoints []endpoint.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	keep := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		keep[e.ID] = true
		d.router.Set(e, d.pieces)
		d.links.Set(e.ID, e.Address)
	}
	var gone []string
	d.router.Views(func(v *router.View) {
		if !keep[v.ID] {
			gone = append(gone, v.ID)
		}
	})
	for _, id := range gone {
		d.router.Remove(id)
		d.links.Remove(id)
	}
	d.apply(d.dispatcher.Tick(d.now()))
}

// Revoke ends every request whose key is not in force any more.
func (d *Driver) Revoke(c *catalog.Catalog) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, f := range d.flights {
		if a, ok := c.ByKey(f.key); ok && a.Name == f.account {
			continue
		}
		d.apply(d.dispatcher.Cancel(id, d.now()))
		f.finish(End{Failed: true, Reason: ReasonKey, NotRun: false})
		delete(d.flights, id)
	}
}

// Drain refuses new requests from now on.
func (d *Driver) Drain() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dispatcher.Drain()
}

// Open returns how many requests are in progress.
func (d *Driver) Open() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.flights)
}

// Blames returns the crash records to share with other gateways.
func (d *Driver) Blames() []quarantiner.Blame {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.poison.Blames(d.now())
}

// Merge takes in the crash records of another gateway.
func (d *Driver) Merge(b []quarantiner.Blame) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.poison.Merge(b, d.now())
}

// EndpointState is the dump of one endpoint as the gateway sees it.
type EndpointState struct {
	ID      string `json:"id"`
	Role    string `json:"role"`
	Domain  string `json:"domain"`
	Held    int    `json:"held"`
	Free    int    `json:"free"`
	Backlog int    `json:"backlog"`
	Leaving bool   `json:"leaving"`
}

// Endpoints returns the endpoints as the gateway sees them.
func (d *Driver) Endpoints() []EndpointState {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []EndpointState
	d.router.Views(func(v *router.View) {
		out = append(out, EndpointState{ID: v.ID, Role: v.Role.String(), Domain: v.Domain, Held: v.Held, Free: v.FreePieces, Backlog: v.Backlog, Leaving: v.Leaving})
	})
	return out
}

// Waiting returns the queue lengths of interactive requests and drafts.
func (d *Driver) Waiting() (interactive, drafts int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dispatcher.Waiting(scheduler.Interactive), d.dispatcher.Waiting(scheduler.Draft)
}

// Wait returns when every call to an agent has returned.
func (d *Driver) Wait() {
	d.wg.Wait()
}

func (d *Driver) now() time.Duration {
	return time.Since(d.start)
}

func (d *Driver) cancel(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, ok := d.flights[id]
	if !ok {
		return
	}
	delete(d.flights, id)
	d.apply(d.dispatcher.Cancel(id, d.now()))
	f.finish(End{Failed: true})
}

func (d *Driver) endAll() {
	d.mu.Lock()
	ids := make([]uint64, 0, len(d.flights))
	for id := range d.flights {
		ids = append(ids, id)
	}
	d.mu.Unlock()
	for _, id := range ids {
		d.cancel(id)
	}
}

// apply carries out commands; d.mu is held, so every call runs on a goroutine of its own.
func (d *Driver) apply(commands []dispatcher.Command) {
	for _, c := range commands {
		switch c.Kind {
		case dispatcher.Reserve:
			d.spawn(c, d.reserve)
		case dispatcher.StartPrefill:
			d.spawn(c, d.prefill)
		case dispatcher.StartDecode:
			if f, ok := d.flights[c.Request]; ok {
				f.open(c.Attempt)
			}
			d.spawn(c, d.decode)
		case dispatcher.Release:
			d.spawn(c, d.release)
		case dispatcher.Finish:
			d.finish(c.Request, End{})
		case dispatcher.Fail:
			d.finish(c.Request, End{Failed: true, Reason: c.Reason, NotRun: c.NotRun, RetryAfter: int64(c.RetryAfter / time.Second)})
		}
	}
}

func (d *Driver) finish(id uint64, e End) {
	if f, ok := d.flights[id]; ok {
		delete(d.flights, id)
		f.finish(e)
	}
}

func (d *Driver) spawn(c dispatcher.Command, run func(dispatcher.Command, *Flight)) {
	f := d.flights[c.Request]
	d.wg.Go(func() { run(c, f) })
}

func (d *Driver) step(e dispatcher.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(d.dispatcher.Step(e, d.now()))
}

func (d *Driver) reserve(c dispatcher.Command, _ *Flight) {
	ctx, cancel := context.WithTimeout(d.base, reserveTimeout)
	defer cancel()
	var a fleet.Answer
	err := d.links.Call(ctx, c.Endpoint, fleet.MethodReserve, fleet.Reservation{Attempt: attemptOf(c), Pieces: c.Pieces}, &a)
	if err != nil {
		_ = d.links.Notify(d.base, c.Endpoint, fleet.MethodRelease, attemptOf(c))
	}
	d.step(d.event(c, a, err, dispatcher.Reserved))
}

func (d *Driver) prefill(c dispatcher.Command, f *Flight) {
	if f == nil {
		return
	}
	ctx, cancel := context.WithTimeout(d.base, prefillTimeout)
	defer cancel()
	var a fleet.Answer
	w := d.work(c, f)
	err := d.links.Call(ctx, c.Endpoint, fleet.MethodPrefill, w, &a)
	f.mu.Lock()
	f.source, f.handle = a.Source, a.Handle
	f.mu.Unlock()
	d.step(d.event(c, a, err, dispatcher.Prefilled))
}

func (d *Driver) decode(c dispatcher.Command, f *Flight) {
	if f == nil {
		return
	}
	w := d.work(c, f)
	f.mu.Lock()
	w.Source, w.Handle = f.source, f.handle
	f.mu.Unlock()
	var a fleet.Answer
	err := d.links.Call(d.base, c.Endpoint, fleet.MethodDecode, w, &a)
	d.step(d.event(c, a, err, dispatcher.Ended))
}

func (d *Driver) release(c dispatcher.Command, _ *Flight) {
	_ = d.links.Notify(d.base, c.Endpoint, fleet.MethodRelease, attemptOf(c))
}

func (d *Driver) work(c dispatcher.Command, f *Flight) fleet.Work {
	w := fleet.Work{
		Attempt: attemptOf(c), Account: f.account, Prompt: f.prompt, Tokens: c.Prompt,
		Prefix: tokenizer.Prefix(f.prompt), Sent: c.Sent, Max: f.most,
		Priority: f.priority,
	}
	return w
}

// event converts the answer of an agent.
func (d *Driver) event(c dispatcher.Command, a fleet.Answer, err error, success dispatcher.EventKind) dispatcher.Event {
	e := dispatcher.Event{Request: c.Request, Attempt: c.Attempt}
	if err != nil {
		e.Kind = dispatcher.Lost
		if errors.Is(err, fleet.ErrNotSent) {
			e.Kind = dispatcher.Unreachable
		}
		return e
	}
	load := a.Load.Endpoint()
	e.Load = &load
	switch a.Outcome {
	case fleet.OutcomeOK:
		e.Kind = success
	case fleet.OutcomeFull:
		e.Kind = dispatcher.Full
	case fleet.OutcomeCrashed:
		e.Kind = dispatcher.Crashed
	case fleet.OutcomeUnreachable:
		e.Kind = dispatcher.Unreachable
	default:
		e.Kind = dispatcher.Lost
	}
	return e
}

func attemptOf(c dispatcher.Command) fleet.Attempt {
	return fleet.Attempt{Request: c.Request, Attempt: c.Attempt}
}
