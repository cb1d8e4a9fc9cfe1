package controller

import (
	"time"

	"github.com/pistachiovane/pistachiovane/internal/fleet/lister"
	"github.com/pistachiovane/pistachiovane/internal/limits/crashtracker"
	"github.com/pistachiovane/pistachiovane/internal/routing/planner"
	"github.com/pistachiovane/pistachiovane/internal/routing/suspender"
)

// LeavingRetryAfter is when callers are asked to come back if all endpoints of a service leave. It is not known when others
// start.
const LeavingRetryAfter = time.Second

// RecordSignal records what an endpoint said about itself in the head of an answer.
func (c *Controller) RecordSignal(s suspender.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.suspender.Record(s, c.clock()) {
		c.setCrashTrackerEndpoints()
		c.distributeEndpoints()
	}
	c.logSuspensions()
}

// ExpireSuspensions logs the pauses that have ended and forgets endpoints that have gone. It must be called regularly.
func (c *Controller) ExpireSuspensions() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspender.Expire(c.clock())
	c.logSuspensions()
}

// SuspendedEndpoints returns how many endpoints are paused and how many have said that they leave.
func (c *Controller) SuspendedEndpoints() (paused, leaving int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspender.Counts(c.clock())
}

// IsPaused reports whether nothing may be sent to an endpoint now.
func (c *Controller) IsPaused(endpointID string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspender.IsPaused(endpointID, c.clock())
}

// DecideSend returns whether a request that was received at the given time may be sent to an endpoint now, as a prefill or
// to be run: whether that crashes endpoints, and whether the endpoint wants it. If it may only be sent as a trial of a part of its
// prompt, the trial begins.
func (c *Controller) DecideSend(
	w crashtracker.Work, prefill bool, endpointID string, receivedAt time.Duration,
) (v crashtracker.Verdict, wanted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	wanted = c.isUsable(endpointID, prefill) && c.suspender.MaySend(endpointID, receivedAt, now)
	if prefill {
		v = c.crashTracker.DecidePrefill(w, now)
		if v.Trial && wanted && v.RetryAfter == 0 {
			c.crashTracker.BeginPrefillTrial(w, now)
		}
		return v, wanted
	}
	v = c.crashTracker.DecideRun(w, now)
	if v.Trial && wanted && v.RetryAfter == 0 {
		c.crashTracker.BeginTrial(w, now)
	}
	return v, wanted
}

// isUsable reports whether the list lets an endpoint get new prefills or new runs now: a plan may be older than the list, by the
// time that a prefill took. An empty ID means that the endpoint is not chosen yet. The lock must be held.
func (c *Controller) isUsable(endpointID string, prefill bool) bool {
	if endpointID == "" {
		return true
	}
	stage, ok := c.usable[endpointID]
	return ok && (stage == planner.Prefill) == prefill
}

// Pause is why a service can't be used now: all of its endpoints are paused or leave.
type Pause struct {
	// EndpointID is the endpoint whose pause ends first. It is empty if all leave.
	EndpointID string
	// Rest is the time until then. It is zero if all leave, or if they are used again in steps.
	Rest time.Duration
}

// ServicePause returns the pause of a service. ok is false if one of its endpoints is neither paused nor leaving.
func (c *Controller) ServicePause(service string) (p Pause, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servicePause(service, c.clock())
}

// servicePause is ServicePause with the lock held.
func (c *Controller) servicePause(service string, now time.Duration) (Pause, bool) {
	if c.leavingServices[service] {
		return Pause{}, true
	}
	id, at, ok := c.balancer.ResumesAt(service, now)
	if !ok {
		id, at, ok = c.planner.ResumesAt(service, now)
	}
	if !ok {
		return Pause{}, false
	}
	return Pause{EndpointID: id, Rest: max(0, at-now)}, true
}

// isLeaving reports whether a listed endpoint leaves, by its entry or by its own word. The lock must be held.
func (c *Controller) isLeaving(e *lister.Endpoint) bool {
	return e.Leaving || c.suspender.IsLeaving(e.ID)
}

// setSuspenderEndpoints passes the endpoint list to the suspender. The lock must be held.
func (c *Controller) setSuspenderEndpoints() {
	listed := make([]suspender.Endpoint, 0, len(c.endpoints))
	for _, e := range c.endpoints {
		listed = append(listed, suspender.Endpoint{ID: e.ID, StartedAtMs: e.StartedAtMs})
	}
	c.suspender.SetEndpoints(listed, c.clock())
}

// logSuspensions logs what endpoints have asked for since the last call. The lock must be held.
func (c *Controller) logSuspensions() {
	for _, e := range c.suspender.TakeEvents() {
		line := c.log.Info().Str("endpoint", e.EndpointID)
		if e.RequestID != "" {
			line = line.Str("id", e.RequestID)
		}
		if e.Duration > 0 {
			line = line.Int64("for_ms", e.Duration.Milliseconds())
		}
		if e.Value != "" {
			line = line.Str("value", e.Value)
		}
		line.Msg("endpoint: " + string(e.Kind))
	}
}
