package dispatcher

import (
	"time"
)

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
	d.router.UpdateLoad(id, *e.Load, now)
	switch e.Kind {
	case Prefilled, AttemptLost, EndpointCrashed, StreamEnded:
		d.settled = id
	}
}

// forget drops the names of the endpoints in use without telling them.
func (d *Dispatcher) forget(j *job) {
	if v := d.router.State(j.decode); v != nil && j.suspect {
		v.RunsSuspect = false
	}
	if v := d.router.State(j.prefill); v != nil && j.suspect {
		v.RunsSuspect = false
	}
	j.prefill, j.decode = "", ""
}

// unqueue takes the job's tokens out of the known prefill queue.
func (d *Dispatcher) unqueue(j *job) {
	if v := d.router.State(j.prefill); v != nil && d.settled != j.prefill {
		v.BacklogTokens = max(0, v.BacklogTokens-j.backlog)
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
	v := d.router.State(j.decode)
	if v == nil || d.settled == j.decode {
		return
	}
	v.UsedSlots = max(0, v.UsedSlots-1)
	v.FreePieces += d.pieces(j)
}
