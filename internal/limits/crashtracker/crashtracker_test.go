package crashtracker_test

import (
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/limits/crashtracker"
)

// poison and innocent are the fingerprints of a request that crashes endpoints and of one that does not.
const poison, innocent = 1, 2

// A request that crashes each endpoint that runs it must be stopped after the second crash, and only for the window.
func TestRequestThatCrashedTwoEndpointsIsSentAgain(t *testing.T) {
	tracker := crashtracker.New(time.Minute, 100)
	tracker.RecordBrokenConnection("a", poison, 0)
	tracker.RecordEndpointDown("a", time.Second)
	if tracker.MustRefuse(poison, time.Second) {
		t.Error("got a refusal after one crash, want none")
	}
	tracker.RecordBrokenConnection("b", poison, 2*time.Second)
	tracker.RecordEndpointDown("b", 3*time.Second)
	if !tracker.MustRefuse(poison, 3*time.Second) {
		t.Error("got no refusal after two crashes, want one")
	}
	if tracker.MustRefuse(poison, 3*time.Minute) {
		t.Error("got a refusal after the window, want none")
	}
}

// Endpoints can lose connections without crashing. A request whose endpoints answered afterwards must not be refused.
func TestBrokenConnectionWithoutCrashIsAttributed(t *testing.T) {
	tracker := crashtracker.New(time.Minute, 100)
	for _, endpoint := range []string{"a", "b", "c"} {
		tracker.RecordBrokenConnection(endpoint, innocent, 0)
		tracker.RecordEndpointUp(endpoint, time.Millisecond, time.Second)
		tracker.RecordEndpointDown(endpoint, time.Second)
	}
	if tracker.MustRefuse(innocent, time.Second) {
		t.Error("got a refusal for a request whose endpoints did not crash, want none")
	}
}

// The two crashes of a request may be seen by different gateways. They must add up.
func TestCrashSeenByPeerIsIgnored(t *testing.T) {
	a, b := crashtracker.New(time.Minute, 100), crashtracker.New(time.Minute, 100)
	a.RecordBrokenConnection("x", poison, 0)
	a.RecordEndpointDown("x", 0)
	b.RecordBrokenConnection("y", poison, 0)
	b.RecordEndpointDown("y", 0)
	b.Merge(a.CrashRecords(0), 0)
	if !b.MustRefuse(poison, 0) {
		t.Error("got no refusal after one own crash and one received from a peer, want one")
	}
}
