package cmds

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/ci/skipper"
	"github.com/pistachiovane/pistachiovane/platform/standin"
)

// knownRedPath is the list of the tests that fail for a known fault.
const knownRedPath = "../../../KNOWN-RED.txt"

const (
	// entryLifetime is how long the entry of an endpoint that crashed stays in the store.
	entryLifetime = 2900 * time.Millisecond
	// listDelay is the time from a start under the same ID until the store shows it.
	listDelay = time.Second
	// contactTime is the time after the third crash from which further crashes are limited to maxLateCrashes.
	contactTime    = 3 * time.Second
	maxLateCrashes = 3
	// crashTestTime is how long the crashing request is repeated, once each repeatInterval.
	crashTestTime  = 7 * time.Second
	repeatInterval = 250 * time.Millisecond
	// bindTimeout limits the attempts to listen on an address that is just being closed.
	bindTimeout = time.Second
)

// crashLines is a text in all log lines about crashes.
const crashLines = `"message":"crash: `

// successor is what accepts connections at the address of an endpoint that crashed.
type successor int

const (
	// newID is the endpoint itself under a new ID.
	newID successor = iota
	// sameID is the endpoint itself under its ID.
	sameID
	// otherService is an endpoint of another service. The endpoint itself is back at a new address under a new ID.
	otherService
	// silentListener accepts connections and never answers. The endpoint itself is back as with otherService.
	silentListener
)

// reuseEnv is a deployment in which the addresses of crashed endpoints accept connections again.
type reuseEnv struct {
	*crashEnv
	stage     string
	successor successor
	// delay is the time from a crash until the address accepts connections again.
	delay time.Duration

	// mu guards the fields below.
	mu         sync.Mutex
	closed     bool
	crashTimes []time.Time
	// started holds what was started after crashes.
	started []*standin.Endpoint
}

// newReuseEnv starts a deployment with two gateways and eight endpoints of the stage that requests with crashingBody
// crash. An empty stage means the plain service.
func newReuseEnv(t *testing.T, stage string, s successor, delay time.Duration) *reuseEnv {
	t.Helper()
	return newReuseEnvOf(newCrashEnv(t, stage, 2), stage, s, delay)
}

// newReuseEnvOf makes the crashed endpoints of a deployment come back.
func newReuseEnvOf(crash *crashEnv, stage string, s successor, delay time.Duration) *reuseEnv {
	env := &reuseEnv{crashEnv: crash, stage: stage, successor: s, delay: delay}
	for _, e := range env.endpoints {
		e.SetOnCrash(env.onCrash(e.Address(), e.ID))
	}
	env.t.Cleanup(env.stop)
	return env
}

// onCrash returns the function to call when the endpoint with an address and an ID crashes.
func (env *reuseEnv) onCrash(address, id string) func() {
	return func() {
		env.mu.Lock()
		defer env.mu.Unlock()
		env.crashTimes = append(env.crashTimes, time.Now())
		env.later(env.delay, func() { env.comeBack(address, id) })
	}
}

// later calls do under the lock after a time, unless the test has ended by then.
func (env *reuseEnv) later(d time.Duration, do func()) {
	time.AfterFunc(d, func() {
		env.mu.Lock()
		defer env.mu.Unlock()
		if !env.closed {
			do()
		}
	})
}

// stop ends what was started after crashes.
func (env *reuseEnv) stop() {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.closed = true
	for _, e := range env.started {
		e.Close()
	}
}

// comeBack starts what follows a crashed endpoint at its address. The lock must be held.
func (env *reuseEnv) comeBack(address, id string) {
	next := fmt.Sprintf("%s-%d", id, len(env.started))
	switch env.successor {
	case newID:
		env.list(env.start(address, next, env.stage))
	case sameID:
		e := env.start(address, id, env.stage)
		env.later(listDelay, func() { env.list(e) })
		return
	case otherService:
		otherStage := "decode"
		if env.stage != "" {
			otherStage = ""
		}
		env.list(env.start(address, next+"-other", otherStage))
		env.list(env.start("127.0.0.1:0", next, env.stage))
	case silentListener:
		env.start(address, "", env.stage).Silence()
		env.list(env.start("127.0.0.1:0", next, env.stage))
	}
	env.later(entryLifetime, func() { env.store.Remove("servers/" + id) })
}

// start starts an endpoint that crashes under the crashing requests and comes back in turn. The lock must be held.
func (env *reuseEnv) start(address, id, stage string) *standin.Endpoint {
	for startedAt := time.Now(); ; time.Sleep(time.Millisecond) {
		e, err := standin.NewEndpointAt(address, id, serviceOf(stage), "a", stage, env.makeCrashing, func(e *standin.Endpoint) {
			e.SetOnCrash(env.onCrash(e.Address(), id))
		})
		if err == nil {
			env.started = append(env.started, e)
			return e
		}
		if time.Since(startedAt) > bindTimeout {
			env.t.Errorf("listen on the address of crashed endpoint %s: %v", id, err)
			return nil
		}
	}
}

// list puts the entry of an endpoint into the store.
func (env *reuseEnv) list(e *standin.Endpoint) {
	env.store.Put(e.StoreEntry("ready"))
}

// crashCounts returns how many endpoints have crashed, and how many of them later than contactTime after the crash with
// the given number.
func (env *reuseEnv) crashCounts(number int) (all, late int) {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, at := range env.crashTimes {
		if len(env.crashTimes) >= number && at.Sub(env.crashTimes[number-1]) > contactTime {
			late++
		}
	}
	return len(env.crashTimes), late
}

// repeatCrashing repeats the crashing request for crashTestTime, at both gateways in turn.
func (env *reuseEnv) repeatCrashing(path string) {
	startedAt := time.Now()
	for n := 0; time.Since(startedAt) < crashTestTime; n++ {
		env.useGateway(n)
		next := time.Now().Add(repeatInterval)
		env.sendBody(path, crashingBody)
		time.Sleep(time.Until(next))
	}
}

// A crashed endpoint's address accepted connections again before anybody was refused there, which was taken for a sign that
// it had not crashed: 27 to 95 endpoints ended under one request (issue 36).
func TestEdgeTakesReusedAddressForSurvivingEndpoint(t *testing.T) {
	const atOnce = 0
	for name, c := range map[string]struct {
		path, stage string
		successor   successor
		delay       time.Duration
	}{
		"decode, new ID":                {"/note/x", "decode", newID, atOnce},
		"decode, same ID":               {"/note/x", "decode", sameID, atOnce},
		"decode, other service":         {"/note/x", "decode", otherService, atOnce},
		"decode, silent listener":       {"/note/x", "decode", silentListener, atOnce},
		"decode, new ID after 300 ms":   {"/note/x", "decode", newID, 300 * time.Millisecond},
		"decode, new ID after 1300 ms":  {"/note/x", "decode", newID, 1300 * time.Millisecond},
		"resumed decode, new ID":        {"/draft/x", "decode", newID, atOnce},
		"resumed decode, other service": {"/draft/x", "decode", otherService, atOnce},
		"prefill, new ID":               {"/note/x", "prefill", newID, atOnce},
		"prefill, same ID":              {"/note/x", "prefill", sameID, atOnce},
		"prefill, silent listener":      {"/note/x", "prefill", silentListener, atOnce},
		"call, new ID":                  {"/read/x", "", newID, atOnce},
		"call, same ID":                 {"/read/x", "", sameID, atOnce},
		"call, other service":           {"/read/x", "", otherService, atOnce},
		"call, silent listener":         {"/read/x", "", silentListener, atOnce},
		"booking, new ID":               {"/book/x", "", newID, atOnce},
		"booking, silent listener":      {"/book/x", "", silentListener, atOnce},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if skipper.New(t, knownRedPath).Lists(t) {
				t.Skip("listed in KNOWN-RED.txt")
			}
			env := newReuseEnv(t, c.stage, c.successor, c.delay)
			env.repeatCrashing(c.path)
			all, late := env.crashCounts(maxEndedEndpoints)
			t.Logf("%d endpoints ended, %d of them late", all, late)
			if all == 0 || late > maxLateCrashes {
				t.Errorf("got %d endpoints ended under one request, %d of them late, want at most %d late; log:\n%s",
					all, late, maxLateCrashes, env.linesWith(crashLines))
			}
		})
	}
}

// The end of a crashed endpoint's connection was taken for the end of its answer when its address accepted connections
// again at once.
func TestEdgeCompletesAnswerOfCrashedEndpointWhoseAddressIsReused(t *testing.T) {
	for name, c := range map[string]struct {
		path, stage string
		successor   successor
		cutAfter    int
	}{
		"stream, new ID":        {"/note/x", "decode", newID, 42},
		"stream, same ID":       {"/note/x", "decode", sameID, 42},
		"stream, other service": {"/note/x", "decode", otherService, 42},
		"call, new ID":          {"/book/x", "", newID, 5},
		"call, other service":   {"/book/x", "", otherService, 5},
		"stream, silent":        {"/note/x", "decode", silentListener, 42},
		"call, silent":          {"/book/x", "", silentListener, 5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if skipper.New(t, knownRedPath).Lists(t) {
				t.Skip("listed in KNOWN-RED.txt")
			}
			env := newReuseEnv(t, c.stage, c.successor, 0)
			for _, e := range env.endpoints {
				e.SetAnswers(func(standin.Run) standin.Answer {
					return standin.Answer{Unframed: true, Cut: standin.CutCrash, CutAfter: c.cutAfter}
				})
			}
			resp := env.sendBody(c.path, "sound")
			if resp.status == http.StatusOK && resp.err == nil {
				t.Errorf("got a response that looks complete, with body %q, from an endpoint that crashed; log:\n%s",
					resp.body, env.linesWith(crashLines))
			}
		})
	}
}
