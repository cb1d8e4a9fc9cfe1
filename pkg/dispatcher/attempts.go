package dispatcher

import (
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
	"github.com/pistachiovane/pistachiovane/pkg/router"
	"github.com/pistachiovane/pistachiovane/pkg/scheduler"
)

// startAttempt begins the next attempt of the first waiting request; false means that it has to wait.
func (d *Dispatcher) startAttempt(j *job, now time.Duration) bool {
	prefill := d.router.Pick(endpoint.Prefill, d.routerRequest(j, now))
	if prefill == nil || !d.hasShortBacklog(prefill) {
		return false
	}
	if d.options.ReserveAfterPrefill {
		d.queue.Pop()
		j.attempt++
		d.startPrefill(j, prefill)
		return true
	}
	decode := d.router.Pick(endpoint.Decode, d.routerRequest(j, now))
	if decode == nil {
		return false
	}
	d.queue.Pop()
	j.attempt++
	d.reserveDecode(j, decode)
	return true
}

// hasShortBacklog tells whether the endpoint's prefill queue is short enough to join. Requests wait in
// the fair queue rather than at endpoints, where order and cancellation would be lost.
func (d *Dispatcher) hasShortBacklog(s *router.EndpointState) bool {
	if d.options.ReserveAfterPrefill {
		return true
	}
	return s.BacklogTokens == 0 || d.prefillTime(s.BacklogTokens) <= d.options.MaxPrefillWait
}

func (d *Dispatcher) routerRequest(j *job, now time.Duration) router.Request {
	return router.Request{
		Model:                  j.Model,
		PromptTokens:           j.PromptTokens + j.sentTokens,
		Pieces:                 d.requiredPieces(j),
		PrefixDigest:           j.PrefixDigest,
		Suspect:                j.suspect,
		AvoidedEndpoint:        j.lastFailedEndpoint,
		Now:                    now,
		PrefillTokensPerSecond: d.options.PrefillTokensPerSecond,
	}
}

func (d *Dispatcher) requiredPieces(j *job) int {
	return (j.PromptTokens + j.MaxOutputTokens + d.options.TokensPerPiece - 1) / d.options.TokensPerPiece
}

func (d *Dispatcher) reserveDecode(j *job, s *router.EndpointState) {
	j.phase = reserving
	j.decodeEndpoint = s.ID
	pieces := d.requiredPieces(j)
	s.UsedSlots++
	s.FreePieces -= pieces
	s.RunsSuspect = s.RunsSuspect || j.suspect
	d.commands = append(d.commands, Command{Kind: Reserve, Request: j.ID, Attempt: j.attempt, Endpoint: s.ID, Pieces: pieces})
}

func (d *Dispatcher) handleReserved(j *job, now time.Duration) {
	if d.options.ReserveAfterPrefill {
		d.startDecode(j)
		return
	}
	request := d.routerRequest(j, now)
	s := d.router.Pick(endpoint.Prefill, request)
	if s == nil || d.missesDeadline(j, now) {
		d.releaseEndpoints(j)
		d.requeue(j)
		return
	}
	d.startPrefill(j, s)
}

func (d *Dispatcher) startPrefill(j *job, s *router.EndpointState) {
	j.phase = prefilling
	j.executionStarted = true
	j.prefillEndpoint = s.ID
	j.backlogTokens = j.PromptTokens + j.sentTokens
	if d.router.HasPrefix(j.PrefixDigest, s.ID) {
		j.backlogTokens /= 2
	}
	s.BacklogTokens += j.backlogTokens
	s.RunsSuspect = s.RunsSuspect || j.suspect
	d.router.RecordPrefix(j.PrefixDigest, s.ID)
	d.commands = append(d.commands, Command{
		Kind: StartPrefill, Request: j.ID, Attempt: j.attempt, Endpoint: s.ID,
		PromptTokens: j.PromptTokens + j.sentTokens, MaxOutputTokens: j.MaxOutputTokens - j.sentTokens, SentTokens: j.sentTokens,
	})
}

func (d *Dispatcher) handlePrefilled(j *job, now time.Duration) {
	d.reduceBacklog(j)
	if !d.options.ReserveAfterPrefill {
		d.startDecode(j)
		return
	}
	decode := d.router.Pick(endpoint.Decode, d.routerRequest(j, now))
	if decode == nil {
		d.handleFailure(j, AttemptLost, now)
		return
	}
	d.reserveDecode(j, decode)
}

func (d *Dispatcher) startDecode(j *job) {
	j.phase = decoding
	d.commands = append(d.commands, Command{
		Kind: StartDecode, Request: j.ID, Attempt: j.attempt, Endpoint: j.decodeEndpoint, KVSource: j.prefillEndpoint,
		PromptTokens: j.PromptTokens + j.sentTokens, MaxOutputTokens: j.MaxOutputTokens - j.sentTokens, SentTokens: j.sentTokens,
	})
}

// handleFailure handles a lost attempt: it is tried again elsewhere while attempts and the budget last.
func (d *Dispatcher) handleFailure(j *job, kind EventKind, now time.Duration) {
	failedEndpoint := j.decodeEndpoint
	if j.phase == prefilling {
		failedEndpoint = j.prefillEndpoint
	}
	if kind != AttemptLost {
		d.router.ReportFailure(failedEndpoint, now)
	}
	if kind == EndpointCrashed {
		d.quarantiner.RecordCrash(j.Fingerprint, failedEndpoint, now)
		j.suspect = true
	}
	d.releaseEndpoints(j)
	j.lastFailedEndpoint = failedEndpoint
	if kind == EndpointUnreachable {
		// Nothing ran: this is no retry, and the endpoint is left alone for a while.
		d.pausedUntil = now + noCapacityPause
		d.requeue(j)
		return
	}
	j.failedAttempts++
	switch {
	case d.quarantiner.IsRefused(j.Fingerprint, now):
		d.failRequest(j, ReasonCrashesEndpoints)
	case j.failedAttempts >= d.options.MaxAttempts:
		d.failRequest(j, ReasonRetriesExhausted)
	case j.Class != scheduler.Draft && !d.retryBudget.Spend():
		d.failRequest(j, ReasonRetriesExhausted)
	default:
		d.requeue(j)
	}
}

// requeue puts a job back at the head of its account's queue.
func (d *Dispatcher) requeue(j *job) {
	if j.phase == reserving {
		d.clearEndpoints(j)
	}
	j.phase = queued
	j.attempt++
	d.queue.PushFront(j.queueClass, j.Account, j.ID, j)
}
