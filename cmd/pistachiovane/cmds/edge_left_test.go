package cmds

import (
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/platform/standin"
)

// allEndpoints returns all endpoints that run requests.
func (env *testEnv) allEndpoints() []*standin.Endpoint {
	return append(slices.Clone(env.serviceEndpoints), env.modelEndpoints["d1"], env.modelEndpoints["d2"])
}

// callTime is how long a slow call takes. It is well below the timeout of the routes.
const callTime = 600 * time.Millisecond

// slowFactor returns by how much an endpoint is to be slowed down so that a stream takes about a second, and a call callTime. It must
// be called before the endpoint gets requests.
func slowFactor(e *standin.Endpoint) int32 {
	if e.Stage != "" {
		return int32(time.Second / (time.Duration(e.EventsPerStream) * e.EventInterval))
	}
	e.ServiceTime = time.Millisecond
	return int32(callTime / e.ServiceTime)
}

// sendSlowly sends a request whose endpoint takes its time, and returns the endpoint once it runs the request. The answer is
// delivered as given and then sent to answered; further requests get whole answers.
func (env *testEnv) sendSlowly(path string, a standin.Answer) (e *standin.Endpoint, answered chan response) {
	env.t.Helper()
	var used atomic.Bool
	for _, e := range env.allEndpoints() {
		e.SlowDown(slowFactor(e))
		e.SetAnswers(func(standin.Run) standin.Answer {
			if used.CompareAndSwap(false, true) {
				return a
			}
			return standin.Answer{}
		})
	}
	r := env.newRequest(http.MethodPost, path, "body", "X-Pistachiovane-Token-Counts", "100,100", "X-Pistachiovane-Model", "m")
	if strings.HasPrefix(path, "/book") || strings.HasPrefix(path, "/read") {
		r = env.newRequest(http.MethodPost, path, "body")
	}
	answered = make(chan response, 1)
	go func() { answered <- env.send(r) }()
	env.waitFor(func() bool {
		for _, running := range env.allEndpoints() {
			if len(running.Runs()) > 0 {
				e = running
			}
		}
		return e != nil
	}, "an endpoint should run the request")
	for _, other := range env.allEndpoints() {
		if other != e {
			other.SlowDown(1)
		}
	}
	return e, answered
}

// signals are what endpoints may say, or what the store may show, while they run a request. Behind an end that nobody marked, they
// were not asked for.
var signals = map[string]func(env *testEnv, e *standin.Endpoint){
	"leaving": func(env *testEnv, e *standin.Endpoint) {
		env.store.Put(e.StoreEntry("draining"))
		env.waitFor(func() bool { return env.listsLeaving(e.ID) }, "the endpoint should be listed as leaving")
	},
	"removed": func(env *testEnv, e *standin.Endpoint) {
		env.store.Remove("servers/" + e.ID)
		env.waitFor(func() bool { return !env.lists(e.ID) }, "the endpoint should not be listed")
	},
	"paused": func(env *testEnv, e *standin.Endpoint) {
		e.Pause(10*time.Second, "10")
		path := "/read/2"
		if e.Stage != "" {
			path = "/note/2"
		}
		for range 40 {
			env.sendAll(path, 4)
			if env.state().PausedEndpoints > 0 || !e.CrashedAt().IsZero() {
				return
			}
		}
		env.t.Error("got no pause of the endpoint, want one")
	},
}

// Behind an unmarked end of an endpoint that leaves, has left or has asked for a pause, nothing was asked, and half an answer of a
// process that was taken away or crashed was passed on as complete (review/10, play paused).
func TestEdgeCompletesAnswerOfEndpointThatIsTakenAway(t *testing.T) {
	for signal, give := range signals {
		for path, whole := range map[string]bool{"/draft/1": true, "/note/1": false, "/book/1": false, "/read/1": true} {
			t.Run(signal+path, func(t *testing.T) {
				t.Parallel()
				env := newTestEnv(t)
				env.addDrillGateways()
				env.useGateway(1)
				answer := standin.Answer{Unframed: true, Cut: standin.CutCrash, CutAfter: 5}
				if strings.HasPrefix(path, "/draft") || strings.HasPrefix(path, "/note") {
					boundaries := eventBoundaries()
					answer.CutAfter = boundaries[len(boundaries)-1]
				}
				e, answered := env.sendSlowly(path, answer)
				give(env, e)
				resp := <-answered
				if complete := resp.err == nil && resp.status == http.StatusOK; complete != whole {
					t.Errorf("got %+v, want a whole answer %t; log:\n%s", resp, whole, env.linesWith(e.ID))
				}
				if resp.status == http.StatusOK && whole && resp.body != completeStream && !strings.HasPrefix(resp.body, "answer of s") {
					t.Errorf("got body %q, want a whole one", resp.body)
				}
			})
		}
	}
}

// The whole answers of endpoints that leave or have asked for a pause must reach their callers, also if they have no mark.
func TestEdgeBreaksOffAnswerOfEndpointThatLeaves(t *testing.T) {
	for signal, give := range signals {
		for _, path := range []string{"/draft/1", "/note/1", "/book/1", "/read/1"} {
			t.Run(signal+path, func(t *testing.T) {
				t.Parallel()
				env := newTestEnv(t)
				env.addDrillGateways()
				env.useGateway(1)
				e, answered := env.sendSlowly(path, standin.Answer{Unframed: true})
				give(env, e)
				if resp := <-answered; resp.err != nil || resp.status != http.StatusOK || len(e.Runs()) == 0 {
					t.Errorf("got %+v, want a whole answer; log:\n%s", resp, env.linesWith(e.ID))
				}
			})
		}
	}
}
