package forwarder

import (
	"context"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/routing/planner"
)

const (
	// maxPrefillAttempts limits the prefill attempts of a generation.
	maxPrefillAttempts = 3
	// maxLostKVCaches is the number of lost KV caches after which the decode endpoint prefills the prompt itself.
	maxLostKVCaches = 2
	// A prefill attempt, including the time queued at the endpoint, is limited to minPrefillTimeout plus
	// prefillTimeoutFactor times its expected duration. A prompt that is sent elsewhere because its endpoint is busy is
	// processed twice, which makes all endpoints busier.
	minPrefillTimeout    = 800 * time.Millisecond
	prefillTimeoutFactor = 2
	// kvTransferMargin is subtracted from the lifetime of a KV cache, for its transfer to the decode endpoint.
	kvTransferMargin = 60 * time.Millisecond
)

// mayPrefill reports whether a prefill call may be made. The first call of a generation is free; each further one is
// taken from the retry budget.
func (f *Forwarder) mayPrefill(g *generation) bool {
	if g.lostKVCaches >= maxLostKVCaches || g.prefillAttempts >= maxPrefillAttempts {
		return false
	}
	return g.prefillAttempts == 0 || f.controller.SpendRetryBudget(g.service)
}

// prefill runs the prompt at a prefill endpoint, unless there is a KV cache already or the plan has no prefill
// endpoint. If no further prefill call may be made, or if the prefill crashes endpoints, it leaves the prefill to the decode
// endpoint. It returns outcomeAnswered if the decode can start, and outcomeAbandoned if the caller's context has ended.
func (f *Forwarder) prefill(ctx context.Context, g *generation) outcome {
	for g.kvSource == "" && g.plan.Prefill != nil {
		result := f.checkPrefill(ctx, g.job, g.plan.Prefill.ID)
		if result == outcomeSuspended && f.findPlan(g, true, g.plan.Prefill.ID) {
			continue
		}
		if result == outcomeAbandoned || result == outcomeStopping {
			return result
		}
		if result != outcomeAnswered || !f.mayPrefill(g) {
			f.cancelPrefill(g)
			return outcomeAnswered
		}
		g.prefillAttempts++
		e := g.plan.Prefill
		g.record.prefillEndpoint = e.ID
		prefillCtx, cancel := context.WithTimeout(ctx, minPrefillTimeout+prefillTimeoutFactor*g.plan.PrefillTime)
		startedAt := f.clock()
		kvSource, response, err := f.endpointClient.Prefill(prefillCtx, e.Address, Attempt{
			Request: g.Request, EndpointID: e.ID, Account: g.accountName(), TimeBudget: f.timeLeft(g.job),
			ResumeAfterEventID: g.relay.lastEventID(),
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
		c := contact{
			endpointID: e.ID, attemptedAt: startedAt, isPrefill: true, err: err, response: response, executed: kvSource != "",
		}
		f.reportContact(g.job, c)
		if kvSource != "" {
			f.recordServed(g.job, c)
			g.prefilled = true
			g.kvSource, g.kvHolder, g.kvExpiresAt = kvSource, e, f.clock()+g.engine.HandleTTL-kvTransferMargin
			g.record.prefillTime = f.clock() - g.receivedAt
			f.Stats.Prefills.Add(1)
			return outcomeAnswered
		}
		if ctx.Err() != nil {
			return outcomeAbandoned
		}
		f.handlePrefillFailure(g, e, response, err)
		f.findPlan(g, true, e.ID)
	}
	return outcomeAnswered
}

// cancelPrefill leaves the prefill, which was not sent, to the decode endpoint.
func (f *Forwarder) cancelPrefill(g *generation) {
	f.controller.UpdatePlanner(func(p *planner.Planner, _ time.Duration) []planner.Decision {
		p.CancelPrefill(g.plannerID)
		return nil
	})
	g.plan = g.plan.WithoutPrefill()
}

// handlePrefillFailure reports the endpoint of a failed prefill to the planner: as full if it refused, else as failed.
func (f *Forwarder) handlePrefillFailure(g *generation, e *planner.Endpoint, r *Response, err error) {
	status := 0
	if r != nil {
		status = r.Status
	}
	f.log.Info().Str("id", g.ID).Str("endpoint", e.ID).Int("status", status).Err(err).Msg("forward: prompt not read")
	if r != nil && r.NotExecuted && !r.Misdirected {
		f.reportFull(e.ID)
		return
	}
	f.controller.ReportFailure(e.ID)
}

// freeKVCache frees the KV cache that no decode endpoint has taken, if there is one, without waiting for the endpoint.
func (f *Forwarder) freeKVCache(g *generation) {
	if g.kvSource == "" {
		return
	}
	f.Stats.WastedPrefills.Add(1)
	holder, kvSource := *g.kvHolder, g.kvSource
	g.kvSource = ""
	go f.releaseInBackground(f.endpointClient.FreeKVCache, holder, kvSource)
}
