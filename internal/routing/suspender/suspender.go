// Package suspender knows what endpoints have asked for in the heads of their answers: that nothing is sent to them for a
// while (a pause), or that they are leaving. It joins that with the endpoint list: a new incarnation of an endpoint starts
// without requests of the earlier one, and an entry of the list does not take back what the endpoint itself said.
//
// All times are on the clock of the caller, which passes the current time as now.
package suspender

import (
	"math/rand/v2"
	"time"
)

const (
	// MaxPause is the longest pause. An endpoint that asks for a longer one gets this: the value may be a mistake, and the
	// endpoint would be lost for as long.
	MaxPause = 10 * time.Minute
	// A gateway adds a random part of a pause of up to spreadFraction, at most maxSpread, because many gateways may have been
	// told the same time and must not return at the same instant.
	spreadFraction = 0.1
	maxSpread      = 500 * time.Millisecond
	// rampTime is the time after a pause in which an endpoint gets work in steps, up to all of its slots.
	rampTime = 2 * time.Second
	// maxListingTime is how long an endpoint that has started again may answer before the list shows its new start.
	maxListingTime = 3 * time.Second
	// departedRetention is how long an endpoint that is no longer listed is remembered: its entry may come back.
	departedRetention = time.Minute
	// ignoredInterval is the shortest time between two events about values of one endpoint that are ignored.
	ignoredInterval = time.Minute
)

// Signal is what an endpoint said about itself in the head of an answer.
type Signal struct {
	EndpointID string
	// RequestID is the ID of the request that was answered. It is empty for requests of the gateway itself.
	RequestID string
	// SentAt is when the request was sent.
	SentAt time.Duration
	// Leaving is set if the endpoint said that it leaves.
	Leaving bool
	// Pause is how long the endpoint wants nothing to be sent to it. It is zero if it did not ask for a pause.
	Pause time.Duration
	// Malformed is the text of a value that could not be understood. It is empty if there was none.
	Malformed string
	// Unmarked is set if the answer does not show that it comes from the endpoint. What it says is ignored.
	Unmarked bool
}

// IsEmpty reports whether the endpoint said nothing.
func (s Signal) IsEmpty() bool {
	return !s.Leaving && s.Pause == 0 && s.Malformed == ""
}

// ignored returns what of the signal is ignored, or an empty text.
func (s Signal) ignored() string {
	if s.Unmarked {
		return "an answer without server seal"
	}
	return s.Malformed
}

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID string
	// StartedAtMs is the Unix time of the start of this incarnation in ms, or zero if it is not known.
	StartedAtMs int64
}

// incarnation is the listed incarnation of an endpoint.
type incarnation struct {
	startedAtMs int64
	// since is when it was first listed.
	since time.Duration
}

// request is what an endpoint has asked for.
type request struct {
	// startedAtMs is the start of the incarnation that asked, or zero if it is not known.
	startedAtMs int64
	leaving     bool
	// leavingSince is when the endpoint first said that it leaves. It is valid if leaving is set.
	leavingSince time.Duration
	// pausedUntil is the end of the latest pause, and pausedAt when a pause was last asked for. Both are zero without one.
	pausedUntil time.Duration
	pausedAt    time.Duration
	// ignoredAt is when an event about an ignored value was last added, or zero.
	ignoredAt time.Duration
	// unlistedSince is when the endpoint was last listed. It is zero while it is listed.
	unlistedSince time.Duration
}

// Suspender holds the requests of endpoints. A nil Suspender answers like one to which no endpoint has said anything. It
// is not safe for concurrent use.
type Suspender struct {
	rand *rand.Rand
	// listed holds the listed endpoints, and requests what endpoints have asked for, both by ID. Without requests, all
	// questions are answered without a look into a map.
	listed   map[string]incarnation
	requests map[string]*request
	events   []Event
}

// New returns a suspender to which no endpoint has said anything. r spreads the ends of pauses.
func New(r *rand.Rand) *Suspender {
	return &Suspender{rand: r, listed: map[string]incarnation{}, requests: map[string]*request{}}
}

// SetEndpoints replaces the endpoint list. What an earlier incarnation of an endpoint asked for no longer applies, but
// for a pause that may be of the present one.
func (s *Suspender) SetEndpoints(endpoints []Endpoint, now time.Duration) {
	listed := make(map[string]incarnation, len(endpoints))
	for _, e := range endpoints {
		next := incarnation{startedAtMs: e.StartedAtMs, since: now}
		if before, known := s.listed[e.ID]; known && !startedAfter(e.StartedAtMs, before.startedAtMs) {
			next = incarnation{startedAtMs: max(e.StartedAtMs, before.startedAtMs), since: before.since}
		}
		listed[e.ID] = next
		if r, ok := s.requests[e.ID]; ok && startedAfter(e.StartedAtMs, r.startedAtMs) {
			s.startAnew(e, r, now)
		}
	}
	s.listed = listed
	for id, r := range s.requests {
		switch _, ok := listed[id]; {
		case ok:
			r.unlistedSince = 0
		case r.unlistedSince == 0:
			r.unlistedSince = now
		}
	}
}

// startAnew forgets what an earlier incarnation has asked for. A pause that was asked for shortly before the new one is listed may be
// its own, and is kept.
func (s *Suspender) startAnew(e Endpoint, r *request, now time.Duration) {
	if now >= r.pausedUntil || now-r.pausedAt > maxListingTime {
		delete(s.requests, e.ID)
		return
	}
	s.requests[e.ID] = &request{startedAtMs: e.StartedAtMs, pausedUntil: r.pausedUntil, pausedAt: r.pausedAt}
}

// startedAfter reports whether an incarnation has started after an earlier one. It is false if the start of the earlier one
// is not known.
func startedAfter(startedAtMs, earlierMs int64) bool {
	return earlierMs != 0 && startedAtMs > earlierMs
}

// Record records what an endpoint said. It returns true if the endpoint began to leave. The answer of an incarnation that
// has been replaced since the request was sent is ignored, as is that of an endpoint that was never listed.
func (s *Suspender) Record(signal Signal, now time.Duration) (beganToLeave bool) {
	if signal.IsEmpty() || !s.isCurrent(signal) {
		return false
	}
	r, ok := s.requests[signal.EndpointID]
	if !ok {
		r = &request{startedAtMs: s.listed[signal.EndpointID].startedAtMs}
		s.requests[signal.EndpointID] = r
	}
	if ignored := signal.ignored(); ignored != "" && (r.ignoredAt == 0 || now-r.ignoredAt >= ignoredInterval) {
		r.ignoredAt = now
		s.events = append(s.events, Event{
			Kind: Ignored, EndpointID: signal.EndpointID, RequestID: signal.RequestID, Value: ignored,
		})
	}
	if signal.Unmarked {
		return false
	}
	if signal.Pause > 0 {
		s.pause(r, signal, now)
	}
	if signal.Leaving && !r.leaving {
		r.leaving, r.leavingSince, beganToLeave = true, now, true
		s.addEvent(signal, Leaving, 0)
	}
	return beganToLeave
}

// isCurrent reports whether a signal comes from the listed incarnation of its endpoint.
func (s *Suspender) isCurrent(signal Signal) bool {
	if i, ok := s.listed[signal.EndpointID]; ok {
		return signal.SentAt >= i.since
	}
	_, known := s.requests[signal.EndpointID]
	return known
}

// pause records a pause, or extends the present one. Of several the one that ends last applies.
func (s *Suspender) pause(r *request, signal Signal, now time.Duration) {
	duration := min(signal.Pause, MaxPause)
	until := now + duration
	r.pausedAt = now
	if until <= r.pausedUntil {
		return
	}
	if spread := min(maxSpread, time.Duration(spreadFraction*float64(duration))); spread > 0 {
		until += time.Duration(s.rand.Int64N(int64(spread)))
	}
	if now >= r.pausedUntil {
		s.addEvent(signal, Paused, until-now)
	}
	r.pausedUntil = until
}

// isEmpty reports whether no endpoint has asked for anything. A nil suspender is empty.
func (s *Suspender) isEmpty() bool {
	return s == nil || len(s.requests) == 0
}

// IsLeaving reports whether an endpoint has said that it leaves.
func (s *Suspender) IsLeaving(id string) bool {
	if s.isEmpty() {
		return false
	}
	r, ok := s.requests[id]
	return ok && r.leaving
}

// IsPaused reports whether nothing may be sent to an endpoint now.
func (s *Suspender) IsPaused(id string, now time.Duration) bool {
	if s.isEmpty() {
		return false
	}
	r, ok := s.requests[id]
	return ok && now < r.pausedUntil
}

// MaySend reports whether a request that was received at the given time may be sent to an endpoint. One that was planned
// before the endpoint said that it leaves still may.
func (s *Suspender) MaySend(id string, receivedAt, now time.Duration) bool {
	if s.isEmpty() {
		return true
	}
	r, ok := s.requests[id]
	return !ok || (now >= r.pausedUntil && (!r.leaving || receivedAt <= r.leavingSince))
}

// PausedUntil returns the end of the pause of an endpoint, or a time before now if it is not paused.
func (s *Suspender) PausedUntil(id string) time.Duration {
	if s.isEmpty() {
		return 0
	}
	if r, ok := s.requests[id]; ok {
		return r.pausedUntil
	}
	return 0
}

// Slots returns how many of an endpoint's slots may be used: none during a pause, and a growing number after it.
// isRamping is set while that number is limited.
func (s *Suspender) Slots(id string, slots int, now time.Duration) (usable int, isRamping bool) {
	if s.isEmpty() {
		return slots, false
	}
	r, ok := s.requests[id]
	switch {
	case !ok || r.pausedUntil == 0 || now >= r.pausedUntil+rampTime:
		return slots, false
	case now < r.pausedUntil:
		return 0, true
	}
	step := int(float64(slots) * float64(now-r.pausedUntil) / float64(rampTime))
	return min(slots, 1+step), true
}

// HasPauses reports whether an endpoint is paused, or has been paused so recently that it does not get all of its work.
func (s *Suspender) HasPauses(now time.Duration) bool {
	if s.isEmpty() {
		return false
	}
	for _, r := range s.requests {
		if r.pausedUntil > 0 && now < r.pausedUntil+rampTime {
			return true
		}
	}
	return false
}

// Counts returns how many endpoints are paused and how many have said that they leave.
func (s *Suspender) Counts(now time.Duration) (paused, leaving int) {
	for _, r := range s.requests {
		if now < r.pausedUntil {
			paused++
		}
		if r.leaving {
			leaving++
		}
	}
	return paused, leaving
}

// Expire ends the pauses that are over and forgets endpoints that have gone. It must be called regularly.
func (s *Suspender) Expire(now time.Duration) {
	for id, r := range s.requests {
		if r.unlistedSince > 0 && now-r.unlistedSince > departedRetention {
			delete(s.requests, id)
			continue
		}
		if r.pausedUntil > 0 && now >= r.pausedUntil+rampTime {
			r.pausedUntil = 0
			s.addEvent(Signal{EndpointID: id}, Resumed, 0)
		}
		if !r.leaving && r.pausedUntil == 0 && now-r.ignoredAt > ignoredInterval {
			delete(s.requests, id)
		}
	}
}
