// Package crashtracker attributes crashes of endpoints to the requests that were running there. A request becomes a
// suspect when its connection to an endpoint breaks. The crash is attributed to it only if the endpoint then turns out
// to be unreachable, because endpoints also lose connections without crashing. A request to which crashes of two
// endpoints are attributed must not be sent again.
package crashtracker

import (
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
)

const (
	// suspectTimeout is how long a suspect is kept: a crash found later than this after the connection broke is not
	// attributed to the request.
	suspectTimeout = 2 * time.Second
	// maxSuspectsPerEndpoint bounds the memory; further suspects are dropped.
	maxSuspectsPerEndpoint = 64
)

// suspect is a request whose connection to an endpoint broke while it was running.
type suspect struct {
	fingerprint    quarantiner.Fingerprint
	disconnectedAt time.Duration
}

// CrashTracker holds the suspects of each endpoint and the attributed crashes. It is not safe for concurrent use.
type CrashTracker struct {
	quarantine *quarantiner.Quarantiner
	suspects   map[string][]suspect
	// outcomes holds the decisions since the last call of TakeOutcomes.
	outcomes []Outcome
}

// Decision is what became of a suspect.
type Decision string

// The decisions on a suspect. They appear in the logs.
const (
	// Counted means that the crash counts against the request.
	Counted Decision = "counted"
	// EndpointAnswered means that the endpoint answered afterwards, so that it has not crashed.
	EndpointAnswered Decision = "endpoint answered"
	// FoundTooLate means that the endpoint was found unreachable after suspectTimeout.
	FoundTooLate Decision = "found too late"
	// NothingFound means that the endpoint was neither found unreachable nor answered within suspectTimeout.
	NothingFound Decision = "nothing found"
	// TooManySuspects means that the endpoint has maxSuspectsPerEndpoint others.
	TooManySuspects Decision = "too many suspects"
)

// Outcome says whether a crash of an endpoint counts against a request, and why not.
type Outcome struct {
	Endpoint    string
	Fingerprint quarantiner.Fingerprint
	Decision    Decision
	// Age is the time since the connection broke.
	Age time.Duration
}

// New returns a CrashTracker that remembers crashes for the given window and for at most limit requests.
func New(window time.Duration, limit int) *CrashTracker {
	return &CrashTracker{quarantine: quarantiner.New(window, limit), suspects: map[string][]suspect{}}
}

// RecordBrokenConnection records that the connection of a running request to an endpoint broke.
func (t *CrashTracker) RecordBrokenConnection(endpoint string, f quarantiner.Fingerprint, now time.Duration) {
	suspects := t.suspects[endpoint]
	if len(suspects) >= maxSuspectsPerEndpoint {
		t.decide(endpoint, suspect{f, now}, TooManySuspects, now)
		return
	}
	t.suspects[endpoint] = append(suspects, suspect{f, now})
}

// TakeOutcomes returns the decisions since its last call, and those on suspects that are too old to be decided.
func (t *CrashTracker) TakeOutcomes(now time.Duration) []Outcome {
	for endpoint, suspects := range t.suspects {
		kept := suspects[:0]
		for _, s := range suspects {
			if now-s.disconnectedAt <= 2*suspectTimeout {
				kept = append(kept, s)
				continue
			}
			t.decide(endpoint, s, NothingFound, now)
		}
		t.suspects[endpoint] = kept
		if len(kept) == 0 {
			delete(t.suspects, endpoint)
		}
	}
	out := t.outcomes
	t.outcomes = nil
	return out
}

// decide records the decision on a suspect.
func (t *CrashTracker) decide(endpoint string, s suspect, d Decision, now time.Duration) {
	t.outcomes = append(t.outcomes, Outcome{
		Endpoint: endpoint, Fingerprint: s.fingerprint, Decision: d, Age: now - s.disconnectedAt,
	})
}

// RecordEndpointDown records that an endpoint is unreachable, and attributes the crash to its recent suspects.
func (t *CrashTracker) RecordEndpointDown(endpoint string, now time.Duration) {
	for _, s := range t.suspects[endpoint] {
		if now-s.disconnectedAt > suspectTimeout {
			t.decide(endpoint, s, FoundTooLate, now)
			continue
		}
		t.quarantine.RecordCrash(s.fingerprint, endpoint, now)
		t.decide(endpoint, s, Counted, now)
	}
	delete(t.suspects, endpoint)
}

// RecordEndpointUp records that an endpoint answered. It has not crashed, so its suspects are cleared.
func (t *CrashTracker) RecordEndpointUp(endpoint string, now time.Duration) {
	for _, s := range t.suspects[endpoint] {
		t.decide(endpoint, s, EndpointAnswered, now)
	}
	delete(t.suspects, endpoint)
}

// MustRefuse returns whether a request must not be sent again because it crashed two endpoints within the window.
func (t *CrashTracker) MustRefuse(f quarantiner.Fingerprint, now time.Duration) bool {
	return t.quarantine.IsRefused(f, now)
}

// CrashRecords returns the attributed crashes that are younger than the window, to be sent to the peers.
func (t *CrashTracker) CrashRecords(now time.Duration) []quarantiner.CrashRecord {
	return t.quarantine.CrashRecords(now)
}

// Merge adds the crash records received from a peer.
func (t *CrashTracker) Merge(records []quarantiner.CrashRecord, now time.Duration) {
	t.quarantine.Merge(records, now)
}
