// Package estimator learns how long requests take, by route, from those that ended recently. It answers how long a request
// will take at most, as far as its like show, and whether most attempts on a route take longer than an attempt is meant to.
package estimator

import (
	"sync"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/rotator"
)

const (
	// periodTime is how long an observation counts at least. It counts at most twice as long.
	periodTime = time.Minute
	// minObservations is the number of observations on a route from which on its durations are known.
	minObservations = 5
	// margin is the factor by which a request may take longer than the longest one observed.
	margin = 1.25
	// minAttempts is the number of attempts on a route from which on it is known how many are slow.
	minAttempts = 3
)

// Estimator holds the recent durations of requests by route. It is safe for concurrent use. Its times are durations since any
// fixed start.
type Estimator struct {
	// mu guards periods.
	mu      sync.Mutex
	periods *rotator.Rotator[map[string]observed]
}

// observed is what was observed on one route in one period.
type observed struct {
	// calls and generations count the completed requests of either kind.
	calls, generations int
	// longestCall is the longest duration of a call. longestStart is the longest time until the first output of a generation,
	// longestToken the longest mean time of each of its further tokens.
	longestCall, longestStart, longestToken time.Duration
	// attempts counts the attempts of calls that could be repeated elsewhere, slow those that took longer than their timeout.
	attempts, slow int
}

// with returns what was observed in both of two periods.
func (o observed) with(other observed) observed {
	return observed{
		calls: o.calls + other.calls, generations: o.generations + other.generations,
		longestCall: max(o.longestCall, other.longestCall), longestStart: max(o.longestStart, other.longestStart),
		longestToken: max(o.longestToken, other.longestToken),
		attempts:     o.attempts + other.attempts, slow: o.slow + other.slow,
	}
}

// New returns an Estimator that knows nothing.
func New() *Estimator {
	return &Estimator{periods: rotator.New(periodTime, func() map[string]observed { return map[string]observed{} })}
}

// RecordCall records that a call took a time.
func (e *Estimator) RecordCall(route string, took, now time.Duration) {
	e.record(route, observed{calls: 1, longestCall: took}, now)
}

// RecordGeneration records a completed generation: the time until its first output, and the time of its further output, which
// had the given number of tokens.
func (e *Estimator) RecordGeneration(route string, start, rest time.Duration, tokens int, now time.Duration) {
	e.record(route, observed{generations: 1, longestStart: start, longestToken: rest / time.Duration(max(1, tokens))}, now)
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

// CallTime returns how long a call takes at most. ok is false if too few are known.
func (e *Estimator) CallTime(route string, now time.Duration) (d time.Duration, ok bool) {
	o := e.recent(route, now)
	return withMargin(o.longestCall), o.calls >= minObservations
}

// GenerationTime returns how long a generation takes at most that may have the given number of output tokens. ok is false if too
// few are known.
func (e *Estimator) GenerationTime(route string, maxTokens int, now time.Duration) (d time.Duration, ok bool) {
	o := e.recent(route, now)
	tokens := time.Duration(maxTokens)
	if o.longestToken > 0 && tokens > time.Hour/o.longestToken {
		return time.Hour, o.generations >= minObservations
	}
	return withMargin(o.longestStart + o.longestToken*tokens), o.generations >= minObservations
}

// IsMostlySlow reports whether at least half of the attempts on a route were slow, so that it is not single endpoints that are.
func (e *Estimator) IsMostlySlow(route string, now time.Duration) bool {
	o := e.recent(route, now)
	return o.attempts >= minAttempts && 2*o.slow >= o.attempts
}

// withMargin returns a duration with the margin.
func withMargin(d time.Duration) time.Duration {
	return time.Duration(margin * float64(d))
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
