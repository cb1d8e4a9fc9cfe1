package rotator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/rotator"
)

// An observation must be kept for a period, whenever in it it came, and be gone after two.
func TestObservationIsForgottenTooSoonOrNever(t *testing.T) {
	for at := time.Duration(0); at < 10*time.Second; at += time.Second {
		r := rotator.New(10*time.Second, func() map[string]bool { return map[string]bool{} })
		current, _ := r.Periods(at)
		current["a"] = true
		for now := at; now < at+30*time.Second; now += time.Second {
			c, p := r.Periods(now)
			known := c["a"] || p["a"]
			if age := now - at; (age < 10*time.Second && !known) || (age >= 20*time.Second && known) {
				t.Errorf("observed at %v, asked at %v: got known %v", at, now, known)
			}
		}
	}
}

func ExampleRotator() {
	r := rotator.New(time.Minute, func() map[string]int { return map[string]int{} })
	current, _ := r.Periods(0)
	current["requests"]++
	current, previous := r.Periods(90 * time.Second)
	fmt.Println(current["requests"], previous["requests"])
	// Output: 0 1
}
