package planner

import "time"

// isUsable reports whether an endpoint is listed and not paused. It may be full or ejected.
func (p *Planner) isUsable(n *node, now time.Duration) bool {
	return !n.removed && !p.options.Suspensions.IsPaused(n.ID, now)
}

// resumesAt returns the decode endpoint of a service whose pause ends first, and the time at which it does. The time is
// not after now if an endpoint is not paused, and zero if none has been for a while.
func (p *Planner) resumesAt(service string, now time.Duration) (endpointID string, at time.Duration) {
	if !p.options.Suspensions.HasPauses(now) {
		return "", 0
	}
	found := false
	for _, n := range p.sortedNodes {
		if n.Stage != Decode || n.Service != service || n.removed {
			continue
		}
		if until := p.options.Suspensions.PausedUntil(n.ID); !found || until < at {
			endpointID, at, found = n.ID, until, true
		}
	}
	return endpointID, at
}

// ResumesAt is resumesAt for a service all of whose decode endpoints are paused. ok is false if one of them is not.
func (p *Planner) ResumesAt(service string, now time.Duration) (endpointID string, at time.Duration, ok bool) {
	endpointID, at = p.resumesAt(service, now)
	return endpointID, at, at > now
}

// refusePaused refuses a request if all endpoints are paused until its caller can't get a first event in time. The caller
// is told when the first pause ends.
func (p *Planner) refusePaused(j *job, now time.Duration) (d Decision, refused bool) {
	endpointID, at, ok := p.ResumesAt(j.Service, now)
	if !ok || at <= j.CallerDeadline-p.options.FirstEventOverhead {
		return Decision{}, false
	}
	return Decision{RequestID: j.ID, Refused: true, RetryAfter: at - now, Suspended: true, PausedEndpoint: endpointID}, true
}
