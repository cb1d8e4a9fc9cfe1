package fencer_test

import (
	"math"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/routing/fencer"
)

// Guards against two gateways that use the same fencing token. It happened when two gateways each assumed to be the
// leader and sent orders in the same millisecond (bench: grown Clay Circle, mix --seed 945312082356, rule ONE).
func TestGatewaysNeverUseTheSameToken(t *testing.T) {
	now := time.UnixMilli(1778120205064)
	a, b := fencer.New(), fencer.New()
	lastA, lastB := int64(0), int64(0)
	seen := map[int64]bool{}
	for range 100 {
		nextA, nextB := a.Next("edge-5", now), b.Next("edge-6", now)
		if nextA <= lastA || nextB <= lastB {
			t.Fatalf("got tokens %d after %d and %d after %d, want higher ones", nextA, lastA, nextB, lastB)
		}
		if seen[nextA] || seen[nextB] || nextA == nextB {
			t.Fatalf("got tokens %d and %d, want tokens that neither gateway has used", nextA, nextB)
		}
		seen[nextA], seen[nextB] = true, true
		lastA, lastB = nextA, nextB
	}
	if later := fencer.New().Next("edge-7", now.Add(time.Minute)); later <= max(lastA, lastB) {
		t.Errorf("got token %d of a gateway that orders a minute later, want one above %d", later, max(lastA, lastB))
	}
}

// Endpoints that do not check tokens carry out any order. A new leader whose clock was set back, or runs behind, must
// still use higher tokens than the former leader, and so must that one when it leads again.
func TestTokensGrowAcrossLeadersWithDifferentClocks(t *testing.T) {
	now := time.UnixMilli(1778120205064)
	old, successor := fencer.New(), fencer.New()
	first := old.Next("edge-1", now)
	successor.Observe(first, now.Add(-8*time.Second))
	second := successor.Next("edge-2", now.Add(-8*time.Second))
	if second <= first {
		t.Errorf("got token %d of the new leader, want one above %d", second, first)
	}
	old.Observe(second, now)
	if third := old.Next("edge-1", now.Add(-time.Minute)); third <= second {
		t.Errorf("got token %d of the restored leader, want one above %d", third, second)
	}
}

// A corrupted message must not raise tokens to a value after which no higher one exists.
func TestAbsurdTokenOfPeerIsIgnored(t *testing.T) {
	now := time.UnixMilli(1778120205064)
	f := fencer.New()
	f.Observe(math.MaxInt64, now)
	a := f.Next("edge-1", now)
	if b := f.Next("edge-1", now); a <= 0 || b <= a || b >= 1<<53 {
		t.Errorf("got tokens %d and %d, want rising ones below 2^53", a, b)
	}
}
