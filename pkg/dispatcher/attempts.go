package dispatcher

import (
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
	"github.com/pistachiovane/pistachiovane/pkg/router"
	"github.com/pistachiovane/pistachiovane/pkg/scheduler"
)

// startAttempt removes j, which must be the first request of the queue, and starts its next attempt, or fails it if it was
// found to crash endpoints. It returns false and leaves the queue unchanged if no suitable endpoint has capacity.
func (d *Dispatcher) startAttempt(j *job, now time.Duration) bool {
	if d.crashesEndpoints(j, now) {
		d.queue.Pop()
		d.failRequest(j, ReasonCrashesEndpoints)
		return true
	}
	prefill := d.router.Pick(endpoint.Prefill, d.routerRequest(j, now))
	if prefill == nil || !d.hasShortBacklog(prefill) {
		return false
	}
	if d.options.ReserveAfterPrefill {
		d.queue.Pop()
		j.attempt++
		d.startPrefill(j, prefill, now)
		return true
	}
	decode := d.router.Pick(endpoint.Decode, d.routerRequest(j, now))
	if decode == nil {
		return false
	}
	d.queue.Pop()
	j.attempt++
	d.reserveDecode(j, decode, now)
	return true
}

// hasShortBacklog returns whether the backlog of a prefill endpoint is short enough to send it another request.
// Requests are kept in the gateway's queue rather than at endpoints, where they could not be reordered or cancelled.
func (d *Dispatcher) hasShortBacklog(s *router.EndpointState) bool {
	if d.options.ReserveAfterPrefill {
		return true
	}
	return s.BacklogTokens == 0 || d.prefillTime(s.BacklogTokens) <= d.options.MaxPrefillWait
}

// routerRequest describes the job to the router. Tokens that were sent to the caller count as part of the prompt,
// because a resumed request must prefill them too.
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

// requiredPieces returns the KV cache memory that the job needs at a decode endpoint, in pieces.
func (d *Dispatcher) requiredPieces(j *job) int {
	return (j.PromptTokens + j.MaxOutputTokens + d.options.TokensPerPiece - 1) / d.options.TokensPerPiece
}

// reserveDecode reserves a decode slot for the job and adds it to the known load of the endpoint.
func (d *Dispatcher) reserveDecode(j *job, s *router.EndpointState, now time.Duration) {
	d.beginTrial(j, now)
	j.phase = reserving
	j.decodeEndpoint = s.ID
	pieces := d.requiredPieces(j)
	s.UsedSlots++
	s.FreePieces -= pieces
	s.RunsSuspect = s.RunsSuspect || j.suspect
	d.commands = append(d.commands,
		Command{Kind: Reserve, Request: j.ID, Attempt: j.attempt, Endpoint: s.ID, Pieces: pieces})
}

// handleReserved starts prefill, or decode if prefill is done already. If no prefill endpoint is suitable or the
// deadline can no longer be met, the reservation is released and the job requeued.
func (d *Dispatcher) handleReserved(j *job, now time.Duration) {
	if d.options.ReserveAfterPrefill {
		d.startDecode(j, now)
		return
	}
	request := d.routerRequest(j, now)
	s := d.router.Pick(endpoint.Prefill, request)
	if s == nil || d.missesDeadline(j, now) {
		d.releaseEndpoints(j)
		d.requeue(j)
		return
	}
	d.startPrefill(j, s, now)
}

// startPrefill sends the job to a prefill endpoint and adds it to the endpoint's known backlog, with half its tokens if
// the endpoint has its prefix cached.
func (d *Dispatcher) startPrefill(j *job, s *router.EndpointState, now time.Duration) {
	j.phase, j.phaseStartedAt = prefilling, now
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
		PromptTokens: j.PromptTokens + j.sentTokens, MaxOutputTokens: j.MaxOutputTokens - j.sentTokens,
		SentTokens: j.sentTokens,
	})
}

// handlePrefilled starts decode at the reserved slot. With Options.ReserveAfterPrefill it reserves a slot only now, and
// the attempt fails if there is none.
func (d *Dispatcher) handlePrefilled(j *job, now time.Duration) {
	d.reduceBacklog(j)
	d.attributor.RecordServed(j.PrefillFeatures, j.phaseStartedAt, now)
	if !d.options.ReserveAfterPrefill {
		d.startDecode(j, now)
		return
	}
	decode := d.router.Pick(endpoint.Decode, d.routerRequest(j, now))
	if decode == nil {
		d.handleFailure(j, AttemptLost, now)
		return
	}
	d.reserveDecode(j, decode, now)
}

// startDecode starts decode at the endpoint where the job has a slot.
func (d *Dispatcher) startDecode(j *job, now time.Duration) {
	j.phase, j.phaseStartedAt = decoding, now
	d.commands = append(d.commands, Command{
		Kind: StartDecode, Request: j.ID, Attempt: j.attempt, Endpoint: j.decodeEndpoint, KVSource: j.prefillEndpoint,
		PromptTokens: j.PromptTokens + j.sentTokens, MaxOutputTokens: j.MaxOutputTokens - j.sentTokens,
		SentTokens: j.sentTokens,
	})
}

// handleFailure releases what the failed attempt holds and requeues the job, or fails the request if it crashes
// endpoints, if it has used all its attempts, or, for an interactive request, if the retry budget is used up. Unless
// the attempt was merely lost, its endpoint is ejected for a while. After a crash, the request is recorded as a
// suspect.
func (d *Dispatcher) handleFailure(j *job, kind EventKind, now time.Duration) {
	failedEndpoint := j.decodeEndpoint
	if j.phase == prefilling {
		failedEndpoint = j.prefillEndpoint
	}
	if kind != AttemptLost {
		d.router.ReportFailure(failedEndpoint, now)
	}
	if kind == EndpointCrashed {
		d.recordCrash(j, failedEndpoint, now)
	}
	d.releaseEndpoints(j)
	j.lastFailedEndpoint = failedEndpoint
	if kind == EndpointUnreachable {
		// Nothing ran, so the next attempt does not count as a retry.
		d.pausedUntil = now + noCapacityPause
		d.requeue(j)
		return
	}
	j.failedAttempts++
	switch {
	case d.crashesEndpoints(j, now):
		d.failRequest(j, ReasonCrashesEndpoints)
	case j.failedAttempts >= d.options.MaxAttempts:
		d.failRequest(j, ReasonRetriesExhausted)
	case j.Class != scheduler.Draft && !d.retryBudget.Spend():
		d.failRequest(j, ReasonRetriesExhausted)
	default:
		d.requeue(j)
	}
}

// requeue puts a job back at the head of its account's queue and increases its attempt number. The reservation of a job
// in phase reserving was refused or has been released already, so that no Release command is needed.
func (d *Dispatcher) requeue(j *job) {
	if j.phase == reserving {
		d.clearEndpoints(j)
	}
	j.phase = queued
	j.attempt++
	d.queue.PushFront(j.queueClass, j.Account, j.ID, j)
}
