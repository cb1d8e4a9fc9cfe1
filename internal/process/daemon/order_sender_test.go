package daemon

import (
	"testing"
	"time"
)

// Two gateways that each took themselves for the one that gives orders used the same token in the same millisecond
// (bench: grown Clay Circle, mix --seed 945312082356, rule ONE).
func TestGatewaysNeverUseTheSameFencingToken(t *testing.T) {
	now := time.UnixMilli(1778120205064)
	lastA, lastB := int64(0), int64(0)
	seen := map[int64]bool{}
	for range 100 {
		nextA, nextB := nextFencingToken(lastA, "edge-5", now), nextFencingToken(lastB, "edge-6", now)
		if nextA <= lastA || nextB <= lastB {
			t.Fatalf("tokens fell: %d after %d, %d after %d", nextA, lastA, nextB, lastB)
		}
		if seen[nextA] || seen[nextB] || nextA == nextB {
			t.Fatalf("a token was used twice: %d, %d", nextA, nextB)
		}
		seen[nextA], seen[nextB] = true, true
		lastA, lastB = nextA, nextB
	}
	if later := nextFencingToken(0, "edge-7", now.Add(time.Second)); later <= lastA {
		t.Errorf("a gateway that orders a second later uses %d, not above %d", later, lastA)
	}
}
