package cmds

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/platform/standin"
)

const leavingLine = "Server-Leaving: 1\r\n"

// callerGap is the time from an answer of an endpoint to the next request that a caller sends for certain after it.
const callerGap = 100 * time.Millisecond

// endpoint returns a stand-in endpoint by its ID.
func (env *testEnv) endpoint(id string) *standin.Endpoint {
	if e, ok := env.modelEndpoints[id]; ok {
		return e
	}
	for _, e := range env.serviceEndpoints {
		if e.ID == id {
			return e
		}
	}
	env.t.Fatalf("there is no endpoint %s", id)
	return nil
}

// sendAll sends the given number of requests to a path, a few at a time, and returns the responses.
func (env *testEnv) sendAll(path string, n int) []response {
	env.t.Helper()
	out := make([]response, n)
	requests := make(chan int)
	var wait sync.WaitGroup
	var mu sync.Mutex
	for range 4 {
		wait.Go(func() {
			for i := range requests {
				mu.Lock()
				r := env.newRequest(http.MethodPost, path, "body", "X-Pistachiovane-Token-Counts", "100,100")
				mu.Unlock()
				out[i] = env.send(r)
			}
		})
	}
	for i := range n {
		requests <- i
	}
	close(requests)
	wait.Wait()
	return out
}

// contactsAfter returns how many requests reached an endpoint in a period that begins at from.
func contactsAfter(e *standin.Endpoint, from time.Time, period time.Duration) int {
	n := 0
	for _, c := range e.Contacts() {
		if c.At.After(from) && c.At.Before(from.Add(period)) {
			n++
		}
	}
	return n
}

// signalPaths holds the endpoints that say something about themselves, with a path whose requests reach them.
var signalPaths = map[string]string{"s1": "/read/1", "d1": "/draft/1", "p1": "/note/1"}

// Guards against sending requests to an endpoint that has said that it leaves while the store calls it ready (DRAIN).
func TestEdgeSendsToEndpointThatSaidItLeaves(t *testing.T) {
	for id, path := range signalPaths {
		t.Run(id, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.addGateway()
			e := env.endpoint(id)
			for n := range 2 {
				env.useGateway(n)
				env.sendAll(path, 20)
			}
			e.SetHeader(leavingLine)
			for n := range 2 {
				env.useGateway(n)
				env.sendAll(path, 20)
			}
			env.store.SetDown(true)
			time.Sleep(callerGap)
			from := time.Now()
			for n := range 2 {
				env.useGateway(n)
				for _, resp := range env.sendAll(path, 20) {
					if resp.status != http.StatusOK || resp.err != nil || resp.header.Get("Server-Leaving") != "" {
						t.Errorf("got %+v, want a whole answer of another endpoint", resp)
					}
				}
			}
			if n := contactsAfter(e, from, time.Minute); n > 0 {
				t.Errorf("%d requests reached the endpoint after it said that it leaves, want none; log:\n%s", n, env.log.String())
			}
		})
	}
}

// Guards against sending anything to an endpoint that has asked for a pause, until that is over, and against not using it
// afterwards (BUDGET).
func TestEdgeSendsToPausedEndpoint(t *testing.T) {
	for id, path := range signalPaths {
		t.Run(id, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.addGateway()
			e := env.endpoint(id)
			const pause = 1500 * time.Millisecond
			startedAt := time.Now()
			e.Pause(300*time.Millisecond, "1.5")
			for time.Since(startedAt) < 250*time.Millisecond {
				for n := range 2 {
					env.useGateway(n)
					env.sendAll(path, 4)
				}
			}
			time.Sleep(callerGap)
			from := time.Now()
			for time.Since(startedAt) < pause-100*time.Millisecond {
				for n := range 2 {
					env.useGateway(n)
					for _, resp := range env.sendAll(path, 4) {
						if resp.status != http.StatusOK || resp.err != nil {
							t.Fatalf("got %+v, want an answer of another endpoint; log:\n%s", resp, env.log.String())
						}
					}
				}
			}
			if n := contactsAfter(e, from, pause-from.Sub(startedAt)-50*time.Millisecond); n > 0 {
				t.Errorf("%d requests reached the endpoint during its pause, want none; log:\n%s", n, env.log.String())
			}
			back := time.Now()
			env.waitFor(func() bool {
				env.sendAll(path, 4)
				return contactsAfter(e, back.Add(pause/2), time.Minute) > 0
			}, "the endpoint should be used again after its pause")
		})
	}
}

// Guards against refusing callers for longer than a pause lasts, or against making those wait who can't be served.
func TestEdgeRefusesUntilAllPausesEnd(t *testing.T) {
	for _, path := range []string{"/read/1", "/draft/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			paused := []string{"s1", "s2"}
			if path == "/draft/1" {
				paused = []string{"d1", "d2"}
			}
			const pause = 900 * time.Millisecond
			startedAt := time.Now()
			for _, id := range paused {
				env.endpoint(id).Pause(pause, "0.9")
			}
			callInHaste := func() response {
				return env.call(http.MethodPost, path, "X-Pistachiovane-Token-Counts", "100,100", "X-Pistachiovane-Time-Budget-Ms", "300")
			}
			callInHaste()
			impatientAt := time.Now()
			impatient := callInHaste()
			took := time.Since(impatientAt)
			retryAfter, err := strconv.ParseFloat(impatient.header.Get("Retry-After"), 64)
			back := impatientAt.Add(took).Add(time.Duration(retryAfter * float64(time.Second)))
			if impatient.status != http.StatusServiceUnavailable || err != nil || took > 100*time.Millisecond ||
				back.Before(startedAt.Add(pause)) || back.After(startedAt.Add(pause+time.Second)) {
				t.Errorf("got %+v after %v, want a refusal at once until %v later; log:\n%s", impatient, took, pause, env.log.String())
			}
			patient := env.call(http.MethodPost, path, "X-Pistachiovane-Token-Counts", "100,100")
			if waited := time.Since(startedAt); patient.status != http.StatusOK || waited < pause || waited > pause+time.Second {
				t.Errorf("got %+v after %v, want an answer just after the pause; log:\n%s", patient, waited, env.log.String())
			}
		})
	}
}

// Guards against callers that wait although all endpoints leave, for nobody knows how long.
func TestEdgeRefusesWhenAllEndpointsLeave(t *testing.T) {
	for path, ids := range map[string][]string{"/read/1": {"s1", "s2"}, "/draft/1": {"p1", "d1", "d2"}} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			for _, id := range ids {
				env.endpoint(id).SetHeader(leavingLine)
			}
			env.sendAll(path, 20)
			startedAt := time.Now()
			resp := env.call(http.MethodPost, path, "X-Pistachiovane-Token-Counts", "100,100")
			if resp.status != http.StatusServiceUnavailable || resp.header.Get("Retry-After") == "" ||
				time.Since(startedAt) > 100*time.Millisecond {
				t.Errorf("got %+v after %v, want a refusal at once with Retry-After; log:\n%s", resp, time.Since(startedAt), env.log.String())
			}
		})
	}
}

// Guards against losing an endpoint for a value that makes no sense, or for one in an answer that is not its own.
func TestEdgeObeysMalformedSignals(t *testing.T) {
	for name, c := range map[string]struct {
		header     string
		retryAfter string
		fault      standin.Fault
	}{
		"negative":          {retryAfter: "-5"},
		"empty":             {retryAfter: ""},
		"no number":         {retryAfter: "soon"},
		"date":              {retryAfter: "Fri, 31 Dec 2027 23:59:59 GMT"},
		"exponent":          {retryAfter: "1e3"},
		"infinite":          {retryAfter: "inf"},
		"two dots":          {retryAfter: "1.2.3"},
		"not leaving":       {header: "Server-Leaving: 0\r\n"},
		"leaving, a word":   {header: "Server-Leaving: yes\r\n"},
		"leaving, empty":    {header: "Server-Leaving:\r\n"},
		"not on 200":        {header: "Retry-After: 3600\r\n"},
		"without seal":      {header: leavingLine, fault: standin.MissingSeal},
		"of another answer": {fault: standin.MismatchedResponse},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			e := env.endpoint("s1")
			e.SetHeader(c.header)
			if c.header == "" && c.fault == standin.NoFault {
				e.Pause(200*time.Millisecond, c.retryAfter)
			}
			if c.fault != standin.NoFault {
				e.InjectFaults(slices.Repeat([]standin.Fault{c.fault}, 20)...)
			}
			env.sendAll("/read/1", 12)
			time.Sleep(200 * time.Millisecond)
			e.SetHeader("")
			e.ClearFaults()
			from := time.Now()
			env.waitFor(func() bool {
				env.sendAll("/read/1", 4)
				return contactsAfter(e, from, time.Minute) > 0
			}, "the endpoint should still be used")
		})
	}
}

// Guards against a pause that is far too long, and against two values that disagree: the longer one applies.
func TestEdgeKeepsLongestPause(t *testing.T) {
	for name, retryAfter := range map[string]string{"a year": "31536000", "two values": "0.01\r\nRetry-After: 3"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			e := env.endpoint("s1")
			e.Pause(200*time.Millisecond, retryAfter)
			env.sendAll("/read/1", 12)
			time.Sleep(200 * time.Millisecond)
			from := time.Now()
			env.sendAll("/read/1", 30)
			if n := contactsAfter(e, from, time.Second); n > 0 {
				t.Errorf("%d requests reached the paused endpoint, want none; log:\n%s", n, env.log.String())
			}
		})
	}
}

// Guards against taking what an endpoint said before its restart for what the new incarnation says.
func TestEdgeForgetsSignalsOfEarlierIncarnation(t *testing.T) {
	env := newTestEnv(t)
	e := env.endpoint("s1")
	e.SetHeader(leavingLine)
	env.sendAll("/read/1", 12)
	e.SetHeader("")
	from := time.Now()
	env.store.Put(e.StoreEntry("ready"))
	env.sendAll("/read/1", 12)
	if n := contactsAfter(e, from, time.Minute); n > 0 {
		t.Errorf("%d requests reached the endpoint after its entry was written again, want none", n)
	}
	e.StartedAtMs += 1000
	env.store.Put(e.StoreEntry("ready"))
	env.waitFor(func() bool {
		env.sendAll("/read/1", 4)
		return contactsAfter(e, from, time.Minute) > 0
	}, "the new incarnation should be used")
}

// Guards against a whole queue that starts at an endpoint at the instant at which its pause ends.
func TestEdgeStartsWaitingCallsInSteps(t *testing.T) {
	env := newTestEnv(t)
	for _, e := range env.serviceEndpoints {
		e.ServiceTime = 30 * time.Millisecond
		e.Pause(600*time.Millisecond, "0.6")
	}
	startedAt := time.Now()
	env.call(http.MethodPost, "/read/1", "X-Pistachiovane-Time-Budget-Ms", "300")
	got := make(chan response, 40)
	for range cap(got) {
		r := env.newRequest(http.MethodPost, "/read/1", "body", "X-Pistachiovane-Time-Budget-Ms", "10000")
		go func() { got <- env.send(r) }()
	}
	served := 0
	for range cap(got) {
		if resp := <-got; resp.status == http.StatusOK {
			served++
		}
	}
	most := 0
	for _, e := range env.serviceEndpoints {
		most = max(most, contactsAfter(e, startedAt.Add(590*time.Millisecond), 100*time.Millisecond))
	}
	// Four slots with calls of 30 ms: a first step of one call at a time, and the second one after 500 ms.
	if most > 6 || served < 20 {
		t.Errorf("got %d calls at one endpoint in the first 100 ms after the pause and %d served; log:\n%s", most, served, env.log.String())
	}
}
