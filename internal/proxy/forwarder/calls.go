package forwarder

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/config/matcher"
	"github.com/pistachiovane/pistachiovane/internal/limits/crashtracker"
	"github.com/pistachiovane/pistachiovane/internal/proxy/exchanger"
	"github.com/pistachiovane/pistachiovane/internal/routing/balancer"
)

const (
	// maxBufferedBodyBytes is the largest answer that is read whole before it is passed on, in bytes: a broken one can then
	// still be replaced.
	maxBufferedBodyBytes = 256 << 10
	// maxEndpointsPerCall bounds the endpoints that are asked for one request, those that refuse it included.
	maxEndpointsPerCall = 4
	// attemptTimeoutFactor times the latency objective is how long a repeatable call waits for an endpoint before it is
	// repeated at another.
	attemptTimeoutFactor = 2.5
)

// deadConnectionThreshold is how soon a connection breaks whose endpoint is not there any more: sooner than any work takes.
const deadConnectionThreshold = 12 * time.Millisecond

// outcome tells how a call to an endpoint ended.
type outcome uint8

const (
	// outcomeAnswered: the caller has its answer.
	outcomeAnswered outcome = iota
	// outcomeNotExecuted: the endpoint has certainly not run the request.
	outcomeNotExecuted
	// outcomeUnreachable: the request was not sent.
	outcomeUnreachable
	// outcomeBroken: the endpoint may have run the request, and there is no sound answer.
	outcomeBroken
	// outcomeFailed: the endpoint answered with a failure of its own, which is held back.
	outcomeFailed
	// outcomeAbandoned: the caller's time is over or the caller has gone.
	outcomeAbandoned
)

// forwardCall answers a request for a plain service.
func (f *Forwarder) forwardCall(ctx context.Context, j *job) {
	tried := make(map[string]bool, maxEndpointsPerCall)
	executions := 0
	last := outcomeNotExecuted
	for n := 0; n < maxEndpointsPerCall; n++ {
		if n > 0 && last != outcomeUnreachable && !f.controller.SpendRetryBudget(j.service) {
			break
		}
		e := f.takeEndpoint(j, tried)
		if e == nil {
			break
		}
		tried[e.ID] = true
		retryable := j.route.Retryable() && executions+1 < j.route.MaxAttempts && n+1 < maxEndpointsPerCall
		last = f.attemptCall(ctx, j, e, retryable)
		if last == outcomeAnswered {
			return
		}
		if last == outcomeAbandoned || ctx.Err() != nil {
			f.refuseAbandoned(j, reasonAbandoned)
			return
		}
		if last == outcomeBroken || last == outcomeFailed {
			executions++
			if !retryable {
				f.refuse(j, http.StatusBadGateway, 0, "endpoint broke off")
				return
			}
		}
	}
	f.finishUnansweredCall(j)
}

// bufferedResponse is the head and the whole body of an answer.
type bufferedResponse struct {
	response *Response
	body     []byte
}

// finishUnansweredCall answers a request that no endpoint has answered well.
func (f *Forwarder) finishUnansweredCall(j *job) {
	switch {
	case j.heldFailure != nil:
		f.relayResponse(j, j.heldFailure.response, j.heldFailure.body)
	case j.maybeExecuted:
		f.refuse(j, http.StatusBadGateway, 0, "no other endpoint")
	default:
		f.refuse(j, http.StatusServiceUnavailable, retryAfterShort, "no endpoint with room")
	}
}

func (f *Forwarder) takeEndpoint(j *job, excluded map[string]bool) (e *balancer.Endpoint) {
	f.controller.UpdateBalancer(func(b *balancer.Balancer, now time.Duration) {
		e = b.Acquire(j.service, excluded, now)
	})
	return e
}

// attemptCall calls one endpoint; again tells whether another one may be tried after a failure.
func (f *Forwarder) attemptCall(ctx context.Context, j *job, e *balancer.Endpoint, retryable bool) outcome {
	j.record.endpoint = e.ID
	callCtx, cancel := f.attemptContext(ctx, j, retryable)
	defer cancel()
	remaining := f.timeLeft(j)
	startedAt := f.clock()
	r, err := f.endpointClient.Run(callCtx, e.Address, Attempt{
		Request: j.Request, EndpointID: e.ID, Account: j.accountName(), TimeBudget: remaining, NewConnection: j.route.Kind == matcher.AtMostOnce,
	})
	var got outcome
	var body []byte
	if err == nil {
		j.record.timeToHead = f.clock() - j.receivedAt
		got, body = f.classifyResponse(j, r, retryable)
		defer r.Close()
	} else {
		got = f.classifyFailure(callCtx, j, err, retryable)
	}
	if got != outcomeAnswered && f.callerDisconnected(ctx, j) {
		f.controller.UpdateBalancer(func(b *balancer.Balancer, _ time.Duration) { b.Release(e.ID) })
		return outcomeAbandoned
	}
	f.reportCallOutcome(j, e, got, r, f.clock()-startedAt)
	if got == outcomeAnswered {
		f.relayResponse(j, r, body)
	}
	return got
}

// callerDisconnected tells whether a request ended because its caller left, which says nothing of the endpoint.
func (f *Forwarder) callerDisconnected(ctx context.Context, j *job) bool {
	return ctx.Err() != nil && f.timeLeft(j) > 0
}

// attemptContext bounds a call that may be repeated, so that a silent endpoint costs only a part of the time.
func (f *Forwarder) attemptContext(ctx context.Context, j *job, retryable bool) (context.Context, context.CancelFunc) {
	if !retryable || j.route.TargetLatency <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(attemptTimeoutFactor*float64(j.route.TargetLatency)))
}

// classifyFailure tells what a call without an answer means.
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

// recordFailure records a call without an answer and tells whether the endpoint may have run the request.
func (f *Forwarder) recordFailure(j *job, err error) (possiblySent bool) {
	var failure *exchanger.Failure
	possiblySent = !errors.As(err, &failure) || failure.SendState == exchanger.PossiblySent
	if possiblySent {
		j.record.attempts++
		j.maybeExecuted = true
	}
	f.log.Info().Str("id", j.ID).Str("endpoint", j.record.endpoint).Bool("sent", possiblySent).Err(err).Msg("forward: call failed")
	return possiblySent
}

// classifyResponse tells what a reply means, and reads the body of one that is to be passed on.
func (f *Forwarder) classifyResponse(j *job, r *Response, retryable bool) (outcome, []byte) {
	j.record.attempts++
	if r.NotExecuted || r.Misdirected {
		return outcomeNotExecuted, nil
	}
	j.maybeExecuted = true
	if !r.HasServerSeal {
		return outcomeBroken, nil
	}
	var buffer bytes.Buffer
	if r.ContentLength > 0 && r.ContentLength < maxBufferedBodyBytes {
		buffer.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	_, err := io.Copy(&buffer, io.LimitReader(r.Body, maxBufferedBodyBytes))
	if err != nil {
		f.log.Info().Str("id", j.ID).Str("endpoint", j.record.endpoint).Err(err).Msg("forward: answer broke off")
		return outcomeBroken, nil
	}
	if r.Status >= http.StatusInternalServerError && retryable && buffer.Len() < maxBufferedBodyBytes {
		j.heldFailure = &bufferedResponse{response: r, body: buffer.Bytes()}
		return outcomeFailed, nil
	}
	return outcomeAnswered, buffer.Bytes()
}

// reportCallOutcome tells the balancer how the endpoint did.
func (f *Forwarder) reportCallOutcome(j *job, e *balancer.Endpoint, got outcome, r *Response, duration time.Duration) {
	f.reportHealth(j, e.ID, got, r != nil)
	f.controller.UpdateBalancer(func(b *balancer.Balancer, now time.Duration) {
		b.Release(e.ID)
		if r != nil && r.Slots > 0 {
			b.ReportActiveRequests(e.ID, r.InFlight, now)
		}
		switch {
		case got == outcomeNotExecuted && r != nil && r.Misdirected, got == outcomeUnreachable, got == outcomeBroken && r == nil && duration < deadConnectionThreshold:
			b.RecordConnectionFailure(e.ID, now)
		case got == outcomeNotExecuted:
			b.RecordFull(e.ID, now)
		case got == outcomeAnswered && r.Status < http.StatusInternalServerError:
			b.RecordOutcome(e.ID, true, now)
		default:
			b.RecordOutcome(e.ID, false, now)
		}
	})
}

// reportHealth tells the crash tracker what a call says of the endpoint's health; answered is set where it sent the head
// of an answer.
func (f *Forwarder) reportHealth(j *job, id string, got outcome, responded bool) {
	f.controller.UpdateCrashTracker(func(t *crashtracker.CrashTracker, now time.Duration) {
		switch {
		case got == outcomeBroken:
			t.RecordBrokenConnection(id, j.fingerprint, now)
		case got == outcomeUnreachable:
			t.RecordEndpointDown(id, now)
		case responded:
			t.RecordEndpointUp(id)
		}
	})
}

// relayResponse writes an answer to the caller; what is longer than the part that was read follows as it comes.
func (f *Forwarder) relayResponse(j *job, r *Response, body []byte) {
	copyHeader(j.w.Header(), r.Header)
	if len(body) < maxBufferedBodyBytes {
		j.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	j.w.WriteHeader(r.Status)
	j.record.status = r.Status
	if _, err := j.w.Write(body); err != nil {
		j.record.reason = "caller gone"
		return
	}
	if len(body) < maxBufferedBodyBytes {
		return
	}
	if _, err := io.Copy(j.w, r.Body); err != nil {
		j.record.reason = "answer broke off"
		f.abort(j)
	}
}

// abort closes the caller's connection, so that a broken answer does not look complete.
func (f *Forwarder) abort(j *job) {
	f.log.Info().Str("id", j.ID).Str("endpoint", j.record.endpoint).Str("reason", j.record.reason).Msg("forward: connection closed")
	panic(http.ErrAbortHandler)
}

func (j *job) accountName() string {
	if j.account == nil {
		return ""
	}
	return j.account.Name
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}
