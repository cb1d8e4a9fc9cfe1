package crashtracker

import (
	"slices"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/attributor"
	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
)

// suspect is a run whose connection to an endpoint broke, or was closed from this side.
type suspect struct {
	fingerprint    quarantiner.Fingerprint
	parts          []attributor.Feature
	startedAt      time.Duration
	disconnectedAt time.Duration
	// abandoned is set if the connection was closed from this side while the run may have been in progress.
	abandoned bool
	// served is set if the request itself is not suspected, as it completed elsewhere. Its parts still are.
	served bool
	// answeredAt is when an endpoint with the ID answered, if the suspect was cleared by that.
	answeredAt time.Duration
}

// newSuspect returns the suspect of a run whose connection ended now.
func (t *CrashTracker) newSuspect(r Run, now time.Duration) suspect {
	return suspect{
		fingerprint: r.Fingerprint, parts: r.Parts, startedAt: r.StartedAt, disconnectedAt: now, served: t.served.contains(r.Fingerprint, now),
	}
}

// isOpen reports whether the suspect still waits for what shows whether its endpoint crashed.
func (s suspect) isOpen(now time.Duration) bool {
	timeout := suspectTimeout
	if s.abandoned {
		timeout = abandonedTimeout
	}
	return now-s.disconnectedAt <= timeout
}

// crash returns the crash of the suspect's endpoint at the given time.
func (s suspect) crash(endpoint string, at, now time.Duration) quarantiner.Crash {
	c := quarantiner.Crash{Endpoint: endpoint, Age: now - at}
	if s.startedAt > 0 {
		c.Duration = at - s.startedAt
	}
	return c
}

// clear removes and returns the suspects of an endpoint whose connections broke before an attempt that was answered.
func (t *CrashTracker) clear(endpoint string, e Evidence, attemptedAt, now time.Duration) []suspect {
	if len(t.suspects[endpoint]) == 0 {
		return nil
	}
	var out []suspect
	t.keepSuspects(endpoint, func(s suspect) bool {
		if s.disconnectedAt > attemptedAt {
			return true
		}
		t.decide(endpoint, s, EndpointAnswered, e, now)
		out = append(out, s)
		return false
	})
	return out
}

// restoreAnsweredAfter makes suspects again of those that were cleared by an answer after the given time.
func (t *CrashTracker) restoreAnsweredAfter(endpoint string, at time.Duration) {
	for _, s := range t.cleared[endpoint] {
		if s.answeredAt >= at {
			t.suspects[endpoint] = append(t.suspects[endpoint], s)
		}
	}
	delete(t.cleared, endpoint)
}

// ExpireSuspects drops the suspects that have waited for too long. It must be called regularly.
func (t *CrashTracker) ExpireSuspects(now time.Duration) {
	for endpoint := range t.cleared {
		keep(t.cleared, endpoint, func(s suspect) bool { return now-s.answeredAt <= restartListTimeout })
	}
	for endpoint := range t.suspects {
		t.keepSuspects(endpoint, func(s suspect) bool {
			if s.isOpen(now) {
				return true
			}
			t.decide(endpoint, s, NothingFound, NoEvidence, now)
			return false
		})
	}
}

// countAll counts a crash against all suspects of an endpoint whose time is not over.
func (t *CrashTracker) countAll(endpoint string, e Evidence, now time.Duration) {
	t.keepSuspects(endpoint, func(s suspect) bool { return s.isOpen(now) })
	suspects := t.suspects[endpoint]
	delete(t.suspects, endpoint)
	for _, s := range suspects {
		crashedAt := t.crashTime(endpoint, s, suspects, now)
		t.parts.RecordCrash(attributor.Run{
			Request: uint32(s.fingerprint), Endpoint: endpoint, Age: now - crashedAt, //nolint:gosec // a part of the digest
			Duration: crashedAt - s.startedAt, Features: s.parts,
		}, now)
		if !s.served {
			t.quarantine.RecordEarlierCrash(s.fingerprint, s.crash(endpoint, crashedAt, now), now)
		}
	}
	// All suspects count before any of them is judged.
	for _, s := range suspects {
		d := Counted
		if s.served {
			d = PartsCounted
		}
		t.decide(endpoint, s, d, e, now)
	}
}

// crashTime returns when an endpoint crashed under a suspect. A broken connection broke at that time. An abandoned run only shows
// that it was later: the time is that of the connections that broke since, or of the crash that others have reported, or now.
// All that is known of one crash must have one time, or it counts as several.
func (t *CrashTracker) crashTime(endpoint string, s suspect, suspects []suspect, now time.Duration) time.Duration {
	if !s.abandoned {
		return s.disconnectedAt
	}
	crashedAt := time.Duration(-1)
	for _, other := range suspects {
		if !other.abandoned && other.disconnectedAt >= s.disconnectedAt {
			crashedAt = max(crashedAt, other.disconnectedAt)
		}
	}
	if crashedAt >= 0 {
		return crashedAt
	}
	if at, ok := t.quarantine.LastCrashAt(endpoint); ok && at >= s.disconnectedAt {
		return at
	}
	return now
}

// decideAll records the same decision on all suspects of an endpoint and removes them.
func (t *CrashTracker) decideAll(endpoint string, d Decision, e Evidence, now time.Duration) {
	for _, s := range t.suspects[endpoint] {
		t.decide(endpoint, s, d, e, now)
	}
	delete(t.suspects, endpoint)
}

// keepSuspects removes the suspects of an endpoint for which wanted returns false.
func (t *CrashTracker) keepSuspects(endpoint string, wanted func(s suspect) bool) {
	keep(t.suspects, endpoint, wanted)
}

// keep removes the suspects of an endpoint from a map for which wanted returns false.
func keep(suspects map[string][]suspect, endpoint string, wanted func(s suspect) bool) {
	kept := slices.DeleteFunc(suspects[endpoint], func(s suspect) bool { return !wanted(s) })
	if len(kept) == 0 {
		delete(suspects, endpoint)
		return
	}
	suspects[endpoint] = kept
}

// decide records the decision on a suspect and its evidence, but not that an abandoned run was no crash: most are none.
func (t *CrashTracker) decide(endpoint string, s suspect, d Decision, e Evidence, now time.Duration) {
	if s.abandoned && d != Counted && d != PartsCounted {
		return
	}
	t.outcomes = append(t.outcomes, Outcome{
		Endpoint: endpoint, Fingerprint: s.fingerprint, Decision: d, Evidence: e, Age: now - s.disconnectedAt,
		Refused: d == Counted && t.MustRefuse(s.fingerprint, now),
	})
}
