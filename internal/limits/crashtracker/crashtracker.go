// Package crashtracker finds the requests that crash endpoints. A request whose connection broke while it ran is
// suspected; it is blamed only when its endpoint then turns out to be down, for endpoints also lose answers while they
// live. A request blamed for two endpoints is not sent again.
package crashtracker

import (
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
)

const (
	// suspectTimeout is how long after a break an endpoint that is found down counts as crashed by what ran there.
	suspectTimeout = 2 * time.Second
	// maxSuspectsPerEndpoint bounds the suspects of one endpoint.
	maxSuspectsPerEndpoint = 64
)

type suspect struct {
	fingerprint    quarantiner.Fingerprint
	disconnectedAt time.Duration
}

// CrashTracker is not safe for concurrent use.
type CrashTracker struct {
	quarantine *quarantiner.Quarantiner
	suspects   map[string][]suspect
}

// New returns a crash tracker that keeps blames for a window, at most limit of them.
func New(window time.Duration, limit int) *CrashTracker {
	return &CrashTracker{quarantine: quarantiner.New(window, limit), suspects: map[string][]suspect{}}
}

// RecordBrokenConnection records that a request's connection to an endpoint broke while it ran.
func (t *CrashTracker) RecordBrokenConnection(endpoint string, f quarantiner.Fingerprint, now time.Duration) {
	suspects := t.suspects[endpoint]
	if len(suspects) < maxSuspectsPerEndpoint {
		t.suspects[endpoint] = append(suspects, suspect{f, now})
	}
}

// RecordEndpointDown records that an endpoint can't be reached.
func (t *CrashTracker) RecordEndpointDown(endpoint string, now time.Duration) {
	for _, s := range t.suspects[endpoint] {
		if now-s.disconnectedAt <= suspectTimeout {
			t.quarantine.RecordCrash(s.fingerprint, endpoint, now)
		}
	}
	delete(t.suspects, endpoint)
}

// RecordEndpointUp records that an endpoint answered: what broke there before did not crash it.
func (t *CrashTracker) RecordEndpointUp(endpoint string) {
	delete(t.suspects, endpoint)
}

// MustRefuse tells whether a request is not to be sent again.
func (t *CrashTracker) MustRefuse(f quarantiner.Fingerprint, now time.Duration) bool {
	return t.quarantine.IsRefused(f, now)
}

// CrashRecords returns the blames, for the other gateways, and Merge takes in theirs.
func (t *CrashTracker) CrashRecords(now time.Duration) []quarantiner.CrashRecord {
	return t.quarantine.CrashRecords(now)
}

// Merge takes in the blames of another gateway.
func (t *CrashTracker) Merge(records []quarantiner.CrashRecord, now time.Duration) {
	t.quarantine.Merge(records, now)
}
