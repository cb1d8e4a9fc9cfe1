package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
)

// newRouter returns a router with count decode endpoints d0, d1 and so on, and as many prefill endpoints p0, p1 and so
// on.
func newRouter(t testing.TB, policy string, count int) *Router {
	t.Helper()
	p, ok := PolicyByName(policy)
	if !ok {
		t.Fatalf("policy %s not found", policy)
	}
	r := New(p, "a", rand.New(rand.NewPCG(1, 2)))
	for i := range count {
		r.Set(endpoint.Endpoint{ID: fmt.Sprint("d", i), Domain: "a", Model: "m", Role: endpoint.Decode, Slots: 20}, 100)
		r.Set(endpoint.Endpoint{ID: fmt.Sprint("p", i), Domain: "a", Model: "m", Role: endpoint.Prefill}, 100)
	}
	return r
}

// TestLeavingEndpointIsNotPicked guards against any policy that sends new work to an endpoint that is about to be
// removed.
func TestLeavingEndpointIsNotPicked(t *testing.T) {
	for _, policy := range []string{probePolicyName, randomPolicyName, roundRobinPolicyName, leastLoadedPolicyName} {
		r := newRouter(t, policy, 3)
		r.Set(endpoint.Endpoint{ID: "d1", Domain: "a", Model: "m", Role: endpoint.Decode, Slots: 20, Leaving: true}, 100)
		for range 100 {
			if s := r.Pick(endpoint.Decode, Request{Model: "m"}); s == nil || s.ID == "d1" {
				t.Fatalf("policy %s picked %v, want an endpoint other than d1, which is leaving", policy, s)
			}
		}
	}
}

// TestFullAndEjectedEndpointsAreNotPicked guards against work for an endpoint without free slots or one that failed
// recently, and against endpoints that are never used again. Of two endpoints one is full and one has failed: none may
// be picked at first, the failed one after its ejection, and the full one once its report is old.
func TestFullAndEjectedEndpointsAreNotPicked(t *testing.T) {
	r := newRouter(t, probePolicyName, 2)
	r.UpdateLoad("d0", endpoint.Load{UsedSlots: 20, FreePieces: 100}, 0)
	r.ReportFailure("d1", 0)
	if s := r.Pick(endpoint.Decode, Request{Model: "m"}); s != nil {
		t.Fatalf("picked %s, want none: d0 is full and d1 is ejected", s.ID)
	}
	if s := r.Pick(endpoint.Decode, Request{Model: "m", Now: time.Second}); s == nil || s.ID != "d1" {
		t.Errorf("picked %v, want d1, whose ejection is over", s)
	}
	r.AssumeFreeSlots(time.Second, time.Second/2, 1)
	r.ReportFailure("d1", time.Second)
	if s := r.Pick(endpoint.Decode, Request{Model: "m", Now: time.Second}); s == nil || s.ID != "d0" {
		t.Errorf("picked %v, want d0, whose report of no free slots is old", s)
	}
}

// TestCachedPrefixIsPreferredUnlessBacklogIsLong guards against a router that ignores where a prefix is cached, and
// against one that keeps sending requests there when the endpoint's backlog costs more than the cache saves.
func TestCachedPrefixIsPreferredUnlessBacklogIsLong(t *testing.T) {
	r := newRouter(t, probePolicyName, 4)
	r.RecordPrefix(7, "p2")
	if s := r.Pick(endpoint.Prefill, Request{Model: "m", PromptTokens: 1000, PrefixDigest: 7}); s.ID != "p2" {
		t.Errorf("picked %s, want p2, which has the prefix cached", s.ID)
	}
	r.UpdateLoad("p2", endpoint.Load{BacklogTokens: 100000}, 0)
	if s := r.Pick(endpoint.Prefill, Request{Model: "m", PromptTokens: 1000, PrefixDigest: 7}); s.ID == "p2" {
		t.Error("picked p2, want an endpoint without a backlog")
	}
}

// BenchmarkPick measures one choice for each role in fleets of different size. The time should not grow with the fleet.
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			r := newRouter(b, probePolicyName, count)
			req := Request{Model: "m", PromptTokens: 1000, Pieces: 1, PrefixDigest: 3}
			b.ReportAllocs()
			for b.Loop() {
				r.Pick(endpoint.Decode, req)
				r.Pick(endpoint.Prefill, req)
			}
		})
	}
}
