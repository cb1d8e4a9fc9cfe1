// Package dispatcher controls the phases of each request: queue, decode reservation, prefill, decode, retry and end. It
// is a state machine without I/O: it takes events and the current time and returns commands. The daemon, the load tool
// and the tests run the same code.
//
// The decode slot is reserved before prefill starts, because a prefill endpoint keeps a finished KV cache for less than
// a second and a decode endpoint runs only about twenty requests at a time. Without a reservation, prefill work would
// be wasted whenever no decode slot is free in time.
//
// All times are durations since an arbitrary fixed start, such as the start of the process.
package dispatcher

import (
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/attributor"
	"github.com/pistachiovane/pistachiovane/pkg/budgeter"
	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
	"github.com/pistachiovane/pistachiovane/pkg/router"
	"github.com/pistachiovane/pistachiovane/pkg/scheduler"
)

// Options configures a dispatcher.
type Options struct {
	// TokensPerPiece is the size of one piece of KV cache memory, in tokens. Memory is reserved in whole pieces.
	TokensPerPiece int
	// PrefillTokensPerSecond is the assumed prefill speed of one endpoint.
	PrefillTokensPerSecond float64
	// FirstTokenDelay is the assumed time from the end of prefill to the first token, including the KV cache transfer.
	FirstTokenDelay time.Duration
	// MaxPrefillWait is the longest estimated wait at a prefill endpoint for which a request is still sent there.
	MaxPrefillWait time.Duration
	// MaxQueuedPerClass limits the queued requests of each priority class.
	MaxQueuedPerClass int
	// DraftPromotionDelay is how long a draft is queued behind interactive requests before it competes with them.
	DraftPromotionDelay time.Duration
	// MaxAttempts limits the failed attempts of one request.
	MaxAttempts int
	// ReserveAfterPrefill reserves the decode slot only after prefill. It exists as a baseline for comparisons.
	ReserveAfterPrefill bool
}

// DefaultOptions returns the options that the daemon uses.
func DefaultOptions() Options {
	return Options{
		TokensPerPiece:         2048,
		PrefillTokensPerSecond: 20000,
		FirstTokenDelay:        60 * time.Millisecond,
		MaxPrefillWait:         250 * time.Millisecond,
		MaxQueuedPerClass:      4096,
		DraftPromotionDelay:    70 * time.Second,
		MaxAttempts:            4,
	}
}

// noCapacityPause is the time during which no request is started after an endpoint had no capacity or could not be
// reached. It applies only to policies that ignore load: they would try full endpoints in a tight loop.
const noCapacityPause = 20 * time.Millisecond

// outputTokenCost is the cost of an output token in the fair queue, in prompt tokens.
const outputTokenCost = 8

// maxFullReportAge is how long an endpoint that reported no free slot is assumed to be full.
const maxFullReportAge = 100 * time.Millisecond

// requestPhase is the phase that a request is in.
type requestPhase uint8

const (
	queued requestPhase = iota
	reserving
	prefilling
	decoding
)

// job is a request that is queued or in progress.
type job struct {
	Request
	phase requestPhase
	// queueClass is the class in which the job is queued: its own, or Interactive for a promoted draft.
	queueClass scheduler.Class
	// submittedAt is when the request was submitted.
	submittedAt time.Duration
	// attempt is the number of the current attempt. It increases when an attempt starts and again when the job is
	// requeued, so that late events of an attempt are dropped while the job is queued, too.
	attempt int
	// failedAttempts is the number of failed attempts, at most Options.MaxAttempts. An attempt that never ran because
	// its endpoint was full or unreachable does not count.
	failedAttempts int
	// sentTokens is the number of output tokens that were passed to the caller; it never decreases.
	sentTokens int
	// prefillEndpoint and decodeEndpoint are the IDs of the endpoints in use; empty means none.
	prefillEndpoint string
	decodeEndpoint  string
	// lastFailedEndpoint is the ID of the endpoint that failed or could not be reached in the last failed attempt.
	lastFailedEndpoint string
	// suspect is set when the request was running at an endpoint that crashed.
	suspect bool
	// backlogTokens is what the job added to the known backlog of its prefill endpoint.
	backlogTokens int
	// phaseStartedAt is when the current prefill or decode began. isTrial is set once the request was sent although one of its
	// features is blamed.
	phaseStartedAt time.Duration
	isTrial        bool
	// executionStarted is set once an engine was commanded to run any part of the request; it is never reset.
	executionStarted bool
}

// Dispatcher controls the requests of one gateway. It is not safe for concurrent use.
type Dispatcher struct {
	options     Options
	router      *router.Router
	queue       *scheduler.Scheduler[*job]
	quarantiner *quarantiner.Quarantiner
	attributor  *attributor.Attributor
	retryBudget *budgeter.Budgeter
	// jobs holds all queued and running requests by their IDs.
	jobs map[uint64]*job
	// commands collects the result of the current call.
	commands []Command
	// draining is set when Submit rejects all further requests.
	draining bool
	// reportedEndpoint is the ID of the endpoint whose load, as reported with the current event, already excludes the
	// work that this event ended; empty means none. That work must not be subtracted from the load a second time.
	reportedEndpoint string
	// pausedUntil is the end of the pause after an endpoint had no capacity; see noCapacityPause.
	pausedUntil time.Duration
}

// New returns a dispatcher without requests that sends work to the endpoints of r.
func New(
	o Options, r *router.Router, q *quarantiner.Quarantiner, a *attributor.Attributor, b *budgeter.Budgeter,
) *Dispatcher {
	return &Dispatcher{
		options:     o,
		router:      r,
		queue:       scheduler.New[*job](),
		quarantiner: q,
		attributor:  a,
		retryBudget: b,
		jobs:        make(map[uint64]*job),
	}
}

// OpenRequests returns the number of requests that are queued or in progress.
func (d *Dispatcher) OpenRequests() int {
	return len(d.jobs)
}

// QueuedRequests returns the number of queued requests of a class. A promoted draft counts as interactive.
func (d *Dispatcher) QueuedRequests(c scheduler.Class) int {
	return d.queue.Len(c)
}

// Drain makes Submit reject all further requests. Requests that are queued or in progress continue.
func (d *Dispatcher) Drain() {
	d.draining = true
}

// Submit queues a request, starts as many queued requests as possible and returns the resulting commands. A request
// that can't be accepted is answered by a Fail command.
func (d *Dispatcher) Submit(r Request, now time.Duration) []Command {
	d.commands = nil
	j := &job{Request: r, queueClass: r.Class, submittedAt: now}
	if reason, ok := d.checkAdmission(j, now); !ok {
		d.commands = append(d.commands,
			Command{Kind: Fail, Request: r.ID, Reason: reason, NotRun: true, RetryAfter: time.Second})
		return d.commands
	}
	d.retryBudget.Earn()
	j.suspect = d.quarantiner.IsSuspect(r.Fingerprint, now)
	d.jobs[r.ID] = j
	d.queue.Push(j.queueClass, r.Account, r.ID, fairQueueCost(r), j)
	d.startQueued(now)
	return d.commands
}

// checkAdmission returns whether a new request is accepted, and the reason if it is not.
func (d *Dispatcher) checkAdmission(j *job, now time.Duration) (Reason, bool) {
	switch {
	case d.draining:
		return ReasonDraining, false
	case !d.router.Serves(endpoint.Decode, j.Model):
		return ReasonUnknownModel, false
	case d.crashesEndpoints(j, now):
		return ReasonCrashesEndpoints, false
	case d.queue.Len(j.Class) >= d.options.MaxQueuedPerClass:
		return ReasonOverload, false
	default:
		return "", true
	}
}

// Cancel ends a request whose caller disconnected, releases what it holds at endpoints and returns the resulting
// commands. An unknown id is ignored.
func (d *Dispatcher) Cancel(id uint64, now time.Duration) []Command {
	d.commands, d.reportedEndpoint = nil, ""
	j, ok := d.jobs[id]
	if !ok {
		return nil
	}
	d.releaseEndpoints(j)
	d.queue.Remove(j.queueClass, j.Account, j.ID)
	delete(d.jobs, id)
	d.startQueued(now)
	return d.commands
}

// HandleEvent applies an event and returns the resulting commands. An event of an earlier attempt is dropped: it was
// delayed, or sent before the endpoint received the release of the attempt.
func (d *Dispatcher) HandleEvent(e Event, now time.Duration) []Command {
	d.commands = nil
	j, ok := d.jobs[e.Request]
	if !ok || e.Attempt != j.attempt {
		return nil
	}
	d.updateLoad(j, e, now)
	switch e.Kind {
	case Reserved:
		d.handleReserved(j, now)
	case NoCapacity:
		d.pausedUntil = now + noCapacityPause
		d.requeue(j)
	case EndpointUnreachable, AttemptLost, EndpointCrashed:
		d.handleFailure(j, e.Kind, now)
	case Prefilled:
		d.handlePrefilled(j, now)
	case TokensSent:
		j.sentTokens += e.Tokens
		return d.commands
	case StreamEnded:
		d.handleStreamEnded(j, now)
	}
	d.startQueued(now)
	return d.commands
}

// handleStreamEnded completes a request. If the request was a suspect, its crashes no longer count against it.
func (d *Dispatcher) handleStreamEnded(j *job, now time.Duration) {
	d.freeDecodeSlot(j)
	if j.suspect {
		d.quarantiner.Clear(j.Fingerprint, now)
	}
	d.attributor.RecordServed(j.Features, j.phaseStartedAt, now)
	d.clearEndpoints(j)
	delete(d.jobs, j.ID)
	d.commands = append(d.commands, Command{Kind: Finish, Request: j.ID, Attempt: j.attempt})
}

// failRequest ends a request with a Fail command. The request must not be queued or use endpoints any more.
func (d *Dispatcher) failRequest(j *job, reason Reason) {
	delete(d.jobs, j.ID)
	d.commands = append(d.commands, Command{
		Kind: Fail, Request: j.ID, Attempt: j.attempt, Reason: reason,
		NotRun: !j.executionStarted, RetryAfter: time.Second, SentTokens: j.sentTokens,
	})
}
