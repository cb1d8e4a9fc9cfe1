package estimator_test

import (
	"math"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/routing/estimator"
)

// A few fast requests must not pass for all there are, and old ones must be forgotten.
func TestDurationIsKnownFromTooFewOrTooOldRequests(t *testing.T) {
	e := estimator.New()
	for i := range 5 {
		if _, ok := e.CallTime("a", time.Second); ok {
			t.Fatalf("got a duration after %d calls, want none", i)
		}
		e.RecordCall("a", time.Duration(i+1)*100*time.Millisecond, time.Second)
	}
	if d, ok := e.CallTime("a", 50*time.Second); !ok || d != 625*time.Millisecond {
		t.Errorf("got %v, %v, want the longest of five calls and a quarter of it, 625ms", d, ok)
	}
	if _, ok := e.CallTime("b", time.Second); ok {
		t.Error("got a duration of another route, want none")
	}
	if _, ok := e.CallTime("a", 3*time.Minute); ok {
		t.Error("got a duration from calls three minutes ago, want none")
	}
}

// A generation with many tokens takes longer than those that ended recently. Its time must not overflow.
func TestLongGenerationTakesAsLongAsShortOnes(t *testing.T) {
	e := estimator.New()
	for range 5 {
		e.RecordGeneration("a", 200*time.Millisecond, time.Second, 10, time.Second)
	}
	if d, ok := e.GenerationTime("a", 50, 2*time.Second); !ok || d != 6500*time.Millisecond {
		t.Errorf("got %v, %v, want 1.25 x (200 ms + 50 x 100 ms) = 6.5s", d, ok)
	}
	if d, _ := e.GenerationTime("a", math.MaxInt, 2*time.Second); d != time.Hour {
		t.Errorf("got %v for a number of tokens without bounds, want 1h", d)
	}
}

// Attempts are given up because single endpoints are slow. If most are, the service is.
func TestAttemptsAreGivenUpAtSlowService(t *testing.T) {
	e := estimator.New()
	for i := range 30 {
		e.RecordAttempt("one of three is slow", i%3 == 0, time.Second)
		e.RecordAttempt("all are slow", true, time.Second)
	}
	if e.IsMostlySlow("one of three is slow", time.Second) || !e.IsMostlySlow("all are slow", time.Second) {
		t.Error("got another verdict than that all endpoints of the second route are slow")
	}
}
