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
	// bodyHeld is the largest answer that is read whole before it is passed on, in bytes: a broken one can then
	// still be replaced.
	bodyHeld = 256 << 10
	// callsMost bounds the endpoints that are asked for one request, those that refuse it included.
	callsMost = 4
	// slowFactor times the latency objective is how long a repeatable call waits for an endpoint before it is
	// repeated at another.
	slowFactor = 2.5
)

// instantly is how soon a connection breaks whose endpoint is not there any more: sooner than any work takes.
const instantly = 12 * time.Millisecond

// result tells how a call to an endpoint ended.
type result uint8

const (
	// answered: the caller has its answer.
	answered result = iota
	// notRun: the endpoint has certainly not run the request.
	notRun
	// unreachable: the request was not sent.
	unreachable
	// broken: the endpoint may have run the request, and there is no sound answer.
	broken
	// failed: the endpoint answered with a failure of its own, which is held back.
	failed
	// over: the caller's time is over or the caller has gone.
	over
)

// call answers a request for a plain service.
func (f *Forwarder) call(ctx context.Context, j *job) {
	avoided := make(map[string]bool, callsMost)
	runs := 0
	last := notRun
	for n := 0; n < callsMost; n++ {
		if n > 0 && last != unreachable && !f.controller.SpendRetryBudget(j.service) {
			break
		}
		e := f.take(j, avoided)
		if e == nil {
			break
		}
		avoided[e.ID] = true
		again := j.route.Retryable() && runs+1 < j.route.MaxAttempts && n+1 < callsMost
		last = f.callOne(ctx, j, e, again)
		if last == answered {
			return
		}
		if last == over || ctx.Err() != nil {
			f.timedOut(j, reasonOver)
			return
		}
		if last == broken || last == failed {
			runs++
			if !again {
				f.refuse(j, http.StatusBadGateway, 0, "endpoint broke off")
				return
			}
		}
	}
	f.endUnanswered(j)
}

// heldAnswer is the head and the whole body of an answer.
type heldAnswer struct {
	reply *Response
	body  []byte
}

// endUnanswered answers a request that no endpoint has answered well.
func (f *Forwarder) endUnanswered(j *job) {
	switch {
	case j.failure != nil:
		f.passOn(j, j.failure.reply, j.failure.body)
	case j.ran:
		f.refuse(j, http.StatusBadGateway, 0, "no other endpoint")
	default:
		f.refuse(j, http.StatusServiceUnavailable, retrySoon, "no endpoint with room")
	}
}

func (f *Forwarder) take(j *job, avoided map[string]bool) (e *balancer.Endpoint) {
	f.controller.UpdateBalancer(func(b *balancer.Balancer, now time.Duration) {
		e = b.Acquire(j.service, avoided, now)
	})
	return e
}

// callOne calls one endpoint; again tells whether another one may be tried after a failure.
func (f *Forwarder) callOne(ctx context.Context, j *job, e *balancer.Endpoint, again bool) result {
	j.record.endpoint = e.ID
	callCtx, cancel := f.callContext(ctx, j, again)
	defer cancel()
	left := f.left(j)
	began := f.clock()
	r, err := f.endpoints.Run(callCtx, e.Address, Attempt{
		Request: j.Request, EndpointID: e.ID, Account: j.accountName(), TimeBudget: left, NewConnection: j.route.Kind == matcher.AtMostOnce,
	})
	var got result
	var answer []byte
	if err == nil {
		j.record.first = f.clock() - j.since
		got, answer = f.judgeReply(j, r, again)
		defer r.Close()
	} else {
		got = f.judgeFailure(callCtx, j, err, again)
	}
	if got != answered && f.callerGone(ctx, j) {
		f.controller.UpdateBalancer(func(b *balancer.Balancer, _ time.Duration) { b.Release(e.ID) })
		return over
	}
	f.reportCall(j, e, got, r, f.clock()-began)
	if got == answered {
		f.passOn(j, r, answer)
	}
	return got
}

// callerGone tells whether a request ended because its caller left, which says nothing of the endpoint.
func (f *Forwarder) callerGone(ctx context.Context, j *job) bool {
	return ctx.Err() != nil && f.left(j) > 0
}

// callContext bounds a call that may be repeated, so that a silent endpoint costs only a part of the time.
func (f *Forwarder) callContext(ctx context.Context, j *job, again bool) (context.Context, context.CancelFunc) {
	if !again || j.route.TargetLatency <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(slowFactor*float64(j.route.TargetLatency)))
}

// judgeFailure tells what a call without an answer means.
func (f *Forwarder) judgeFailure(ctx context.Context, j *job, err error, again bool) result {
	sent := f.noteFailure(j, err)
	switch {
	case ctx.Err() != nil && (f.left(j) <= 0 || !again):
		return over
	case sent:
		return broken
	default:
		return unreachable
	}
}

// noteFailure records a call without an answer and tells whether the endpoint may have run the request.
func (f *Forwarder) noteFailure(j *job, err error) (sent bool) {
	var failure *exchanger.Failure
	sent = !errors.As(err, &failure) || failure.SendState == exchanger.PossiblySent
	if sent {
		j.record.calls++
		j.ran = true
	}
	f.log.Info().Str("id", j.ID).Str("endpoint", j.record.endpoint).Bool("sent", sent).Err(err).Msg("forward: call failed")
	return sent
}

// judgeReply tells what a reply means, and reads the body of one that is to be passed on.
func (f *Forwarder) judgeReply(j *job, r *Response, again bool) (result, []byte) {
	j.record.calls++
	if r.NotExecuted || r.Misdirected {
		return notRun, nil
	}
	j.ran = true
	if !r.HasServerSeal {
		return broken, nil
	}
	var buffer bytes.Buffer
	if r.ContentLength > 0 && r.ContentLength < bodyHeld {
		buffer.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	_, err := io.Copy(&buffer, io.LimitReader(r.Body, bodyHeld))
	if err != nil {
		f.log.Info().Str("id", j.ID).Str("endpoint", j.record.endpoint).Err(err).Msg("forward: answer broke off")
		return broken, nil
	}
	if r.Status >= http.StatusInternalServerError && again && buffer.Len() < bodyHeld {
		j.failure = &heldAnswer{reply: r, body: buffer.Bytes()}
		return failed, nil
	}
	return answered, buffer.Bytes()
}

// reportCall tells the balancer how the endpoint did.
func (f *Forwarder) reportCall(j *job, e *balancer.Endpoint, got result, r *Response, took time.Duration) {
	f.reportCrash(j, e.ID, got, r != nil)
	f.controller.UpdateBalancer(func(b *balancer.Balancer, now time.Duration) {
		b.Release(e.ID)
		if r != nil && r.Slots > 0 {
			b.ReportActiveRequests(e.ID, r.InFlight, now)
		}
		switch {
		case got == notRun && r != nil && r.Misdirected, got == unreachable, got == broken && r == nil && took < instantly:
			b.RecordConnectionFailure(e.ID, now)
		case got == notRun:
			b.RecordFull(e.ID, now)
		case got == answered && r.Status < http.StatusInternalServerError:
			b.RecordOutcome(e.ID, true, now)
		default:
			b.RecordOutcome(e.ID, false, now)
		}
	})
}

// reportCrash tells the crash tracker what a call says of the endpoint's health; answered is set where it sent the head
// of an answer.
func (f *Forwarder) reportCrash(j *job, id string, got result, answered bool) {
	f.controller.UpdateCrashTracker(func(t *crashtracker.CrashTracker, now time.Duration) {
		switch {
		case got == broken:
			t.RecordBrokenConnection(id, j.fingerprint, now)
		case got == unreachable:
			t.RecordEndpointDown(id, now)
		case answered:
			t.RecordEndpointUp(id)
		}
	})
}

// passOn writes an answer to the caller; what is longer than the part that was read follows as it comes.
func (f *Forwarder) passOn(j *job, r *Response, answer []byte) {
	copyHeader(j.w.Header(), r.Header)
	if len(answer) < bodyHeld {
		j.w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	}
	j.w.WriteHeader(r.Status)
	j.record.status = r.Status
	if _, err := j.w.Write(answer); err != nil {
		j.record.reason = "caller gone"
		return
	}
	if len(answer) < bodyHeld {
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
