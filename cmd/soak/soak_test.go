package main

import (
	"testing"
	"time"
)

// regressions are the seeds that ever failed, with the cause. Faults were added since, so that they draw other schedules now;
// each cause has a test of its own where it lay in the product.
var regressions = map[uint64]string{
	5:   "a second SIGTERM ended a gateway that was finishing its requests; SIGHUP ended one that had just started",
	20:  "the same, in a series",
	8:   "the soak took an answer that a misbehaving endpoint gave in place of a stream for a broken stream",
	36:  "the soak's last check left early, as its callers do; the gateway repeated its call",
	52:  "the same",
	400: "an endpoint still owed wrong answers when everything had to be served again",
}

// TestSoak plays a few seeds with real processes, those that ever failed among them.
func TestSoak(t *testing.T) {
	a := arguments{For: 10 * time.Second, Gateways: 4, Callers: 16, Keep: t.TempDir()}
	program, err := buildProgram(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	a.Program = program
	seeds := []uint64{1, 2}
	for seed := range regressions {
		seeds = append(seeds, seed)
	}
	t.Run("seeds", func(t *testing.T) {
		for slot, seed := range seeds {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				r, err := a.runSeed(t.TempDir(), seed, slot)
				if err != nil {
					t.Fatal(err)
				}
				t.Logf("seed %d: %d requests, %d served; injected %s; checked %s", seed, r.requests, r.served, formatCounts(r.faultCounts), formatCounts(r.checkCounts))
				for _, f := range r.findings {
					t.Errorf("seed %d (%s): %v", seed, regressions[seed], f)
				}
				if r.served == 0 || r.checkCounts["at most once"] == 0 || r.checkCounts["served after recovery"] == 0 {
					t.Errorf("seed %d checked nothing", seed)
				}
			})
		}
	})
}
