package decayer_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/decayer"
)

// A sum of recent requests must fall by the factor e in each decay time, whatever was added before.
func TestSumDecays(t *testing.T) {
	s := decayer.Sum{}.With(2, time.Second, 0).With(1, time.Second, time.Second)
	want := (2/math.E + 1) / math.E
	if got := s.Value(time.Second, 2*time.Second); math.Abs(got-want) > 1e-12 {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := s.Age(3 * time.Second); got != 2*time.Second {
		t.Errorf("got an age of %v, want 2 s", got)
	}
}

// A report from the future of the own clock must not grow.
func TestSumDoesNotGrow(t *testing.T) {
	if got := (decayer.Sum{}).With(2, time.Second, time.Minute).Value(time.Second, 0); got != 2 {
		t.Errorf("got %v before the time of the sum, want 2", got)
	}
}

func ExampleSum() {
	var recent decayer.Sum
	for second := range 60 {
		recent = recent.With(1, 10*time.Second, time.Duration(second)*time.Second)
	}
	fmt.Printf("%.1f requests a second", recent.Value(10*time.Second, time.Minute)/10)
	// Output: 0.9 requests a second
}
