package crashtracker

import (
	"slices"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/attributor"
	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
)

// Work identifies what endpoints do for one request. A crash counts against the work during which it happened.
type Work struct {
	// Run is the fingerprint of the request.
	Run quarantiner.Fingerprint
	// Prefill is the fingerprint of its prefill at another endpoint. It is zero if there is never one.
	Prefill quarantiner.Fingerprint
	// Parts holds what the run shares with others, and PrefillParts what its prefill does: the parts of the prompt but the last.
	Parts, PrefillParts []attributor.Feature
	// Trial is set once the request was sent although one of its parts is blamed.
	Trial bool
}

// Verdict says whether a request may be sent to an endpoint.
type Verdict struct {
	quarantiner.Verdict
	// Part is the blamed part because of which the request is refused or tried. It is zero if there is none.
	Part attributor.Feature
	// Trial is set if the request may be sent although Part is blamed, to see whether that still crashes endpoints. BeginTrial
	// must be called when it is sent.
	Trial bool
}

// The kinds of features that are the parts of prompts. Endpoints crash under a part when they run it or when they prefill it.
const (
	runPartKind attributor.Kind = iota + 1
	prefillPartKind
)

// WithParts returns the work with the parts of a prompt, by ID, in order. The last one belongs to the request itself. hasPrefill
// is set if the parts may be prefilled at another endpoint.
func (w Work) WithParts(ids []string, hasPrefill bool) Work {
	w.Parts, w.PrefillParts = nil, nil
	for i := range max(0, len(ids)-1) {
		w.Parts = append(w.Parts, attributor.NewFeature(runPartKind, ids[i]))
		if hasPrefill {
			w.PrefillParts = append(w.PrefillParts, attributor.NewFeature(prefillPartKind, ids[i]))
		}
	}
	return w
}

// Decide returns whether a request may be sent to an endpoint.
func (t *CrashTracker) Decide(f quarantiner.Fingerprint, now time.Duration) quarantiner.Verdict {
	t.quarantine.Exclude(t.parts, now)
	v := t.quarantine.Decide(f, now)
	if !v.Refused {
		v.RetryAfter = max(v.RetryAfter, t.openSuspicionRest(f, now))
	}
	return v
}

// DecideRun returns whether a run of a request may be sent to an endpoint. If its prefill crashes endpoints, it may run
// without one, unless a run has crashed an endpoint too.
func (t *CrashTracker) DecideRun(w Work, now time.Duration) Verdict {
	v := Verdict{Verdict: t.Decide(w.Run, now)}
	if v.Refused {
		return v
	}
	if w.Prefill != 0 && t.HasCrashed(w.Run, now) {
		if p := t.Decide(w.Prefill, now); p.Refused {
			return Verdict{Verdict: p}
		}
	}
	return t.decideParts(w, v, now)
}

// BeginTrial records that a request is sent to be run although parts of its prompt are blamed.
func (t *CrashTracker) BeginTrial(w Work, now time.Duration) {
	t.parts.BeginTrial(w.Parts, now)
}

// BeginPrefillTrial records that a prefill of a request is sent although parts of its prompt are blamed for such.
func (t *CrashTracker) BeginPrefillTrial(w Work, now time.Duration) {
	t.parts.BeginTrial(w.PrefillParts, now)
}

// EndTrial records that a request for which BeginTrial was called has ended without showing whether the parts crash endpoints.
func (t *CrashTracker) EndTrial(w Work) {
	t.parts.EndTrial(w.Parts)
}

// EndPrefillTrial is EndTrial for BeginPrefillTrial.
func (t *CrashTracker) EndPrefillTrial(w Work) {
	t.parts.EndTrial(w.PrefillParts)
}

// decideParts returns the verdict on the parts of a run, or v if they may be sent.
func (t *CrashTracker) decideParts(w Work, v Verdict, now time.Duration) Verdict {
	if w.Trial {
		return v
	}
	p := t.parts.Decide(w.Parts, now)
	if !p.Refused && !p.Trial && t.parts.IsBlamed(w.PrefillParts, now) && t.parts.HasCrashed(w.Parts) {
		p = t.parts.Decide(w.PrefillParts, now)
		p.Trial = false
	}
	switch {
	case p.Refused:
		return Verdict{Verdict: quarantiner.Verdict{Refused: true, RetryAfter: p.RetryAfter}, Part: p.Feature}
	case p.Trial:
		v.Part, v.Trial = p.Feature, true
	}
	return v
}

// DecidePrefill returns whether a prefill of a request may be sent to an endpoint.
func (t *CrashTracker) DecidePrefill(w Work, now time.Duration) Verdict {
	v := t.DecideRun(w, now)
	if v.Refused {
		return v
	}
	p := Verdict{Verdict: t.Decide(w.Prefill, now), Part: v.Part}
	p.RetryAfter = max(p.RetryAfter, v.RetryAfter)
	parts := t.parts.Decide(w.PrefillParts, now)
	p.Refused = p.Refused || parts.Refused
	p.Trial = parts.Trial
	return p
}

// openSuspicionRest returns how long a request has to wait because of suspicions that are not decided yet.
func (t *CrashTracker) openSuspicionRest(f quarantiner.Fingerprint, now time.Duration) time.Duration {
	var brokenAt []time.Duration
	for _, suspects := range t.suspects {
		i := slices.IndexFunc(suspects, func(s suspect) bool {
			return s.fingerprint == f && !s.served && !s.abandoned && now-s.disconnectedAt < openSuspicionTime
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
