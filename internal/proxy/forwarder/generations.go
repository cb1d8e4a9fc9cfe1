package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/config/matcher"
	"github.com/pistachiovane/pistachiovane/internal/routing/controller"
	"github.com/pistachiovane/pistachiovane/internal/routing/planner"
)

// maxDecodeAttempts limits the decode attempts of a generation.
const maxDecodeAttempts = 4

// generation is a request for a model service in progress.
type generation struct {
	*job
	// plannerID identifies the generation at the planner.
	plannerID uint64
	// plan holds the endpoints of the next attempt. A plan without a prefill endpoint means that the decode endpoint
	// prefills the prompt itself.
	plan *planner.Plan
	// kvSource identifies the prefilled KV cache of the prompt. It is empty if there is none.
	kvSource string
	// kvHolder is the prefill endpoint that keeps the KV cache until kvExpiresAt.
	kvHolder    *planner.Endpoint
	kvExpiresAt time.Duration
	// reservationID identifies the reservation at the endpoint reservedOn. It is empty if there is none.
	reservationID string
	reservedOn    *planner.Endpoint
	// lostKVCaches counts the KV caches that a decode endpoint could not take.
	lostKVCaches int
	// prefillAttempts counts the prefill calls.
	prefillAttempts int
	// executions counts the attempts in which a decode endpoint may have run the request.
	executions int
	// relay copies the events to the caller.
	relay *relay
}

// forwardGeneration answers a request for a model service. It waits for a plan, reserves capacity at the decode
// endpoint and then runs the generation.
func (f *Forwarder) forwardGeneration(ctx context.Context, j *job) {
	waitCtx, cancel := f.waitContext(ctx, j)
	plannerID, decision := f.controller.ScheduleGeneration(waitCtx, f.plannerRequest(j))
	cancel()
	if !f.handleDecision(j, decision) {
		return
	}
	g := &generation{job: j, plannerID: plannerID, plan: decision.Plan, relay: newRelay()}
	defer g.relay.release()
	defer f.endGeneration(g)
	if f.reserve(ctx, g) {
		f.runGeneration(ctx, g)
	}
}

// handleDecision returns true if the planner has assigned endpoints to a generation. Otherwise it answers the request
// and returns false.
func (f *Forwarder) handleDecision(j *job, d planner.Decision) bool {
	j.record.queueTime = f.clock() - j.receivedAt
	if d.Suspended {
		return f.refuseSuspended(j, controller.Pause{EndpointID: d.PausedEndpoint, Rest: d.RetryAfter})
	}
	if d.Refused {
		return f.refuse(j, http.StatusServiceUnavailable, d.RetryAfter, "no room in time")
	}
	if d.Plan == nil && f.timeLeft(j) > 0 && !f.mayStart(j) {
		return f.refuseStopping(j)
	}
	if d.Plan == nil {
		f.refuseAbandoned(j, "left while waiting")
		return false
	}
	return true
}

// plannerRequest returns the request for the planner. It uses the caller's estimate of the output tokens, if there is
// one.
func (f *Forwarder) plannerRequest(j *job) planner.Request {
	outputTokens := j.MaxOutputTokens
	if j.ExpectedOutputTokens > 0 {
		outputTokens = min(outputTokens, j.ExpectedOutputTokens)
	}
	return planner.Request{
		Account: j.accountName(), Service: j.service, PromptTokens: j.PromptTokens, ExpectedOutputTokens: outputTokens,
		FirstEventDeadline: j.receivedAt + j.route.TargetLatency,
		CallerDeadline:     min(j.deadline, j.receivedAt+f.callerPatience(j)),
	}
}

// endGeneration frees what the generation still holds at endpoints and removes it from the planner.
func (f *Forwarder) endGeneration(g *generation) {
	f.freeKVCache(g)
	f.releaseReservation(g)
	f.controller.UpdatePlanner(func(p *planner.Planner, now time.Duration) []planner.Decision {
		return p.End(g.plannerID, now)
	})
}

// runGeneration makes attempts until one answers the request. It gives up after maxDecodeAttempts, when the retry
// budget is used up, when the route allows no further execution, or when no other endpoint has capacity, and ends the
// request with finishUnansweredGeneration.
func (f *Forwarder) runGeneration(ctx context.Context, g *generation) {
	for n := 0; n < maxDecodeAttempts; n++ {
		if n > 0 && !f.controller.SpendRetryBudget(g.service) {
			g.record.unresumed = "retry budget"
			break
		}
		if result := f.prefill(ctx, g); result != outcomeAnswered {
			f.finishUnansweredGeneration(g, result)
			return
		}
		result := f.decode(ctx, g)
		switch result {
		case outcomeAnswered:
			return
		case outcomeAbandoned, outcomeQuarantined, outcomeSuspended, outcomeStopping:
			f.finishUnansweredGeneration(g, result)
			return
		case outcomeBroken, outcomeFailed:
			g.executions++
			if !g.route.Retryable() || !g.relay.canContinue() || g.executions >= g.route.MaxAttempts {
				g.record.unresumed = "route or attempts"
				f.finishUnansweredGeneration(g, result)
				return
			}
		case outcomeNotExecuted, outcomeUnreachable:
		}
		if !f.replan(g, result) {
			g.record.unresumed = "no other endpoint"
			break
		}
	}
	f.finishUnansweredGeneration(g, outcomeNotExecuted)
}

// finishUnansweredGeneration ends a request that has no complete response. If a part has been sent, it closes the
// caller's connection, else it answers with an error status.
func (f *Forwarder) finishUnansweredGeneration(g *generation, result outcome) {
	switch {
	case g.w.HeadSent():
		g.record.reason = "stream broke off"
		if result == outcomeQuarantined {
			g.record.reason = reasonCrashes
		}
		f.abort(g.job)
	case result == outcomeQuarantined:
		f.refuseQuarantined(g.job)
	case result == outcomeStopping:
		f.refuseStopping(g.job)
	case result == outcomeAbandoned:
		f.refuseAbandoned(g.job, reasonAbandoned)
	case g.maybeExecuted:
		f.refuse(g.job, http.StatusBadGateway, 0, "endpoint broke off")
	default:
		f.refuseWithoutRoom(g.job, retryAfterLong)
	}
}

// reportFull reports to the planner that an endpoint had no free capacity.
func (f *Forwarder) reportFull(id string) {
	f.controller.UpdatePlanner(func(p *planner.Planner, now time.Duration) []planner.Decision {
		p.RecordFull(id, now)
		return nil
	})
}

// reportSuccess reports to the planner that an endpoint has completed a prefill or accepted a request.
func (f *Forwarder) reportSuccess(id string) {
	f.controller.UpdatePlanner(func(p *planner.Planner, now time.Duration) []planner.Decision {
		p.RecordSuccess(id, now)
		return nil
	})
}

// decode runs the request at the decode endpoint of the plan, or at another one if that wants no requests any more, unless
// the request crashes endpoints. It reports what the attempt has shown about the endpoint.
func (f *Forwarder) decode(ctx context.Context, g *generation) outcome {
	result := f.checkSend(ctx, g.job, g.plan.Decode.ID)
	for result == outcomeSuspended && f.findPlan(g, false, g.plan.Decode.ID) {
		result = f.checkSend(ctx, g.job, g.plan.Decode.ID)
	}
	if result != outcomeAnswered {
		return result
	}
	e := g.plan.Decode
	g.contact = contact{endpointID: e.ID, address: e.Address, attemptedAt: f.clock()}
	result = f.attemptDecode(ctx, g)
	down := f.reportContact(g.job, g.contact)
	if down && g.contact.response != nil {
		// The stream had begun. A failure before that has been reported already.
		f.controller.ReportFailure(e.ID)
	}
	if result == outcomeAnswered && g.contact.err == nil && g.record.reason == "" {
		f.reportServed(g.job, g.contact.response)
	}
	return result
}

// attemptDecode sends the request to the decode endpoint of the plan and relays its response. It passes the KV cache and
// the reservation on, if there are any. A reservation at another endpoint is released.
func (f *Forwarder) attemptDecode(ctx context.Context, g *generation) outcome {
	e := g.plan.Decode
	g.record.endpoint = e.ID
	if g.reservationID != "" && g.reservedOn.ID != e.ID {
		f.releaseReservation(g)
	}
	kvSource, reservationID := g.kvSource, g.reservationID
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := f.newStallWatch(g, cancel)
	defer watch.stop()
	r, err := f.endpointClient.Run(attemptCtx, e.Address, Attempt{
		Request: g.Request, EndpointID: e.ID, Account: g.accountName(), TimeBudget: f.timeLeft(g.job),
		KVSource: kvSource, ReservationID: reservationID, ResumeAfterEventID: g.relay.lastEventID(),
		NewConnection: g.route.Kind != matcher.Idempotent,
	})
	g.contact.response, g.contact.err, g.contact.executed = r, err, r.executed()
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
		f.reportSuccess(g.kvHolder.ID)
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
	return f.relayStream(ctx, g, r, watch)
}

// handleDecodeFailure reports the endpoint of an attempt without a response as failed, unless the caller's context has
// ended, and returns the outcome. If the request was possibly sent, its KV cache counts as taken.
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

// handleDecodeRefusal reports why a decode endpoint did not run the request: another endpoint has the address, it was
// full or wants a pause, or it could not take the KV cache. Without a KV cache the endpoint counts as full. With one it
// counts as full only if it wants a pause, or if there was no reservation and it reported that all its slots are in use.
func (f *Forwarder) handleDecodeRefusal(g *generation, r *Response, reserved bool) {
	e := g.plan.Decode
	full := g.kvSource == "" || (!reserved && r.Slots > 0 && r.InFlight >= r.Slots) || f.controller.IsPaused(e.ID)
	g.record.refusedBy = e.ID
	f.log.Info().Str("id", g.ID).Str("endpoint", e.ID).Int("status", r.Status).Int("held", r.InFlight).
		Int("slots", r.Slots).Bool("full", full).Msg("forward: not run")
	switch {
	case r.Misdirected:
		f.controller.ReportFailure(e.ID)
	case full:
		f.reportFull(e.ID)
	default:
		// The KV cache was lost. Some prefill endpoints drop their KV caches at once, so the failure is attributed to
		// the prefill endpoint.
		f.controller.ReportFailure(g.kvHolder.ID)
	}
	if !full && !r.Misdirected {
		g.kvSource = ""
		g.lostKVCaches++
		f.Stats.WastedPrefills.Add(1)
	}
}

// replan looks for other endpoints after a failed attempt and returns false if there are none. An expired KV cache is
// freed first, so that the new plan includes a prefill.
func (f *Forwarder) replan(g *generation, result outcome) bool {
	if g.kvSource != "" && f.clock() > g.kvExpiresAt {
		f.freeKVCache(g)
	}
	excludedID := g.plan.Decode.ID
	if result == outcomeNotExecuted && g.kvSource == "" && g.lostKVCaches > 0 {
		// Only the KV cache was lost; the same decode endpoint may be used again.
		excludedID = ""
	}
	f.Stats.GenerationRetries.Add(1)
	return f.findPlan(g, g.kvSource == "", excludedID)
}

// findPlan replaces the plan by one without the excluded endpoint. If there is none, it returns false and leaves the
// plan as it is. replacePrefill requests a new prefill endpoint as well.
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
