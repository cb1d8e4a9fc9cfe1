package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
)

func newRouter(t testing.TB, policy string, count int) *Router {
	t.Helper()
	p, ok := PolicyByName(policy)
	if !ok {
		t.Fatalf("no policy %s", policy)
	}
	r := New(p, "a", rand.New(rand.NewPCG(1, 2)))
	for i := range count {
		r.Set(endpoint.Endpoint{ID: fmt.Sprint("d", i), Domain: "a", Model: "m", Role: endpoint.Decode, Slots: 20}, 100)
		r.Set(endpoint.Endpoint{ID: fmt.Sprint("p", i), Domain: "a", Model: "m", Role: endpoint.Prefill}, 100)
	}
	return r
}

func TestLeavingEndpointIsNotPicked(t *testing.T) {
	for _, policy := range []string{probeName, randomName, roundRobinName, leastLoadedName} {
		r := newRouter(t, policy, 3)
		r.Set(endpoint.Endpoint{ID: "d1", Domain: "a", Model: "m", Role: endpoint.Decode, Slots: 20, Leaving: true}, 100)
		for range 100 {
			if s := r.Pick(endpoint.Decode, Request{Model: "m"}); s == nil || s.ID == "d1" {
				t.Fatalf("%s picked %v", policy, s)
			}
		}
	}
}

func TestFullAndEjectedEndpointsAreNotPicked(t *testing.T) {
	r := newRouter(t, probeName, 2)
	r.UpdateLoad("d0", endpoint.Load{UsedSlots: 20, FreePieces: 100}, 0)
	r.ReportFailure("d1", 0)
	if s := r.Pick(endpoint.Decode, Request{Model: "m"}); s != nil {
		t.Fatalf("picked %s though one is full and one failed", s.ID)
	}
	if s := r.Pick(endpoint.Decode, Request{Model: "m", Now: time.Second}); s == nil || s.ID != "d1" {
		t.Errorf("picked %v, want the failed one after its pause", s)
	}
	r.AssumeFreeSlots(time.Second, time.Second/2, 1)
	r.ReportFailure("d1", time.Second)
	if s := r.Pick(endpoint.Decode, Request{Model: "m", Now: time.Second}); s == nil || s.ID != "d0" {
		t.Errorf("picked %v, want the full one whose report is old", s)
	}
}

func TestCachedPrefixIsPreferredUnlessBacklogIsLong(t *testing.T) {
	r := newRouter(t, probeName, 4)
	r.RecordPrefix(7, "p2")
	if s := r.Pick(endpoint.Prefill, Request{Model: "m", PromptTokens: 1000, PrefixDigest: 7}); s.ID != "p2" {
		t.Errorf("picked %s, want p2", s.ID)
	}
	r.UpdateLoad("p2", endpoint.Load{BacklogTokens: 100000}, 0)
	if s := r.Pick(endpoint.Prefill, Request{Model: "m", PromptTokens: 1000, PrefixDigest: 7}); s.ID == "p2" {
		t.Error("picked p2 in spite of its long queue")
	}
}

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			r := newRouter(b, probeName, count)
			req := Request{Model: "m", PromptTokens: 1000, Pieces: 1, PrefixDigest: 3}
			b.ReportAllocs()
			for b.Loop() {
				r.Pick(endpoint.Decode, req)
				r.Pick(endpoint.Prefill, req)
			}
		})
	}
}
