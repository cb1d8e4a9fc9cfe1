package forwarder

import (
	"sync/atomic"
	"time"
)

// Stats counts what became of requests.
type Stats struct {
	// Answered counts successes, Refused refusals before a run, Failed all other ends.
	Answered atomic.Uint64
	Refused  atomic.Uint64
	Failed   atomic.Uint64
	// GenerationRetries counts calls after the first of a request, Read prompts read apart, Wasted those read for nothing.
	GenerationRetries atomic.Uint64
	Prefills          atomic.Uint64
	WastedPrefills    atomic.Uint64
	// RefusedReservations counts reservations that an endpoint refused.
	RefusedReservations atomic.Uint64
}

// record is what the log line of a request says.
type record struct {
	status int
	reason string
	// requestedTokens is what the account could not pay, in tokens, and retry when the caller was asked to return.
	requestedTokens int
	retryAfter      time.Duration
	prefill         string
	endpoint        string
	// attempts counts the calls to endpoints that were sent.
	attempts int
	// queueTime, read and first are times since the request came; zero where it did not come so far.
	queueTime   time.Duration
	prefillTime time.Duration
	timeToHead  time.Duration
	events      int
}

// LatencyRecorder takes in how long answered requests took.
type LatencyRecorder struct {
	// QueueTime is the time until a generation could start, First that until the head of the answer, Whole that until its
	// end, all since the request came.
	QueueTime  func(time.Duration)
	TimeToHead func(time.Duration)
	TotalTime  func(time.Duration)
}

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

// logOutcome writes the one line that says what became of a request.
func (f *Forwarder) logOutcome(j *job) {
	f.recordLatency(j)
	switch status := j.record.status; {
	case status >= 200 && status < 300 && j.record.reason == "":
		f.Stats.Answered.Add(1)
	case !j.maybeExecuted:
		f.Stats.Refused.Add(1)
	default:
		f.Stats.Failed.Add(1)
	}
	e := f.log.Info().Str("id", j.ID)
	if j.route != nil {
		e = e.Str("route", j.route.Name).Str("service", j.service)
	}
	if j.account != nil {
		e = e.Str("account", j.account.Name).Int("tokens", j.chargedTokens)
	}
	if j.record.requestedTokens > 0 {
		e = e.Int("asked", j.record.requestedTokens)
	}
	if j.record.retryAfter > 0 {
		e = e.Int64("retry_ms", j.record.retryAfter.Milliseconds())
	}
	if j.record.prefill != "" {
		e = e.Str("prefill", j.record.prefill).Int64("read_ms", j.record.prefillTime.Milliseconds())
	}
	if j.record.endpoint != "" {
		e = e.Str("endpoint", j.record.endpoint).Int64("first_ms", j.record.timeToHead.Milliseconds())
	}
	e.Uint64("version", j.configVersion).Int64("age_ms", j.configAge.Milliseconds()).Int("status", j.record.status).
		Str("reason", j.record.reason).Int("calls", j.record.attempts).Int64("waited_ms", j.record.queueTime.Milliseconds()).
		Int("events", j.record.events).Int64("total_ms", (f.clock() - j.receivedAt).Milliseconds()).Msg("forward: done")
}
