// Package estimator learns by route whether most attempts take longer than an attempt is meant to. If single endpoints are slow,
// an attempt is given up for another endpoint; if most are, that would only repeat the work.
package estimator

import (
	"sync"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/rotator"
)

const (
	// periodTime is how long an observation counts at least. It counts at most twice as long.
	periodTime = time.Minute
	// minAttempts is the number of attempts on a route from which on it is known how many are slow.
	minAttempts = 3
)

// Estimator holds the recent attempts by route. It is safe for concurrent use. Its times are durations since any
// fixed start.
type Estimator struct {
	// mu guards periods.
	mu      sync.Mutex
	periods *rotator.Rotator[map[string]observed]
}

// observed is what was observed on one route in one period.
type observed struct {
	// attempts counts the attempts of calls that could be repeated elsewhere, slow those that took longer than their timeout.
	attempts, slow int
}

// with returns what was observed in both of two periods.
func (o observed) with(other observed) observed {
	return observed{attempts: o.attempts + other.attempts, slow: o.slow + other.slow}
}

// New returns an Estimator that knows nothing.
func New() *Estimator {
	return &Estimator{periods: rotator.New(periodTime, func() map[string]observed { return map[string]observed{} })}
}

// RecordAttempt records an attempt of a call that could be repeated elsewhere, and whether it took longer than the timeout of
// such an attempt, or was given up then.
func (e *Estimator) RecordAttempt(route string, slow bool, now time.Duration) {
	o := observed{attempts: 1}
	if slow {
		o.slow = 1
	}
	e.record(route, o, now)
}

// IsMostlySlow reports whether at least half of the attempts on a route were slow, so that it is not single endpoints that are.
func (e *Estimator) IsMostlySlow(route string, now time.Duration) bool {
	o := e.recent(route, now)
	return o.attempts >= minAttempts && 2*o.slow >= o.attempts
}

// record adds an observation on a route.
func (e *Estimator) record(route string, o observed, now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	current, _ := e.periods.Periods(now)
	current[route] = current[route].with(o)
}

// recent returns what was observed recently on a route.
func (e *Estimator) recent(route string, now time.Duration) observed {
	e.mu.Lock()
	defer e.mu.Unlock()
	current, previous := e.periods.Periods(now)
	return current[route].with(previous[route])
}
