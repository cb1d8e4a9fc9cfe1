package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/limits/crashtracker"
	"github.com/pistachiovane/pistachiovane/internal/proxy/exchanger"
	"github.com/pistachiovane/pistachiovane/internal/proxy/prober"
)

// maxLoggedParts limits the parts of a prompt in a log line.
const maxLoggedParts = 8

// contact is what an attempt has shown about its endpoint.
type contact struct {
	endpointID  string
	address     string
	attemptedAt time.Duration
	// isPrefill is set if the attempt was a prefill, not a run.
	isPrefill bool
	// err is the error of the exchange or of reading the response.
	err error
	// response is nil if there was none.
	response *Response
	// executed is set if the response shows that the endpoint ran what it was sent.
	executed bool
	// ending is how the body of the response ended, and found what a probe has found behind an end that nobody marked.
	ending ending
	found  prober.Verdict
}

// reportContact tells the crash tracker what an attempt of a request at an endpoint has shown. If the connection broke,
// the request becomes a suspect, and reportContact probes whether the endpoint is down before anything is sent again. It
// returns true if a probe has found that.
func (f *Forwarder) reportContact(j *job, c contact) (down bool) {
	switch {
	case c.ending == endedByCrash:
		down = f.suspect(j, c)
		f.recordVerdict(c.endpointID, c.found, c.attemptedAt)
		return down
	case isConnectionLost(c.err), c.ending == endedInsideEvent, c.ending == endedEmpty:
		return f.suspect(j, c) && f.probe(c.endpointID).Gone()
	case c.ending == endedUnconfirmed, c.ending == endedSilent:
		if f.suspect(j, c) {
			f.watch(c.endpointID)
		}
	case isRefusedConnection(c.err):
		f.recordVerdict(c.endpointID, prober.Refused, c.attemptedAt)
	case c.response != nil && c.response.Misdirected:
		f.reportMisdirected(c)
	case c.executed:
		f.recordVerdict(c.endpointID, prober.SameID, c.attemptedAt)
	}
	if c.endedHere() {
		f.recordAbandoned(j, c)
	}
	return false
}

// endedHere reports whether an attempt that may have been sent was ended from this side: by the gateway, a timeout or the
// caller.
func (c contact) endedHere() bool {
	var failure *exchanger.Failure
	if errors.As(c.err, &failure) && failure.SendState == exchanger.NotSent {
		return false
	}
	return errors.Is(c.err, net.ErrClosed) || errors.Is(c.err, context.Canceled) || errors.Is(c.err, context.DeadlineExceeded)
}

// recordAbandoned tells the crash tracker that an attempt was ended from this side while the endpoint may have been running it.
func (f *Forwarder) recordAbandoned(j *job, c contact) {
	j.forgetTrial(c)
	f.controller.UpdateCrashTracker(func(t *crashtracker.CrashTracker, now time.Duration) {
		t.RecordAbandonedRun(c.endpointID, j.run(c), now)
	})
}

// reportMisdirected tells the crash tracker what a response of status 421 says about an endpoint: that another one has the
// address, or nothing if the endpoint itself sent it, because it has another stage. Who did is asked if it matters.
func (f *Forwarder) reportMisdirected(c contact) {
	switch c.response.AnsweredBy {
	case c.endpointID:
	case "":
		suspected := false
		f.controller.ReadCrashTracker(func(t *crashtracker.CrashTracker) { suspected = t.HasSuspects(c.endpointID) })
		if suspected {
			f.watch(c.endpointID)
		}
	default:
		f.recordVerdict(c.endpointID, prober.Replaced, c.attemptedAt)
	}
}

// suspect records that the connection to an endpoint broke while it ran a request. It returns false if that can't count
// against the request.
func (f *Forwarder) suspect(j *job, c contact) (recorded bool) {
	run := j.run(c)
	j.forgetTrial(c)
	f.controller.UpdateCrashTracker(func(t *crashtracker.CrashTracker, now time.Duration) {
		recorded = t.RecordBrokenConnection(c.endpointID, run, now)
	})
	f.log.Info().Str("id", j.ID).Str("endpoint", c.endpointID).Str("fingerprint", run.Fingerprint.String()).
		Bool("prefill", c.isPrefill).Strs("parts", loggedParts(j)).Msg("crash: suspected")
	return recorded
}

// run returns the run or the prefill of a contact for the crash tracker.
func (j *job) run(c contact) crashtracker.Run {
	if c.isPrefill {
		return crashtracker.Run{Fingerprint: j.work.Prefill, Parts: j.work.PrefillParts, StartedAt: c.attemptedAt}
	}
	return crashtracker.Run{Fingerprint: j.work.Run, Parts: j.work.Parts, StartedAt: c.attemptedAt}
}

// loggedParts returns the IDs of the parts of the prompt that other requests may share, at most maxLoggedParts.
func loggedParts(j *job) []string {
	shared := j.PromptParts[:max(0, len(j.PromptParts)-1)]
	return shared[:min(len(shared), maxLoggedParts)]
}

// ask asks whether the process of an endpoint still runs. That stays unknown if the endpoint is not listed, or has asked for
// a pause.
func (f *Forwarder) ask(endpointID string) prober.Verdict {
	p, ok := f.controller.Process(endpointID)
	if !ok {
		return prober.Unknown
	}
	v, err := f.prober.Probe(p)
	f.logVerdict(p, v, err)
	return v
}

// probe asks whether the process of an endpoint still runs, and tells the crash tracker. If the probe finds nothing, it is
// repeated in the background.
func (f *Forwarder) probe(endpointID string) prober.Verdict {
	askedAt := f.clock()
	v := f.ask(endpointID)
	f.recordVerdict(endpointID, v, askedAt)
	if v == prober.Unknown {
		f.watch(endpointID)
	}
	return v
}

// watch asks for the process of an endpoint in the background until it is known what became of it. It does nothing if the
// endpoint is not listed, or has asked for a pause.
func (f *Forwarder) watch(endpointID string) {
	p, ok := f.controller.Process(endpointID)
	if !ok {
		return
	}
	f.prober.Watch(p, func(v prober.Verdict, took time.Duration, err error) (done bool) {
		f.logVerdict(p, v, err)
		f.recordVerdict(endpointID, v, f.clock()-took)
		_, listed := f.controller.Process(endpointID)
		return v != prober.Unknown || !listed
	})
}

// logVerdict logs what a probe has found.
func (f *Forwarder) logVerdict(p prober.Process, v prober.Verdict, err error) {
	f.log.Info().Str("endpoint", p.EndpointID).Str("address", p.Address).Str("found", v.String()).Err(err).
		Msg("crash: probed")
}

// recordVerdict tells the crash tracker what an attempt or a probe that began at the given time has shown about the
// process of an endpoint.
func (f *Forwarder) recordVerdict(endpointID string, v prober.Verdict, askedAt time.Duration) {
	f.controller.UpdateCrashTracker(func(t *crashtracker.CrashTracker, now time.Duration) {
		switch v {
		case prober.Running:
			t.RecordProcessRunning(endpointID, askedAt, now)
		case prober.SameID:
			t.RecordEndpointUp(endpointID, askedAt, now)
		case prober.Refused:
			t.RecordEndpointDown(endpointID, crashtracker.ConnectionRefused, now)
		case prober.Replaced:
			t.RecordEndpointDown(endpointID, crashtracker.ProcessReplaced, now)
		case prober.Unknown, prober.Reachable:
		}
	})
}

// reportServed tells the crash tracker that a request completed, unless the end of the response can't be told from a
// crash. That says nothing about its prefill at another endpoint.
func (f *Forwarder) reportServed(j *job, r *Response) {
	if j.contact.ending > endedUnmarked || r.Status >= http.StatusMultipleChoices {
		return
	}
	f.recordServed(j, j.contact)
}

// recordServed tells the crash tracker that the run or the prefill of a contact completed.
func (f *Forwarder) recordServed(j *job, c contact) {
	run := j.run(c)
	f.controller.UpdateCrashTracker(func(t *crashtracker.CrashTracker, now time.Duration) { t.RecordServed(run, now) })
}

// checkSend must be called right before a request is sent to an endpoint, whose ID is empty if it is not chosen yet. It
// returns outcomeAnswered if the request may be sent, outcomeSuspended if the endpoint wants no requests any more,
// outcomeQuarantined if the request crashes endpoints, outcomeStopping if no endpoint has begun to work on it and it may take
// longer than the process lasts, and outcomeAbandoned if the context has ended. If another request
// is suspected of the same crashes, it waits until the turn of this one.
func (f *Forwarder) checkSend(ctx context.Context, j *job, endpointID string) outcome {
	return f.checkWork(ctx, j, endpointID, false)
}

// checkPrefill is checkSend for a prefill. A request whose prefill crashes endpoints may still be run without one.
func (f *Forwarder) checkPrefill(ctx context.Context, j *job, endpointID string) outcome {
	return f.checkWork(ctx, j, endpointID, true)
}

// checkWork is checkSend for a run or a prefill.
func (f *Forwarder) checkWork(ctx context.Context, j *job, endpointID string, prefill bool) outcome {
	for {
		if !j.begun() && !f.mayStart(j) {
			return outcomeStopping
		}
		v, wanted := f.controller.DecideSend(j.work, prefill, endpointID, j.receivedAt)
		accepted := j.accept(v)
		switch {
		case !accepted:
			return outcomeQuarantined
		case v.RetryAfter == 0 && !wanted:
			return outcomeSuspended
		case v.RetryAfter == 0:
			j.work.Trial = j.work.Trial || (v.Trial && !prefill)
			j.prefillTrial = j.prefillTrial || (v.Trial && prefill)
			return outcomeAnswered
		case v.RetryAfter > f.timeLeft(j):
			return outcomeQuarantined
		}
		f.waitTurn(ctx, j, v.RetryAfter)
		if ctx.Err() != nil {
			return outcomeAbandoned
		}
	}
}

// waitTurn waits for a time, or until the request may not be sent any more.
func (f *Forwarder) waitTurn(ctx context.Context, j *job, d time.Duration) {
	ctx, cancel := f.waitContext(ctx, j)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// refuseQuarantined answers a request that must not be sent because it crashes endpoints. The status is 502 if an
// endpoint may have run it, else 503. It always returns false, like refuse.
func (f *Forwarder) refuseQuarantined(j *job) bool {
	if j.maybeExecuted {
		return f.refuse(j, http.StatusBadGateway, 0, reasonCrashes)
	}
	return f.refuse(j, http.StatusServiceUnavailable, max(retryAfterShort, j.quarantineTime), reasonCrashes)
}

// isConnectionLost reports whether an error means that the endpoint ended the connection before its response was
// complete.
func isConnectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
}

// isRefusedConnection reports whether an error means that no process accepts connections at the address.
func isRefusedConnection(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
