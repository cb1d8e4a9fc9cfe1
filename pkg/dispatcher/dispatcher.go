// Package dispatcher carries each request through its life: queue, decode reservation,
// prefill, decode, retry and end. It is a state machine without I/O: events and the time go in,
// commands come out. The daemon, the load tool and the tests run the same code.
//
// The decode slot is reserved before prefill starts, because a prefilled KV cache lives under a
// second and a decode endpoint holds about twenty requests: prefill work whose result finds no
// slot would be wasted.
package dispatcher

import (
	"sort"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/budgeter"
	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
	"github.com/pistachiovane/pistachiovane/pkg/router"
	"github.com/pistachiovane/pistachiovane/pkg/scheduler"
)

// Options bound the work of a dispatcher.
type Options struct {
	// PieceTokens is the size of one piece of KV memory in tokens.
	PieceTokens int
	// PrefillRate is the prefill speed of one endpoint in tokens a second.
	PrefillRate float64
	// FirstStep is the time from prefilled to first token, with the KV transfer.
	FirstStep time.Duration
	// Backlog is the longest prefill queue, in time, that an interactive request joins.
	Backlog time.Duration
	// Queue bounds the waiting requests of each class.
	Queue int
	// Patience is how long a draft waits behind interactive requests.
	Patience time.Duration
	// Attempts bounds the attempts of one request.
	Attempts int
	// Late selects the baseline that chooses the decode slot after prefill.
	Late bool
}

// DefaultOptions returns the options that the daemon starts with.
func DefaultOptions() Options {
	return Options{
		PieceTokens: 2048,
		PrefillRate: 20000,
		FirstStep:   60 * time.Millisecond,
		Backlog:     250 * time.Millisecond,
		Queue:       4096,
		Patience:    70 * time.Second,
		Attempts:    4,
	}
}

// stall is the pause of a policy that does not look at load, after an endpoint without room.
const stall = 20 * time.Millisecond

// outputCost is the work of an output token in prompt tokens.
const outputCost = 8

// relaxAfter is how long a report of a full endpoint is believed.
const relaxAfter = 100 * time.Millisecond

type phase uint8

const (
	queued phase = iota
	reserving
	prefilling
	decoding
)

// job is a request in progress.
type job struct {
	Request
	phase phase
	// lane is the class that the job waits in: its own, or interactive once it has waited for long.
	lane scheduler.Class
	// since is when the request was submitted.
	since time.Duration
	// attempt rises with each command sequence; events of earlier attempts are dropped.
	attempt int
	// tries counts failed attempts; never above Options.Attempts.
	tries int
	// sent counts tokens passed to the caller; it never falls.
	sent int
	// prefill and decode name the endpoints in use; empty when none.
	prefill string
	decode  string
	// avoid names the endpoint that failed last.
	avoid string
	// suspect is set while the request is blamed for a crash.
	suspect bool
	// backlog is what the job added to its prefill endpoint's known queue, in tokens.
	backlog int
	// started is set once an engine was told to run any part of the request; it is never reset.
	started bool
}

// Dispatcher owns the requests of one gateway. It is not safe for concurrent use.
type Dispatcher struct {
	options  Options
	router   *router.Router
	queue    *scheduler.Scheduler[*job]
	poison   *quarantiner.Quarantiner
	retries  *budgeter.Budgeter
	jobs     map[uint64]*job
	commands []Command
	draining bool
	// settled names the endpoint whose fresh report already leaves out the work that the present event ended.
	settled string
	// stallUntil keeps a policy that does not look at load from trying full endpoints without a pause.
	stallUntil time.Duration
}

// New returns an idle dispatcher over the endpoints known to r.
func New(o Options, r *router.Router, q *quarantiner.Quarantiner, b *budgeter.Budgeter) *Dispatcher {
	return &Dispatcher{
		options: o,
		router:  r,
		queue:   scheduler.New[*job](),
		poison:  q,
		retries: b,
		jobs:    make(map[uint64]*job),
	}
}

// Open returns how many requests are in progress or wait.
func (d *Dispatcher) Open() int {
	return len(d.jobs)
}

// Waiting returns how many requests of a class wait.
func (d *Dispatcher) Waiting(c scheduler.Class) int {
	return d.queue.Len(c)
}

// Drain refuses new requests from now on; those in progress go on.
func (d *Dispatcher) Drain() {
	d.draining = true
}

// Submit takes in a request and returns what to do.
func (d *Dispatcher) Submit(r Request, now time.Duration) []Command {
	d.commands = nil
	j := &job{Request: r, lane: r.Class, since: now}
	if reason, ok := d.admissible(j, now); !ok {
		d.commands = append(d.commands, Command{Kind: Fail, Request: r.ID, Reason: reason, NotRun: true, RetryAfter: time.Second})
		return d.commands
	}
	d.retries.Earn()
	j.suspect = d.poison.Suspect(r.Fingerprint, now)
	d.jobs[r.ID] = j
	d.queue.Push(j.lane, r.Account, r.ID, cost(r), j)
	d.pump(now)
	return d.commands
}

func (d *Dispatcher) admissible(j *job, now time.Duration) (Reason, bool) {
	switch {
	case d.draining:
		return ReasonDraining, false
	case !d.router.Knows(endpoint.Decode, j.Model):
		return ReasonModel, false
	case d.poison.Refused(j.Fingerprint, now):
		return ReasonPoison, false
	case d.queue.Len(j.Class) >= d.options.Queue:
		return ReasonOverload, false
	default:
		return "", true
	}
}

// Cancel ends a request whose caller has gone and frees all that it holds.
func (d *Dispatcher) Cancel(id uint64, now time.Duration) []Command {
	d.commands, d.settled = nil, ""
	j, ok := d.jobs[id]
	if !ok {
		return nil
	}
	d.free(j)
	d.queue.Remove(j.lane, j.Account, j.ID)
	delete(d.jobs, id)
	d.pump(now)
	return d.commands
}

// Step takes in an event and returns what to do. An event of an attempt that is no longer
// open is dropped: its answer may be late or crossed.
func (d *Dispatcher) Step(e Event, now time.Duration) []Command {
	d.commands = nil
	j, ok := d.jobs[e.Request]
	if !ok || e.Attempt != j.attempt {
		return nil
	}
	d.report(j, e, now)
	switch e.Kind {
	case Reserved:
		d.reserved(j, now)
	case Full:
		d.stallUntil = now + stall
		d.requeue(j)
	case Unreachable, Lost, Crashed:
		d.failed(j, e.Kind, now)
	case Prefilled:
		d.prefilled(j, now)
	case Tokens:
		j.sent += e.Tokens
		return d.commands
	case Ended:
		d.ended(j)
	}
	d.pump(now)
	return d.commands
}

// Tick refuses waiting requests that can no longer meet their deadline, and starts what can start.
func (d *Dispatcher) Tick(now time.Duration) []Command {
	d.commands = nil
	var late, aged []*job
	d.queue.Each(func(j *job) {
		if j.lane == scheduler.Draft && now-j.since > d.options.Patience {
			aged = append(aged, j)
		}
		if d.tooLate(j, now) || d.poison.Refused(j.Fingerprint, now) {
			late = append(late, j)
		}
	})
	sort.Slice(late, func(a, b int) bool { return late[a].ID < late[b].ID })
	for _, j := range late {
		d.queue.Remove(j.lane, j.Account, j.ID)
		reason := ReasonDeadline
		if d.poison.Refused(j.Fingerprint, now) {
			reason = ReasonPoison
		}
		d.fail(j, reason)
	}
	d.promote(aged)
	if j, _, ok := d.queue.Peek(); ok {
		d.router.Relax(now, relaxAfter, d.pieces(j))
	}
	d.pump(now)
	return d.commands
}

// promote lets drafts that have waited for long compete with interactive requests, so that an account that sends
// too much of those does not keep the drafts of all others waiting for ever.
func (d *Dispatcher) promote(aged []*job) {
	sort.Slice(aged, func(a, b int) bool { return aged[a].ID < aged[b].ID })
	for _, j := range aged {
		if d.queue.Remove(j.lane, j.Account, j.ID) {
			j.lane = scheduler.Interactive
			d.queue.Push(j.lane, j.Account, j.ID, cost(j.Request), j)
		}
	}
}

// cost is the work of a request for its account, in prompt tokens: an output token costs as much as several.
func cost(r Request) float64 {
	return float64(r.Prompt+outputCost*r.Output) / r.Weight
}

// tooLate tells whether a waiting request would miss its first-token deadline even on an idle endpoint.
// A request whose caller has received tokens is resumed however late it is.
func (d *Dispatcher) tooLate(j *job, now time.Duration) bool {
	if j.Deadline == 0 || j.sent > 0 {
		return false
	}
	return now+d.prefillTime(j.Prompt)+d.options.FirstStep > j.Deadline
}

func (d *Dispatcher) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / d.options.PrefillRate * float64(time.Second))
}

// pump starts waiting requests while endpoints have room.
func (d *Dispatcher) pump(now time.Duration) {
	if now < d.stallUntil && !d.router.Informed() {
		return
	}
	for {
		j, _, ok := d.queue.Peek()
		if !ok {
			return
		}
		if d.tooLate(j, now) {
			d.queue.Pop()
			d.fail(j, ReasonDeadline)
			continue
		}
		if !d.start(j, now) {
			return
		}
	}
}

// start begins the next attempt of the first waiting request; false means that it has to wait.
func (d *Dispatcher) start(j *job, now time.Duration) bool {
	prefill := d.router.Pick(endpoint.Prefill, d.work(j, now))
	if prefill == nil || !d.shortEnough(j, prefill) {
		return false
	}
	if d.options.Late {
		d.queue.Pop()
		j.attempt++
		d.startPrefill(j, prefill, now)
		return true
	}
	decode := d.router.Pick(endpoint.Decode, d.work(j, now))
	if decode == nil {
		return false
	}
	d.queue.Pop()
	j.attempt++
	d.reserve(j, decode)
	return true
}

// shortEnough tells whether the endpoint's prefill queue is short enough to join. Requests wait in
// the fair queue rather than at endpoints, where order and cancellation would be lost.
func (d *Dispatcher) shortEnough(_ *job, v *router.View) bool {
	if d.options.Late {
		return true
	}
	return v.Backlog == 0 || d.prefillTime(v.Backlog) <= d.options.Backlog
}

func (d *Dispatcher) work(j *job, now time.Duration) router.Work {
	return router.Work{
		Model:   j.Model,
		Tokens:  j.Prompt + j.sent,
		Pieces:  d.pieces(j),
		Prefix:  j.Prefix,
		Suspect: j.suspect,
		Avoid:   j.avoid,
		Now:     now,
		Drain:   d.options.PrefillRate,
	}
}

func (d *Dispatcher) pieces(j *job) int {
	return (j.Prompt + j.Output + d.options.PieceTokens - 1) / d.options.PieceTokens
}

func (d *Dispatcher) reserve(j *job, v *router.View) {
	j.phase = reserving
	j.decode = v.ID
	pieces := d.pieces(j)
	v.Held++
	v.FreePieces -= pieces
	v.Suspect = v.Suspect || j.suspect
	d.commands = append(d.commands, Command{Kind: Reserve, Request: j.ID, Attempt: j.attempt, Endpoint: v.ID, Pieces: pieces})
}

func (d *Dispatcher) reserved(j *job, now time.Duration) {
	if d.options.Late {
		d.startDecode(j)
		return
	}
	w := d.work(j, now)
	v := d.router.Pick(endpoint.Prefill, w)
	if v == nil || d.tooLate(j, now) {
		d.free(j)
		d.requeue(j)
		return
	}
	d.startPrefill(j, v, now)
}

func (d *Dispatcher) startPrefill(j *job, v *router.View, _ time.Duration) {
	j.phase = prefilling
	j.started = true
	j.prefill = v.ID
	j.backlog = j.Prompt + j.sent
	if d.router.HasPrefix(j.Prefix, v.ID) {
		j.backlog /= 2
	}
	v.Backlog += j.backlog
	v.Suspect = v.Suspect || j.suspect
	d.router.Cached(j.Prefix, v.ID)
	d.commands = append(d.commands, Command{
		Kind: StartPrefill, Request: j.ID, Attempt: j.attempt, Endpoint: v.ID,
		Prompt: j.Prompt + j.sent, Output: j.Output - j.sent, Sent: j.sent,
	})
}

func (d *Dispatcher) prefilled(j *job, now time.Duration) {
	d.unqueue(j)
	if !d.options.Late {
		d.startDecode(j)
		return
	}
	decode := d.router.Pick(endpoint.Decode, d.work(j, now))
	if decode == nil {
		d.failed(j, Lost, now)
		return
	}
	d.reserve(j, decode)
}

func (d *Dispatcher) startDecode(j *job) {
	j.phase = decoding
	d.commands = append(d.commands, Command{
		Kind: StartDecode, Request: j.ID, Attempt: j.attempt, Endpoint: j.decode, Source: j.prefill,
		Prompt: j.Prompt + j.sent, Output: j.Output - j.sent, Sent: j.sent,
	})
}

// report takes in the load that came with an answer from the endpoint now in use.
func (d *Dispatcher) report(j *job, e Event, now time.Duration) {
	d.settled = ""
	if e.Load == nil {
		return
	}
	id := j.decode
	if j.phase == prefilling {
		id = j.prefill
	}
	d.router.Report(id, *e.Load, now)
	switch e.Kind {
	case Prefilled, Lost, Crashed, Ended:
		d.settled = id
	}
}

// failed handles a lost attempt: it is tried again elsewhere while attempts and the budget last.
func (d *Dispatcher) failed(j *job, kind EventKind, now time.Duration) {
	where := j.decode
	if j.phase == prefilling {
		where = j.prefill
	}
	if kind != Lost {
		d.router.Failed(where, now)
	}
	if kind == Crashed {
		d.poison.Crashed(j.Fingerprint, where, now)
		j.suspect = true
	}
	d.free(j)
	j.avoid = where
	if kind == Unreachable {
		// Nothing ran: this is no retry, and the endpoint is left alone for a while.
		d.stallUntil = now + stall
		d.requeue(j)
		return
	}
	j.tries++
	switch {
	case d.poison.Refused(j.Fingerprint, now):
		d.fail(j, ReasonPoison)
	case j.tries >= d.options.Attempts:
		d.fail(j, ReasonRetries)
	case j.Class != scheduler.Draft && !d.retries.Spend():
		d.fail(j, ReasonRetries)
	default:
		d.requeue(j)
	}
}

// requeue puts a job back at the head of its account's queue.
func (d *Dispatcher) requeue(j *job) {
	if j.phase == reserving {
		d.forget(j)
	}
	j.phase = queued
	j.attempt++
	d.queue.PushFront(j.lane, j.Account, j.ID, j)
}

// forget drops the names of the endpoints in use without telling them.
func (d *Dispatcher) forget(j *job) {
	if v := d.router.View(j.decode); v != nil && j.suspect {
		v.Suspect = false
	}
	if v := d.router.View(j.prefill); v != nil && j.suspect {
		v.Suspect = false
	}
	j.prefill, j.decode = "", ""
}

// unqueue takes the job's tokens out of the known prefill queue.
func (d *Dispatcher) unqueue(j *job) {
	if v := d.router.View(j.prefill); v != nil && d.settled != j.prefill {
		v.Backlog = max(0, v.Backlog-j.backlog)
	}
	j.backlog = 0
}

// free releases all that the job holds at endpoints and corrects the known load.
func (d *Dispatcher) free(j *job) {
	if j.prefill != "" {
		if j.phase == prefilling {
			d.unqueue(j)
		}
		d.commands = append(d.commands, Command{Kind: Release, Request: j.ID, Attempt: j.attempt, Endpoint: j.prefill})
	}
	if j.decode != "" {
		d.vacate(j)
		d.commands = append(d.commands, Command{Kind: Release, Request: j.ID, Attempt: j.attempt, Endpoint: j.decode})
	}
	d.forget(j)
}

func (d *Dispatcher) vacate(j *job) {
	v := d.router.View(j.decode)
	if v == nil || d.settled == j.decode {
		return
	}
	v.Held = max(0, v.Held-1)
	v.FreePieces += d.pieces(j)
}

func (d *Dispatcher) ended(j *job) {
	d.vacate(j)
	if j.suspect {
		d.poison.Clear(j.Fingerprint)
	}
	d.forget(j)
	delete(d.jobs, j.ID)
	d.commands = append(d.commands, Command{Kind: Finish, Request: j.ID, Attempt: j.attempt})
}

func (d *Dispatcher) fail(j *job, reason Reason) {
	delete(d.jobs, j.ID)
	d.commands = append(d.commands, Command{
		Kind: Fail, Request: j.ID, Attempt: j.attempt, Reason: reason,
		NotRun: !j.started, RetryAfter: time.Second, Sent: j.sent,
	})
}
