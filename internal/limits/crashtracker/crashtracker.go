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
}

// New returns a CrashTracker that remembers crashes for the given window and for at most limit requests.
func New(window time.Duration, limit int) *CrashTracker {
	return &CrashTracker{quarantine: quarantiner.New(window, limit), suspects: map[string][]suspect{}}
}

// RecordBrokenConnection records that the connection of a running request to an endpoint broke.
func (t *CrashTracker) RecordBrokenConnection(endpoint string, f quarantiner.Fingerprint, now time.Duration) {
	suspects := t.suspects[endpoint]
	if len(suspects) < maxSuspectsPerEndpoint {
		t.suspects[endpoint] = append(suspects, suspect{f, now})
	}
}

// RecordEndpointDown records that an endpoint is unreachable, and attributes the crash to its recent suspects.
func (t *CrashTracker) RecordEndpointDown(endpoint string, now time.Duration) {
	for _, s := range t.suspects[endpoint] {
		if now-s.disconnectedAt <= suspectTimeout {
			t.quarantine.RecordCrash(s.fingerprint, endpoint, now)
		}
	}
	delete(t.suspects, endpoint)
}

// RecordEndpointUp records that an endpoint answered. It has not crashed, so its suspects are cleared.
func (t *CrashTracker) RecordEndpointUp(endpoint string) {
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
