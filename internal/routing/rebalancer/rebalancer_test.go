package rebalancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/routing/rebalancer"
)

var options = rebalancer.Options{PrefillRate: 55000, PromptFraction: 0.4, MaxUtilization: 0.85, LeaderSettleTime: 4 * time.Second, MinOrderInterval: 15 * time.Second}

func newEndpoints(prefill, decode int) []rebalancer.Endpoint {
	var out []rebalancer.Endpoint
	for i := range prefill + decode {
		out = append(out, rebalancer.Endpoint{ID: fmt.Sprintf("e%02d", i), Domain: string(rune('a' + i%3)), Prefill: i < prefill})
	}
	return out
}

func newLeader() *rebalancer.Rebalancer {
	r := rebalancer.New(options)
	r.UpdateLeadership(true, 3, 4, 0)
	return r
}

func TestSparePrefillEndpointsAreConverted(t *testing.T) {
	if got := newLeader().SelectForDecode(newEndpoints(10, 18), 600000, 5*time.Second); len(got) != 4 {
		t.Errorf("got %v, want 4 of 10: the plans allow 240,000 prompt tokens a second", got)
	}
}

// The list shows an order only after seconds. A first version gave one more order each second meanwhile, until
// nobody read prompts (bench: quiet-1, worth 0.33).
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
		t.Errorf("%d orders were given, want none: three readers are needed", total)
	}
	for now := 12 * time.Second; now < 19*time.Second; now += time.Second {
		for _, id := range r.SelectForDecode(newEndpoints(3, 6), 200000, now) {
			r.RecordOrder(id, now)
			total++
		}
	}
	if total != 1 {
		t.Errorf("%d orders were given, want one: two readers are needed", total)
	}
}

func TestOnlyLeaderThatReachesMajorityGivesOrders(t *testing.T) {
	for _, c := range []struct {
		first        bool
		heard, known int
	}{{false, 4, 4}, {true, 2, 4}, {true, 1, 3}} {
		r := rebalancer.New(options)
		r.UpdateLeadership(c.first, c.heard, c.known, 0)
		if got := r.SelectForDecode(newEndpoints(10, 18), 600000, time.Minute); len(got) > 0 {
			t.Errorf("%+v gave orders %v", c, got)
		}
	}
}

// A new leader waits for longer than a lease, so that two never order the same endpoint in turns.
func TestNewLeaderWaitsBeforeItsFirstOrder(t *testing.T) {
	r := newLeader()
	r.UpdateLeadership(false, 3, 4, 10*time.Second)
	r.UpdateLeadership(true, 3, 4, 11*time.Second)
	if got := r.SelectForDecode(newEndpoints(10, 18), 600000, 14*time.Second); len(got) > 0 {
		t.Errorf("orders %v were given 3 s after the lead changed", got)
	}
	if got := r.SelectForDecode(newEndpoints(10, 18), 600000, 15*time.Second); len(got) == 0 {
		t.Error("no orders were given 4 s after the lead changed")
	}
}

func TestLastPrefillEndpointIsKept(t *testing.T) {
	if got := newLeader().SelectForDecode(newEndpoints(1, 8), 1000, time.Minute); len(got) > 0 {
		t.Errorf("the only reader was turned over: %v", got)
	}
}
