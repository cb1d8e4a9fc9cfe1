package crashtracker

import (
	"slices"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
)

// Work identifies what endpoints do for one request. A crash counts against the work during which it happened.
type Work struct {
	// Run is the fingerprint of the request.
	Run quarantiner.Fingerprint
	// Prefill is the fingerprint of its prefill at another endpoint. It is zero if there is never one.
	Prefill quarantiner.Fingerprint
}

// Decide returns whether a request may be sent to an endpoint.
func (t *CrashTracker) Decide(f quarantiner.Fingerprint, now time.Duration) quarantiner.Verdict {
	v := t.quarantine.Decide(f, now)
	if !v.Refused {
		v.RetryAfter = max(v.RetryAfter, t.openSuspicionRest(f, now))
	}
	return v
}

// DecideRun returns whether a run of a request may be sent to an endpoint. If its prefill crashes endpoints, it may run
// without one, unless a run has crashed an endpoint too.
func (t *CrashTracker) DecideRun(w Work, now time.Duration) quarantiner.Verdict {
	v := t.Decide(w.Run, now)
	if v.Refused || w.Prefill == 0 || !t.HasCrashed(w.Run, now) {
		return v
	}
	if p := t.Decide(w.Prefill, now); p.Refused {
		return p
	}
	return v
}

// DecidePrefill returns whether a prefill of a request may be sent to an endpoint.
func (t *CrashTracker) DecidePrefill(w Work, now time.Duration) quarantiner.Verdict {
	v := t.DecideRun(w, now)
	if v.Refused {
		return v
	}
	p := t.Decide(w.Prefill, now)
	p.RetryAfter = max(p.RetryAfter, v.RetryAfter)
	return p
}

// openSuspicionRest returns how long a request has to wait because of suspicions that are not decided yet.
func (t *CrashTracker) openSuspicionRest(f quarantiner.Fingerprint, now time.Duration) time.Duration {
	var brokenAt []time.Duration
	for _, suspects := range t.suspects {
		i := slices.IndexFunc(suspects, func(s suspect) bool {
			return s.fingerprint == f && now-s.disconnectedAt < openSuspicionTime
		})
		if i >= 0 {
			brokenAt = append(brokenAt, suspects[i].disconnectedAt)
		}
	}
	enough := max(1, maxSuspectedCrashes-t.quarantine.CrashCount(f, now))
	if len(brokenAt) < enough {
		return 0
	}
	slices.Sort(brokenAt)
	return brokenAt[len(brokenAt)-enough] + openSuspicionTime - now
}
