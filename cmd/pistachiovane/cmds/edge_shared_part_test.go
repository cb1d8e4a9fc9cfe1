package cmds

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/ci/skipper"
	"github.com/pistachiovane/pistachiovane/platform/standin"
)

const (
	// crashingPart is the ID of the part of a prompt that crashes each endpoint that begins to write an answer on it.
	crashingPart = "bad0"
	// maxEndedByPart is how many endpoints may end under a part before requests with it must stop.
	maxEndedByPart = 5
	// partTestTime is how long requests with crashingPart are sent.
	partTestTime = 10 * time.Second
	// minSoundRatio is the fraction of sound requests that must be served once the others are stopped. Those that run beside
	// the late requests that are allowed may break.
	minSoundRatio = 0.9
)

// partCase is one way in which requests with crashingPart come.
type partCase struct {
	path, stage         string
	gateways, endpoints int
	// successor and delay say what follows at the address of a crashed endpoint, and when.
	successor successor
	delay     time.Duration
	// atOnce is how many requests with the part are sent at a time, and sound how many without it beside them.
	atOnce, sound int
	// first puts the part first. Otherwise all requests have the same first part, and the crashing one is in the middle.
	first bool
	// harmlessFor is how long the part does no harm at first.
	harmlessFor time.Duration
	// extraParts is how many further parts of its own each request with the part has.
	extraParts int
}

// partEnv is a deployment in which a part of prompts crashes endpoints.
type partEnv struct {
	*reuseEnv
	partCase  partCase
	startedAt time.Time

	// soundMu guards soundAnswers: for each sound request when it was sent and whether it was served.
	soundMu      sync.Mutex
	soundAnswers []soundAnswer
	sending      sync.WaitGroup
}

// soundAnswer is what became of a sound request.
type soundAnswer struct {
	sentAt time.Time
	served bool
}

// newPartEnv starts the deployment of a case, with streams of 300 ms.
func newPartEnv(t *testing.T, c partCase) *partEnv {
	t.Helper()
	env := &partEnv{partCase: c, startedAt: time.Now()}
	crash := newCrashEnvWith(t, crashOptions{
		stage: c.stage, gateways: c.gateways, endpoints: c.endpoints, crashes: env.crashesEndpoint,
	})
	for _, e := range crash.endpoints {
		e.EventsPerStream, e.EventInterval = 15, 20*time.Millisecond
	}
	env.reuseEnv = newReuseEnvOf(crash, c.stage, c.successor, c.delay)
	env.startedAt = time.Now()
	return env
}

// crashesEndpoint reports whether a run crashes its endpoint. A prefill endpoint crashes under prefills only.
func (env *partEnv) crashesEndpoint(r standin.Run) bool {
	parts := strings.Split(r.Header.Get("X-Pistachiovane-Prompt-Prefix"), ",")
	shared := parts[:len(parts)-1]
	return r.IsPrefill == (env.partCase.stage == "prefill") && time.Since(env.startedAt) >= env.partCase.harmlessFor &&
		slices.Contains(shared, crashingPart+":40")
}

// prompt returns the list of the parts of request n.
func (env *partEnv) prompt(n int, crashing bool) string {
	parts := []string{"aa01:40"}
	if crashing {
		parts = append(parts, crashingPart+":40")
	} else {
		parts = append(parts, fmt.Sprintf("5e55%d:40", n%7))
	}
	if env.partCase.first && crashing {
		slices.Reverse(parts)
	}
	if crashing {
		for i := range env.partCase.extraParts {
			parts = append(parts, fmt.Sprintf("e%07x:1", n*env.partCase.extraParts+i))
		}
	}
	return strings.Join(append(parts, fmt.Sprintf("f%07x:20", n)), ",")
}

// sendPrompt sends request n to a gateway and returns the response.
func (env *partEnv) sendPrompt(g *testGateway, n int, crashing bool) response {
	header := []string{"X-Pistachiovane-Prompt-Prefix", env.prompt(n, crashing)}
	if env.partCase.stage != "" {
		header = append(header, "X-Pistachiovane-Token-Counts", "100,100", "X-Pistachiovane-Model", "m")
	}
	return env.send(g.newRequest(env.t, fmt.Sprint("part", n), env.partCase.path, fmt.Sprint("body ", n), header...))
}

// sendAll sends the requests of the case, a group each repeatInterval at the gateways in turn, for partTestTime, and waits
// for their answers.
func (env *partEnv) sendAll() {
	n := 0
	for round := 0; time.Since(env.startedAt) < partTestTime; round++ {
		for i := range env.partCase.atOnce + env.partCase.sound {
			g, number, crashing := env.gateways[(round+i)%len(env.gateways)], n, i < env.partCase.atOnce
			n++
			env.sending.Go(func() { env.sendOne(g, number, crashing) })
		}
		time.Sleep(repeatInterval)
	}
	env.sending.Wait()
}

// sendOne sends one request and records what became of it if it is sound.
func (env *partEnv) sendOne(g *testGateway, n int, crashing bool) {
	sentAt := time.Now()
	resp := env.sendPrompt(g, n, crashing)
	if crashing {
		return
	}
	env.soundMu.Lock()
	defer env.soundMu.Unlock()
	env.soundAnswers = append(env.soundAnswers, soundAnswer{sentAt, resp.status == http.StatusOK && resp.err == nil})
}

// soundCounts returns how many sound requests were sent later than contactTime after the last crash that is allowed, or
// after the start if there were fewer, and how many of them were served.
func (env *partEnv) soundCounts() (sent, served int) {
	env.mu.Lock()
	from := env.startedAt
	if len(env.crashTimes) >= maxEndedByPart {
		from = env.crashTimes[maxEndedByPart-1].Add(contactTime)
	}
	env.mu.Unlock()
	for _, a := range env.soundAnswers {
		if a.sentAt.After(from) {
			sent++
			if a.served {
				served++
			}
		}
	}
	return sent, served
}

// Requests that share one part of their prompts, no two alike, ended endpoint after endpoint, as each of them was taken
// for the cause of one crash only (issue 40).
func TestEdgeSendsRequestsWithPartThatEndedFiveEndpoints(t *testing.T) {
	base := partCase{
		path: "/note/x", stage: "decode", gateways: 2, endpoints: 10, successor: newID, delay: 1300 * time.Millisecond,
		atOnce: 1, sound: 2,
	}
	with := func(change func(c *partCase)) partCase {
		c := base
		change(&c)
		return c
	}
	for name, c := range map[string]partCase{
		"in the middle":       base,
		"first":               with(func(c *partCase) { c.first = true }),
		"same ID":             with(func(c *partCase) { c.successor = sameID }),
		"new ID at once":      with(func(c *partCase) { c.delay = 0 }),
		"three at once":       with(func(c *partCase) { c.atOnce = 3 }),
		"no sound ones":       with(func(c *partCase) { c.sound = 0 }),
		"resumable stream":    with(func(c *partCase) { c.path = "/draft/x" }),
		"resumable, three":    with(func(c *partCase) { c.path, c.atOnce = "/draft/x", 3 }),
		"harmless at first":   with(func(c *partCase) { c.harmlessFor = 3 * time.Second }),
		"harmless, alone":     with(func(c *partCase) { c.harmlessFor, c.sound = 3*time.Second, 0 }),
		"five gateways":       with(func(c *partCase) { c.gateways = 5 }),
		"few slow endpoints":  with(func(c *partCase) { c.endpoints, c.delay, c.sound = 5, 2500*time.Millisecond, 4 }),
		"many invented parts": with(func(c *partCase) { c.extraParts = 200 }),
		"prefill":             with(func(c *partCase) { c.stage = "prefill" }),
		"call":                with(func(c *partCase) { c.path, c.stage = "/read/x", "" }),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if skipper.New(t, knownRedPath).Lists(t) {
				t.Skip("listed in KNOWN-RED.txt")
			}
			env := newPartEnv(t, c)
			env.sendAll()
			all, late := env.crashCounts(maxEndedByPart)
			sent, served := env.soundCounts()
			t.Logf("%d endpoints ended, %d of them late; %d of %d later sound requests served", all, late, served, sent)
			if all == 0 || late > maxLateCrashes {
				t.Errorf("got %d endpoints ended under one part, %d of them late, want at most %d late; log:\n%s",
					all, late, maxLateCrashes, env.linesWith(crashLines))
			}
			if float64(served) < minSoundRatio*float64(sent) {
				t.Errorf("got %d of %d sound requests served, want at least %v of them; log:\n%s",
					served, sent, minSoundRatio, env.linesWith(crashLines, `"reason":"crashes`))
			}
		})
	}
}
