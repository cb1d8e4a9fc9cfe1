package runner

import (
	"strconv"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/dispatcher"
	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
	"github.com/pistachiovane/pistachiovane/pkg/reserver"
	"github.com/pistachiovane/pistachiovane/standin/model"
)

const (
	// reserveLife is how long a reservation is held before its decode starts.
	reserveLife = 3 * time.Second
	// crashDown is how long a crashed engine is down.
	crashDown = 10 * time.Second
)

// attempt is work at an engine.
type attempt struct {
	gateway *entry
	command dispatcher.Command
	request *request
	key     reserver.Key
	id      string
}

// node is an endpoint with its agent: the real reservation code over the engine model.
type node struct {
	runner   *Runner
	endpoint endpoint.Endpoint
	engine   *model.Engine
	reserver *reserver.Reserver
	running  map[string]*attempt
	backlog  int
	// wake numbers the scheduled advance; earlier ones are void.
	wake int
	down bool
}

func newNode(r *Runner, e endpoint.Endpoint) *node {
	s := r.options.Fleet.Engine
	return &node{
		runner: r, endpoint: e, engine: model.New(s),
		reserver: reserver.New(s.Slots, s.Pieces, reserveLife), running: make(map[string]*attempt),
	}
}

func (n *node) load() *endpoint.Load {
	l := n.reserver.Load()
	l.BacklogTokens = n.backlog
	return &l
}

// poke schedules the next advance of the engine.
func (n *node) poke() {
	n.wake++
	mine := n.wake
	at, ok := n.engine.Next()
	if !ok {
		return
	}
	n.runner.line.after(max(0, at-n.runner.line.now), func() {
		if n.wake == mine {
			n.advance()
		}
	})
}

func (n *node) advance() {
	now := n.runner.line.now
	for _, out := range n.engine.Advance(now) {
		a, ok := n.running[out.ID]
		if !ok {
			continue
		}
		switch out.Kind {
		case model.PrefillDone:
			n.endPrefill(a)
			n.answer(a, dispatcher.Prefilled)
		case model.Token:
			n.runner.token(a, out.Index)
		case model.StreamEnd:
			n.drop(a)
			n.answer(a, dispatcher.StreamEnded)
		}
	}
	n.reserver.Expire(now)
	n.poke()
}

// answer sends an event to the gateway with the present load.
func (n *node) answer(a *attempt, kind dispatcher.EventKind) {
	e := dispatcher.Event{Kind: kind, Request: a.command.Request, Attempt: a.command.Attempt, Load: n.load()}
	n.runner.line.after(n.runner.delay(a.gateway.domain, n.endpoint.Domain), func() { a.gateway.step(e) })
}

func (n *node) reserve(a *attempt) {
	n.reserver.Expire(n.runner.line.now)
	switch {
	case n.down:
		n.answer(a, dispatcher.EndpointUnreachable)
	case n.reserver.Reserve(a.key, a.command.Pieces, n.runner.line.now):
		n.answer(a, dispatcher.Reserved)
	default:
		n.answer(a, dispatcher.NoCapacity)
	}
}

func (n *node) prefill(a *attempt) {
	if n.down {
		n.answer(a, dispatcher.EndpointUnreachable)
		return
	}
	n.running[a.id] = a
	n.backlog += a.command.PromptTokens
	priority := 0
	if a.request.Draft {
		priority = 1
	}
	n.engine.Prefill(a.id, a.command.PromptTokens, a.request.PrefixDigest, priority, n.runner.line.now)
	n.poke()
}

func (n *node) endPrefill(a *attempt) {
	delete(n.running, a.id)
	n.backlog -= a.command.PromptTokens
	a.request.prefilled += a.command.PromptTokens
}

// decode imports the KV cache from its source and starts the stream when it has arrived.
func (n *node) decode(a *attempt) {
	now := n.runner.line.now
	source := n.runner.nodes[a.command.KVSource]
	if n.down || source == nil || !n.reserver.Start(a.key, now) {
		n.answer(a, dispatcher.AttemptLost)
		return
	}
	n.running[a.id] = a
	arrival, ok := source.engine.Export(a.id, a.command.PromptTokens, now)
	source.poke()
	if !ok {
		n.drop(a)
		n.answer(a, dispatcher.AttemptLost)
		return
	}
	n.runner.line.after(arrival-now, func() { n.begin(a) })
}

func (n *node) begin(a *attempt) {
	if n.running[a.id] != a {
		return
	}
	if !n.engine.Decode(a.id, a.command.PromptTokens, a.command.SentTokens, a.request.OutputTokens, n.runner.line.now, n.runner.line.now) {
		n.drop(a)
		n.answer(a, dispatcher.AttemptLost)
		return
	}
	n.poke()
}

func (n *node) drop(a *attempt) {
	delete(n.running, a.id)
	n.reserver.Release(a.key)
}

// release frees what any attempt of the request holds.
func (n *node) release(a *attempt) {
	for i := a.command.Attempt; i >= 0; i-- {
		key := a.key
		key.Attempt = i
		id := engineID(key)
		if old, ok := n.running[id]; ok {
			if n.endpoint.Role == endpoint.Prefill {
				n.backlog -= old.command.PromptTokens
			}
			delete(n.running, id)
		}
		n.reserver.Release(key)
		n.engine.Cancel(id, n.runner.line.now)
	}
	n.poke()
}

// dropOwner frees all that a gateway incarnation holds.
func (n *node) dropOwner(owner string) {
	n.reserver.ReleaseOwner(owner)
	for id, a := range n.running {
		if a.key.Owner == owner {
			delete(n.running, id)
			n.engine.Cancel(id, n.runner.line.now)
			if n.endpoint.Role == endpoint.Prefill {
				n.backlog -= a.command.PromptTokens
			}
		}
	}
	n.poke()
}

// crash drops all work; every attempt is told, and the engine is down for a while.
func (n *node) crash() {
	n.engine.Reset()
	n.down = true
	n.backlog = 0
	lost := n.running
	n.running = make(map[string]*attempt)
	s := n.runner.options.Fleet.Engine
	n.reserver = reserver.New(s.Slots, s.Pieces, reserveLife)
	for _, a := range sortedAttempts(lost) {
		n.answer(a, dispatcher.EndpointCrashed)
	}
	n.runner.line.after(crashDown, func() { n.down = false })
}

func engineID(k reserver.Key) string {
	return k.Owner + "-" + strconv.FormatUint(k.Request, 10) + "." + strconv.Itoa(k.Attempt)
}
