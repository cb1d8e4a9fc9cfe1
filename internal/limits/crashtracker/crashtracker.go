// Package crashtracker attributes crashes of endpoints to the requests that were running there. A request becomes a
// suspect when its connection to an endpoint breaks, or when the gateway or the caller ends its attempt before the endpoint has
// answered, since a process may hang for a while before it ends. Endpoints also lose connections without crashing, so the crash
// counts against the request only once something shows that the process is gone: its address refuses connections or
// another process answers there, its entry is gone although it was not leaving, or it has started again. Only an answer
// of the process itself shows that it has not crashed; its address may be in use again by another process, and an
// endpoint may start again under its ID. Which request is the cause of the crashes that count is decided by package
// quarantiner, and which part of prompts that requests share by package attributor.
package crashtracker

import (
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/attributor"
	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
)

const (
	// suspectTimeout is how long a suspect waits for what shows whether the endpoint crashed. The entry of an endpoint
	// that crashed is gone within three heartbeats, or once the store is back.
	suspectTimeout = time.Minute
	// abandonedTimeout is the same for the suspect of an attempt that was ended from this side. Many are, and their endpoints
	// may end for any other reason later.
	abandonedTimeout = 10 * time.Second
	// restartListTimeout is how long the list may take to show that an endpoint has started again under its ID.
	restartListTimeout = 10 * time.Second
	// maxClockDifference is the largest difference between the clocks of a gateway and an endpoint.
	maxClockDifference = 2500 * time.Millisecond
	// A request under which maxSuspectedCrashes endpoints crashed or are suspected to have crashed waits until that is
	// decided, but not longer than openSuspicionTime.
	maxSuspectedCrashes = 3
	openSuspicionTime   = 5 * time.Second
	// maxSuspectsPerEndpoint bounds the memory; further suspects are dropped.
	maxSuspectsPerEndpoint = 64
	// departedTimeout is how long an endpoint that is no longer listed is remembered. It may serve what it has for a while
	// and then close its connections.
	departedTimeout = time.Minute
	// maxBrokenRuns limits the broken runs that are remembered for what their requests share.
	maxBrokenRuns = 512
)

// Endpoint is a listed endpoint.
type Endpoint struct {
	ID string
	// StartedAtMs is the Unix time of its start in ms, or zero if it is not known.
	StartedAtMs int64
	Leaving     bool
}

// startedAfter reports whether the endpoint has started again since an earlier state of the list. It is false if either
// start is not known: peers of older builds do not send it.
func (e Endpoint) startedAfter(before Endpoint) bool {
	return before.StartedAtMs != 0 && e.StartedAtMs > before.StartedAtMs
}

// Run is a run or a prefill of a request at an endpoint.
type Run struct {
	Fingerprint quarantiner.Fingerprint
	// Parts holds what the run shares with those of other requests.
	Parts []attributor.Feature
	// StartedAt is when it was sent to the endpoint.
	StartedAt time.Duration
}

// CrashTracker holds the suspects of each endpoint and the attributed crashes. It is not safe for concurrent use.
type CrashTracker struct {
	quarantine *quarantiner.Quarantiner
	parts      *attributor.Attributor
	served     *recentSet
	suspects   map[string][]suspect
	// cleared holds the suspects that an answer has cleared, by endpoint, until it is known that this was not the answer of
	// an endpoint that had started again under the ID.
	cleared map[string][]suspect
	// listed holds the listed endpoints by ID. departed holds when endpoints were listed for the last time.
	listed   map[string]Endpoint
	departed map[string]time.Duration
	// outcomes holds the decisions since the last call of TakeOutcomes.
	outcomes []Outcome
}

// New returns a CrashTracker that remembers crashes for the given window and for at most limit requests.
func New(window time.Duration, limit int) *CrashTracker {
	return &CrashTracker{
		quarantine: quarantiner.New(window, limit), parts: attributor.New(window, maxBrokenRuns), served: newRecentSet(), suspects: map[string][]suspect{},
		cleared: map[string][]suspect{}, listed: map[string]Endpoint{}, departed: map[string]time.Duration{},
	}
}

// SetEndpoints replaces the endpoint list. Endpoints that are no longer listed, although they were not leaving, or that
// have started again have crashed. wall is the time of day at now.
func (t *CrashTracker) SetEndpoints(endpoints []Endpoint, now time.Duration, wall time.Time) {
	listed := make(map[string]Endpoint, len(endpoints))
	for _, e := range endpoints {
		listed[e.ID] = e
	}
	for id, before := range t.listed {
		e, ok := listed[id]
		switch {
		case before.Leaving:
			t.decideAll(id, EndpointLeaving, EntryLeaving, now)
		case !ok:
			t.countAll(id, EntryGone, now)
		case e.startedAfter(before):
			startedAt := now - wall.Sub(time.UnixMilli(e.StartedAtMs))
			t.restoreAnsweredAfter(id, startedAt-maxClockDifference)
			t.countAll(id, NewStart, now)
		}
		if !ok {
			t.departed[id] = now
		}
	}
	for id, at := range t.departed {
		if _, ok := listed[id]; ok || now-at > departedTimeout {
			delete(t.departed, id)
		}
	}
	t.listed = listed
}

// IsLeaving reports whether an endpoint is leaving or has left the list. Until the first list, none is.
func (t *CrashTracker) IsLeaving(endpoint string) bool {
	_, departed := t.departed[endpoint]
	return departed || t.listed[endpoint].Leaving
}

// RecordBrokenConnection records that the connection of a run to an endpoint broke. It returns false if that can't count
// against the request.
func (t *CrashTracker) RecordBrokenConnection(endpoint string, r Run, now time.Duration) bool {
	s := t.newSuspect(r, now)
	suspects := t.suspects[endpoint]
	switch {
	case t.IsLeaving(endpoint):
		t.decide(endpoint, s, EndpointLeaving, EntryLeaving, now)
		return false
	case s.served && len(s.parts) == 0:
		t.decide(endpoint, s, RecentlyServed, RequestCompleted, now)
		return false
	case len(suspects) >= maxSuspectsPerEndpoint:
		t.decide(endpoint, s, TooManySuspects, NoEvidence, now)
		return false
	}
	t.suspects[endpoint] = append(suspects, s)
	return true
}

// RecordAbandonedRun records that the attempt of a run at an endpoint was ended from this side while it may have been in progress.
// If the process of the endpoint ends within abandonedTimeout and has answered nothing since, that counts like a broken
// connection. A process that only hung answers again, and one that was taken away was leaving.
func (t *CrashTracker) RecordAbandonedRun(endpoint string, r Run, now time.Duration) {
	s := t.newSuspect(r, now)
	s.abandoned = true
	suspects := t.suspects[endpoint]
	if t.IsLeaving(endpoint) || (s.served && len(s.parts) == 0) || len(suspects) >= maxSuspectsPerEndpoint {
		return
	}
	t.suspects[endpoint] = append(suspects, s)
}

// RecordEndpointDown records that the process of an endpoint is gone: its address refused a connection, or another process
// answered there. The crash counts against its suspects.
func (t *CrashTracker) RecordEndpointDown(endpoint string, e Evidence, now time.Duration) {
	if t.IsLeaving(endpoint) {
		t.decideAll(endpoint, EndpointLeaving, EntryLeaving, now)
		return
	}
	t.countAll(endpoint, e, now)
}

// RecordProcessRunning records that the process of an endpoint answered an attempt that began at the given time. It has
// not crashed, so the suspects whose connections broke until then are cleared.
func (t *CrashTracker) RecordProcessRunning(endpoint string, attemptedAt, now time.Duration) {
	t.clear(endpoint, ProcessRunning, attemptedAt, now)
}

// RecordEndpointUp records that an endpoint with the ID answered an attempt that began at the given time. The suspects
// whose connections broke until then are cleared, unless the list shows soon that it has started again before the answer.
func (t *CrashTracker) RecordEndpointUp(endpoint string, attemptedAt, now time.Duration) {
	for _, s := range t.clear(endpoint, AnswerReceived, attemptedAt, now) {
		s.answeredAt = now
		if len(t.cleared[endpoint]) < maxSuspectsPerEndpoint {
			t.cleared[endpoint] = append(t.cleared[endpoint], s)
		}
	}
}

// RecordServed records that a run of a request completed, so that the request is not the cause of any crash so far, and the
// parts of its prompt not that of any before the run began.
func (t *CrashTracker) RecordServed(r Run, now time.Duration) {
	t.served.add(r.Fingerprint, now)
	t.quarantine.Clear(r.Fingerprint, now)
	t.parts.RecordServed(r.Parts, r.StartedAt, now)
	for endpoint := range t.cleared {
		keep(t.cleared, endpoint, func(s suspect) bool { return s.fingerprint != r.Fingerprint || len(s.parts) > 0 })
	}
	for endpoint, suspects := range t.suspects {
		for i := range suspects {
			if s := &suspects[i]; s.fingerprint == r.Fingerprint && !s.served {
				s.served = true
				t.decide(endpoint, *s, RecentlyServed, RequestCompleted, now)
			}
		}
		t.keepSuspects(endpoint, func(s suspect) bool { return !s.served || len(s.parts) > 0 })
	}
}

// HasCrashed returns whether any crash counts against a request.
func (t *CrashTracker) HasCrashed(f quarantiner.Fingerprint, now time.Duration) bool {
	t.quarantine.Exclude(t.parts, now)
	return t.quarantine.IsSuspect(f, now)
}

// HasSuspects returns whether requests are suspected of a crash of an endpoint that is not decided yet.
func (t *CrashTracker) HasSuspects(endpoint string) bool {
	return len(t.suspects[endpoint]) > 0
}

// MustRefuse returns whether a request must not be sent again because it crashes endpoints.
func (t *CrashTracker) MustRefuse(f quarantiner.Fingerprint, now time.Duration) bool {
	t.quarantine.Exclude(t.parts, now)
	return t.quarantine.IsRefused(f, now)
}

// RefusedRequests returns the requests that must not be sent.
func (t *CrashTracker) RefusedRequests(now time.Duration) []quarantiner.Fingerprint {
	t.quarantine.Exclude(t.parts, now)
	return t.quarantine.RefusedRequests(now)
}

// CrashRecords returns all crashes that count, to be sent to the peers.
func (t *CrashTracker) CrashRecords(now time.Duration) []quarantiner.CrashRecord {
	return t.quarantine.CrashRecords(now)
}

// NextCrashRecords returns the records for the next message to the peers: at most maxChanges that this gateway has changed
// recently, and at most maxOthers in turn. For a peer that has just started, newPeerRecords are added, those of refused requests
// first: most records are of requests that were running at a single crash.
func (t *CrashTracker) NextCrashRecords(maxChanges, maxOthers, newPeerRecords int, now time.Duration) []quarantiner.CrashRecord {
	t.quarantine.Exclude(t.parts, now)
	refused := t.quarantine.RefusedRecords(newPeerRecords, now)
	return append(t.quarantine.NextCrashRecords(maxChanges, max(maxOthers, newPeerRecords-len(refused)), now), refused...)
}

// Merge adds the crash records received from a peer.
func (t *CrashTracker) Merge(records []quarantiner.CrashRecord, now time.Duration) {
	t.quarantine.Merge(records, now)
}

// NextPartReports returns what the next message tells the peers about the parts of prompts, see attributor.NextReports. For a
// peer that has just started, newPeerRuns broken runs with blamed parts and the shares of these are added.
func (t *CrashTracker) NextPartReports(maxChanges, maxOthers, newPeerRuns int, now time.Duration) attributor.Reports {
	out := t.parts.NextReports(maxChanges, maxOthers, now)
	if newPeerRuns > 0 {
		blamed := t.parts.BlamedReports(newPeerRuns, now)
		out.Runs, out.Shares = append(out.Runs, blamed.Runs...), blamed.Shares
	}
	return out
}

// MergeParts adds what a peer told about the parts of prompts.
func (t *CrashTracker) MergeParts(r attributor.Reports, now time.Duration) {
	t.parts.Merge(r, now)
}

// BlamedParts returns the parts of prompts with which requests are refused.
func (t *CrashTracker) BlamedParts(now time.Duration) []attributor.Feature {
	return t.parts.Blamed(now)
}

// TakePartChanges returns the parts that became blamed or stopped being blamed since its last call.
func (t *CrashTracker) TakePartChanges(now time.Duration) []attributor.Change {
	return t.parts.TakeChanges(now)
}

// TakeOutcomes returns the decisions since its last call.
func (t *CrashTracker) TakeOutcomes() []Outcome {
	out := t.outcomes
	t.outcomes = nil
	return out
}
