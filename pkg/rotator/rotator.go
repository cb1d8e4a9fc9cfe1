// Package rotator keeps what was observed recently in two periods: the current one and the one before. An observation is kept
// for one period at least and two at most, and forgetting costs nothing.
package rotator

import "time"

// Rotator holds the values of two periods. It is not safe for concurrent use. Its times are durations since any fixed start.
type Rotator[T any] struct {
	period time.Duration
	empty  func() T
	// current holds what was observed since rotatedAt.
	current, previous T
	rotatedAt         time.Duration
}

// New returns a Rotator with periods of the given length. empty returns the value of a period without observations.
func New[T any](period time.Duration, empty func() T) *Rotator[T] {
	return &Rotator[T]{period: period, empty: empty, current: empty(), previous: empty()}
}

// Periods returns the values of the current period and of the one before.
func (r *Rotator[T]) Periods(now time.Duration) (current, previous T) {
	switch elapsed := now - r.rotatedAt; {
	case elapsed >= 2*r.period:
		r.Rotate(now)
		r.Rotate(now)
	case elapsed >= r.period:
		r.Rotate(now)
	}
	return r.current, r.previous
}

// Rotate begins a new period.
func (r *Rotator[T]) Rotate(now time.Duration) {
	r.current, r.previous, r.rotatedAt = r.empty(), r.current, now
}

// Set replaces the value of the current period.
func (r *Rotator[T]) Set(value T) {
	r.current = value
}
