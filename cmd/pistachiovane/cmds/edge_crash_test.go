package cmds

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/platform/standin"
)

const (
	// crashingBody is the body of a request that crashes each endpoint that begins to run it.
	crashingBody = "crash"
	// maxEndedEndpoints is how many endpoints may end under one request before it is not sent again.
	maxEndedEndpoints = 3
)

// crashEnv is a deployment with many endpoints that requests with crashingBody crash.
type crashEnv struct {
	*testEnv
	// endpoints holds all endpoints that such a request can crash.
	endpoints []*standin.Endpoint
}

// newCrashEnv starts a deployment in which endpoints of the stage crash. An empty stage means the plain service.
func newCrashEnv(t *testing.T, stage string, gateways int) *crashEnv {
	t.Helper()
	env := &crashEnv{testEnv: newTestEnv(t)}
	for range gateways - 1 {
		env.addGateway()
	}
	env.endpoints = append(env.endpoints, env.serviceEndpoints...)
	if stage != "" {
		env.endpoints = nil
		for _, e := range env.modelEndpoints {
			if e.Stage == stage {
				env.endpoints = append(env.endpoints, e)
			}
		}
	}
	for _, e := range env.endpoints {
		e.Crashes = isCrashing
	}
	listed := len(env.state().Endpoints)
	for len(env.endpoints) < 8 {
		env.addCrashing(stage)
		listed++
	}
	env.waitFor(func() bool {
		for _, g := range env.gateways {
			if len(g.state().Endpoints) != listed {
				return false
			}
		}
		return true
	}, "the gateways should know all endpoints")
	return env
}

// isCrashing reports whether a run is one of a request with crashingBody.
func isCrashing(r standin.Run) bool { return r.Body == crashingBody }

// addCrashing starts a further endpoint that requests with crashingBody crash.
func (env *crashEnv) addCrashing(stage string) {
	env.t.Helper()
	service := "llm"
	if stage == "" {
		service = "desk"
	}
	e, err := standin.NewEndpoint(fmt.Sprintf("c%d", len(env.endpoints)), service, "a", stage)
	if err != nil {
		env.t.Fatal(err)
	}
	e.Crashes = isCrashing
	env.t.Cleanup(e.Close)
	env.store.Put(e.StoreEntry("ready"))
	env.endpoints = append(env.endpoints, e)
}

// crashed returns how many endpoints have crashed.
func (env *crashEnv) crashed() int {
	n := 0
	for _, e := range env.endpoints {
		if !e.CrashedAt().IsZero() {
			n++
		}
	}
	return n
}

// sendBody sends a request with the given body. Requests to /draft/ and /note/ are generations.
func (env *crashEnv) sendBody(path, body string) response {
	env.t.Helper()
	header := []string{"X-Pistachiovane-Time-Budget-Ms", "3000"}
	if path != "/read/x" {
		header = append(header, "X-Pistachiovane-Token-Counts", "100,100", "X-Pistachiovane-Model", "m")
	}
	return env.send(env.newRequest(http.MethodPost, path, body, header...))
}

// A request that crashes each endpoint that runs it was sent on and on: after it had ended three endpoints it ended
// seventeen more (incident inc1 of issue 29). It must be stopped alone and between gateways, also when it comes late.
func TestEdgeSendsRequestOnAfterItEndedThreeEndpoints(t *testing.T) {
	for name, c := range map[string]struct {
		path, stage string
		gateways    int
		pause       time.Duration
	}{
		"one gateway":      {path: "/note/x", stage: "decode", gateways: 1},
		"three gateways":   {path: "/note/x", stage: "decode", gateways: 3, pause: 300 * time.Millisecond},
		"late":             {path: "/note/x", stage: "decode", gateways: 2, pause: 2500 * time.Millisecond},
		"resumable stream": {path: "/draft/x", stage: "decode", gateways: 2, pause: 300 * time.Millisecond},
		"prefill":          {path: "/note/x", stage: "prefill", gateways: 2, pause: 300 * time.Millisecond},
		"plain service":    {path: "/read/x", stage: "", gateways: 2, pause: 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newCrashEnv(t, c.stage, c.gateways)
			for n := range 6 {
				env.useGateway(n)
				env.sendBody(c.path, crashingBody)
				time.Sleep(c.pause)
			}
			if n := env.crashed(); n == 0 || n > maxEndedEndpoints {
				t.Errorf("got %d endpoints ended under one request, want 1 to %d; log:\n%s", n, maxEndedEndpoints, env.log.String())
			}
		})
	}
}
