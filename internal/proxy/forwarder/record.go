package forwarder

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/proxy/acceptor"
)

// Stats counts requests by outcome, and the work done for them.
type Stats struct {
	// Answered counts requests with a complete response of status 2xx.
	Answered atomic.Uint64
	// Refused counts requests without such a response that no endpoint can have run.
	Refused atomic.Uint64
	// Failed counts requests that an endpoint may have run and that have no complete response of status 2xx.
	Failed atomic.Uint64
	// Quarantined counts requests that were not sent, or not sent again, because they crash endpoints.
	Quarantined atomic.Uint64
	// GenerationRetries counts how often a generation was planned again after a failed attempt.
	GenerationRetries atomic.Uint64
	// Prefills counts prompts that a prefill endpoint has processed.
	Prefills atomic.Uint64
	// WastedPrefills counts prefilled prompts whose KV cache was not used.
	WastedPrefills atomic.Uint64
	// RefusedReservations counts reservations that were not made, because the endpoint refused or did not respond.
	RefusedReservations atomic.Uint64
}

// record holds the data of a request's log line. Unless stated otherwise, durations are measured from the receipt of
// the request and are zero if the request did not get that far.
type record struct {
	// status is the status sent to the caller.
	status int
	// reason says why the request has no complete response from an endpoint. It is empty after a success.
	reason string
	// requestedTokens is the charge that the available tokens of the account did not cover. It is zero otherwise.
	requestedTokens int
	// retryAfter is the delay sent to the caller as Retry-After.
	retryAfter time.Duration
	// prefillEndpoint is the ID of the latest endpoint to which a prefill was sent, endpoint that of the latest one to
	// which the request itself was sent.
	prefillEndpoint string
	endpoint        string
	// attempts counts the requests that were sent to endpoints, without prefills and reservations.
	attempts int
	// queueTime is the time until the planner decided on the generation or until the reservation was made.
	queueTime time.Duration
	// prefillTime is the time until a prefill endpoint had processed the prompt.
	prefillTime time.Duration
	// timeToHead is the time until the head of the response arrived.
	timeToHead time.Duration
	// events counts the stream events sent to the caller.
	events int
	// unresumed says why a stream that broke off was not continued at another endpoint.
	unresumed string
	// refusedBy is the ID of the latest endpoint that refused the request without running it, and paused the ID of the one
	// whose pause the caller was told to wait for.
	refusedBy string
	paused    string
	// stopping is set if the process was stopping when it decided on the request. timeUntilStop is then the time from the
	// decision until the process ends.
	stopping      bool
	timeUntilStop time.Duration
}

// LatencyRecorder holds the functions that receive the latencies of requests that an endpoint answered with a status
// below 300, also if the response was cut short. Latencies are measured from the receipt of the request.
type LatencyRecorder struct {
	// QueueTime receives the time until a generation started. It is not called for calls of plain services.
	QueueTime func(time.Duration)
	// TimeToHead receives the time until the head of the response arrived.
	TimeToHead func(time.Duration)
	// TotalTime receives the time until the response ended.
	TotalTime func(time.Duration)
}

// recordLatency passes the latencies of a request with a status below 300 to the latency recorder, if one is set.
func (f *Forwarder) recordLatency(j *job) {
	recorder := f.latencyRecorder.Load()
	if recorder == nil || j.record.endpoint == "" || j.record.status >= 300 {
		return
	}
	if j.engine != nil {
		recorder.QueueTime(j.record.queueTime)
	}
	recorder.TimeToHead(j.record.timeToHead)
	recorder.TotalTime(f.clock() - j.receivedAt)
}

// logOutcome counts a request by its outcome, records its latencies and writes its log line. ctx is the context of the request.
func (f *Forwarder) logOutcome(ctx context.Context, j *job) {
	if j.record.reason != "" && errors.Is(context.Cause(ctx), acceptor.ErrProcessEnds) {
		j.record.reason = reasonProcessEnds
	}
	f.recordLatency(j)
	f.countOutcome(j)
	e := f.log.Info().Str("id", j.ID)
	if j.route != nil {
		e = e.Str("route", j.route.Name).Str("service", j.service)
	}
	if j.account != nil {
		e = e.Str("account", j.account.Name).Int("tokens", j.chargedTokens)
	}
	e = addRefusal(e, j)
	e = addEndpoints(e, j)
	e.Uint64("version", j.configVersion).Int64("age_ms", j.configAge.Milliseconds()).Int("status", j.record.status).
		Str("reason", j.record.reason).Int("calls", j.record.attempts).Int64("waited_ms", j.record.queueTime.Milliseconds()).
		Int("events", j.record.events).Int64("total_ms", (f.clock() - j.receivedAt).Milliseconds()).Msg("forward: done")
}

// countOutcome counts a request by its outcome.
func (f *Forwarder) countOutcome(j *job) {
	switch status := j.record.status; {
	case status >= 200 && status < 300 && j.record.reason == "":
		f.Stats.Answered.Add(1)
	case !j.maybeExecuted:
		f.Stats.Refused.Add(1)
	default:
		f.Stats.Failed.Add(1)
	}
	if j.record.reason == reasonCrashes {
		f.Stats.Quarantined.Add(1)
	}
}

// addRefusal adds to a log line why a request was refused, if it was.
func addRefusal(e *log.Entry, j *job) *log.Entry {
	if j.record.reason == reasonCrashes {
		e = e.Str("fingerprint", j.work.Run.String())
		if j.blamedPart != 0 {
			e = e.Str("feature", j.blamedPart.String())
		}
	}
	if j.record.requestedTokens > 0 {
		e = e.Int("asked", j.record.requestedTokens)
	}
	if j.record.paused != "" {
		e = e.Str("paused", j.record.paused)
	}
	if j.record.retryAfter > 0 {
		e = e.Int64("retry_ms", j.record.retryAfter.Milliseconds())
	}
	if j.record.stopping {
		e = addStop(e, j)
	}
	return e
}

// addStop adds to a log line what decided whether a stopping process accepted a request.
func addStop(e *log.Entry, j *job) *log.Entry {
	return e.Int64("stop_ms", j.record.timeUntilStop.Milliseconds()).
		Int64("longest_ms", (j.deadline - j.receivedAt).Milliseconds())
}

// addEndpoints adds to a log line which endpoints had to do with a request, and how the latest response ended.
func addEndpoints(e *log.Entry, j *job) *log.Entry {
	if j.record.refusedBy != "" {
		e = e.Str("refused_by", j.record.refusedBy)
	}
	if j.record.prefillEndpoint != "" {
		e = e.Str("prefill", j.record.prefillEndpoint).Int64("read_ms", j.record.prefillTime.Milliseconds())
	}
	if j.record.endpoint != "" {
		e = e.Str("endpoint", j.record.endpoint).Int64("first_ms", j.record.timeToHead.Milliseconds())
	}
	if r := j.contact.response; r != nil && !r.Delimiter.MarksEnd() {
		e = e.Str("framing", r.Delimiter.String())
	}
	if j.contact.ending > endedComplete {
		e = e.Str("end", j.contact.ending.String())
	}
	if j.record.unresumed != "" {
		e = e.Str("unresumed", j.record.unresumed)
	}
	return e
}
