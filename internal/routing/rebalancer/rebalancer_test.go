package rebalancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/routing/rebalancer"
)

// options are the options of the rebalancers under test.
var options = rebalancer.Options{
	PrefillRate: 55000, PromptFraction: 0.4, MaxUtilization: 0.85,
	LeaderSettleTime: 4 * time.Second, MinOrderInterval: 15 * time.Second,
}

// newEndpoints returns the given number of prefill endpoints followed by the given number of decode endpoints, in three
// failure domains.
func newEndpoints(prefill, decode int) []rebalancer.Endpoint {
	var out []rebalancer.Endpoint
	for i := range prefill + decode {
		out = append(out, rebalancer.Endpoint{
			ID: fmt.Sprintf("e%02d", i), Domain: string(rune('a' + i%3)), Prefill: i < prefill,
		})
	}
	return out
}

// newLeader returns a rebalancer that is the leader from time zero on.
func newLeader() *rebalancer.Rebalancer {
	r := rebalancer.New(options)
	r.UpdateLeadership(true, 3, 4, 0)
	return r
}

// Guards against prefill endpoints that stay idle while decode slots run out, and against too few prefill endpoints for
// the prompt tokens that the limits of the client accounts allow.
func TestSparePrefillEndpointsAreConverted(t *testing.T) {
	if got := newLeader().SelectForDecode(newEndpoints(10, 18), 600000, 5*time.Second); len(got) != 4 {
		t.Errorf("got orders for %v, want 4 of 10 endpoints: the limits allow 240,000 prompt tokens per second", got)
	}
}

// The endpoint list shows the effect of an order only after seconds. An earlier version gave one more order each second
// in the meantime, until no prefill endpoint was left (benchmark quiet-1, score 0.33).
func TestPendingOrdersAreNotRepeated(t *testing.T) {
	r := newLeader()
	total := 0
	for now := 5 * time.Second; now < 12*time.Second; now += time.Second {
		for _, id := range r.SelectForDecode(newEndpoints(3, 6), 270000, now) {
			r.RecordOrder(id, now)
			total++
		}
	}
	if total != 0 {
		t.Errorf("got %d orders, want none because three prefill endpoints are needed", total)
	}
	for now := 12 * time.Second; now < 19*time.Second; now += time.Second {
		for _, id := range r.SelectForDecode(newEndpoints(3, 6), 200000, now) {
			r.RecordOrder(id, now)
			total++
		}
	}
	if total != 1 {
		t.Errorf("got %d orders, want one because two prefill endpoints are needed", total)
	}
}

// Guards against orders from several gateways at the same time, also from both sides of a network partition.
func TestOnlyLeaderThatReachesMajorityGivesOrders(t *testing.T) {
	for _, c := range []struct {
		leaderCandidate  bool
		reachable, known int
	}{{false, 4, 4}, {true, 2, 4}, {true, 1, 3}} {
		r := rebalancer.New(options)
		r.UpdateLeadership(c.leaderCandidate, c.reachable, c.known, 0)
		if got := r.SelectForDecode(newEndpoints(10, 18), 600000, time.Minute); len(got) > 0 {
			t.Errorf("%+v: got orders for %v, want none", c, got)
		}
	}
}

// A new leader waits before its first order for longer than the former leader can take to notice that it is no longer
// the leader. Otherwise two leaders could order the same endpoint in turns.
func TestNewLeaderWaitsBeforeItsFirstOrder(t *testing.T) {
	r := newLeader()
	r.UpdateLeadership(false, 3, 4, 10*time.Second)
	r.UpdateLeadership(true, 3, 4, 11*time.Second)
	if got := r.SelectForDecode(newEndpoints(10, 18), 600000, 14*time.Second); len(got) > 0 {
		t.Errorf("got orders for %v 3 s after the leader changed, want none", got)
	}
	if got := r.SelectForDecode(newEndpoints(10, 18), 600000, 15*time.Second); len(got) == 0 {
		t.Error("got no orders 4 s after the leader changed, want some")
	}
}

// Guards against an order that leaves a service without a prefill endpoint because the limits allow few prompt tokens.
func TestLastPrefillEndpointIsKept(t *testing.T) {
	if got := newLeader().SelectForDecode(newEndpoints(1, 8), 1000, time.Minute); len(got) > 0 {
		t.Errorf("got orders for %v, want none for the only prefill endpoint", got)
	}
}
