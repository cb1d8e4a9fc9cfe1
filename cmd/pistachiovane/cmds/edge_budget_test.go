package cmds

import (
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/platform/standin"
)

// Every call beyond the first decode and the first prefill of a request counts against the retry budget. A prompt that
// was prefilled again after its KV cache was lost was not charged, so that one charge paid for two calls and the fleet
// exceeded its budget when many KV caches were lost (benchmark: grown Fosseway, trouble-1 and scale-1, rule BUDGET).
func TestEdgeChargesRepeatedPrefill(t *testing.T) {
	env := newTestEnvWithRetries(t, 0, 1, time.Hour)
	const singleRetry = 1
	env.addModelEndpoint("p2", "prefill")
	env.waitFor(func() bool { return len(env.state().Endpoints) == 6 }, "the gateway should know the second prefill endpoint")
	for _, id := range []string{"d1", "d2"} {
		env.modelEndpoints[id].InjectFaults(standin.NoCapacity, standin.NoCapacity, standin.NoCapacity)
	}
	env.generate("/note/1")
	prefills := env.modelEndpoints["p1"].Arrivals() + env.modelEndpoints["p2"].Arrivals()
	decodes := env.modelEndpoints["d1"].Arrivals() + env.modelEndpoints["d2"].Arrivals()
	if extra := prefills + decodes - 2; extra > singleRetry {
		t.Errorf("got %d prefill and %d decode calls, want at most %d beyond the first of each; log:\n%s",
			prefills, decodes, singleRetry, env.log.String())
	}
}
