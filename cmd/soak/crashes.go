package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiovane/pistachiovane/platform/standin"
)

const (
	// crashingBody is the body of requests that crash each endpoint that begins to run them. Those with
	// prefillCrashingBody also crash each endpoint that begins to prefill them.
	crashingBody        = "crash"
	prefillCrashingBody = "crash in the prefill"
	// crashingPart is a part of prompts that crashes each endpoint that begins to write an answer on it. Requests with it are no
	// two alike. firstPart is the first part of all prompts, and sessions is how many further parts there are.
	crashingPart = "bad0"
	firstPart    = "aa01"
	sessions     = 20
	// repeatedBody is the body of requests that many callers send and that do no harm.
	repeatedBody = "repeated"
	// repeatedRatio is the fraction of requests with repeatedBody.
	repeatedRatio = 0.3
	// crashingInterval is the pause between two requests with crashingBody.
	crashingInterval = 600 * time.Millisecond
	// crashedRestartTime is the time from the crash of an endpoint to the start of another one in its place, and
	// crashedEntryTime the time until its entry expires.
	crashedRestartTime = time.Second
	crashedEntryTime   = 3 * time.Second
	// If endpoints hang, one of hangingCrashes crashes comes after the endpoint has hung for up to maxHangTime.
	hangingCrashes = 3
	maxHangTime    = 4 * time.Second
)

// isCrashing reports whether a run or a prefill crashes its endpoint.
func isCrashing(r standin.Run) bool {
	if r.Body == prefillCrashingBody {
		return true
	}
	return !r.IsPrefill && (r.Body == crashingBody || strings.Contains(r.Header.Get(partsHeader), crashingPart))
}

// hangTime returns for how long an endpoint hangs before it crashes under a run. It depends on the seed and the request only.
func (b *testbed) hangTime(r standin.Run) time.Duration {
	if !b.hangs {
		return 0
	}
	h := xxhash.Sum64String(fmt.Sprint(b.seed, r.RequestID))
	if h%hangingCrashes != 0 {
		return 0
	}
	d := time.Duration(h>>1) % maxHangTime //nolint:gosec // the shift leaves no sign
	b.log.Info().Str("id", r.RequestID).Int64("hang_ms", d.Milliseconds()).Msg("hangs before it crashes")
	return d
}

// prompt returns the parts of the prompt of a request: the first one, one that other requests have too, and its own.
func (c *caller) prompt(id, shared string) string {
	if shared == "" {
		shared = strconv.FormatInt(int64(0xb000+c.rng.IntN(sessions)), 16)
	}
	return firstPart + ":40," + shared + ":40," + id + ":20"
}

// newCrasher returns a caller for runCrasher.
func newCrasher(b *testbed, seed uint64) *caller {
	return &caller{
		testbed: b, rng: rand.New(rand.NewPCG(seed, 11)), account: bigAccount, neverCancels: true, //nolint:gosec // a seeded test
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
}

// runCrasher sends requests that crash endpoints to random gateways until stop is closed: one that is repeated, to each route
// in turn, and another one with crashingPart.
func (c *caller) runCrasher(stop <-chan struct{}) {
	routes := []string{routeNote, routeDraft, routeRead, routeBook}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(crashingInterval):
		}
		c.gateway = c.testbed.pickGateway(c.rng)
		c.apiKey = c.testbed.pickKey(c.account, c.rng)
		route, body := routes[n%len(routes)], crashingBody
		if route == routeNote {
			body = prefillCrashingBody
		}
		r := c.send(route, body, "")
		r.CrashesAs = route
		c.testbed.recordRequest(r)
		r = c.send([]string{routeDraft, routeNote}[n%2], "", crashingPart)
		r.CrashesAs, r.CrashesByPart = crashingPart, true
		c.testbed.recordRequest(r)
	}
}

// handleCrash closes the proxy of an endpoint that crashed, so that its address refuses connections.
func (b *testbed) handleCrash(e *endpoint) {
	e.proxy.Close()
	b.log.Info().Str("endpoint", e.ID).Msg("crashed")
}

// replaceCrashed starts endpoints in the place of those that crashed, and removes the entries of these from the store
// when they have expired. It returns an error if an endpoint can't be started.
func (b *testbed) replaceCrashed() error {
	b.mu.Lock()
	var stages []string
	for _, e := range b.endpoints {
		crashedAt := e.CrashedAt()
		if crashedAt.IsZero() {
			continue
		}
		if !e.replaced && time.Since(crashedAt) > crashedRestartTime {
			e.replaced = true
			stages = append(stages, e.Stage)
		}
		if !e.expired && time.Since(crashedAt) > crashedEntryTime && time.Now().After(e.listedUntil) {
			e.expired, e.leaving = true, true
			key, _ := e.StoreEntry("ready")
			b.store.Remove(key)
		}
	}
	b.mu.Unlock()
	for _, stage := range stages {
		if err := b.addEndpoint(stage); err != nil {
			return err
		}
	}
	return nil
}

// memoryLosses returns when all gateways had lost what they knew.
func (b *testbed) memoryLosses() []time.Time {
	var out []time.Time
	for _, p := range b.faultPeriods {
		if kind, target, _ := strings.Cut(p.fault, " "); kind == "kill" && target == "all" {
			out = append(out, p.from)
		}
	}
	return out
}
