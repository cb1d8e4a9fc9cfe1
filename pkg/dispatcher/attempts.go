package dispatcher

import (
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
	"github.com/pistachiovane/pistachiovane/pkg/router"
	"github.com/pistachiovane/pistachiovane/pkg/scheduler"
)

// start begins the next attempt of the first waiting request; false means that it has to wait.
func (d *Dispatcher) start(j *job, now time.Duration) bool {
	prefill := d.router.Pick(endpoint.Prefill, d.work(j, now))
	if prefill == nil || !d.shortEnough(prefill) {
		return false
	}
	if d.options.Late {
		d.queue.Pop()
		j.attempt++
		d.startPrefill(j, prefill)
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
func (d *Dispatcher) shortEnough(v *router.View) bool {
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
	d.startPrefill(j, v)
}

func (d *Dispatcher) startPrefill(j *job, v *router.View) {
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
