package attributor

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstTrialDelay is the time from a crash until a blamed feature is tried again. It doubles with each trial that ends in a
	// crash, up to maxTrialDelay.
	firstTrialDelay = 10 * time.Minute
	maxTrialDelay   = 12 * time.Hour
	// unknownTrialDelay is the delay of the first trial of a feature that is common among the broken runs, if too few runs
	// completed to say more.
	unknownTrialDelay = 30 * time.Second
	// tieTrialDelay is the delay of the first trial by a request that has only some of the features that tie, since its outcome
	// tells them apart.
	tieTrialDelay = time.Second
	// trialTimeout is how long a trial may take before another one is made.
	trialTimeout = 10 * time.Second
	// Processes that have not seen the latest crash themselves wait at least otherTrialFactor times as long, and up to
	// otherTrialSpread times longer, each another time.
	otherTrialFactor = 4
	otherTrialSpread = 8
	// minRetryAfter is the shortest time after which a refused request may be sent again.
	minRetryAfter = time.Second
)

// commonTrialDelays returns the delays of the first trials of a feature that many requests have.
func commonTrialDelays() []time.Duration {
	return []time.Duration{3 * time.Second, 30 * time.Second}
}

// Verdict says whether a request may be sent to an endpoint.
type Verdict struct {
	// Refused is set if the request must not be sent, because Feature crashes endpoints. RetryAfter is then the time until the
	// feature is tried again.
	Refused    bool
	RetryAfter time.Duration
	Feature    Feature
	// Trial is set if the request may be sent although it has a blamed feature, to see whether that still crashes endpoints.
	// BeginTrial must be called when it is sent.
	Trial bool
}

// Decide returns whether a request with the given features may be sent to an endpoint.
func (a *Attributor) Decide(features []Feature, now time.Duration) Verdict {
	a.evaluate(now)
	v := Verdict{}
	for _, f := range features {
		s := a.features[f]
		if s == nil || !s.blamed {
			continue
		}
		if wait := a.timeUntilTrial(f, s, features, now); !v.Refused || wait > v.RetryAfter {
			v = Verdict{Refused: true, RetryAfter: wait, Feature: f}
		}
	}
	if v.Refused && v.RetryAfter <= 0 {
		return Verdict{Trial: true, Feature: v.Feature}
	}
	if v.Refused {
		v.RetryAfter = max(v.RetryAfter, minRetryAfter)
	}
	return v
}

// IsBlamed reports whether requests with any of the features are refused.
func (a *Attributor) IsBlamed(features []Feature, now time.Duration) bool {
	a.evaluate(now)
	return slices.ContainsFunc(features, func(f Feature) bool { return a.features[f] != nil && a.features[f].blamed })
}

// HasCrashed reports whether a crash counts against any of the features.
func (a *Attributor) HasCrashed(features []Feature) bool {
	for _, r := range a.runs {
		for _, f := range r.features {
			if slices.Contains(features, f) && a.features[f].countsAt(r.crashedAt) {
				return true
			}
		}
	}
	return false
}

// Blamed returns the blamed features, in order.
func (a *Attributor) Blamed(now time.Duration) []Feature {
	a.evaluate(now)
	var out []Feature
	for f, s := range a.features {
		if s.blamed {
			out = append(out, f)
		}
	}
	slices.Sort(out)
	return out
}

// BeginTrial records that a request is sent although it has blamed features.
func (a *Attributor) BeginTrial(features []Feature, now time.Duration) {
	for _, f := range features {
		if s := a.features[f]; s != nil && s.blamed {
			s.tried, s.triedAt = true, now
		}
	}
}

// EndTrial records that a request that was sent although it has blamed features has ended, and that its run neither completed nor
// broke: it showed nothing, so the next one may be tried.
func (a *Attributor) EndTrial(features []Feature) {
	for _, f := range features {
		if s := a.features[f]; s != nil {
			s.tried = false
		}
	}
}

// timeUntilTrial returns the time until a blamed feature may be tried by a request with the given features.
func (a *Attributor) timeUntilTrial(f Feature, s *state, features []Feature, now time.Duration) time.Duration {
	at := s.lastCrashAt + a.trialDelay(f, s, features)
	if s.tried {
		at = max(at, s.triedAt+trialTimeout)
	}
	return at - now
}

// trialDelay returns the time from the latest crash to the next trial of a blamed feature at this process.
func (a *Attributor) trialDelay(f Feature, s *state, features []Feature) time.Duration {
	n := s.lateCrashes
	delay := maxTrialDelay
	common := commonTrialDelays()
	switch {
	case n == 0 && s.isToldApartBy(features):
		delay = tieTrialDelay
	case s.common && s.shareKnown && n < len(common):
		delay = common[n]
	case s.common && n == 0:
		delay = unknownTrialDelay
	case n < 8:
		delay = min(maxTrialDelay, firstTrialDelay<<n)
	}
	if s.isOwn {
		return delay
	}
	return time.Duration(float64(delay) * (otherTrialFactor + otherTrialSpread*a.spread(f)))
}

// isToldApartBy reports whether a request with the given features lacks a feature that ties with this one.
func (s *state) isToldApartBy(features []Feature) bool {
	return slices.ContainsFunc(s.tied, func(other Feature) bool { return !slices.Contains(features, other) })
}

// spread returns a number from 0 to 1 that differs between processes.
func (a *Attributor) spread(f Feature) float64 {
	b := binary.LittleEndian.AppendUint64(nil, uint64(f))
	b = binary.LittleEndian.AppendUint64(b, a.seed)
	return float64(xxhash.Sum64(b)>>11) / (1 << 53)
}
