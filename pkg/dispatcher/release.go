package dispatcher

import (
	"time"
)

// updateLoad takes in the load that came with an answer from the endpoint now in use.
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

// clearEndpoints drops the names of the endpoints in use without telling them.
func (d *Dispatcher) clearEndpoints(j *job) {
	if s := d.router.State(j.decodeEndpoint); s != nil && j.suspect {
		s.RunsSuspect = false
	}
	if s := d.router.State(j.prefillEndpoint); s != nil && j.suspect {
		s.RunsSuspect = false
	}
	j.prefillEndpoint, j.decodeEndpoint = "", ""
}

// reduceBacklog takes the job's tokens out of the known prefill queue.
func (d *Dispatcher) reduceBacklog(j *job) {
	if s := d.router.State(j.prefillEndpoint); s != nil && d.reportedEndpoint != j.prefillEndpoint {
		s.BacklogTokens = max(0, s.BacklogTokens-j.backlogTokens)
	}
	j.backlogTokens = 0
}

// releaseEndpoints releases all that the job holds at endpoints and corrects the known load.
func (d *Dispatcher) releaseEndpoints(j *job) {
	if j.prefillEndpoint != "" {
		if j.phase == prefilling {
			d.reduceBacklog(j)
		}
		d.commands = append(d.commands, Command{Kind: Release, Request: j.ID, Attempt: j.attempt, Endpoint: j.prefillEndpoint})
	}
	if j.decodeEndpoint != "" {
		d.freeDecodeSlot(j)
		d.commands = append(d.commands, Command{Kind: Release, Request: j.ID, Attempt: j.attempt, Endpoint: j.decodeEndpoint})
	}
	d.clearEndpoints(j)
}

func (d *Dispatcher) freeDecodeSlot(j *job) {
	s := d.router.State(j.decodeEndpoint)
	if s == nil || d.reportedEndpoint == j.decodeEndpoint {
		return
	}
	s.UsedSlots = max(0, s.UsedSlots-1)
	s.FreePieces += d.requiredPieces(j)
}
