package planner_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/routing/planner"
	"github.com/pistachiovane/pistachiovane/internal/routing/suspender"
)

// newPausedPlanner returns a planner with two prefill and two decode endpoints, of which the given ones are paused from
// 1 s to about 3 s.
func newPausedPlanner(paused ...string) *planner.Planner {
	o := options
	o.Suspensions = suspender.New(rand.New(rand.NewPCG(2, 2)))
	listed := make([]suspender.Endpoint, 0, 4)
	for _, e := range endpoints(2, 2, 100000) {
		listed = append(listed, suspender.Endpoint{ID: e.ID})
	}
	o.Suspensions.SetEndpoints(listed, 0)
	for _, id := range paused {
		o.Suspensions.Record(suspender.Signal{EndpointID: id, Pause: 2 * time.Second}, time.Second)
	}
	p := planner.New(o, rand.New(rand.NewPCG(1, 1)))
	p.SetEndpoints(endpoints(2, 2, 100000))
	return p
}

// Guards against planning work for paused endpoints, at both stages and again after a failure.
func TestPausedEndpointsAreNotChosen(t *testing.T) {
	p := newPausedPlanner("e00", "e02")
	for id := range uint64(8) {
		now := 1100*time.Millisecond + time.Duration(id)*200*time.Millisecond
		d := p.Submit(newRequest(id+1, now), now)
		if len(d) != 1 || d[0].Plan == nil {
			t.Fatalf("got decisions %+v, want a plan", d)
		}
		if plan := d[0].Plan; plan.Decode.ID != "e03" || plan.Prefill == nil || plan.Prefill.ID != "e01" {
			t.Errorf("got decode %s and prefill %v, want e03 and e01", plan.Decode.ID, plan.Prefill)
		}
		if plan := p.Replan(id+1, true, "e01", now); plan == nil || plan.Prefill != nil || plan.Decode.ID != "e03" {
			t.Errorf("got plan %+v without e01, want one that prefills at e03", plan)
		}
		p.End(id+1, now)
	}
}

// Guards against a request that waits for a pause that ends too late for it, is refused although the pause ends in time,
// or is forgotten.
func TestRequestWaitsForEndOfPause(t *testing.T) {
	p := newPausedPlanner("e02", "e03")
	hasty := newRequest(1, 1100*time.Millisecond)
	hasty.CallerDeadline = 2 * time.Second
	d := p.Submit(hasty, 1100*time.Millisecond)
	if len(d) != 1 || !d[0].Suspended || d[0].RetryAfter < 1900*time.Millisecond || d[0].RetryAfter > 2200*time.Millisecond {
		t.Errorf("got decisions %+v, want a refusal until the end of the pause", d)
	}
	if d := p.Submit(newRequest(2, 1100*time.Millisecond), 1100*time.Millisecond); len(d) != 0 {
		t.Errorf("got decisions %+v, want the request to wait", d)
	}
	for now := 1200 * time.Millisecond; now < 3300*time.Millisecond; now += 20 * time.Millisecond {
		d := p.Tick(now)
		if len(d) == 0 {
			continue
		}
		if d[0].RequestID != 2 || d[0].Plan == nil || now < 3*time.Second {
			t.Errorf("at %v: got decision %+v, want a plan after the pause", now, d[0])
		}
		return
	}
	t.Error("the request was forgotten")
}
