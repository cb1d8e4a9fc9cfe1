package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/config/matcher"
	"github.com/pistachiovane/pistachiovane/internal/routing/planner"
)

const (
	// readsMost bounds the prefill endpoints asked for one request.
	readsMost = 3
	// decodesMost bounds the decode endpoints asked for one request.
	decodesMost = 4
	// spoiledMost is how many KV caches are lost before the decode endpoint reads the prompt itself.
	spoiledMost = 2
	// readTimeout bounds the reading of a prompt, with its wait.
	readTimeout = 1200 * time.Millisecond
	// handleMargin is kept of the life of a KV cache for the way to the decode endpoint.
	handleMargin = 60 * time.Millisecond
	// leaveFactor times the objective is how long callers wait for the first event.
	leaveFactor = 4
	// holdTTL is how long room is kept for a generation whose prompt is being read, holdTimeout bounds the asking.
	holdTTL     = 1500 * time.Millisecond
	holdTimeout = 400 * time.Millisecond
	// freeTimeout bounds the freeing of a KV cache or a reservation.
	freeTimeout = time.Second
)

// generation is a request for a model service in progress.
type generation struct {
	*job
	// number names the request to the planner.
	number uint64
	plan   *planner.Plan
	// source is where the prompt's KV cache waits until expires; empty where there is none.
	source  string
	holder  *planner.Endpoint
	expires time.Duration
	// hold names the room kept at heldAt; empty where there is none.
	hold   string
	heldAt *planner.Endpoint
	// spoiled counts the KV caches that could not be taken.
	spoiled int
	// runs counts the decode endpoints that may have run the request.
	runs int
	// relay passes the events on.
	relay *relay
}

// generate answers a request for a model service.
func (f *Forwarder) generate(ctx context.Context, j *job) {
	number, verdict := f.controller.ScheduleGeneration(ctx, f.ask(j))
	if !f.granted(j, verdict) {
		return
	}
	g := &generation{job: j, number: number, plan: verdict.Plan, relay: newRelay(j.route.Resumable)}
	defer g.relay.release()
	defer f.endGeneration(g)
	if f.reserve(ctx, g) {
		f.runGeneration(ctx, g)
	}
}

// granted tells whether a generation may start; otherwise it has been answered.
func (f *Forwarder) granted(j *job, v planner.Decision) bool {
	j.record.waited = f.clock() - j.since
	if v.Refused {
		return f.refuse(j, http.StatusServiceUnavailable, v.RetryAfter, "no room in time")
	}
	if v.Plan == nil {
		f.timedOut(j, "left while waiting")
		return false
	}
	return true
}

// reserve keeps room at the decode endpoint before the prompt is read: other gateways may have filled it since they
// were heard from last. Where it is full, the request waits for the next plan. It returns false after an answer.
func (f *Forwarder) reserve(ctx context.Context, g *generation) bool {
	for {
		e := g.plan.Decode
		holdCtx, cancel := context.WithTimeout(ctx, holdTimeout)
		hold, err := f.endpoints.Reserve(holdCtx, e.Address, e.ID, g.PromptTokens, holdTTL)
		cancel()
		if hold != "" {
			g.hold, g.heldAt = hold, e
			g.record.waited = f.clock() - g.since
			return true
		}
		if ctx.Err() != nil {
			// Says nothing of the endpoint.
			f.timedOut(g.job, reasonOver)
			return false
		}
		f.reserveFailed(g, e, err)
		verdict := f.controller.RescheduleGeneration(ctx, g.number)
		if !f.granted(g.job, verdict) {
			return false
		}
		g.plan = verdict.Plan
	}
}

func (f *Forwarder) reserveFailed(g *generation, e *planner.Endpoint, err error) {
	f.Stats.RefusedReservations.Add(1)
	if err != nil {
		f.log.Info().Str("id", g.ID).Str("endpoint", e.ID).Err(err).Msg("forward: room not reserved")
	}
	if err != nil {
		f.controller.ReportFailure(e.ID)
		return
	}
	f.full(e.ID)
}

// dropHold gives up room that will not be used.
func (f *Forwarder) dropHold(g *generation) {
	if g.hold == "" {
		return
	}
	address, hold := g.heldAt.Address, g.hold
	g.hold = ""
	go runFree(f.endpoints.Release, address, hold)
}

// ask describes the request to the planner.
func (f *Forwarder) ask(j *job) planner.Request {
	output := j.MaxOutputTokens
	if j.ExpectedOutputTokens > 0 {
		output = min(output, j.ExpectedOutputTokens)
	}
	leave := max(f.options.MinFirstEventTimeout, leaveFactor*j.route.TargetLatency)
	return planner.Request{
		Account: j.accountName(), Service: j.service, PromptTokens: j.PromptTokens, ExpectedOutputTokens: output,
		FirstEventDeadline: j.since + j.route.TargetLatency, CallerDeadline: min(j.deadline, j.since+leave),
	}
}

func (f *Forwarder) endGeneration(g *generation) {
	f.dropSource(g)
	f.dropHold(g)
	f.controller.UpdatePlanner(func(p *planner.Planner, now time.Duration) []planner.Decision {
		return p.End(g.number, now)
	})
}

// runGeneration tries decode endpoints until one has answered.
func (f *Forwarder) runGeneration(ctx context.Context, g *generation) {
	for n := 0; n < decodesMost; n++ {
		if n > 0 && !f.controller.SpendRetryBudget(g.service) {
			break
		}
		if got := f.read(ctx, g); got != answered {
			f.endUnserved(g, got)
			return
		}
		got := f.decode(ctx, g)
		f.reportCrash(g.job, g.plan.Decode.ID, got, got == answered)
		switch got {
		case answered:
			return
		case over:
			f.endUnserved(g, got)
			return
		case broken, failed:
			g.runs++
			if !g.route.Retryable() || g.runs >= g.route.MaxAttempts {
				f.endUnserved(g, got)
				return
			}
		case notRun, unreachable:
		}
		if !f.replan(g, got) {
			break
		}
	}
	f.endUnserved(g, notRun)
}

// endUnserved answers a request without a whole answer.
func (f *Forwarder) endUnserved(g *generation, got result) {
	switch {
	case g.relay.begun:
		g.record.reason = "stream broke off"
		f.abort(g.job)
	case got == over:
		f.timedOut(g.job, reasonOver)
	case g.ran:
		f.refuse(g.job, http.StatusBadGateway, 0, "endpoint broke off")
	default:
		f.refuse(g.job, http.StatusServiceUnavailable, retryLater, "no endpoint with room")
	}
}

// read has the prompt read apart, unless that is done or the decode endpoint does it.
func (f *Forwarder) read(ctx context.Context, g *generation) result {
	if g.spoiled >= spoiledMost {
		g.plan.Prefill = nil
	}
	for n := 0; g.source == "" && g.plan.Prefill != nil; n++ {
		e := g.plan.Prefill
		g.record.prefill = e.ID
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		began := f.clock()
		source, reply, err := f.endpoints.Prefill(readCtx, e.Address, Attempt{
			Request: g.Request, EndpointID: e.ID, Account: g.accountName(), TimeBudget: f.left(g.job), ResumeAfterEventID: g.relay.last,
		})
		cancel()
		took := f.clock() - began
		f.controller.UpdatePlanner(func(p *planner.Planner, now time.Duration) []planner.Decision {
			if source == "" {
				p.CancelPrefill(g.number)
			} else {
				p.RecordPrefill(g.number, took, now)
			}
			return nil
		})
		if source != "" {
			g.source, g.holder, g.expires = source, e, f.clock()+g.engine.HandleTTL-handleMargin
			g.record.read = f.clock() - g.since
			f.Stats.Prefills.Add(1)
			return answered
		}
		if ctx.Err() != nil {
			return over
		}
		f.readFailed(g, e, reply, err)
		if n+1 >= readsMost || !f.controller.SpendRetryBudget(g.service) {
			// The decode endpoint reads the prompt itself.
			g.plan.Prefill = nil
			return answered
		}
		f.newPlan(g, true, e.ID)
	}
	return answered
}

func (f *Forwarder) readFailed(g *generation, e *planner.Endpoint, r *Response, err error) {
	status := 0
	if r != nil {
		status = r.Status
	}
	f.log.Info().Str("id", g.ID).Str("endpoint", e.ID).Int("status", status).Err(err).Msg("forward: prompt not read")
	if r != nil && r.NotExecuted && !r.Misdirected {
		f.full(e.ID)
		return
	}
	f.controller.ReportFailure(e.ID)
}

func (f *Forwarder) full(id string) {
	f.controller.UpdatePlanner(func(p *planner.Planner, now time.Duration) []planner.Decision {
		p.RecordFull(id, now)
		return nil
	})
}

func (f *Forwarder) worked(id string) {
	f.controller.UpdatePlanner(func(p *planner.Planner, now time.Duration) []planner.Decision {
		p.RecordSuccess(id, now)
		return nil
	})
}

// decode has the answer made and relays it.
func (f *Forwarder) decode(ctx context.Context, g *generation) result {
	e := g.plan.Decode
	g.record.endpoint = e.ID
	if g.hold != "" && g.heldAt.ID != e.ID {
		f.dropHold(g)
	}
	source, hold := g.source, g.hold
	r, err := f.endpoints.Run(ctx, e.Address, Attempt{
		Request: g.Request, EndpointID: e.ID, Account: g.accountName(), TimeBudget: f.left(g.job),
		KVSource: source, ReservationID: hold, ResumeAfterEventID: g.relay.last, NewConnection: g.route.Kind != matcher.Idempotent,
	})
	if err != nil {
		return f.decodeFailed(ctx, g, err)
	}
	defer r.Close()
	g.record.calls++
	g.hold = ""
	if r.NotExecuted || r.Misdirected {
		f.decodeRefused(g, r, hold != "")
		return notRun
	}
	g.ran = true
	if g.source != "" {
		f.worked(g.holder.ID)
	}
	g.source = ""
	if !r.HasServerSeal || !g.relay.continues(g.w, r) {
		return broken
	}
	f.controller.UpdatePlanner(func(p *planner.Planner, now time.Duration) []planner.Decision {
		p.RecordSuccess(e.ID, now)
		if r.Slots > 0 {
			p.ReportActiveRequests(e.ID, r.InFlight, now)
		}
		return nil
	})
	if r.Status != http.StatusOK {
		return f.passFailure(g, r)
	}
	return f.relayStream(ctx, g, r)
}

func (f *Forwarder) decodeFailed(ctx context.Context, g *generation, err error) result {
	e := g.plan.Decode
	sent := f.noteFailure(g.job, err)
	if sent {
		g.source = ""
	}
	if ctx.Err() != nil {
		return over
	}
	f.controller.ReportFailure(e.ID)
	if sent {
		return broken
	}
	return unreachable
}

// decodeRefused notes why an endpoint did not run the request: it was full, or the KV cache could not be taken. Where
// room was reserved it was not full.
func (f *Forwarder) decodeRefused(g *generation, r *Response, reserved bool) {
	e := g.plan.Decode
	full := g.source == "" || (!reserved && r.Slots > 0 && r.InFlight >= r.Slots)
	f.log.Info().Str("id", g.ID).Str("endpoint", e.ID).Int("status", r.Status).Int("held", r.InFlight).Int("slots", r.Slots).
		Bool("full", full).Msg("forward: not run")
	switch {
	case r.Misdirected:
		f.controller.ReportFailure(e.ID)
	case full:
		f.full(e.ID)
	default:
		// Some endpoints let go of what they have read at once.
		f.controller.ReportFailure(g.holder.ID)
	}
	if !full && !r.Misdirected {
		g.source = ""
		g.spoiled++
		f.Stats.WastedPrefills.Add(1)
	}
}

// replan finds other endpoints after a failure; false means that there are none.
func (f *Forwarder) replan(g *generation, got result) bool {
	if g.source != "" && f.clock() > g.expires {
		f.dropSource(g)
	}
	avoid := g.plan.Decode.ID
	if got == notRun && g.source == "" && g.spoiled > 0 {
		// Only the KV cache was gone.
		avoid = ""
	}
	f.Stats.GenerationRetries.Add(1)
	return f.newPlan(g, g.source == "", avoid)
}

func (f *Forwarder) newPlan(g *generation, prefill bool, avoid string) bool {
	found := false
	f.controller.UpdatePlanner(func(p *planner.Planner, now time.Duration) []planner.Decision {
		if plan := p.Replan(g.number, prefill, avoid, now); plan != nil {
			g.plan, found = plan, true
		}
		return nil
	})
	return found
}

// dropSource frees a KV cache that will not be taken.
func (f *Forwarder) dropSource(g *generation) {
	if g.source == "" {
		return
	}
	f.Stats.WastedPrefills.Add(1)
	address, source := g.holder.Address, g.source
	g.source = ""
	go runFree(f.endpoints.FreeKVCache, address, source)
}

// runFree gives up what an endpoint keeps, also when the request is over.
func runFree(free func(ctx context.Context, address, name string), address, name string) {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	free(ctx, address, name)
}
