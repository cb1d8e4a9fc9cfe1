package balancer_test

import (
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/routing/balancer"
)

func newBalancer() *balancer.Balancer {
	b := balancer.New("a")
	b.SetEndpoints([]balancer.Endpoint{
		{ID: "near", Service: "s", Domain: "a", Slots: 4},
		{ID: "far", Service: "s", Domain: "b", Slots: 4},
		{ID: "other", Service: "t", Domain: "a", Slots: 4},
	})
	return b
}

func TestEndpointOfOwnDomainIsPreferredUntilBusier(t *testing.T) {
	b := newBalancer()
	got := map[string]int{}
	for range 6 {
		got[b.Acquire("s", nil, 0).ID]++
	}
	if got["near"] < got["far"] || got["far"] == 0 {
		t.Errorf("got %v, want more on the near endpoint and some on the far one", got)
	}
}

func TestFailingEndpointIsAvoidedUntilItsFailuresDecay(t *testing.T) {
	b := newBalancer()
	for range 20 {
		b.RecordOutcome("near", false, 0)
	}
	if e := b.Acquire("s", nil, 0); e.ID != "far" {
		t.Fatal("an endpoint whose answers all fail was chosen")
	}
	b.Release("far")
	if e := b.Acquire("s", nil, 20*time.Second); e.ID != "near" {
		t.Error("an endpoint was not forgiven after 20 s")
	}
}

// All endpoints out of reach: the least bad is still tried, for health may have returned.
func TestEjectedEndpointIsUsedWhenAllAreEjected(t *testing.T) {
	b := newBalancer()
	b.RecordConnectionFailure("near", 0)
	b.RecordConnectionFailure("far", 0)
	if b.Acquire("s", nil, 0) == nil {
		t.Error("nobody was chosen although endpoints are listed")
	}
}

func TestExcludedEndpointsAreNotChosen(t *testing.T) {
	b := newBalancer()
	if e := b.Acquire("s", map[string]bool{"near": true, "far": true}, 0); e != nil {
		t.Errorf("got %s although both failed the request", e.ID)
	}
}

func TestRequestsReportedByEndpointCount(t *testing.T) {
	b := newBalancer()
	b.ReportActiveRequests("near", 12, 0)
	if e := b.Acquire("s", nil, 0); e.ID != "far" {
		t.Error("an endpoint that reports twelve requests was chosen over an idle one")
	}
}

// Thirty gateways each hear from an endpoint too seldom to know its load; they tell each other.
func TestOlderReportDoesNotReplaceNewerReport(t *testing.T) {
	b := newBalancer()
	b.ReportActiveRequests("near", 12, 2*time.Second)
	b.ReportActiveRequests("near", 0, time.Second)
	if e := b.Acquire("s", nil, 2*time.Second); e.ID != "far" {
		t.Error("an older report replaced a newer one")
	}
	if got := b.RecentReports(2*time.Second + 100*time.Millisecond); got["near"] != (balancer.ActiveRequestsReport{Requests: 12, Age: 100 * time.Millisecond}) {
		t.Errorf("told to others: %v", got)
	}
}
