// Package drainer decides which requests a stopping process still accepts. Callers send to it for as long as the balancer
// has not noticed that it stops, and on the connections that they keep until it ends, so a planned stop under load meets
// requests until its last moment.
//
// A request is accepted only if it ends before the process does, whatever happens to it. The one time that bounds it from
// above is its deadline, which the process enforces itself; how long earlier requests took, or whether another gateway is
// known, says nothing about it. A request that is refused has not run and may be served elsewhere; one that is cut off has
// cost its work, and its caller can't know whether to repeat it.
//
// A refused caller that comes back too early is sent here again by the balancer, which asks the gateways of the caller's failure
// domain first. So it is told to wait until the balancer has noticed, unless another gateway of the domain can serve it now.
package drainer

import (
	"context"
	"sync"
	"time"
)

// minRetryAfter is the shortest time after which a refused caller is asked to come back.
const minRetryAfter = 100 * time.Millisecond

// Drainer knows whether the process is stopping and when it ends. It is safe for concurrent use; mu guards the fields below
// it. Its times are readings of one monotonic clock.
type Drainer struct {
	// noticeTime is how long the balancer takes to notice that a process is not ready.
	noticeTime time.Duration
	// told ends when the process is told to stop, by tell.
	told context.Context
	tell context.CancelFunc

	mu sync.Mutex
	// stopping is set once the process has been told to stop, at toldAt. endsAt is then the time at which it ends.
	stopping bool
	toldAt   time.Duration
	endsAt   time.Duration
}

// New returns the Drainer of a process that is not stopping. noticeTime is how long the balancer takes to notice that a process
// is not ready.
func New(noticeTime time.Duration) *Drainer {
	told, tell := context.WithCancel(context.Background())
	return &Drainer{noticeTime: noticeTime, told: told, tell: tell}
}

// Stop records that the process is told now to stop, and ends at the given time. A later call may only bring the end forward.
func (d *Drainer) Stop(now, endsAt time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopping {
		d.stopping, d.toldAt, d.endsAt = true, now, endsAt
	}
	d.endsAt = min(d.endsAt, endsAt)
	d.tell()
}

// RetryAfter returns the time after which a caller that a stopping process refuses now is served elsewhere. otherNearby is set
// if another gateway of this failure domain takes new callers.
func (d *Drainer) RetryAfter(otherNearby bool, now time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if otherNearby {
		return minRetryAfter
	}
	return max(minRetryAfter, d.toldAt+d.noticeTime-now)
}

// AfterStop calls a function in a goroutine of its own once the process has been told to stop, unless cancel is called before.
func (d *Drainer) AfterStop(do func()) (cancel func() bool) {
	return context.AfterFunc(d.told, do)
}

// Verdict is a decision on one request.
type Verdict struct {
	Accepted bool
	// Stopping is set if the process is stopping, and TimeLeft is then the time until it ends.
	Stopping bool
	TimeLeft time.Duration
}

// Decide returns whether a request that ends at its deadline at the latest is accepted now.
func (d *Drainer) Decide(deadline, now time.Duration) Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopping {
		return Verdict{Accepted: true}
	}
	return Verdict{Accepted: deadline <= d.endsAt, Stopping: true, TimeLeft: d.endsAt - now}
}
