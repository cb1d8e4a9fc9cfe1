package attributor_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/attributor"
)

const (
	// stepTime is the resolution of the simulated time.
	stepTime = 10 * time.Millisecond
	// runTime is how long a sound run takes, and crashDelay how long a crashing one runs before its endpoint crashes.
	runTime    = 500 * time.Millisecond
	crashDelay = 100 * time.Millisecond
	// slotsPerEndpoint limits the runs of an endpoint.
	slotsPerEndpoint = 12
	// maxTolerated crashes may happen under one part, and maxLate more may begin later than noticeTime after that.
	maxTolerated = 5
	maxLate      = 3
	noticeTime   = 3 * time.Second
)

// fleets is the number of random fleets of each case.
var fleets = flag.Int("fleets", 10, "random fleets of each case")

// fleetCase describes a simulated fleet.
type fleetCase struct {
	gateways, endpoints int
	// restartTime is how long an endpoint is away after a crash.
	restartTime time.Duration
	// soundRate and crashingRate are requests per second. The crashing part does no harm until harmlessFor.
	soundRate, crashingRate float64
	harmlessFor             time.Duration
	// firstParts and sessions are the numbers of the other parts, one of each in each request.
	firstParts, sessions int
	// failureRate is the rate, per second, at which endpoints crash by themselves, and failureSize how many at a time.
	failureRate float64
	failureSize int
	// loss is the fraction of messages that are lost.
	loss float64
	// warmUp is how long only sound requests come at first.
	warmUp time.Duration
	time   time.Duration
}

// fleetRun is a run of a request in the fleet.
type fleetRun struct {
	id        uint64
	gateway   int
	features  []attributor.Feature
	startedAt time.Duration
	crashing  bool
}

// fleetEndpoint is a simulated endpoint. Its incarnations have different names.
type fleetEndpoint struct {
	incarnation int
	upAt        time.Duration
	runs        []fleetRun
}

// fleet simulates gateways that send requests to endpoints and tell each other what they see.
type fleet struct {
	fleetCase
	rng       *rand.Rand
	now       time.Duration
	gateways  []*attributor.Attributor
	endpoints []fleetEndpoint
	lastID    uint64
	// crashedAt holds when endpoints crashed under the crashing part, and crashStarts when these runs began.
	crashedAt, crashStarts []time.Duration
	// sound and refused count the sound requests that came later than twice noticeTime after the crash with the number
	// maxTolerated or, if there is no crashing part, in all.
	sound, refused int
}

func newFleet(c fleetCase, seed uint64) *fleet {
	f := &fleet{fleetCase: c, rng: rand.New(rand.NewPCG(seed, 1))} //nolint:gosec // a seeded test
	for range c.gateways {
		f.gateways = append(f.gateways, attributor.New(24*time.Hour, 512))
	}
	f.endpoints = make([]fleetEndpoint, c.endpoints)
	return f
}

// run simulates the whole time.
func (f *fleet) run() {
	messageInterval := max(100*time.Millisecond, time.Duration(f.fleetCase.gateways)*4*time.Millisecond)
	for ; f.now < f.time; f.now += stepTime {
		f.endRuns()
		f.failEndpoints()
		for range f.arrivals(f.soundRate) {
			f.send(false)
		}
		if f.now > f.warmUp {
			for range f.arrivals(f.crashingRate) {
				f.send(true)
			}
		}
		for g := range f.gateways {
			if (f.now+time.Duration(g)*37*time.Millisecond)%messageInterval < stepTime {
				f.sendMessage(g)
			}
		}
	}
}

// arrivals returns how many events of a rate happen in a step.
func (f *fleet) arrivals(perSecond float64) int {
	n := 0
	for expected := perSecond * stepTime.Seconds(); expected > 0; expected-- {
		if f.rng.Float64() < expected {
			n++
		}
	}
	return n
}

// features returns the features of a request.
func (f *fleet) features(crashing bool) []attributor.Feature {
	first := attributor.NewFeature(1, fmt.Sprint("first", f.rng.IntN(f.firstParts)))
	session := attributor.NewFeature(1, fmt.Sprint("session", f.rng.IntN(f.sessions)))
	if crashing {
		return []attributor.Feature{first, attributor.NewFeature(1, "crashing"), session}
	}
	return []attributor.Feature{first, session}
}

// send makes a gateway send a request to an endpoint that is up, unless it refuses.
func (f *fleet) send(crashing bool) {
	gateway := f.rng.IntN(len(f.gateways))
	features := f.features(crashing)
	counted := !crashing && f.isSettled()
	if counted {
		f.sound++
	}
	v := f.gateways[gateway].Decide(features, f.now)
	if v.Refused {
		if counted {
			f.refused++
		}
		return
	}
	first := f.rng.IntN(len(f.endpoints))
	for i := range f.endpoints {
		e := &f.endpoints[(first+i)%len(f.endpoints)]
		if f.now < e.upAt || len(e.runs) >= slotsPerEndpoint {
			continue
		}
		if v.Trial {
			f.gateways[gateway].BeginTrial(features, f.now)
		}
		f.lastID++
		e.runs = append(e.runs, fleetRun{
			id: f.lastID, gateway: gateway, features: features, startedAt: f.now,
			crashing: crashing && f.now >= f.warmUp+f.harmlessFor,
		})
		return
	}
}

// isSettled reports whether all gateways must know which part crashes endpoints.
func (f *fleet) isSettled() bool {
	if f.crashingRate == 0 {
		return true
	}
	return len(f.crashedAt) >= maxTolerated && f.now > f.crashedAt[maxTolerated-1]+2*noticeTime
}

// endRuns completes runs and crashes endpoints.
func (f *fleet) endRuns() {
	for i := range f.endpoints {
		e := &f.endpoints[i]
		var running []fleetRun
		for _, r := range e.runs {
			switch {
			case r.crashing && f.now-r.startedAt >= crashDelay:
				f.crashedAt = append(f.crashedAt, f.now)
				f.crashStarts = append(f.crashStarts, r.startedAt)
				f.crash(i)
				running = nil
			case f.now-r.startedAt >= runTime:
				f.gateways[r.gateway].RecordServed(r.features, r.startedAt, f.now)
				continue
			default:
				running = append(running, r)
				continue
			}
			break
		}
		if f.now >= e.upAt {
			e.runs = running
		}
	}
}

// crash ends an endpoint and all its runs.
func (f *fleet) crash(i int) {
	e := &f.endpoints[i]
	for _, r := range e.runs {
		f.gateways[r.gateway].RecordCrash(attributor.Run{
			Request: uint32(r.id), Endpoint: fmt.Sprint(i, "-", e.incarnation), Duration: f.now - r.startedAt, //nolint:gosec // small
			Features: r.features,
		}, f.now)
	}
	e.runs = nil
	e.incarnation++
	e.upAt = f.now + f.restartTime
}

// failEndpoints makes endpoints crash by themselves.
func (f *fleet) failEndpoints() {
	for range f.arrivals(f.failureRate) {
		first := f.rng.IntN(len(f.endpoints))
		for i := range f.failureSize {
			if n := (first + i) % len(f.endpoints); f.now >= f.endpoints[n].upAt {
				f.crash(n)
			}
		}
	}
}

// sendMessage sends the next message of a gateway to all others.
func (f *fleet) sendMessage(g int) {
	reports := f.gateways[g].NextReports(5, f.rng.IntN(4)/3, f.now)
	for i, peer := range f.gateways {
		if i != g && f.rng.Float64() >= f.loss {
			peer.Merge(reports, f.now)
		}
	}
}

// late returns how many crashes under the crashing part began later than noticeTime after the one with the number
// maxTolerated.
func (f *fleet) late() int {
	n := 0
	for i, startedAt := range f.crashStarts {
		if i >= maxTolerated && startedAt > f.crashedAt[maxTolerated-1]+noticeTime {
			n++
		}
	}
	return n
}

// Requests that share one part, no two alike, must be stopped at all gateways, and the others served, in small and large
// fleets.
func TestRandomFleetsSendCrashingPartOn(t *testing.T) {
	const restart = 3 * time.Second
	for name, c := range map[string]fleetCase{
		"small":               {gateways: 4, endpoints: 9, soundRate: 10, crashingRate: 2, firstParts: 1, sessions: 20},
		"small, three firsts": {gateways: 4, endpoints: 9, soundRate: 10, crashingRate: 2, firstParts: 3, sessions: 20},
		"one gateway":         {gateways: 1, endpoints: 9, soundRate: 10, crashingRate: 2, firstParts: 1, sessions: 20},
		"few endpoints":       {gateways: 4, endpoints: 4, soundRate: 10, crashingRate: 4, firstParts: 1, sessions: 20},
		"harmless at first":   {gateways: 4, endpoints: 9, soundRate: 10, crashingRate: 2, firstParts: 1, sessions: 20, harmlessFor: 5 * time.Second},
		"rare":                {gateways: 4, endpoints: 9, soundRate: 10, crashingRate: 0.3, firstParts: 1, sessions: 20},
		"alone":               {gateways: 4, endpoints: 9, crashingRate: 2, firstParts: 1, sessions: 20},
		"from the start":      {gateways: 4, endpoints: 9, soundRate: 10, crashingRate: 2, firstParts: 1, sessions: 20, warmUp: -1},
		"beside failures":     {gateways: 4, endpoints: 9, soundRate: 10, crashingRate: 2, firstParts: 2, sessions: 20, failureRate: 0.3, failureSize: 2},
		"messages lost":       {gateways: 8, endpoints: 9, soundRate: 10, crashingRate: 2, firstParts: 1, sessions: 20, loss: 0.3},
		"large":               {gateways: 103, endpoints: 46, soundRate: 100, crashingRate: 4, firstParts: 3, sessions: 200, loss: 0.02},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seeds := *fleets
			if c.gateways > 50 {
				seeds = (seeds + 19) / 20
			}
			for seed := range seeds {
				f := newFleet(c, uint64(seed)) //nolint:gosec // not negative
				f.restartTime, f.time = restart, time.Minute
				if f.warmUp == 0 {
					f.warmUp = 10 * time.Second
				}
				f.run()
				if n := f.late(); len(f.crashedAt) == 0 || n > maxLate {
					t.Errorf("seed %d: got %d endpoints ended under one part, %d of them late, want at most %d late",
						seed, len(f.crashedAt), n, maxLate)
				}
				if f.refused*10 > f.sound {
					t.Errorf("seed %d: got %d of %d sound requests refused, want at most a tenth", seed, f.refused, f.sound)
				}
			}
		})
	}
}

// Endpoints that fail by themselves must not make requests refused, whatever part all of them have.
func TestRandomFleetsBlamePartForFailures(t *testing.T) {
	for name, c := range map[string]fleetCase{
		"single":      {failureRate: 1, failureSize: 1},
		"domains":     {failureRate: 0.2, failureSize: 3},
		"all at once": {failureRate: 0.05, failureSize: 9},
		"series":      {failureRate: 3, failureSize: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range *fleets {
				c.gateways, c.endpoints, c.soundRate, c.firstParts, c.sessions = 4, 9, 10, 2, 50
				f := newFleet(c, uint64(seed)) //nolint:gosec // not negative
				f.restartTime, f.time = 3*time.Second, time.Minute
				f.run()
				if f.refused*10 > f.sound {
					t.Errorf("seed %d: got %d of %d sound requests refused, want at most a tenth", seed, f.refused, f.sound)
				}
			}
		})
	}
}
