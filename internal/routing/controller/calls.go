package controller

import (
	"context"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/routing/balancer"
	"github.com/pistachiovane/pistachiovane/pkg/scheduler"
)

// maxWaitingCalls limits the calls of a service that wait for the end of a pause.
const maxWaitingCalls = 512

// Call is a request for a plain service that needs an endpoint.
type Call struct {
	Account string
	Service string
	// Deadline is the latest time at which the call may start.
	Deadline time.Duration
}

// CallDecision is the endpoint of a call, or why it has none.
type CallDecision struct {
	// Endpoint is nil if no endpoint may be used.
	Endpoint *balancer.Endpoint
	// Suspended is set if that is because all endpoints are paused or leave, as Pause says.
	Suspended bool
	Pause     Pause
}

// waitingCall is a call that waits for the end of a pause. Calls are numbered in the order of their arrival.
type waitingCall struct {
	Call
	id uint64
	// decided receives the decision. It has a buffer of one.
	decided chan CallDecision
}

// AcquireEndpoint chooses an endpoint for a call and counts the call there. Endpoints in excludedIDs are not chosen. If
// all endpoints of the service are paused, a call that excludes none waits if the pause ends before its deadline: such
// calls start in the order of a fair queue over their accounts, as the endpoints take work again.
func (c *Controller) AcquireEndpoint(ctx context.Context, call Call, excludedIDs map[string]bool) CallDecision {
	d, w := c.acquireOrWait(call, excludedIDs)
	if w == nil {
		return d
	}
	return c.awaitCall(ctx, w)
}

// acquireOrWait returns the decision on a call, or the call if it waits in the queue. Calls do not pass waiting ones.
func (c *Controller) acquireOrWait(call Call, excludedIDs map[string]bool) (CallDecision, *waitingCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	mayWait := len(excludedIDs) == 0
	q := c.callQueues[call.Service]
	hasWaiting := q != nil && q.Len(scheduler.Interactive) > 0
	if !hasWaiting || !mayWait {
		if e := c.balancer.Acquire(call.Service, excludedIDs, now); e != nil {
			return CallDecision{Endpoint: e}, nil
		}
	}
	pause, suspended := c.servicePause(call.Service, now)
	d := CallDecision{Suspended: suspended, Pause: pause}
	if !mayWait || now+pause.Rest > call.Deadline || (!hasWaiting && (!suspended || pause.EndpointID == "")) {
		return d, nil
	}
	return d, c.enqueueCall(call)
}

// enqueueCall adds a call to the queue of its service. It returns nil if the queue is full. The lock must be held.
func (c *Controller) enqueueCall(call Call) *waitingCall {
	q, ok := c.callQueues[call.Service]
	if !ok {
		q = scheduler.New[*waitingCall]()
		c.callQueues[call.Service] = q
	}
	if q.Len(scheduler.Interactive) >= maxWaitingCalls {
		return nil
	}
	c.lastRequestID++
	w := &waitingCall{Call: call, id: c.lastRequestID, decided: make(chan CallDecision, 1)}
	q.Push(scheduler.Interactive, call.Account, w.id, 1, w)
	c.wakeTicker()
	return w
}

// awaitCall waits for the decision on a call. If the context ends first, the call leaves the queue.
func (c *Controller) awaitCall(ctx context.Context, w *waitingCall) CallDecision {
	select {
	case d := <-w.decided:
		return d
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callQueues[w.Service].Remove(scheduler.Interactive, w.Account, w.id)
	select {
	case d := <-w.decided:
		return d
	default:
		return CallDecision{}
	}
}

// tickCalls starts the waiting calls for which an endpoint takes work, and gives up those whose pause ends too late. It
// returns how many are left. The lock must be held.
func (c *Controller) tickCalls(now time.Duration) (waiting int) {
	for service, q := range c.callQueues {
		c.startCalls(service, q, now)
		pause, suspended := c.servicePause(service, now)
		var late []*waitingCall
		q.Each(func(w *waitingCall) {
			if now+pause.Rest > w.Deadline || (suspended && pause.EndpointID == "") {
				late = append(late, w)
			}
		})
		for _, w := range late {
			q.Remove(scheduler.Interactive, w.Account, w.id)
			w.decided <- CallDecision{Suspended: suspended, Pause: pause}
		}
		waiting += q.Len(scheduler.Interactive)
	}
	return waiting
}

// startCalls starts the waiting calls of a service in the order of the queue until no endpoint takes another one. The
// lock must be held.
func (c *Controller) startCalls(service string, q *scheduler.Scheduler[*waitingCall], now time.Duration) {
	for q.Len(scheduler.Interactive) > 0 {
		e := c.balancer.Acquire(service, nil, now)
		if e == nil {
			return
		}
		w, _ := q.Pop()
		w.decided <- CallDecision{Endpoint: e}
	}
}
