package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/ci/skipper"
)

// regressions holds the seeds that failed in the past, with the cause. They give other fault schedules now, because
// kinds of faults were added since. A cause that was a fault of the gateways also has a test in their packages.
var regressions = map[uint64]string{
	5:   "a second SIGTERM ended a gateway during its graceful shutdown; SIGHUP ended one that had just started",
	20:  "as seed 5, with a series of signals",
	8:   "the soak mistook the plain response of an endpoint with a fault for a broken stream",
	36:  "the soak's final check cancelled its request, as callers do; the gateway retried the call",
	52:  "as seed 36",
	400: "an endpoint still had pending faults when every request had to be served again",
	// The kernel closed the connections of a killed gateway in the ordinary way.
	7001: "a killed gateway ended an answer without length or chunks as if it were whole",
	7004: "as seed 7001",
}

// TestPromisesHoldUnderFaults guards against gateways that break a promise under faults, such as running a request
// twice after a crash. It runs a few seeds with real processes, among them those that failed in the past.
func TestPromisesHoldUnderFaults(t *testing.T) {
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
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
				t.Parallel()
				if skipper.New(t, "../../KNOWN-RED.txt").Lists(t) {
					t.Skip("listed in KNOWN-RED.txt")
				}
				r, err := a.runSeed(t.TempDir(), seed, slot)
				if err != nil {
					t.Fatal(err)
				}
				t.Logf("seed %d: %d requests, %d served; injected %s; checked %s",
					seed, r.requests, r.served, formatCounts(r.faultCounts), formatCounts(r.checkCounts))
				for _, f := range r.findings {
					t.Errorf("seed %d (past failure: %q): got finding %v, want none; log:\n%s",
						seed, regressions[seed], f, linesWith(t, a.Keep, seed, f.ID))
				}
				if r.served == 0 || r.checkCounts["at most once"] == 0 || r.checkCounts["served after recovery"] == 0 {
					t.Errorf("seed %d: got no served request or no check of a main promise, want at least one each", seed)
				}
			})
		}
	})
}

// linesWith returns the log lines of a failed seed that name a request, with the names of their files.
func linesWith(t *testing.T, keep string, seed uint64, id string) string {
	t.Helper()
	var out strings.Builder
	files, err := filepath.Glob(filepath.Join(keep, fmt.Sprint("seed", seed), "*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(text), "\n") {
			if strings.Contains(line, `"`+id+`"`) {
				out.WriteString(filepath.Base(file) + ": " + line + "\n")
			}
		}
	}
	return out.String()
}
