package profiler_test

import (
	"math"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/routing/profiler"
)

var options = profiler.Options{DecayTime: 10 * time.Second, MaxPeerAge: 3 * time.Second, SettleTime: 8 * time.Second}

// The leader sees only a small part of the traffic itself. Without the usages of its peers it would decide on a few
// generations, and with usages counted twice on wrong ones.
func TestTotalIsThatOfAllGateways(t *testing.T) {
	a, b := profiler.New(options), profiler.New(options)
	for range 10 {
		a.Record("m", 100*time.Millisecond, 0.3, 0)
		b.Record("m", 100*time.Millisecond, 0.3, 0)
	}
	for range 3 {
		a.MergePeer("b", b.Own(0), 0)
	}
	got := a.Total("m", 0)
	if got.Generations != 20 || math.Abs(got.PrefillSeconds-2) > 1e-9 || math.Abs(got.DecodeSeconds-6) > 1e-9 {
		t.Errorf("got %+v, want 20 generations, 2 s of prefill, 6 s of decode", got)
	}
	if other := a.Total("other", 0); other != (profiler.Usage{}) {
		t.Errorf("got %+v for a service without generations, want none", other)
	}
}

// Guards against decisions on traffic that has ended, and on reports of gateways that have stopped.
func TestUsagesDecayAndStaleReportsAreIgnored(t *testing.T) {
	p := profiler.New(options)
	p.Record("m", time.Second, 1, 0)
	p.MergePeer("b", map[string]profiler.Usage{"m": {Generations: 1, PrefillSeconds: 1, DecodeSeconds: 1}}, 0)
	if got := p.Total("m", 10*time.Second).Generations; math.Abs(got-math.Exp(-1)) > 1e-9 {
		t.Errorf("got %.3f generations after the decay time, want %.3f: the peer's report is stale", got, math.Exp(-1))
	}
	if got := p.Own(time.Minute); len(got) != 0 {
		t.Errorf("got %+v after a minute, want nothing to report", got)
	}
}

// A peer that left must not be counted for as long as its last report is fresh.
func TestRemovedPeerIsNotCounted(t *testing.T) {
	p := profiler.New(options)
	p.MergePeer("b", map[string]profiler.Usage{"m": {Generations: 1}}, 0)
	p.RemovePeer("b")
	if got := p.Total("m", 0).Generations; got != 0 {
		t.Errorf("got %.1f generations of a removed peer, want 0", got)
	}
}

// The generations that are completed first are the short ones. The split followed them five seconds after the start of
// the traffic, and was changed back later (benchmark: large deployment, scale-1).
func TestFirstGenerationsAreNotRepresentative(t *testing.T) {
	p := profiler.New(options)
	p.MergePeer("b", map[string]profiler.Usage{"m": {Generations: 50}}, time.Second)
	p.Record("m", time.Second, 1, 5*time.Second)
	if p.Settled("m", 8*time.Second) {
		t.Error("got a settled usage 7 s after the first generation, want one after 8 s")
	}
	if !p.Settled("m", 9*time.Second) {
		t.Error("got an unsettled usage 8 s after the first generation, want a settled one")
	}
	if p.Settled("other", time.Minute) {
		t.Error("got a settled usage without generations")
	}
}
