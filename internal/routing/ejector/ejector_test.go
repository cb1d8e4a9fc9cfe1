package ejector_test

import (
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/routing/ejector"
)

// Guards against an endpoint that always fails but gets a new request every 300 ms, and against one that stays ejected
// for long after it has recovered.
func TestDurationDoublesUpToMaximum(t *testing.T) {
	for failures, want := range map[int]time.Duration{
		1: 300 * time.Millisecond, 2: 600 * time.Millisecond, 4: 2400 * time.Millisecond,
		5: 4 * time.Second, 100: 4 * time.Second,
	} {
		if got := ejector.Duration(failures); got != want {
			t.Errorf("after %d failures: got %v, want %v", failures, got, want)
		}
	}
}
