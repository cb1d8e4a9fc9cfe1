package daemon

import (
	"testing"
	"time"
)

// Guards against two gateways that use the same fencing token. It happened when two gateways each assumed to be the
// leader and sent orders in the same millisecond (bench: grown Clay Circle, mix --seed 945312082356, rule ONE).
func TestGatewaysNeverUseTheSameFencingToken(t *testing.T) {
	now := time.UnixMilli(1778120205064)
	lastA, lastB := int64(0), int64(0)
	seen := map[int64]bool{}
	for range 100 {
		nextA, nextB := nextFencingToken(lastA, "edge-5", now), nextFencingToken(lastB, "edge-6", now)
		if nextA <= lastA || nextB <= lastB {
			t.Fatalf("got tokens %d after %d and %d after %d, want higher ones", nextA, lastA, nextB, lastB)
		}
		if seen[nextA] || seen[nextB] || nextA == nextB {
			t.Fatalf("got tokens %d and %d, want tokens that neither gateway has used", nextA, nextB)
		}
		seen[nextA], seen[nextB] = true, true
		lastA, lastB = nextA, nextB
	}
	if later := nextFencingToken(0, "edge-7", now.Add(time.Second)); later <= lastA {
		t.Errorf("got token %d of a gateway that sends an order a second later, want one above %d", later, lastA)
	}
}
