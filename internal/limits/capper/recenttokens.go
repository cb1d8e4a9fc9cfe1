package capper

import (
	"math"
	"time"
)

const (
	// recentDecayTime is the time constant with which recent admissions decay.
	recentDecayTime = 3 * time.Second
	// recentMaxAge is the time without admissions after which none count as recent.
	recentMaxAge = 6 * time.Second
)

// recentTokens is an exponentially decaying sum of admitted tokens, as of the time of the latest admission.
type recentTokens struct {
	tokens float64
	at     time.Duration
}

// value returns the sum at the current time.
func (r recentTokens) value(now time.Duration) float64 {
	if r.tokens == 0 || now-r.at > recentMaxAge {
		return 0
	}
	return r.tokens * math.Exp(-max(0, now-r.at).Seconds()/recentDecayTime.Seconds())
}

// plus returns the sum after an admission at the current time.
func (r recentTokens) plus(tokens float64, now time.Duration) recentTokens {
	return recentTokens{tokens: r.value(now) + tokens, at: now}
}
