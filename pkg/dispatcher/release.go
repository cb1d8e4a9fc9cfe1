package dispatcher

import (
	"time"
)

// updateLoad passes the load that was reported with an event to the router and sets reportedEndpoint.
func (d *Dispatcher) updateLoad(j *job, e Event, now time.Duration) {
	d.reportedEndpoint = ""
	if e.Load == nil {
		return
	}
	id := j.decodeEndpoint
	if j.phase == prefilling {
		id = j.prefillEndpoint
	}
	d.router.UpdateLoad(id, *e.Load, now)
	switch e.Kind {
	case Prefilled, AttemptLost, EndpointCrashed, StreamEnded:
		d.reportedEndpoint = id
	}
}

// clearEndpoints removes the endpoints in use from the job without sending a Release command.
func (d *Dispatcher) clearEndpoints(j *job) {
	if s := d.router.State(j.decodeEndpoint); s != nil && j.suspect {
		s.RunsSuspect = false
	}
	if s := d.router.State(j.prefillEndpoint); s != nil && j.suspect {
		s.RunsSuspect = false
	}
	j.prefillEndpoint, j.decodeEndpoint = "", ""
}

// reduceBacklog subtracts the job's tokens from the known backlog of its prefill endpoint, unless the endpoint has just
// reported a load without them.
func (d *Dispatcher) reduceBacklog(j *job) {
	if s := d.router.State(j.prefillEndpoint); s != nil && d.reportedEndpoint != j.prefillEndpoint {
		s.BacklogTokens = max(0, s.BacklogTokens-j.backlogTokens)
	}
	j.backlogTokens = 0
}

// releaseEndpoints sends a Release command to each endpoint in use and subtracts the job from their known load.
func (d *Dispatcher) releaseEndpoints(j *job) {
	if j.prefillEndpoint != "" {
		if j.phase == prefilling {
			d.reduceBacklog(j)
		}
		d.commands = append(d.commands,
			Command{Kind: Release, Request: j.ID, Attempt: j.attempt, Endpoint: j.prefillEndpoint})
	}
	if j.decodeEndpoint != "" {
		d.freeDecodeSlot(j)
		d.commands = append(d.commands, Command{Kind: Release, Request: j.ID, Attempt: j.attempt, Endpoint: j.decodeEndpoint})
	}
	d.clearEndpoints(j)
}

// freeDecodeSlot subtracts the job's slot and memory from the known load of its decode endpoint, unless the endpoint
// has just reported a load without them.
func (d *Dispatcher) freeDecodeSlot(j *job) {
	s := d.router.State(j.decodeEndpoint)
	if s == nil || d.reportedEndpoint == j.decodeEndpoint {
		return
	}
	s.UsedSlots = max(0, s.UsedSlots-1)
	s.FreePieces += d.requiredPieces(j)
}
