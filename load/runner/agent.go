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
	// reservationTimeout is the time after which a reservation expires unless its decode has started.
	reservationTimeout = 3 * time.Second
	// crashDowntime is the time from an engine's crash until it accepts work again.
	crashDowntime = 10 * time.Second
)

// attempt is one command of a gateway to an agent, with the request that it belongs to.
type attempt struct {
	gateway *gateway
	command dispatcher.Command
	request *request
	// key identifies the attempt at the reserver, id at the engine.
	key reserver.Key
	id  string
}

// agent simulates one endpoint and its agent: the real reservation code in front of an engine model.
type agent struct {
	runner   *Runner
	endpoint endpoint.Endpoint
	engine   *model.Engine
	reserver *reserver.Reserver
	// attempts holds the work at the engine, by attempt ID.
	attempts map[string]*attempt
	// backlogTokens is the number of prompt tokens that are queued or being prefilled.
	backlogTokens int
	// advanceNumber is the number of the latest scheduled advance of the engine. Earlier scheduled ones do nothing.
	advanceNumber int
	// down is true after a crash, for crashDowntime.
	down bool
}

func newAgent(r *Runner, e endpoint.Endpoint) *agent {
	s := r.options.Fleet.Engine
	return &agent{
		runner: r, endpoint: e, engine: model.New(s),
		reserver: newReserver(r), attempts: make(map[string]*attempt),
	}
}

// newReserver returns the reserver of an endpoint without reservations.
func newReserver(r *Runner) *reserver.Reserver {
	s := r.options.Fleet.Engine
	out := reserver.New(s.DecodeSlots, s.MemoryPieces, reservationTimeout)
	if r.policy.firstCome {
		out.ServeFirstCome()
	}
	return out
}

// load returns the reserver's load together with the prefill backlog.
func (n *agent) load() *endpoint.Load {
	load := n.reserver.Load()
	load.BacklogTokens = n.backlogTokens
	return &load
}

// scheduleAdvance schedules advance for the engine's next output, in place of any earlier schedule. It is called
// after each change of the engine's work.
func (n *agent) scheduleAdvance() {
	n.advanceNumber++
	number := n.advanceNumber
	at, ok := n.engine.NextEventTime()
	if !ok {
		return
	}
	n.runner.timeline.after(max(0, at-n.runner.timeline.now), func() {
		if n.advanceNumber == number {
			n.advance()
		}
	})
}

// advance runs the engine up to the current virtual time, passes on its outputs and schedules the next advance.
func (n *agent) advance() {
	now := n.runner.timeline.now
	for _, out := range n.engine.Advance(now) {
		a, ok := n.attempts[out.RequestID]
		if !ok {
			continue
		}
		switch out.Kind {
		case model.PrefillDone:
			n.finishPrefill(a)
			n.sendEvent(a, dispatcher.Prefilled)
		case model.Token:
			n.runner.deliverToken(a, out.TokenIndex)
		case model.StreamEnd:
			n.endAttempt(a)
			n.sendEvent(a, dispatcher.StreamEnded)
		}
	}
	n.reserver.Expire(now)
	n.scheduleAdvance()
}

// sendEvent sends an event with the agent's current load to the attempt's gateway, which receives it after the
// network delay.
func (n *agent) sendEvent(a *attempt, kind dispatcher.EventKind) {
	e := dispatcher.Event{Kind: kind, Request: a.command.Request, Attempt: a.command.Attempt, Load: n.load()}
	n.runner.timeline.after(n.runner.delay(a.gateway.domain, n.endpoint.Domain), func() { a.gateway.handleEvent(e) })
}

// reserve reserves a decode slot and the memory that the attempt's command names.
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

// prefill queues the prompt at the engine. Drafts have a lower priority than interactive requests.
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

// finishPrefill accounts for a completed prefill.
func (n *agent) finishPrefill(a *attempt) {
	delete(n.attempts, a.id)
	n.backlogTokens -= a.command.PromptTokens
	a.request.prefilledTokens += a.command.PromptTokens
}

// decode starts the transfer of the KV cache from the prefill endpoint, and the decode once it has arrived. The
// attempt is lost when the engine is down, the reservation has expired or the KV cache is no longer there.
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

// startDecode starts the stream of an attempt whose KV cache has arrived, unless the attempt was released
// meanwhile.
func (n *agent) startDecode(a *attempt) {
	if n.attempts[a.id] != a {
		return
	}
	if !n.engine.Decode(
		a.id, a.command.PromptTokens, a.command.SentTokens, a.request.OutputTokens,
		n.runner.timeline.now, n.runner.timeline.now,
	) {
		n.endAttempt(a)
		n.sendEvent(a, dispatcher.AttemptLost)
		return
	}
	n.scheduleAdvance()
}

// endAttempt removes an attempt from the work at the engine and releases its reservation.
func (n *agent) endAttempt(a *attempt) {
	delete(n.attempts, a.id)
	n.reserver.Release(a.key)
}

// release frees the reservations and the engine work of this attempt and all earlier attempts of the request.
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

// releaseOwner frees all reservations and cancels all engine work of one incarnation of a gateway. owner is the name
// from gateway.owner.
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

// crash drops all work and reservations, reports the crash for every attempt to its gateway and keeps the engine
// down for crashDowntime.
func (n *agent) crash() {
	n.engine.Reset()
	n.down = true
	n.backlogTokens = 0
	lostAttempts := n.attempts
	n.attempts = make(map[string]*attempt)
	n.reserver = newReserver(n.runner)
	for _, a := range sortedAttempts(lostAttempts) {
		n.sendEvent(a, dispatcher.EndpointCrashed)
	}
	n.runner.timeline.after(crashDowntime, func() { n.down = false })
}

// engineID returns the ID of an attempt at the engines. It is the same at the prefill and the decode endpoint.
func engineID(k reserver.Key) string {
	return k.Owner + "-" + strconv.FormatUint(k.Request, 10) + "." + strconv.Itoa(k.Attempt)
}
