package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/config/matcher"
	"github.com/pistachiovane/pistachiovane/internal/proxy/exchanger"
	"github.com/pistachiovane/pistachiovane/internal/routing/balancer"
	"github.com/pistachiovane/pistachiovane/internal/routing/controller"
)

const (
	// maxEndpointsPerCall limits the attempts of a call, including those that the endpoint refused.
	maxEndpointsPerCall = 4
	// attemptTimeoutFactor times the latency target of the route is the timeout of an attempt that may be retried at
	// another endpoint.
	attemptTimeoutFactor = 2.5
)

// deadConnectionThreshold is the time within which a connection to an endpoint that no longer exists breaks. Every
// request takes longer, so an attempt whose connection breaks sooner is reported to the balancer as a connection
// failure.
const deadConnectionThreshold = 12 * time.Millisecond

// outcome is the result of an attempt at an endpoint.
type outcome uint8

const (
	// outcomeAnswered: there is a response for the caller, and no further attempt is made.
	outcomeAnswered outcome = iota
	// outcomeNotExecuted: the endpoint refused the request and has not run it.
	outcomeNotExecuted
	// outcomeUnreachable: the request was not sent.
	outcomeUnreachable
	// outcomeBroken: the endpoint may have run the request, but there is no complete, trusted response.
	outcomeBroken
	// outcomeFailed: the endpoint responded with a server error (5xx). The response is kept in job.heldFailure.
	outcomeFailed
	// outcomeQuarantined: nothing was sent, because the request crashes endpoints.
	outcomeQuarantined
	// outcomeSuspended: nothing was sent, because the endpoint wants no requests.
	outcomeSuspended
	// outcomeStopping: nothing was sent, because the request may take longer than the process lasts.
	outcomeStopping
	// outcomeAbandoned: the caller's deadline has passed or the caller has disconnected.
	outcomeAbandoned
)

// forbidsSending reports whether the request must not be sent to any endpoint.
func (o outcome) forbidsSending() bool {
	return o == outcomeQuarantined || o == outcomeStopping
}

// forwardCall answers a request for a plain service. It tries endpoints until one answers, until maxEndpointsPerCall
// were tried, until no endpoint or retry budget is left, or until the route allows no further execution. A retry after
// an unreachable endpoint uses no retry budget.
func (f *Forwarder) forwardCall(ctx context.Context, j *job) {
	tried := make(map[string]bool, maxEndpointsPerCall)
	executions := 0
	lastResult := outcomeNotExecuted
	for n := 0; n < maxEndpointsPerCall; n++ {
		if result := f.checkSend(ctx, j, ""); result.forbidsSending() {
			f.finishUnsentCall(j, result)
			return
		}
		if n > 0 && lastResult != outcomeUnreachable && !f.controller.SpendRetryBudget(j.service) {
			break
		}
		e := f.takeEndpoint(ctx, j, tried)
		if e == nil {
			break
		}
		tried[e.ID] = true
		retryable := j.route.Retryable() && executions+1 < j.route.MaxAttempts && n+1 < maxEndpointsPerCall
		lastResult = f.attemptCall(ctx, j, e, retryable)
		if lastResult == outcomeAnswered {
			return
		}
		if lastResult == outcomeAbandoned || ctx.Err() != nil {
			f.refuseAbandoned(j, reasonAbandoned)
			return
		}
		if lastResult == outcomeBroken || lastResult == outcomeFailed {
			executions++
			if !retryable {
				f.refuse(j, http.StatusBadGateway, 0, "endpoint broke off")
				return
			}
		}
	}
	f.finishUnansweredCall(j)
}

// bufferedResponse is a response whose body has been read completely.
type bufferedResponse struct {
	response *Response
	body     prefix
}

// finishUnansweredCall answers a call when no attempt succeeded and no further one is made. If an endpoint responded
// with a server error, that response is relayed.
func (f *Forwarder) finishUnansweredCall(j *job) {
	switch {
	case j.heldFailure != nil:
		f.relayResponse(j, j.heldFailure.response, j.heldFailure.body)
	case j.maybeExecuted:
		f.refuse(j, http.StatusBadGateway, 0, "no other endpoint")
	case f.timeLeft(j) <= 0:
		f.refuseAbandoned(j, reasonAbandoned)
	case !f.mayStart(j):
		f.refuseStopping(j)
	default:
		f.refuseWithoutRoom(j, retryAfterShort)
	}
}

// finishUnsentCall answers a call that must not be sent, or not sent again, because it crashes endpoints or may take longer than
// the process lasts. A server error that an endpoint responded with before is relayed.
func (f *Forwarder) finishUnsentCall(j *job, result outcome) {
	switch {
	case j.heldFailure != nil:
		f.finishUnansweredCall(j)
	case result == outcomeStopping:
		f.refuseStopping(j)
	default:
		f.refuseQuarantined(j)
	}
}

// takeEndpoint chooses an endpoint for a call and counts the call there. It waits for the end of a pause of all endpoints
// if the call can still be served then. It returns nil if there is no endpoint except those excluded.
func (f *Forwarder) takeEndpoint(ctx context.Context, j *job, excluded map[string]bool) *balancer.Endpoint {
	startedAt := f.clock()
	ctx, cancel := f.waitContext(ctx, j)
	defer cancel()
	d := f.controller.AcquireEndpoint(ctx, controller.Call{
		Account: j.accountName(), Service: j.service, Deadline: j.deadline - j.route.TargetLatency,
	}, excluded)
	j.record.queueTime += f.clock() - startedAt
	return d.Endpoint
}

// attemptCall sends a call to one endpoint and relays its response. If retryable is set, another endpoint may be tried
// after a failure, so a server error is held back and the attempt has a shorter timeout.
func (f *Forwarder) attemptCall(ctx context.Context, j *job, e *balancer.Endpoint, retryable bool) outcome {
	j.record.endpoint = e.ID
	callCtx, cancel := f.attemptContext(ctx, j, retryable)
	defer cancel()
	remaining := f.timeLeft(j)
	startedAt := f.clock()
	j.contact = contact{endpointID: e.ID, address: e.Address, attemptedAt: startedAt}
	r, err := f.endpointClient.Run(callCtx, e.Address, Attempt{
		Request: j.Request, EndpointID: e.ID, Account: j.accountName(), TimeBudget: remaining,
		NewConnection: j.route.Kind == matcher.AtMostOnce,
	})
	j.contact.response, j.contact.err, j.contact.executed = r, err, r.executed()
	if j.route.Retryable() {
		f.recordAttempt(ctx, j, f.clock()-startedAt)
	}
	var result outcome
	var body prefix
	if err == nil {
		j.record.timeToHead = f.clock() - j.receivedAt
		result, body = f.classifyResponse(j, r, retryable)
		defer r.Close()
	} else {
		result = f.classifyFailure(callCtx, j, err, retryable)
	}
	if result != outcomeAnswered && f.callerDisconnected(ctx, j) {
		f.controller.UpdateBalancer(func(b *balancer.Balancer, _ time.Duration) { b.Release(e.ID) })
		if j.contact.endedHere() {
			f.recordAbandoned(j, j.contact)
		}
		return outcomeAbandoned
	}
	f.reportCallOutcome(j, e, result, r, f.clock()-startedAt, body.whole)
	if result == outcomeAnswered {
		f.relayResponse(j, r, body)
		f.reportServed(j, r)
	}
	return result
}

// callerDisconnected reports whether a request ended because its caller disconnected before the deadline. Such an
// attempt does not count as a failure of the endpoint.
func (f *Forwarder) callerDisconnected(ctx context.Context, j *job) bool {
	return ctx.Err() != nil && f.timeLeft(j) > 0
}

// attemptContext returns the context of an attempt. An attempt that may be retried gets a timeout, so that an endpoint
// that does not respond uses only a part of the caller's time, unless most endpoints take longer.
func (f *Forwarder) attemptContext(ctx context.Context, j *job, retryable bool) (context.Context, context.CancelFunc) {
	timeout := attemptTimeout(j)
	if !retryable || timeout == 0 || f.estimator.IsMostlySlow(j.route.Name, f.clock()) {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, timeout)
}

// attemptTimeout returns the timeout of an attempt that may be retried. It is zero if the route has no latency target.
func attemptTimeout(j *job) time.Duration {
	return time.Duration(attemptTimeoutFactor * float64(max(0, j.route.TargetLatency)))
}

// recordAttempt records whether an attempt that may be retried was slow, unless the caller has gone. ctx is the context of the
// caller.
func (f *Forwarder) recordAttempt(ctx context.Context, j *job, took time.Duration) {
	if timeout := attemptTimeout(j); timeout > 0 && !f.callerDisconnected(ctx, j) {
		f.estimator.RecordAttempt(j.route.Name, took >= timeout, f.clock())
	}
}

// classifyFailure returns the outcome of an attempt without a response. ctx is the context of the attempt.
func (f *Forwarder) classifyFailure(ctx context.Context, j *job, err error, retryable bool) outcome {
	possiblySent := f.recordFailure(j, err)
	switch {
	case ctx.Err() != nil && (f.timeLeft(j) <= 0 || !retryable):
		return outcomeAbandoned
	case possiblySent:
		return outcomeBroken
	default:
		return outcomeUnreachable
	}
}

// recordFailure logs an attempt without a response and returns whether the endpoint may have run the request. If so, it
// counts the attempt and sets maybeExecuted.
func (f *Forwarder) recordFailure(j *job, err error) (possiblySent bool) {
	var failure *exchanger.Failure
	possiblySent = !errors.As(err, &failure) || failure.SendState == exchanger.PossiblySent
	if possiblySent {
		j.record.attempts++
		j.maybeExecuted = true
	}
	f.log.Info().Str("id", j.ID).Str("endpoint", j.record.endpoint).Bool("sent", possiblySent).Err(err).
		Msg("forward: call failed")
	return possiblySent
}

// classifyResponse returns the outcome of an attempt with a response. For outcomeAnswered it also returns what it has read of
// the body.
func (f *Forwarder) classifyResponse(j *job, r *Response, retryable bool) (outcome, prefix) {
	j.record.attempts++
	if r.NotExecuted || r.Misdirected {
		j.record.refusedBy = j.record.endpoint
		return outcomeNotExecuted, prefix{}
	}
	j.maybeExecuted = true
	if !r.HasServerSeal {
		return outcomeBroken, prefix{}
	}
	body, err := f.readPrefix(j, r)
	if err != nil || body.whole {
		f.recordEnd(&j.contact, err)
	}
	if j.contact.ending.brokenOff() {
		f.log.Info().Str("id", j.ID).Str("endpoint", j.record.endpoint).Str("end", j.contact.ending.String()).Err(err).
			Msg("forward: answer broke off")
		return outcomeBroken, prefix{}
	}
	if r.Status >= http.StatusInternalServerError && retryable && body.whole {
		j.heldFailure = &bufferedResponse{response: r, body: body}
		return outcomeFailed, prefix{}
	}
	return outcomeAnswered, body
}

// reportCallOutcome ends the attempt at the balancer and reports its outcome to the balancer and the crash tracker. r
// is nil if there was no response. An answer that is not whole has no outcome yet; reportRest reports it.
func (f *Forwarder) reportCallOutcome(
	j *job, e *balancer.Endpoint, result outcome, r *Response, duration time.Duration, whole bool,
) {
	f.controller.UpdateBalancer(func(b *balancer.Balancer, now time.Duration) {
		b.Release(e.ID)
		if r != nil && r.Slots > 0 {
			b.ReportActiveRequests(e.ID, r.InFlight, now)
		}
		switch {
		case result == outcomeNotExecuted && r != nil && r.Misdirected, result == outcomeUnreachable,
			result == outcomeBroken && r == nil && duration < deadConnectionThreshold:
			b.RecordConnectionFailure(e.ID, now)
		case result == outcomeNotExecuted:
			b.RecordFull(e.ID, now)
		case result == outcomeAnswered && r.Status < http.StatusInternalServerError:
			if whole {
				b.RecordOutcome(e.ID, true, now)
			}
		default:
			b.RecordOutcome(e.ID, false, now)
		}
	})
	f.reportContact(j, j.contact)
}

// relayResponse sends a response to the caller. body is what classifyResponse has read of it. If that is the whole body, the
// caller gets its length, unless the endpoint did not mark its end.
func (f *Forwarder) relayResponse(j *job, r *Response, body prefix) {
	copyHeader(j.w.Header(), r.Header)
	switch {
	case j.Method == http.MethodHead:
		setContentLength(j.w.Header(), r.ContentLength)
	case body.whole:
		setContentLength(j.w.Header(), int64(len(body.bytes)))
	}
	j.w.WriteHead(r.Status, r.Delimiter)
	j.record.status = r.Status
	if len(body.bytes) == 0 {
		return
	}
	if _, err := j.w.Write(body.bytes); err != nil {
		j.record.reason = reasonCallerGone
		return
	}
	if !body.whole {
		f.returnBuffers(j)
		f.relayRest(j, r)
	}
}

// relayRest copies the rest of a long body to the caller as it arrives.
func (f *Forwarder) relayRest(j *job, r *Response) {
	source := newSource(r.Body, f.clock)
	buffer, _ := relayBuffers.Get().(*[relayBufferBytes]byte)
	defer relayBuffers.Put(buffer)
	_, err := io.CopyBuffer(j.w, source, buffer[:])
	if err != nil && source.err == nil {
		j.record.reason = reasonCallerGone
		f.recordAbandoned(j, j.contact)
		f.abort(j)
	}
	f.reportRest(j, r, source, err)
	f.recordEnd(&j.contact, source.err)
	if j.contact.ending.brokenOff() {
		j.record.reason = "answer broke off"
		f.reportContact(j, j.contact)
		f.abort(j)
	}
}

// reportRest reports to the balancer how the rest of a long body ended. err is the error of the copy. An endpoint that does not
// end its answer within the time of the request has failed, however many bytes it has sent.
func (f *Forwarder) reportRest(j *job, r *Response, s *source, err error) {
	failed := s.hasFailed()
	if r.Status >= http.StatusInternalServerError || (err != nil && !failed) {
		return
	}
	f.controller.UpdateBalancer(func(b *balancer.Balancer, now time.Duration) {
		b.RecordOutcome(j.contact.endpointID, !failed, now)
	})
}

// setContentLength sets the length of the body in a header, if it is known.
func setContentLength(h http.Header, length int64) {
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

// abort closes the caller's connection so that a truncated response does not look complete.
func (f *Forwarder) abort(j *job) {
	f.log.Info().Str("id", j.ID).Str("endpoint", j.record.endpoint).Str("reason", j.record.reason).
		Msg("forward: connection closed")
	j.w.Abort()
}

// accountName returns the name of the client account, or "" on open routes.
func (j *job) accountName() string {
	if j.account == nil {
		return ""
	}
	return j.account.Name
}

// copyHeader sets all fields of a header in another one. The values are shared.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}
