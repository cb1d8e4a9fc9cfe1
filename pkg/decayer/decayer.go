// Package decayer keeps sums that decay exponentially, such as the number of recent requests. A sum needs no timer: it is
// stored as of its latest change.
package decayer

import (
	"math"
	"time"
)

// Factor returns the factor by which a quantity has decayed after a time. It is one for a negative time.
func Factor(elapsed, decayTime time.Duration) float64 {
	return math.Exp(-max(0, elapsed).Seconds() / decayTime.Seconds())
}

// Sum is an exponentially decaying sum. The zero value is an empty sum. Sums are values: With returns a new one.
type Sum struct {
	// amount is the sum at the time at, which is a reading of a monotonic clock.
	amount float64
	at     time.Duration
}

// Value returns the sum at the time now. decayTime is the time constant with which it decays.
func (s Sum) Value(decayTime, now time.Duration) float64 {
	if s.amount == 0 {
		return 0
	}
	return s.amount * Factor(now-s.at, decayTime)
}

// Age returns the time since the latest change of the sum.
func (s Sum) Age(now time.Duration) time.Duration {
	return now - s.at
}

// With returns the sum after an amount was added at the time now.
func (s Sum) With(amount float64, decayTime, now time.Duration) Sum {
	return Sum{amount: s.Value(decayTime, now) + amount, at: now}
}
