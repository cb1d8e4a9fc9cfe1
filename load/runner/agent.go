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
	// reservationTimeout is how long a reservation is held before its decode starts.
	reservationTimeout = 3 * time.Second
	// crashDowntime is how long a crashed engine is down.
	crashDowntime = 10 * time.Second
)

// attempt is work at an engine.
type attempt struct {
	gateway *gateway
	command dispatcher.Command
	request *request
	key     reserver.Key
	id      string
}

// agent is an endpoint with its agent: the real reservation code over the engine model.
type agent struct {
	runner        *Runner
	endpoint      endpoint.Endpoint
	engine        *model.Engine
	reserver      *reserver.Reserver
	attempts      map[string]*attempt
	backlogTokens int
	// advanceNumber numbers the scheduled advance; earlier ones are void.
	advanceNumber int
	down          bool
}

func newAgent(r *Runner, e endpoint.Endpoint) *agent {
	s := r.options.Fleet.Engine
	return &agent{
		runner: r, endpoint: e, engine: model.New(s),
		reserver: reserver.New(s.Slots, s.Pieces, reservationTimeout), attempts: make(map[string]*attempt),
	}
}

func (n *agent) load() *endpoint.Load {
	load := n.reserver.Load()
	load.BacklogTokens = n.backlogTokens
	return &load
}

// scheduleAdvance schedules the next advance of the engine.
func (n *agent) scheduleAdvance() {
	n.advanceNumber++
	number := n.advanceNumber
	at, ok := n.engine.Next()
	if !ok {
		return
	}
	n.runner.timeline.after(max(0, at-n.runner.timeline.now), func() {
		if n.advanceNumber == number {
			n.advance()
		}
	})
}

func (n *agent) advance() {
	now := n.runner.timeline.now
	for _, out := range n.engine.Advance(now) {
		a, ok := n.attempts[out.ID]
		if !ok {
			continue
		}
		switch out.Kind {
		case model.PrefillDone:
			n.finishPrefill(a)
			n.sendEvent(a, dispatcher.Prefilled)
		case model.Token:
			n.runner.deliverToken(a, out.Index)
		case model.StreamEnd:
			n.endAttempt(a)
			n.sendEvent(a, dispatcher.StreamEnded)
		}
	}
	n.reserver.Expire(now)
	n.scheduleAdvance()
}

// sendEvent sends an event to the gateway with the present load.
func (n *agent) sendEvent(a *attempt, kind dispatcher.EventKind) {
	e := dispatcher.Event{Kind: kind, Request: a.command.Request, Attempt: a.command.Attempt, Load: n.load()}
	n.runner.timeline.after(n.runner.delay(a.gateway.domain, n.endpoint.Domain), func() { a.gateway.handleEvent(e) })
}

func (n *agent) reserve(a *attempt) {
	n.reserver.Expire(n.runner.timeline.now)
	switch {
	case n.down:
		n.sendEvent(a, dispatcher.EndpointUnreachable)
	case n.reserver.Reserve(a.key, a.command.Pieces, n.runner.timeline.now):
		n.sendEvent(a, dispatcher.Reserved)
	default:
		n.sendEvent(a, dispatcher.NoCapacity)
	}
}

func (n *agent) prefill(a *attempt) {
	if n.down {
		n.sendEvent(a, dispatcher.EndpointUnreachable)
		return
	}
	n.attempts[a.id] = a
	n.backlogTokens += a.command.PromptTokens
	priority := 0
	if a.request.Draft {
		priority = 1
	}
	n.engine.Prefill(a.id, a.command.PromptTokens, a.request.PrefixDigest, priority, n.runner.timeline.now)
	n.scheduleAdvance()
}

func (n *agent) finishPrefill(a *attempt) {
	delete(n.attempts, a.id)
	n.backlogTokens -= a.command.PromptTokens
	a.request.prefilledTokens += a.command.PromptTokens
}

// decode imports the KV cache from its source and starts the stream when it has arrived.
func (n *agent) decode(a *attempt) {
	now := n.runner.timeline.now
	source := n.runner.agents[a.command.KVSource]
	if n.down || source == nil || !n.reserver.Start(a.key, now) {
		n.sendEvent(a, dispatcher.AttemptLost)
		return
	}
	n.attempts[a.id] = a
	arrival, ok := source.engine.Export(a.id, a.command.PromptTokens, now)
	source.scheduleAdvance()
	if !ok {
		n.endAttempt(a)
		n.sendEvent(a, dispatcher.AttemptLost)
		return
	}
	n.runner.timeline.after(arrival-now, func() { n.startDecode(a) })
}

func (n *agent) startDecode(a *attempt) {
	if n.attempts[a.id] != a {
		return
	}
	if !n.engine.Decode(a.id, a.command.PromptTokens, a.command.SentTokens, a.request.OutputTokens, n.runner.timeline.now, n.runner.timeline.now) {
		n.endAttempt(a)
		n.sendEvent(a, dispatcher.AttemptLost)
		return
	}
	n.scheduleAdvance()
}

func (n *agent) endAttempt(a *attempt) {
	delete(n.attempts, a.id)
	n.reserver.Release(a.key)
}

// release frees what any attempt of the request holds.
func (n *agent) release(a *attempt) {
	for i := a.command.Attempt; i >= 0; i-- {
		key := a.key
		key.Attempt = i
		id := engineID(key)
		if old, ok := n.attempts[id]; ok {
			if n.endpoint.Role == endpoint.Prefill {
				n.backlogTokens -= old.command.PromptTokens
			}
			delete(n.attempts, id)
		}
		n.reserver.Release(key)
		n.engine.Cancel(id, n.runner.timeline.now)
	}
	n.scheduleAdvance()
}

// releaseOwner frees all that a gateway incarnation holds.
func (n *agent) releaseOwner(owner string) {
	n.reserver.ReleaseOwner(owner)
	for id, a := range n.attempts {
		if a.key.Owner == owner {
			delete(n.attempts, id)
			n.engine.Cancel(id, n.runner.timeline.now)
			if n.endpoint.Role == endpoint.Prefill {
				n.backlogTokens -= a.command.PromptTokens
			}
		}
	}
	n.scheduleAdvance()
}

// crash drops all work; every attempt is told, and the engine is down for a while.
func (n *agent) crash() {
	n.engine.Reset()
	n.down = true
	n.backlogTokens = 0
	lostAttempts := n.attempts
	n.attempts = make(map[string]*attempt)
	s := n.runner.options.Fleet.Engine
	n.reserver = reserver.New(s.Slots, s.Pieces, reservationTimeout)
	for _, a := range sortedAttempts(lostAttempts) {
		n.sendEvent(a, dispatcher.EndpointCrashed)
	}
	n.runner.timeline.after(crashDowntime, func() { n.down = false })
}

func engineID(k reserver.Key) string {
	return k.Owner + "-" + strconv.FormatUint(k.Request, 10) + "." + strconv.Itoa(k.Attempt)
}
