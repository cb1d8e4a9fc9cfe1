package balancer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/routing/balancer"
)

// newBalancer returns a balancer in failure domain a, with two endpoints of service s, of which near is in the same
// failure domain, and one endpoint of another service.
func newBalancer() *balancer.Balancer {
	b := balancer.New("a", rand.New(rand.NewPCG(1, 1)), nil)
	b.SetEndpoints([]balancer.Endpoint{
		{ID: "near", Service: "s", Domain: "a", Slots: 4},
		{ID: "far", Service: "s", Domain: "b", Slots: 4},
		{ID: "other", Service: "t", Domain: "a", Slots: 4},
	})
	return b
}

// Guards against requests that cross failure domains without need, and against an overload of the endpoint of the own
// domain while others are idle.
func TestEndpointOfOwnDomainIsPreferredUntilBusier(t *testing.T) {
	b := newBalancer()
	got := map[string]int{}
	for range 6 {
		got[b.Acquire("s", nil, 0).ID]++
	}
	if got["near"] < got["far"] || got["far"] == 0 {
		t.Errorf("got %v requests per endpoint, want at least as many on near as on far and at least one on far", got)
	}
}

// Guards against further requests to an endpoint that fails them all, and against an endpoint that stays unused after
// it has recovered.
func TestFailingEndpointIsAvoidedUntilItsFailuresDecay(t *testing.T) {
	b := newBalancer()
	for range 20 {
		b.RecordOutcome("near", false, 0)
	}
	if e := b.Acquire("s", nil, 0); e.ID != "far" {
		t.Fatal("got an endpoint whose requests all failed, want far")
	}
	b.Release("far")
	if e := b.Acquire("s", nil, 20*time.Second); e.ID != "near" {
		t.Error("got far, want near 20 s after its last failure")
	}
}

// If all endpoints of a service are ejected, a balancer that chooses none of them refuses requests although one of the
// endpoints may work again.
func TestEjectedEndpointIsUsedWhenAllAreEjected(t *testing.T) {
	b := newBalancer()
	b.RecordConnectionFailure("near", 0)
	b.RecordConnectionFailure("far", 0)
	if b.Acquire("s", nil, 0) == nil {
		t.Error("got no endpoint, want one of the two ejected endpoints")
	}
}

// Guards against a second attempt of a request at an endpoint that has already failed it.
func TestExcludedEndpointsAreNotChosen(t *testing.T) {
	b := newBalancer()
	if e := b.Acquire("s", map[string]bool{"near": true, "far": true}, 0); e != nil {
		t.Errorf("got %s, want no endpoint after both have failed the request", e.ID)
	}
}

// Guards against a gateway that counts only its own requests and regards an endpoint as idle that is busy with requests
// of other gateways.
func TestRequestsReportedByEndpointCount(t *testing.T) {
	b := newBalancer()
	b.ReportActiveRequests("near", 12, 0)
	if e := b.Acquire("s", nil, 0); e.ID != "far" {
		t.Error("got the endpoint that reports twelve requests, want the idle one")
	}
}

// Each of thirty gateways gets responses from an endpoint too rarely to know its load, so gateways exchange the
// reports. If an older report of a peer replaces a newer one, a busy endpoint looks idle.
func TestOlderReportDoesNotReplaceNewerReport(t *testing.T) {
	b := newBalancer()
	b.ReportActiveRequests("near", 12, 2*time.Second)
	b.ReportActiveRequests("near", 0, time.Second)
	if e := b.Acquire("s", nil, 2*time.Second); e.ID != "far" {
		t.Error("got near, want far because the newer report says that near is busy")
	}
	if got := b.RecentReports(2*time.Second + 100*time.Millisecond); got["near"] !=
		(balancer.ActiveRequestsReport{Requests: 12, Age: 100 * time.Millisecond}) {
		t.Errorf("got reports %v, want 12 requests at an age of 100 ms for near", got)
	}
}
