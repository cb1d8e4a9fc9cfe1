package cmds

import (
	"net/http"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/platform/standin"
)

// Callers abandon a stream that pauses for too long. A stalled endpoint that sends single bytes of an event now and
// then, or nothing, held a stream until its caller left, although another endpoint could have continued it.
func TestEdgeContinuesStalledStream(t *testing.T) {
	for name, fault := range map[string]standin.Fault{"trickle": standin.StalledStream, "silence": standin.SilentStream} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.modelEndpoints["d1"].InjectFaults(fault)
			env.modelEndpoints["d2"].InjectFaults(fault)
			startedAt := time.Now()
			resp := env.generateWithBudget("/draft/1", "12000")
			duration := time.Since(startedAt)
			// Both endpoints stall once: the third attempt completes the stream.
			if resp.status != http.StatusOK || resp.err != nil {
				t.Fatalf("got status %d and error %v after %v, want 200 and a complete stream; log:\n%s",
					resp.status, resp.err, duration, env.log.String())
			}
			if resp.body != completeStream {
				t.Errorf("got body %q, want the complete stream", resp.body)
			}
		})
	}
}

// A sound stream may be slow. Its pauses, each shorter than a caller's patience, must not add up to a stall.
func TestEdgeKeepsSlowSoundStream(t *testing.T) {
	env := newTestEnv(t)
	for _, id := range []string{"d1", "d2"} {
		env.modelEndpoints[id].EventInterval = 750 * time.Millisecond
	}
	resp := env.generateWithBudget("/draft/1", "12000")
	if resp.status != http.StatusOK || resp.body != completeStream {
		t.Errorf("got status %d and body %q, want 200 and the complete stream", resp.status, resp.body)
	}
	if runs := len(env.modelEndpoints["d1"].Runs()) + len(env.modelEndpoints["d2"].Runs()); runs != 1 {
		t.Errorf("got %d runs, want one: the stream was sound", runs)
	}
}

// Calls that may be repeated were never served by a service whose endpoints all take longer than an attempt is meant to: each
// attempt was given up for another one that took as long.
func TestEdgeNeverServesSlowRepeatableCalls(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	for _, e := range env.serviceEndpoints {
		e.ServiceTime = 1200 * time.Millisecond
	}
	served := 0
	for range 12 {
		if resp := env.call(http.MethodGet, "/read/x"); resp.status == http.StatusOK && resp.err == nil {
			served++
		}
	}
	if served < 9 {
		t.Errorf("got %d of 12 calls served, want all but the first ones; log:\n%s", served, env.linesWith("forward: "))
	}
}
