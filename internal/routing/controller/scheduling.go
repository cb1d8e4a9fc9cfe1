package controller

import (
	"context"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/routing/planner"
)

// ScheduleGeneration waits until a generation may start, is refused, or the context ends. If the context ends first,
// the decision is empty. It sets the ID of the request and returns it. After a decision with a plan, the caller must
// call planner.Planner.End when the generation has ended.
func (c *Controller) ScheduleGeneration(ctx context.Context, r planner.Request) (uint64, planner.Decision) {
	c.mu.Lock()
	c.lastRequestID++
	r.ID = c.lastRequestID
	allLeave := c.leavingServices[r.Service]
	c.mu.Unlock()
	if allLeave {
		return r.ID, planner.Decision{RequestID: r.ID, Refused: true, RetryAfter: LeavingRetryAfter, Suspended: true}
	}
	d := c.submitAndWait(ctx, r.ID, func(now time.Duration) []planner.Decision { return c.planner.Submit(r, now) })
	c.announcePlan(d.Plan)
	return r.ID, d
}

// RescheduleGeneration puts a generation back into the queue after its decode endpoint turned out to be full, and waits
// for its next decision as ScheduleGeneration does.
func (c *Controller) RescheduleGeneration(ctx context.Context, id uint64) planner.Decision {
	d := c.submitAndWait(ctx, id, func(now time.Duration) []planner.Decision { return c.planner.Requeue(id, now) })
	c.announcePlan(d.Plan)
	return d
}

// submitAndWait passes a generation to the planner by calling submit under the lock, and waits for its decision.
func (c *Controller) submitAndWait(
	ctx context.Context, id uint64, submit func(now time.Duration) []planner.Decision,
) planner.Decision {
	done := make(chan planner.Decision, 1)
	c.mu.Lock()
	c.pendingDecisions[id] = done
	c.deliver(submit(c.clock()))
	if c.pendingDecisions[id] != nil {
		c.wakeTicker()
	}
	c.mu.Unlock()
	return c.awaitDecision(ctx, id, done)
}

// awaitDecision waits for a decision on the channel. If the context ends first, it removes the generation from the
// planner and returns an empty decision, unless a decision was delivered in the meantime.
func (c *Controller) awaitDecision(ctx context.Context, id uint64, done <-chan planner.Decision) planner.Decision {
	select {
	case d := <-done:
		return d
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pendingDecisions, id)
	select {
	case d := <-done:
		return d
	default:
	}
	c.deliver(c.planner.End(id, c.clock()))
	return planner.Decision{}
}

// wakeTicker makes Serve tick until the queue is empty. It does not block.
func (c *Controller) wakeTicker() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// deliver sends decisions to the callers that wait for them. The lock must be held.
func (c *Controller) deliver(decisions []planner.Decision) {
	for _, d := range decisions {
		if done, ok := c.pendingDecisions[d.RequestID]; ok {
			delete(c.pendingDecisions, d.RequestID)
			done <- d
		}
	}
}
