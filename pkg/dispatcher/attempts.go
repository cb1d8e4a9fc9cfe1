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
	if d.options.ReserveAfterPrefill {
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
func (d *Dispatcher) shortEnough(v *router.EndpointState) bool {
	if d.options.ReserveAfterPrefill {
		return true
	}
	return v.BacklogTokens == 0 || d.prefillTime(v.BacklogTokens) <= d.options.MaxPrefillWait
}

func (d *Dispatcher) work(j *job, now time.Duration) router.Request {
	return router.Request{
		Model:                  j.Model,
		PromptTokens:           j.PromptTokens + j.sent,
		Pieces:                 d.pieces(j),
		PrefixDigest:           j.PrefixDigest,
		Suspect:                j.suspect,
		AvoidedEndpoint:        j.avoid,
		Now:                    now,
		PrefillTokensPerSecond: d.options.PrefillTokensPerSecond,
	}
}

func (d *Dispatcher) pieces(j *job) int {
	return (j.PromptTokens + j.MaxOutputTokens + d.options.TokensPerPiece - 1) / d.options.TokensPerPiece
}

func (d *Dispatcher) reserve(j *job, v *router.EndpointState) {
	j.phase = reserving
	j.decode = v.ID
	pieces := d.pieces(j)
	v.UsedSlots++
	v.FreePieces -= pieces
	v.RunsSuspect = v.RunsSuspect || j.suspect
	d.commands = append(d.commands, Command{Kind: Reserve, Request: j.ID, Attempt: j.attempt, Endpoint: v.ID, Pieces: pieces})
}

func (d *Dispatcher) reserved(j *job, now time.Duration) {
	if d.options.ReserveAfterPrefill {
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

func (d *Dispatcher) startPrefill(j *job, v *router.EndpointState) {
	j.phase = prefilling
	j.started = true
	j.prefill = v.ID
	j.backlog = j.PromptTokens + j.sent
	if d.router.HasPrefix(j.PrefixDigest, v.ID) {
		j.backlog /= 2
	}
	v.BacklogTokens += j.backlog
	v.RunsSuspect = v.RunsSuspect || j.suspect
	d.router.RecordPrefix(j.PrefixDigest, v.ID)
	d.commands = append(d.commands, Command{
		Kind: StartPrefill, Request: j.ID, Attempt: j.attempt, Endpoint: v.ID,
		PromptTokens: j.PromptTokens + j.sent, MaxOutputTokens: j.MaxOutputTokens - j.sent, SentTokens: j.sent,
	})
}

func (d *Dispatcher) prefilled(j *job, now time.Duration) {
	d.unqueue(j)
	if !d.options.ReserveAfterPrefill {
		d.startDecode(j)
		return
	}
	decode := d.router.Pick(endpoint.Decode, d.work(j, now))
	if decode == nil {
		d.failed(j, AttemptLost, now)
		return
	}
	d.reserve(j, decode)
}

func (d *Dispatcher) startDecode(j *job) {
	j.phase = decoding
	d.commands = append(d.commands, Command{
		Kind: StartDecode, Request: j.ID, Attempt: j.attempt, Endpoint: j.decode, KVSource: j.prefill,
		PromptTokens: j.PromptTokens + j.sent, MaxOutputTokens: j.MaxOutputTokens - j.sent, SentTokens: j.sent,
	})
}

// failed handles a lost attempt: it is tried again elsewhere while attempts and the budget last.
func (d *Dispatcher) failed(j *job, kind EventKind, now time.Duration) {
	where := j.decode
	if j.phase == prefilling {
		where = j.prefill
	}
	if kind != AttemptLost {
		d.router.ReportFailure(where, now)
	}
	if kind == EndpointCrashed {
		d.poison.RecordCrash(j.Fingerprint, where, now)
		j.suspect = true
	}
	d.free(j)
	j.avoid = where
	if kind == EndpointUnreachable {
		// Nothing ran: this is no retry, and the endpoint is left alone for a while.
		d.stallUntil = now + stall
		d.requeue(j)
		return
	}
	j.tries++
	switch {
	case d.poison.IsRefused(j.Fingerprint, now):
		d.fail(j, ReasonCrashesEndpoints)
	case j.tries >= d.options.MaxAttempts:
		d.fail(j, ReasonRetriesExhausted)
	case j.Class != scheduler.Draft && !d.retries.Spend():
		d.fail(j, ReasonRetriesExhausted)
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
