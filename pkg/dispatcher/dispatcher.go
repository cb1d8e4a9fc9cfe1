// Package dispatcher carries each request through its life: queue, decode reservation,
// prefill, decode, retry and end. It is a state machine without I/O: events and the time go in,
// commands come out. The daemon, the load tool and the tests run the same code.
//
// The decode slot is reserved before prefill starts, because a prefilled KV cache lives under a
// second and a decode endpoint holds about twenty requests: prefill work whose result finds no
// slot would be wasted.
package dispatcher

import (
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/budgeter"
	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
	"github.com/pistachiovane/pistachiovane/pkg/router"
	"github.com/pistachiovane/pistachiovane/pkg/scheduler"
)

// Options bound the work of a dispatcher.
type Options struct {
	// TokensPerPiece is the size of one piece of KV memory in tokens.
	TokensPerPiece int
	// PrefillTokensPerSecond is the prefill speed of one endpoint in tokens a second.
	PrefillTokensPerSecond float64
	// FirstTokenDelay is the time from prefilled to first token, with the KV transfer.
	FirstTokenDelay time.Duration
	// MaxPrefillWait is the longest prefill queue, in time, that an interactive request joins.
	MaxPrefillWait time.Duration
	// MaxQueuedPerClass bounds the waiting requests of each class.
	MaxQueuedPerClass int
	// DraftPromotionDelay is how long a draft waits behind interactive requests.
	DraftPromotionDelay time.Duration
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// ReserveAfterPrefill selects the baseline that chooses the decode slot after prefill.
	ReserveAfterPrefill bool
}

// DefaultOptions returns the options that the daemon starts with.
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

// noCapacityPause is the pause of a policy that does not look at load, after an endpoint without room.
const noCapacityPause = 20 * time.Millisecond

// outputTokenCost is the work of an output token in prompt tokens.
const outputTokenCost = 8

// maxFullReportAge is how long a report of a full endpoint is believed.
const maxFullReportAge = 100 * time.Millisecond

type requestPhase uint8

const (
	queued requestPhase = iota
	reserving
	prefilling
	decoding
)

// job is a request in progress.
type job struct {
	Request
	phase requestPhase
	// queueClass is the class that the job waits in: its own, or interactive once it has waited for long.
	queueClass scheduler.Class
	// submittedAt is when the request was submitted.
	submittedAt time.Duration
	// attempt rises with each command sequence; events of earlier attempts are dropped.
	attempt int
	// failedAttempts counts failed attempts; never above Options.Attempts.
	failedAttempts int
	// sentTokens counts tokens passed to the caller; it never falls.
	sentTokens int
	// prefillEndpoint and decode name the endpoints in use; empty when none.
	prefillEndpoint string
	decodeEndpoint  string
	// lastFailedEndpoint names the endpoint that failed last.
	lastFailedEndpoint string
	// suspect is set while the request is blamed for a crash.
	suspect bool
	// backlogTokens is what the job added to its prefill endpoint's known queue, in tokens.
	backlogTokens int
	// executionStarted is set once an engine was told to run any part of the request; it is never reset.
	executionStarted bool
}

// Dispatcher owns the requests of one gateway. It is not safe for concurrent use.
type Dispatcher struct {
	options     Options
	router      *router.Router
	queue       *scheduler.Scheduler[*job]
	quarantiner *quarantiner.Quarantiner
	retryBudget *budgeter.Budgeter
	jobs        map[uint64]*job
	commands    []Command
	draining    bool
	// reportedEndpoint names the endpoint whose fresh report already leaves out the work that the present event ended.
	reportedEndpoint string
	// pausedUntil keeps a policy that does not look at load from trying full endpoints without a pause.
	pausedUntil time.Duration
}

// New returns an idle dispatcher over the endpoints known to r.
func New(o Options, r *router.Router, q *quarantiner.Quarantiner, b *budgeter.Budgeter) *Dispatcher {
	return &Dispatcher{
		options:     o,
		router:      r,
		queue:       scheduler.New[*job](),
		quarantiner: q,
		retryBudget: b,
		jobs:        make(map[uint64]*job),
	}
}

// OpenRequests returns how many requests are in progress or wait.
func (d *Dispatcher) OpenRequests() int {
	return len(d.jobs)
}

// QueuedRequests returns how many requests of a class wait.
func (d *Dispatcher) QueuedRequests(c scheduler.Class) int {
	return d.queue.Len(c)
}

// Drain refuses new requests from now on; those in progress go on.
func (d *Dispatcher) Drain() {
	d.draining = true
}

// Submit takes in a request and returns what to do.
func (d *Dispatcher) Submit(r Request, now time.Duration) []Command {
	d.commands = nil
	j := &job{Request: r, queueClass: r.Class, submittedAt: now}
	if reason, ok := d.checkAdmission(j, now); !ok {
		d.commands = append(d.commands, Command{Kind: Fail, Request: r.ID, Reason: reason, NotRun: true, RetryAfter: time.Second})
		return d.commands
	}
	d.retryBudget.Earn()
	j.suspect = d.quarantiner.IsSuspect(r.Fingerprint, now)
	d.jobs[r.ID] = j
	d.queue.Push(j.queueClass, r.Account, r.ID, fairQueueCost(r), j)
	d.startQueued(now)
	return d.commands
}

func (d *Dispatcher) checkAdmission(j *job, now time.Duration) (Reason, bool) {
	switch {
	case d.draining:
		return ReasonDraining, false
	case !d.router.Serves(endpoint.Decode, j.Model):
		return ReasonUnknownModel, false
	case d.quarantiner.IsRefused(j.Fingerprint, now):
		return ReasonCrashesEndpoints, false
	case d.queue.Len(j.Class) >= d.options.MaxQueuedPerClass:
		return ReasonOverload, false
	default:
		return "", true
	}
}

// Cancel ends a request whose caller has gone and frees all that it holds.
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

// HandleEvent takes in an event and returns what to do. An event of an attempt that is no longer
// open is dropped: its answer may be late or crossed.
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
		d.handleStreamEnded(j)
	}
	d.startQueued(now)
	return d.commands
}

func (d *Dispatcher) handleStreamEnded(j *job) {
	d.freeDecodeSlot(j)
	if j.suspect {
		d.quarantiner.Clear(j.Fingerprint)
	}
	d.clearEndpoints(j)
	delete(d.jobs, j.ID)
	d.commands = append(d.commands, Command{Kind: Finish, Request: j.ID, Attempt: j.attempt})
}

func (d *Dispatcher) failRequest(j *job, reason Reason) {
	delete(d.jobs, j.ID)
	d.commands = append(d.commands, Command{
		Kind: Fail, Request: j.ID, Attempt: j.attempt, Reason: reason,
		NotRun: !j.executionStarted, RetryAfter: time.Second, SentTokens: j.sentTokens,
	})
}
