package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/config/matcher"
	"github.com/pistachiovane/pistachiovane/internal/routing/planner"
)

const (
	// maxPrefillAttempts bounds the prefill endpoints asked for one request.
	maxPrefillAttempts = 3
	// maxDecodeAttempts bounds the decode endpoints asked for one request.
	maxDecodeAttempts = 4
	// maxLostKVCaches is how many KV caches are lost before the decode endpoint reads the prompt itself.
	maxLostKVCaches = 2
	// prefillTimeout bounds the reading of a prompt, with its wait.
	prefillTimeout = 1200 * time.Millisecond
	// kvTransferMargin is kept of the life of a KV cache for the way to the decode endpoint.
	kvTransferMargin = 60 * time.Millisecond
	// firstEventTimeoutFactor times the objective is how long callers wait for the first event.
	firstEventTimeoutFactor = 4
	// reservationTTL is how long room is kept for a generation whose prompt is being read, holdTimeout bounds the asking.
	reservationTTL = 1500 * time.Millisecond
	reserveTimeout = 400 * time.Millisecond
	// releaseTimeout bounds the freeing of a KV cache or a reservation.
	releaseTimeout = time.Second
)

// generation is a request for a model service in progress.
type generation struct {
	*job
	// plannerID names the request to the planner.
	plannerID uint64
	plan      *planner.Plan
	// kvSource is where the prompt's KV cache waits until expires; empty where there is none.
	kvSource    string
	kvHolder    *planner.Endpoint
	kvExpiresAt time.Duration
	// reservationID names the room kept at heldAt; empty where there is none.
	reservationID string
	reservedOn    *planner.Endpoint
	// lostKVCaches counts the KV caches that could not be taken.
	lostKVCaches int
	// executions counts the decode endpoints that may have run the request.
	executions int
	// relay passes the events on.
	relay *relay
}

// forwardGeneration answers a request for a model service.
func (f *Forwarder) forwardGeneration(ctx context.Context, j *job) {
	plannerID, verdict := f.controller.ScheduleGeneration(ctx, f.plannerRequest(j))
	if !f.handleVerdict(j, verdict) {
		return
	}
	g := &generation{job: j, plannerID: plannerID, plan: verdict.Plan, relay: newRelay(j.route.Resumable)}
	defer g.relay.release()
	defer f.endGeneration(g)
	if f.reserve(ctx, g) {
		f.runGeneration(ctx, g)
	}
}

// handleVerdict tells whether a generation may start; otherwise it has been answered.
func (f *Forwarder) handleVerdict(j *job, v planner.Decision) bool {
	j.record.queueTime = f.clock() - j.receivedAt
	if v.Refused {
		return f.refuse(j, http.StatusServiceUnavailable, v.RetryAfter, "no room in time")
	}
	if v.Plan == nil {
		f.refuseAbandoned(j, "left while waiting")
		return false
	}
	return true
}

// reserve keeps room at the decode endpoint before the prompt is read: other gateways may have filled it since they
// were heard from last. Where it is full, the request waits for the next plan. It returns false after an answer.
func (f *Forwarder) reserve(ctx context.Context, g *generation) bool {
	for {
		e := g.plan.Decode
		reserveCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
		reservationID, err := f.endpointClient.Reserve(reserveCtx, e.Address, e.ID, g.PromptTokens, reservationTTL)
		cancel()
		if reservationID != "" {
			g.reservationID, g.reservedOn = reservationID, e
			g.record.queueTime = f.clock() - g.receivedAt
			return true
		}
		if ctx.Err() != nil {
			// Says nothing of the endpoint.
			f.refuseAbandoned(g.job, reasonAbandoned)
			return false
		}
		f.handleReserveFailure(g, e, err)
		verdict := f.controller.RescheduleGeneration(ctx, g.plannerID)
		if !f.handleVerdict(g.job, verdict) {
			return false
		}
		g.plan = verdict.Plan
	}
}

func (f *Forwarder) handleReserveFailure(g *generation, e *planner.Endpoint, err error) {
	f.Stats.RefusedReservations.Add(1)
	if err != nil {
		f.log.Info().Str("id", g.ID).Str("endpoint", e.ID).Err(err).Msg("forward: room not reserved")
	}
	if err != nil {
		f.controller.ReportFailure(e.ID)
		return
	}
	f.markFull(e.ID)
}

// releaseReservation gives up room that will not be used.
func (f *Forwarder) releaseReservation(g *generation) {
	if g.reservationID == "" {
		return
	}
	address, reservationID := g.reservedOn.Address, g.reservationID
	g.reservationID = ""
	go releaseInBackground(f.endpointClient.Release, address, reservationID)
}

// plannerRequest describes the request to the planner.
func (f *Forwarder) plannerRequest(j *job) planner.Request {
	outputTokens := j.MaxOutputTokens
	if j.ExpectedOutputTokens > 0 {
		outputTokens = min(outputTokens, j.ExpectedOutputTokens)
	}
	firstEventTimeout := max(f.options.MinFirstEventTimeout, firstEventTimeoutFactor*j.route.TargetLatency)
	return planner.Request{
		Account: j.accountName(), Service: j.service, PromptTokens: j.PromptTokens, ExpectedOutputTokens: outputTokens,
		FirstEventDeadline: j.receivedAt + j.route.TargetLatency, CallerDeadline: min(j.deadline, j.receivedAt+firstEventTimeout),
	}
}

func (f *Forwarder) endGeneration(g *generation) {
	f.freeKVCache(g)
	f.releaseReservation(g)
	f.controller.UpdatePlanner(func(p *planner.Planner, now time.Duration) []planner.Decision {
		return p.End(g.plannerID, now)
	})
}

// runGeneration tries decode endpoints until one has answered.
func (f *Forwarder) runGeneration(ctx context.Context, g *generation) {
	for n := 0; n < maxDecodeAttempts; n++ {
		if n > 0 && !f.controller.SpendRetryBudget(g.service) {
			break
		}
		if got := f.prefill(ctx, g); got != outcomeAnswered {
			f.finishUnansweredGeneration(g, got)
			return
		}
		got := f.decode(ctx, g)
		f.reportHealth(g.job, g.plan.Decode.ID, got, got == outcomeAnswered)
		switch got {
		case outcomeAnswered:
			return
		case outcomeAbandoned:
			f.finishUnansweredGeneration(g, got)
			return
		case outcomeBroken, outcomeFailed:
			g.executions++
			if !g.route.Retryable() || g.executions >= g.route.MaxAttempts {
				f.finishUnansweredGeneration(g, got)
				return
			}
		case outcomeNotExecuted, outcomeUnreachable:
		}
		if !f.replan(g, got) {
			break
		}
	}
	f.finishUnansweredGeneration(g, outcomeNotExecuted)
}

// finishUnansweredGeneration answers a request without a whole answer.
func (f *Forwarder) finishUnansweredGeneration(g *generation, got outcome) {
	switch {
	case g.relay.headSent:
		g.record.reason = "stream broke off"
		f.abort(g.job)
	case got == outcomeAbandoned:
		f.refuseAbandoned(g.job, reasonAbandoned)
	case g.maybeExecuted:
		f.refuse(g.job, http.StatusBadGateway, 0, "endpoint broke off")
	default:
		f.refuse(g.job, http.StatusServiceUnavailable, retryAfterLong, "no endpoint with room")
	}
}

// prefill has the prompt read apart, unless that is done or the decode endpoint does it.
func (f *Forwarder) prefill(ctx context.Context, g *generation) outcome {
	if g.lostKVCaches >= maxLostKVCaches {
		g.plan.Prefill = nil
	}
	for n := 0; g.kvSource == "" && g.plan.Prefill != nil; n++ {
		e := g.plan.Prefill
		g.record.prefill = e.ID
		prefillCtx, cancel := context.WithTimeout(ctx, prefillTimeout)
		startedAt := f.clock()
		kvSource, response, err := f.endpointClient.Prefill(prefillCtx, e.Address, Attempt{
			Request: g.Request, EndpointID: e.ID, Account: g.accountName(), TimeBudget: f.timeLeft(g.job), ResumeAfterEventID: g.relay.lastEventID,
		})
		cancel()
		duration := f.clock() - startedAt
		f.controller.UpdatePlanner(func(p *planner.Planner, now time.Duration) []planner.Decision {
			if kvSource == "" {
				p.CancelPrefill(g.plannerID)
			} else {
				p.RecordPrefill(g.plannerID, duration, now)
			}
			return nil
		})
		if kvSource != "" {
			g.kvSource, g.kvHolder, g.kvExpiresAt = kvSource, e, f.clock()+g.engine.HandleTTL-kvTransferMargin
			g.record.prefillTime = f.clock() - g.receivedAt
			f.Stats.Prefills.Add(1)
			return outcomeAnswered
		}
		if ctx.Err() != nil {
			return outcomeAbandoned
		}
		f.handlePrefillFailure(g, e, response, err)
		if n+1 >= maxPrefillAttempts || !f.controller.SpendRetryBudget(g.service) {
			// The decode endpoint reads the prompt itself.
			g.plan.Prefill = nil
			return outcomeAnswered
		}
		f.findPlan(g, true, e.ID)
	}
	return outcomeAnswered
}

func (f *Forwarder) handlePrefillFailure(g *generation, e *planner.Endpoint, r *Response, err error) {
	status := 0
	if r != nil {
		status = r.Status
	}
	f.log.Info().Str("id", g.ID).Str("endpoint", e.ID).Int("status", status).Err(err).Msg("forward: prompt not read")
	if r != nil && r.NotExecuted && !r.Misdirected {
		f.markFull(e.ID)
		return
	}
	f.controller.ReportFailure(e.ID)
}

func (f *Forwarder) markFull(id string) {
	f.controller.UpdatePlanner(func(p *planner.Planner, now time.Duration) []planner.Decision {
		p.RecordFull(id, now)
		return nil
	})
}

func (f *Forwarder) markWorking(id string) {
	f.controller.UpdatePlanner(func(p *planner.Planner, now time.Duration) []planner.Decision {
		p.RecordSuccess(id, now)
		return nil
	})
}

// decode has the answer made and relays it.
func (f *Forwarder) decode(ctx context.Context, g *generation) outcome {
	e := g.plan.Decode
	g.record.endpoint = e.ID
	if g.reservationID != "" && g.reservedOn.ID != e.ID {
		f.releaseReservation(g)
	}
	kvSource, reservationID := g.kvSource, g.reservationID
	r, err := f.endpointClient.Run(ctx, e.Address, Attempt{
		Request: g.Request, EndpointID: e.ID, Account: g.accountName(), TimeBudget: f.timeLeft(g.job),
		KVSource: kvSource, ReservationID: reservationID, ResumeAfterEventID: g.relay.lastEventID, NewConnection: g.route.Kind != matcher.Idempotent,
	})
	if err != nil {
		return f.handleDecodeFailure(ctx, g, err)
	}
	defer r.Close()
	g.record.attempts++
	g.reservationID = ""
	if r.NotExecuted || r.Misdirected {
		f.handleDecodeRefusal(g, r, reservationID != "")
		return outcomeNotExecuted
	}
	g.maybeExecuted = true
	if g.kvSource != "" {
		f.markWorking(g.kvHolder.ID)
	}
	g.kvSource = ""
	if !r.HasServerSeal || !g.relay.canContinueWith(g.w, r) {
		return outcomeBroken
	}
	f.controller.UpdatePlanner(func(p *planner.Planner, now time.Duration) []planner.Decision {
		p.RecordSuccess(e.ID, now)
		if r.Slots > 0 {
			p.ReportActiveRequests(e.ID, r.InFlight, now)
		}
		return nil
	})
	if r.Status != http.StatusOK {
		return f.relayFailure(g, r)
	}
	return f.relayStream(ctx, g, r)
}

func (f *Forwarder) handleDecodeFailure(ctx context.Context, g *generation, err error) outcome {
	e := g.plan.Decode
	possiblySent := f.recordFailure(g.job, err)
	if possiblySent {
		g.kvSource = ""
	}
	if ctx.Err() != nil {
		return outcomeAbandoned
	}
	f.controller.ReportFailure(e.ID)
	if possiblySent {
		return outcomeBroken
	}
	return outcomeUnreachable
}

// handleDecodeRefusal notes why an endpoint did not run the request: it was full, or the KV cache could not be taken. Where
// room was reserved it was not full.
func (f *Forwarder) handleDecodeRefusal(g *generation, r *Response, reserved bool) {
	e := g.plan.Decode
	full := g.kvSource == "" || (!reserved && r.Slots > 0 && r.InFlight >= r.Slots)
	f.log.Info().Str("id", g.ID).Str("endpoint", e.ID).Int("status", r.Status).Int("held", r.InFlight).Int("slots", r.Slots).
		Bool("full", full).Msg("forward: not run")
	switch {
	case r.Misdirected:
		f.controller.ReportFailure(e.ID)
	case full:
		f.markFull(e.ID)
	default:
		// Some endpoints let go of what they have read at once.
		f.controller.ReportFailure(g.kvHolder.ID)
	}
	if !full && !r.Misdirected {
		g.kvSource = ""
		g.lostKVCaches++
		f.Stats.WastedPrefills.Add(1)
	}
}

// replan finds other endpoints after a failure; false means that there are none.
func (f *Forwarder) replan(g *generation, got outcome) bool {
	if g.kvSource != "" && f.clock() > g.kvExpiresAt {
		f.freeKVCache(g)
	}
	excludedID := g.plan.Decode.ID
	if got == outcomeNotExecuted && g.kvSource == "" && g.lostKVCaches > 0 {
		// Only the KV cache was gone.
		excludedID = ""
	}
	f.Stats.GenerationRetries.Add(1)
	return f.findPlan(g, g.kvSource == "", excludedID)
}

func (f *Forwarder) findPlan(g *generation, replacePrefill bool, excludedID string) bool {
	found := false
	f.controller.UpdatePlanner(func(p *planner.Planner, now time.Duration) []planner.Decision {
		if plan := p.Replan(g.plannerID, replacePrefill, excludedID, now); plan != nil {
			g.plan, found = plan, true
		}
		return nil
	})
	return found
}

// freeKVCache frees a KV cache that will not be taken.
func (f *Forwarder) freeKVCache(g *generation) {
	if g.kvSource == "" {
		return
	}
	f.Stats.WastedPrefills.Add(1)
	address, kvSource := g.kvHolder.Address, g.kvSource
	g.kvSource = ""
	go releaseInBackground(f.endpointClient.FreeKVCache, address, kvSource)
}

// releaseInBackground gives up what an endpoint keeps, also when the request is over.
func releaseInBackground(release func(ctx context.Context, address, name string), address, name string) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	release(ctx, address, name)
}
