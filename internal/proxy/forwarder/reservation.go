package forwarder

import (
	"context"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/proxy/prober"
	"github.com/pistachiovane/pistachiovane/internal/routing/planner"
)

const (
	// reservationTTL is how long a decode endpoint keeps a reservation. It covers the prefill of the prompt.
	reservationTTL = 1500 * time.Millisecond
	// reserveTimeout limits the call that makes a reservation.
	reserveTimeout = 400 * time.Millisecond
	// releaseTimeout limits the call that frees a KV cache or releases a reservation.
	releaseTimeout = time.Second
)

// reserve reserves capacity at the decode endpoint before the prefill, because other gateways may have filled the
// endpoint since their last message. If the reservation fails, the request is queued for another plan. reserve returns
// false if it has answered the request.
func (f *Forwarder) reserve(ctx context.Context, g *generation) bool {
	for {
		e := g.plan.Decode
		startedAt := f.clock()
		reserveCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
		reservationID, err := f.endpointClient.Reserve(reserveCtx, e.Address, e.ID, g.PromptTokens, reservationTTL)
		cancel()
		if isRefusedConnection(err) {
			// A reservation shows nothing else: the request is not running, and any process at the address answers.
			f.recordVerdict(e.ID, prober.Refused, startedAt)
		}
		if reservationID != "" {
			g.reservationID, g.reservedOn = reservationID, e
			g.record.queueTime = f.clock() - g.receivedAt
			return true
		}
		if ctx.Err() != nil {
			// The caller's context has ended. This is not a failure of the endpoint.
			f.refuseAbandoned(g.job, reasonAbandoned)
			return false
		}
		f.handleReserveFailure(g, e, err)
		waitCtx, cancel := f.waitContext(ctx, g.job)
		decision := f.controller.RescheduleGeneration(waitCtx, g.plannerID)
		cancel()
		if !f.handleDecision(g.job, decision) {
			return false
		}
		g.plan = decision.Plan
	}
}

// handleReserveFailure reports the endpoint of a failed reservation to the planner: as failed after an error, else as
// full.
func (f *Forwarder) handleReserveFailure(g *generation, e *planner.Endpoint, err error) {
	f.Stats.RefusedReservations.Add(1)
	if err != nil {
		f.log.Info().Str("id", g.ID).Str("endpoint", e.ID).Err(err).Msg("forward: room not reserved")
	}
	if err != nil {
		f.controller.ReportFailure(e.ID)
		return
	}
	f.reportFull(e.ID)
}

// releaseReservation cancels the reservation, if there is one, without waiting for the endpoint.
func (f *Forwarder) releaseReservation(g *generation) {
	if g.reservationID == "" {
		return
	}
	endpoint, reservationID := *g.reservedOn, g.reservationID
	g.reservationID = ""
	go f.releaseInBackground(f.endpointClient.Release, endpoint, reservationID)
}

// releaseInBackground calls release with its own context, because that of the request may have ended. An endpoint that has
// asked for a pause is not called: it frees what is not used by itself.
func (f *Forwarder) releaseInBackground(
	release func(ctx context.Context, address, endpointID, id string), e planner.Endpoint, id string,
) {
	if f.controller.IsPaused(e.ID) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	release(ctx, e.Address, e.ID, id)
}
